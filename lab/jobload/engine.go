// Package jobload is a discrete-event simulation of load on the scheduler's real decision code,
// in virtual time. It reports how many jobs were on time, what delayed the others, and the cost
// in instances.
//
// Not simulated: slow and failing workers and, unless Scenario.Daemon is set, the daemons' CPU
// time and the time of calls beyond a fixed latency.
package jobload

import (
	"container/heap"
	"time"
)

// engine calls functions in the order of their virtual time, those of the same time in the
// order in which they were scheduled.
type engine struct {
	now       time.Time
	begin     time.Time
	queue     eventHeap
	scheduled int
}

type event struct {
	at    time.Time
	order int // sequence number of its scheduling
	do    func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(a, b int) bool {
	if h[a].at.Equal(h[b].at) {
		return h[a].order < h[b].order
	}
	return h[a].at.Before(h[b].at)
}
func (h eventHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h *eventHeap) Push(e any)   { *h = append(*h, e.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// startTime is the start of virtual time, an arbitrary date.
var startTime = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func newEngine() *engine { return &engine{now: startTime, begin: startTime} }

// after schedules do after d; a negative d counts as 0.
func (e *engine) after(d time.Duration, do func()) {
	e.scheduled++
	heap.Push(&e.queue, event{e.now.Add(max(0, d)), e.scheduled, do})
}

// next calls the next function, and reports false if none is due up to end.
func (e *engine) next(end time.Time) bool {
	if e.queue.Len() == 0 || e.queue[0].at.After(end) {
		return false
	}
	ev := heap.Pop(&e.queue).(event)
	e.now = ev.at
	ev.do()
	return true
}

func (e *engine) elapsed() time.Duration { return e.now.Sub(e.begin) }
