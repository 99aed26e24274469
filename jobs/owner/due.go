package owner

import (
	"container/heap"
	"time"
)

// dueQueue says what has to be looked at when. Entries are not taken out early: whoever
// takes one looks whether it still applies. Adding one, and taking the next, cost the
// logarithm of how many there are.
type dueQueue[T any] struct {
	entries dueHeap[T]
	added   uint64
}

func (q *dueQueue[T]) add(at time.Time, what T) {
	q.added++
	heap.Push(&q.entries, dueEntry[T]{at, q.added, what})
}

// next takes the earliest entry that is due by now; ok is false if none is.
func (q *dueQueue[T]) next(now time.Time) (what T, ok bool) {
	if len(q.entries) == 0 || q.entries[0].at.After(now) {
		return what, false
	}
	return heap.Pop(&q.entries).(dueEntry[T]).what, true
}

// due takes all entries that are due by now.
func (q *dueQueue[T]) due(now time.Time) []T {
	var out []T
	for what, ok := q.next(now); ok; what, ok = q.next(now) {
		out = append(out, what)
	}
	return out
}

type dueEntry[T any] struct {
	at    time.Time
	order uint64 // among those of one time
	what  T
}

type dueHeap[T any] []dueEntry[T]

func (h dueHeap[T]) Len() int { return len(h) }
func (h dueHeap[T]) Less(a, b int) bool {
	if h[a].at.Equal(h[b].at) {
		return h[a].order < h[b].order
	}
	return h[a].at.Before(h[b].at)
}
func (h dueHeap[T]) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h *dueHeap[T]) Push(e any)   { *h = append(*h, e.(dueEntry[T])) }
func (h *dueHeap[T]) Pop() any {
	old := *h
	last := len(old) - 1
	e := old[last]
	old[last] = dueEntry[T]{} // what it held may be freed
	*h = old[:last]
	return e
}
