// Package jobload plays patterns of load against the scheduler's real decision code
// in virtual time: no network, no processes, no waiting. Workers answer at once,
// tasks take what they take, and instances move between pools. It says how many
// jobs were in time, what the others waited for, and what that cost.
//
// What it leaves out: the daemons' processor time, the time of calls between
// processes, slow and failing workers.
package jobload

import (
	"container/heap"
	"time"
)

// engine calls functions at moments of virtual time, in the order of these and then
// in that in which they were asked for.
type engine struct {
	now   time.Time
	begin time.Time
	queue eventHeap
	asked int
}

type event struct {
	at    time.Time
	order int
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

// start of virtual time. It means nothing.
var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func newEngine() *engine { return &engine{now: start, begin: start} }

func (e *engine) after(d time.Duration, do func()) {
	e.asked++
	heap.Push(&e.queue, event{e.now.Add(max(0, d)), e.asked, do})
}

// next calls the next function; it reports whether there was one before the end.
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
