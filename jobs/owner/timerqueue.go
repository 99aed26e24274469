package owner

import (
	"container/heap"
	"time"
)

// timerQueue is a priority queue of values ordered by due time, and first in, first out for equal
// times. Entries cannot be removed before they are due: the caller checks whether a popped value
// still applies. Both add and popDue take logarithmic time.
type timerQueue[T any] struct {
	entries timerHeap[T]
	lastSeq uint64
}

func (q *timerQueue[T]) add(at time.Time, value T) {
	q.lastSeq++
	heap.Push(&q.entries, timerEntry[T]{at, q.lastSeq, value})
}

// popDue removes the earliest entry if it is due by now; ok is false otherwise.
func (q *timerQueue[T]) popDue(now time.Time) (value T, ok bool) {
	if len(q.entries) == 0 || q.entries[0].at.After(now) {
		return value, false
	}
	return heap.Pop(&q.entries).(timerEntry[T]).value, true
}

// popAllDue removes and returns all entries due by now.
func (q *timerQueue[T]) popAllDue(now time.Time) []T {
	var out []T
	for value, ok := q.popDue(now); ok; value, ok = q.popDue(now) {
		out = append(out, value)
	}
	return out
}

// countDue returns how many entries are due by now, at most limit. It visits at most twice as many.
func (q *timerQueue[T]) countDue(limit int, now time.Time) int {
	n := 0
	var visit func(i int)
	visit = func(i int) {
		if i >= len(q.entries) || n == limit || q.entries[i].at.After(now) {
			return
		}
		n++
		visit(2*i + 1)
		visit(2*i + 2)
	}
	visit(0)
	return n
}

type timerEntry[T any] struct {
	at    time.Time
	seq   uint64 // order of entries with equal times
	value T
}

type timerHeap[T any] []timerEntry[T]

func (h timerHeap[T]) Len() int { return len(h) }
func (h timerHeap[T]) Less(a, b int) bool {
	if h[a].at.Equal(h[b].at) {
		return h[a].seq < h[b].seq
	}
	return h[a].at.Before(h[b].at)
}
func (h timerHeap[T]) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h *timerHeap[T]) Push(e any)   { *h = append(*h, e.(timerEntry[T])) }
func (h *timerHeap[T]) Pop() any {
	old := *h
	last := len(old) - 1
	e := old[last]
	old[last] = timerEntry[T]{} // lets the garbage collector free the value
	*h = old[:last]
	return e
}
