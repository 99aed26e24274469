package owner

import (
	"cmp"
	"iter"
	"slices"

	"github.com/postmount/postmount/jobs/job"
)

// writeQueue holds the jobs to be stored, ordered by class and then by writeSeq. Jobs with a crash
// to be stored come first, as the next owner has to know of it. Then come ended jobs, as their
// callers see the end only once it is stored, and then the others. Entries are not removed when
// a job is stored: iteration skips those that are no longer current.
type writeQueue [writeClasses][]writeEntry

// writeClass is the priority of a job in the write queue.
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

// add inserts the job by its class and writeSeq. As writeSeq increases, this is at the end of the
// list, except for a job that has changed its class.
func (q *writeQueue) add(j *jobState) {
	list := &q[j.writeClass()]
	at, found := slices.BinarySearchFunc(*list, j.writeSeq, func(e writeEntry, seq uint64) int { return cmp.Compare(e.seq, seq) })
	if !found {
		*list = slices.Insert(*list, at, writeEntry{j, j.writeSeq})
	}
}

// all iterates over the dirty jobs in the order of the queue.
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

// isCurrent reports whether the job is still dirty and still has this class and writeSeq.
func (e writeEntry) isCurrent(class writeClass, dirty map[job.ID]*jobState) bool {
	return e.job.writeSeq == e.seq && e.job.writeClass() == class && dirty[e.job.spec.ID] == e.job
}

// dropStale drops entries at the front that are no longer current.
func dropStale(list []writeEntry, class writeClass, dirty map[job.ID]*jobState) []writeEntry {
	n := 0
	for n < len(list) && !list[n].isCurrent(class, dirty) {
		n++
	}
	clear(list[:n])
	return list[n:]
}
