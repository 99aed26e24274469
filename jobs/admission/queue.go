package admission

import (
	"cmp"
	"slices"
	"sort"
	"time"
)

// Rank orders waiting jobs as the scheduler places them: by band, then priority, then remaining
// work. Lower ranks come first.
type Rank struct {
	Band     int
	Priority int
	Work     float64 // core-seconds
}

func (r Rank) compare(o Rank) int {
	return cmp.Or(cmp.Compare(r.Band, o.Band), cmp.Compare(r.Priority, o.Priority), cmp.Compare(r.Work, o.Work))
}

func (r Rank) less(o Rank) bool { return r.compare(o) < 0 }

// Waiting is work of one job that no worker has started.
type Waiting struct {
	Rank  Rank
	Work  float64 // core-seconds
	Cores float64 // that its tasks need
}

func (w Waiting) compare(o Waiting) int {
	return cmp.Or(w.Rank.compare(o.Rank), cmp.Compare(w.Work, o.Work), cmp.Compare(w.Cores, o.Cores))
}

// Queue is the work that waits for a pool.
type Queue struct {
	waiting []Waiting // by rank
	before  []float64 // before[i] is the work of waiting[:i]
	cores   float64   // that all waiting tasks need
}

// NewQueue returns a queue with this work. It keeps and sorts the slice.
func NewQueue(waiting []Waiting) Queue {
	slices.SortFunc(waiting, Waiting.compare) // completely, so that sums do not depend on the order of the argument
	q := Queue{waiting: waiting, before: make([]float64, len(waiting)+1)}
	for i, w := range waiting {
		q.before[i+1] = q.before[i] + w.Work
		q.cores += w.Cores
	}
	return q
}

// MeanTask returns the mean duration of the waiting tasks, weighted by their cores.
func (q *Queue) MeanTask() time.Duration {
	if q.cores == 0 {
		return 0
	}
	return time.Duration(q.total() / q.cores * float64(time.Second))
}

// ahead returns the work that is placed before a new job of this rank.
func (q *Queue) ahead(r Rank) float64 {
	if len(q.waiting) == 0 {
		return 0
	}
	return q.before[sort.Search(len(q.waiting), func(i int) bool { return r.less(q.waiting[i].Rank) })]
}

// total returns all work in the queue.
func (q *Queue) total() float64 {
	if len(q.waiting) == 0 {
		return 0
	}
	return q.before[len(q.waiting)]
}
