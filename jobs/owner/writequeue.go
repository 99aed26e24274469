package owner

import (
	"cmp"
	"iter"
	"slices"

	"github.com/postmount/postmount/jobs/job"
)

// writeQueue is the jobs that have to be written, in their order: those that ended come
// first, as their callers are told only once they are written; beyond that each has its
// turn. Jobs are not taken out when they are written: whoever goes over the queue drops
// what no longer has the turn that it had.
type writeQueue struct{ ended, open []writeTurn }

type writeTurn struct {
	job  *jobState
	turn uint64
}

// add gives the job the place that its turn and its state ask for. Turns rise, so that
// this is the last one, but for jobs that end.
func (q *writeQueue) add(j *jobState) {
	list := &q.open
	if j.state.Final() {
		list = &q.ended
	}
	at, found := slices.BinarySearchFunc(*list, j.turn, func(e writeTurn, turn uint64) int { return cmp.Compare(e.turn, turn) })
	if !found {
		*list = slices.Insert(*list, at, writeTurn{j, j.turn})
	}
}

// all goes over the jobs of dirty in their order.
func (q *writeQueue) all(dirty map[job.ID]*jobState) iter.Seq[*jobState] {
	return func(yield func(*jobState) bool) {
		for _, list := range []*[]writeTurn{&q.ended, &q.open} {
			ended := list == &q.ended
			*list = trim(*list, ended, dirty)
			for _, e := range *list {
				if e.holds(ended, dirty) && !yield(e.job) {
					return
				}
			}
		}
	}
}

// holds reports whether the job still has this turn.
func (e writeTurn) holds(ended bool, dirty map[job.ID]*jobState) bool {
	return e.job.turn == e.turn && e.job.state.Final() == ended && dirty[e.job.spec.ID] == e.job
}

// trim drops entries at the front that do not hold any more.
func trim(list []writeTurn, ended bool, dirty map[job.ID]*jobState) []writeTurn {
	n := 0
	for n < len(list) && !list[n].holds(ended, dirty) {
		n++
	}
	clear(list[:n])
	return list[n:]
}
