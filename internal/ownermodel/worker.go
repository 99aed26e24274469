package ownermodel

import "fmt"

// Answers of a worker.
const (
	accepted = iota
	refused
	fenced
)

// deliver carries out an order at its worker, and returns the answer.
func (x *execution) deliver(o order) int {
	w := &x.w[o.worker]
	if !x.admit(w, o.fence) {
		return fenced
	}
	if o.life != w.life && o.grants {
		o.until = x.bounds.LongLease // its end is on the clock of another life
	}
	w.lease = max(w.lease, o.until)
	if o.kind == holdOrder {
		x.forgetEnds(o.worker, o.ack)
		return accepted
	}
	switch {
	case w.runs[o.task] == o.run:
	case x.rules.RefuseOld && o.run <= w.ended[o.task], o.until <= 0 && x.rules.RefuseLate, w.lease <= 0:
		return refused
	default:
		x.judgeStart(o)
		w.runs[o.task] = o.run
	}
	return accepted
}

// admit checks an order's fencing token.
func (x *execution) admit(w *worker, fence uint8) bool {
	if fence < w.fence {
		if x.rules.Fence {
			return false
		}
		if termOf(fence) < termOf(w.fence) {
			x.fail("a worker carries out an order of term %d after one of term %d", termOf(fence), termOf(w.fence))
		}
	}
	w.fence = max(w.fence, fence)
	return true
}

// stopRun stops a run, or prevents its start if it is not there yet.
func (x *execution) stopRun(w *worker, t int, run, fence uint8) int {
	if !x.admit(w, fence) {
		return fenced
	}
	w.ended[t] = max(w.ended[t], run)
	if w.runs[t] == run {
		w.runs[t] = 0
	}
	return accepted
}

// endRun ends a run by itself.
func (x *execution) endRun(w *worker, t int, kind uint8) {
	w.ends[w.listed] = end{task: int8(t), run: w.runs[t], kind: kind}
	w.listed++
	w.ended[t] = max(w.ended[t], w.runs[t])
	w.runs[t] = 0
}

// lapse ends all runs because the worker's lease has ended.
func (x *execution) lapse(w *worker) {
	for e := range w.listed {
		w.ends[e].lapsed = true
	}
	if !x.rules.StoppedByLease {
		return
	}
	for t, run := range w.runs {
		w.ended[t] = max(w.ended[t], run)
		w.runs[t] = 0
	}
}

// restart begins the worker's next life. All counts of ends remain relative to the head of its list:
// as it has forgotten none, they are the numbers since its start.
func (x *execution) restart(i int8) {
	old := x.w[i]
	x.w[i] = worker{up: true, life: old.life + 1}
	for d := range x.d {
		v := &x.d[d].workers[i]
		if v.acked {
			v.seen, v.stored = min(v.seen+old.forgotten, maxEnds), min(v.stored+old.forgotten, maxEnds)
		}
	}
	if x.late.worker == i && x.late.acked {
		x.late.ack = min(x.late.ack+old.forgotten, maxEnds)
	}
}

// restartsLeft reports whether a worker may restart.
func (x *execution) restartsLeft() bool {
	return int(x.w[0].life+x.w[1].life) < x.bounds.Restarts
}

// arrive lets a hold in flight arrive and wait at its worker.
func (x *execution) arrive(o order) {
	o.waits = true
	w := &x.w[o.worker]
	lease := o
	lease.ack = 0
	if x.deliver(lease) == fenced {
		x.late = order{}
		return
	}
	o.until, o.grants = 0, false
	x.late = o
	x.forgetEnds(o.worker, min(o.ack, w.listed))
}

// forgetEnds removes the first n ends, which are thereby taken note of. All counts of ends are
// relative to the head of the list.
func (x *execution) forgetEnds(worker int8, n uint8) {
	w := &x.w[worker]
	n = min(n, w.listed)
	for _, e := range w.ends[:n] {
		x.judgeNoted(e)
	}
	copy(w.ends[:], w.ends[n:])
	clear(w.ends[maxEnds-n:])
	w.listed -= n
	if x.bounds.Restarts > 0 {
		w.forgotten += n
	}
	for d := range x.d {
		v := &x.d[d].workers[worker]
		v.seen, v.stored = v.seen-min(n, v.seen), v.stored-min(n, v.stored)
	}
	if x.late.kind == holdOrder && x.late.worker == worker {
		x.late.ack -= min(n, x.late.ack)
	}
}

// judgeStart applies the rules of the service to the start of a run.
func (x *execution) judgeStart(o order) {
	j := &x.judged[o.task]
	for i := range x.w {
		if run := x.w[i].runs[o.task]; run != 0 {
			x.fail("T%d starts as run %d on W%d while its run %d is active on W%d", o.task, o.run, o.worker, run, i)
		}
		for e := range x.w[i].listed {
			if x.w[i].ends[e].task == o.task {
				x.w[i].ends[e].followed = true
			}
		}
	}
	j.failuresBefore = j.failures
	if j.done {
		x.fail("T%d starts as run %d after its end done was taken note of", o.task, o.run)
	}
	if int(j.failuresBefore) >= x.bounds.Attempts {
		x.fail("T%d starts as run %d after %d failures", o.task, o.run, j.failuresBefore)
	}
}

// judgeNoted applies the rules of the service to an end that is taken note of.
func (x *execution) judgeNoted(e end) {
	j := &x.judged[e.task]
	switch {
	case e.lapsed:
	case e.kind == done:
		j.done = true
		if e.followed {
			x.fail("end done of run %d of T%d is taken note of, after which another run was started", e.run, e.task)
		}
	default:
		j.failures++
		if !e.followed {
			return
		}
		if j.failuresBefore++; int(j.failuresBefore) >= x.bounds.Attempts {
			x.fail("a start of T%d came after %d failures that are taken note of", e.task, j.failuresBefore)
		}
	}
}

// fail records the first invariant that a step breaks.
func (x *execution) fail(format string, args ...any) {
	if x.broken == "" {
		x.broken = fmt.Sprintf(format, args...)
	}
}
