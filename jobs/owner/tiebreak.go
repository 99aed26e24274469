package owner

import (
	"hash/fnv"
	"slices"
	"sort"
	"strconv"
)

// tieBreak decides between workers that are equally good for a task: 0 prefers the lowest ID, another value a
// position among them that has nothing to do with their order.
//
// A task that lost its worker is not placed by the order of IDs, which is also the order in which instances are
// restarted in turn: its workers would fall one after the other, without the task being at fault, and its crashes
// are judged as if each had come to a worker drawn at random (job.Crash.Coincidence).
type tieBreak uint64

// tieBreak returns a value that depends on the task and on the number of its crashes; 0 without crashes.
func (t *task) tieBreak() tieBreak {
	if len(t.crashes) == 0 {
		return 0
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(t.id().String() + "/" + strconv.Itoa(len(t.crashes))))
	return tieBreak(h.Sum64())
}

// tieBreak returns the value for a gang, whose tasks are placed together.
func (s *stepState) tieBreak() tieBreak {
	for _, t := range s.tasks {
		if b := t.tieBreak(); b != 0 {
			return b
		}
	}
	return 0
}

// of returns the preferred one of n equally good choices.
func (b tieBreak) of(n int) int { return int(uint64(b) % uint64(max(1, n))) }

// order returns the workers, which are ordered by free millicores, such that those with equally many begin with the
// preferred one. The result is byFree itself if these are in order already.
func (b tieBreak) order(byFree []*worker) []*worker {
	if b == 0 {
		return byFree
	}
	out := make([]*worker, 0, len(byFree))
	for len(byFree) > 0 {
		n := sort.Search(len(byFree), func(i int) bool { return byFree[i].indexedFreeCPUMilli > byFree[0].indexedFreeCPUMilli })
		first := b.of(n)
		out = append(append(out, byFree[first:n]...), byFree[:first]...)
		byFree = byFree[n:]
	}
	return out
}

// startingAt returns a copy of the view that begins with the preferred worker, of which placement prefers the first
// among equals. It is v itself if that is the first one anyway.
func (v *workerView) startingAt(b tieBreak) *workerView {
	if b == 0 {
		return v
	}
	n := b.of(len(v.workers))
	return &workerView{
		workers: slices.Concat(v.workers[n:], v.workers[:n]),
		views:   slices.Concat(v.views[n:], v.views[:n]),
	}
}
