package admission

import (
	"cmp"
	"slices"
	"sort"
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
	Rank Rank
	Work float64 // core-seconds
}

// Queue is the work that waits for a pool.
type Queue struct {
	waiting []Waiting // by rank
	before  []float64 // before[i] is the work of waiting[:i]
}

// NewQueue returns a queue with this work. It keeps and sorts the slice.
func NewQueue(waiting []Waiting) Queue {
	slices.SortFunc(waiting, func(a, b Waiting) int { return a.Rank.compare(b.Rank) })
	q := Queue{waiting: waiting, before: make([]float64, len(waiting)+1)}
	for i, w := range waiting {
		q.before[i+1] = q.before[i] + w.Work
	}
	return q
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
