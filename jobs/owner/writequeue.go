package owner

import (
	"cmp"
	"iter"
	"slices"

	"github.com/postmount/postmount/jobs/job"
)

// writeQueue is the jobs that have to be written, in their order: those with a task under
// which a worker may have crashed come first, as the next owner has to know of it; then those
// that ended, as their callers are told only once they are written; beyond that each has its
// turn. Jobs are not taken out when they are written: whoever goes over the queue drops what
// no longer has the turn that it had.
type writeQueue [writeClasses][]writeEntry

// writeClass orders jobs that have to be written before their turns do.
type writeClass int

const (
	writeCrashed writeClass = iota
	writeEnded
	writeOpen
	writeClasses
)

func (j *jobState) writeClass() writeClass {
	switch {
	case j.crashUnstored:
		return writeCrashed
	case j.state.Final():
		return writeEnded
	}
	return writeOpen
}

type writeEntry struct {
	job *jobState
	seq uint64
}

// add gives the job the place that its turn and its state ask for. Turns rise, so that
// this is the last one, but for jobs that end.
func (q *writeQueue) add(j *jobState) {
	list := &q[j.writeClass()]
	at, found := slices.BinarySearchFunc(*list, j.writeSeq, func(e writeEntry, turn uint64) int { return cmp.Compare(e.seq, turn) })
	if !found {
		*list = slices.Insert(*list, at, writeEntry{j, j.writeSeq})
	}
}

// all goes over the jobs of dirty in their order.
func (q *writeQueue) all(dirty map[job.ID]*jobState) iter.Seq[*jobState] {
	return func(yield func(*jobState) bool) {
		for class := range writeClasses {
			q[class] = dropStale(q[class], class, dirty)
			for _, e := range q[class] {
				if e.isCurrent(class, dirty) && !yield(e.job) {
					return
				}
			}
		}
	}
}

// isCurrent reports whether the job still has this turn.
func (e writeEntry) isCurrent(class writeClass, dirty map[job.ID]*jobState) bool {
	return e.job.writeSeq == e.seq && e.job.writeClass() == class && dirty[e.job.spec.ID] == e.job
}

// dropStale drops entries at the front that do not hold any more.
func dropStale(list []writeEntry, class writeClass, dirty map[job.ID]*jobState) []writeEntry {
	n := 0
	for n < len(list) && !list[n].isCurrent(class, dirty) {
		n++
	}
	clear(list[:n])
	return list[n:]
}
