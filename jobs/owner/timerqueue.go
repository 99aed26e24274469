package owner

import (
	"container/heap"
	"time"
)

// timerQueue says what has to be looked at when. Entries are not taken out early: whoever
// takes one looks whether it still applies. Adding one, and taking the next, cost the
// logarithm of how many there are.
type timerQueue[T any] struct {
	entries timerHeap[T]
	lastSeq uint64
}

func (q *timerQueue[T]) add(at time.Time, what T) {
	q.lastSeq++
	heap.Push(&q.entries, timerEntry[T]{at, q.lastSeq, what})
}

// popDue takes the earliest entry that is due by now; ok is false if none is.
func (q *timerQueue[T]) popDue(now time.Time) (what T, ok bool) {
	if len(q.entries) == 0 || q.entries[0].at.After(now) {
		return what, false
	}
	return heap.Pop(&q.entries).(timerEntry[T]).value, true
}

// popAllDue takes all entries that are popAllDue by now.
func (q *timerQueue[T]) popAllDue(now time.Time) []T {
	var out []T
	for what, ok := q.popDue(now); ok; what, ok = q.popDue(now) {
		out = append(out, what)
	}
	return out
}

type timerEntry[T any] struct {
	at    time.Time
	seq   uint64 // among those of one time
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
	old[last] = timerEntry[T]{} // what it held may be freed
	*h = old[:last]
	return e
}
