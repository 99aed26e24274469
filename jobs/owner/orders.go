package owner

import "time"

// Retries of orders.
const (
	// maxStartSends is how often a start is sent at most. After that the core waits for the
	// worker's run list, since each unanswered order takes a whole timeout.
	maxStartSends = 2
	// stopRetryPause is the pause before an unanswered stop is sent again.
	stopRetryPause = 100 * time.Millisecond
)

// sendStart orders the run's worker to start the run, or repeats the order.
func (c *Core) sendStart(r *run, now time.Time) {
	r.sentAt = now
	r.worker.lease.sentAt = now
	r.sends++
	r.startsSent++
	if r.sends == 1 {
		c.repeatBudget.RecordFirstSend(now)
	} else {
		c.counts.Repeated++
	}
	c.effects.Starts = append(c.effects.Starts, Start{
		Seq:          c.startWindow.add(now),
		Target:       c.target(r.worker),
		Task:         r.task.id(),
		Run:          r.number,
		Payload:      r.task.step.job.spec.Payload,
		LeaseUntilMs: c.leaseEndFor(r.worker, now),
		Checkpoint:   r.checkpoint,
		Ticket:       r.task.step.ticketFor(r.worker),
		Timeout:      c.orderTimeout(r.worker),
	})
}

// OnStartAnswer handles the outcome of a start, answered or not.
func (c *Core) OnStartAnswer(o Start, a Answer, now time.Time) {
	c.startWindow.onOutcome(o.Seq, now)
	w := c.targetedWorker(o.Target)
	if w == nil {
		return
	}
	w.recordStartOutcome(o, a)
	c.onOrderAnswer(w, a, o.Timeout, now)
	c.recordStartLatency(w, o, a, now)
	r := w.runs[o.Task]
	if r == nil || r.number != o.Run {
		c.logLateStartAnswer(w, o, a, now)
		return
	}
	switch a.Outcome {
	case Accepted:
		r.resetRefusals()
		c.settleStart(r, settledByAnswer, now)
		if r.phase == starting {
			r.phase = running
			r.confirmedAt = now
			r.progressAt = now
			c.scheduleStallCheck(r)
			c.recordAcceptedStart(r, now)
		}
		c.markJobStarted(r, now)
		return
	case Fenced:
		c.markFenced(w)
		return
	case OtherIncarnation:
		c.endIncarnation(w, "another incarnation answers at its address", now)
		return
	case Unanswered:
		c.onStartUnanswered(r, a, now)
		return
	case NotSent:
		c.onStartNotSent(r, now)
		return
	}
	c.counts.Refused++
	c.logDecision(Decision{Event: "start-refused", Job: o.Task.Job, Task: o.Task.String(), Worker: w.Worker, Run: o.Run, Reason: describeAnswer(a)})
	if r.phase != starting {
		return
	}
	switch a.Outcome {
	case NoCapacity:
		w.consecutiveNoCapacity++
		c.avoidWorkerUntil(w, now.Add(capacityBackoff.delay(w.consecutiveNoCapacity)))
	case InvalidTicket:
		r.task.step.dropTicket(w, now)
	case Unhealthy:
		c.avoidWorkerUntil(w, now.Add(unhealthyPause))
	case Invalid:
		r.task.invalidOrders++
		r.task.notBefore = now.Add(invalidOrderBackoff.delay(r.task.invalidOrders))
	}
	if r.mayStartLate {
		c.stop(r, "an earlier start of the run may still arrive", now)
		return
	}
	c.releaseRun(r, CauseRunLost, now)
}

// resetRefusals resets the backoffs after refusals by the worker, invalid orders and rejections of the
// step's tickets.
func (r *run) resetRefusals() {
	r.worker.consecutiveNoCapacity = 0
	r.task.invalidOrders = 0
	if p := r.task.step.permits; p != nil {
		p.rejectedTickets = 0
	}
}

// logLateStartAnswer logs that a worker accepted a start whose run was already released.
func (c *Core) logLateStartAnswer(w *worker, o Start, a Answer, now time.Time) {
	if a.Outcome == Accepted {
		// The worker's next run list contains the run, which is then adopted or stopped.
		c.logDecision(Decision{Event: "late-start-answer", Job: o.Task.Job, Task: o.Task.String(), Worker: w.Worker, Run: o.Run})
	}
}

// onStartNotSent handles a start that was dropped after waiting too long to be sent. Its task is
// placed again, unless an earlier start of the same run may have arrived.
func (c *Core) onStartNotSent(r *run, now time.Time) {
	switch {
	case r.phase != starting:
	case r.mayStartLate:
		r.startAbandonedAt = now
	default:
		c.releaseUndelivered(r, "its start was not sent", now)
	}
}

// releaseUndelivered releases a run whose start has not reached the worker. If the worker has
// crashed, the run cannot be the cause.
func (c *Core) releaseUndelivered(r *run, why string, now time.Time) {
	r.neverStarted = true
	c.ruleOutCrash(r, why)
	c.releaseRun(r, CauseRunLost, now)
}

// onStartRefusedByHost handles a start for which the connection was refused, as nothing listens at the
// worker's address. Its task is placed again, on another worker.
func (c *Core) onStartRefusedByHost(r *run, a Answer, now time.Time) {
	id := r.task.id()
	c.logDecision(Decision{Event: "start-undelivered", Job: id.Job, Task: id.String(), Worker: r.worker.Worker, Run: r.number, Reason: describeAnswer(a)})
	r.worker.orderUnanswered = true
	c.avoidWorkerUntil(r.worker, now.Add(holdRetryPause))
	c.releaseUndelivered(r, "the connection for its start was refused", now)
}

// onStartUnanswered handles a start that was not answered. It is sent again until it was sent
// maxStartSends times, or more often while calls are being lost, but not to a worker that is
// draining or in an evacuated zone. After that the worker's run list has to show whether the run has
// started.
func (c *Core) onStartUnanswered(r *run, a Answer, now time.Time) {
	if r.phase != starting {
		return
	}
	if a.ConnRefused && !r.mayStartLate {
		c.onStartRefusedByHost(r, a, now)
		return
	}
	r.mayStartLate = true
	r.lostStartAt = r.sentAt
	if !a.Unsent {
		r.mayStartUntil = now.Add(maxOrderDelay)
	}
	if r.unansweredSince.IsZero() {
		r.unansweredSince = now
		c.counts.Unanswered++
	}
	c.markOrderUnanswered(r.worker, r.sentAt)
	id := r.task.id()
	c.logDecision(Decision{Event: "start-unanswered", Job: id.Job, Task: id.String(), Worker: r.worker.Worker, Run: r.number, Reason: describeAnswer(a)})
	switch {
	case r.task.done:
		c.stop(r, "the task is done", now)
	case !r.worker.Draining && !c.evacuatedZones[r.worker.Zone] && r.sends < c.callLossDetector.Attempts(maxStartSends) && c.takeRepeat(now):
		c.sendStart(r, now)
	default:
		// The worker may have started the run, and a stop would end a working task. The worker's
		// next run list shows whether it has.
		r.startAbandonedAt = now
	}
}

// provenNotStarted reports whether no start of the run can have arrived so far, given that the
// answer to a hold sent at holdSentAt does not list the run.
func (r *run) provenNotStarted(holdSentAt time.Time) bool {
	return r.phase == starting && !r.startAbandonedAt.IsZero() && !holdSentAt.Before(r.startAbandonedAt)
}

// stop orders a run to be stopped. Its resources stay allocated until its end is listed.
func (c *Core) stop(r *run, reason string, now time.Time) {
	if r.phase == stopping || r.phase == ended {
		return
	}
	r.phase = stopping
	r.stopReason = reason
	r.confirmedAt = time.Time{}
	c.logDecision(Decision{Event: "run-stopped", Job: r.task.step.job.spec.ID, Task: r.task.id().String(), Worker: r.worker.Worker, Run: r.number, Reason: reason})
	c.sendStop(r, now)
}

// sendStop orders the run's worker to stop the run, and schedules a repetition.
func (c *Core) sendStop(r *run, now time.Time) {
	r.sentAt = now
	c.stopsDue.add(now.Add(c.stopRetryInterval(r.worker)), r)
	if r.worker.token == 0 {
		return // it would be refused, as by a worker that a later owner has called
	}
	c.effects.Stops = append(c.effects.Stops, Stop{Target: c.target(r.worker), Task: r.task.id(), Run: r.number, Timeout: c.orderTimeout(r.worker)})
}

// OnStopAnswer handles the outcome of a stop, answered or not.
func (c *Core) OnStopAnswer(o Stop, a Answer, now time.Time) {
	w := c.targetedWorker(o.Target)
	if w == nil {
		return
	}
	c.onOrderAnswer(w, a, o.Timeout, now)
	switch a.Outcome {
	case Fenced:
		c.markFenced(w)
		return
	case OtherIncarnation:
		c.endIncarnation(w, "another incarnation answers at its address", now)
		return
	}
	r := w.runs[o.Task]
	if r == nil || r.number != o.Run || r.phase != stopping {
		return
	}
	if a.Outcome == Unanswered {
		c.markOrderUnanswered(w, r.sentAt)
	}
	if a.Outcome == Accepted || a.Outcome == RunTooOld {
		r.confirmedAt = now
		return
	}
	r.sentAt = now
	r.confirmedAt = time.Time{}
	r.sends++
	c.stopsDue.add(now.Add(c.stopRetryInterval(r.worker)), r)
}

// resendStops sends unconfirmed stops again.
func (c *Core) resendStops(now time.Time) {
	for _, r := range c.stopsDue.popAllDue(now) {
		if r.phase != stopping || !r.confirmedAt.IsZero() || r.worker.ended || r.worker.runs[r.task.id()] != r {
			continue
		}
		if resendAt := r.sentAt.Add(c.stopRetryInterval(r.worker)); now.Before(resendAt) {
			c.stopsDue.add(resendAt, r) // it was sent again in the meantime
			continue
		}
		c.sendStop(r, now)
	}
}

// stopRetryInterval returns the time between two stops of a run. It exceeds the timeout of
// an answer, so that at most one stop of a run is in flight.
func (c *Core) stopRetryInterval(w *worker) time.Duration {
	return c.orderTimeout(w) + stopRetryPause
}

// OrderTimeout is the timeout for the answer to a start or stop: about a hundred times the round
// trip, and short compared with the duration of a small task.
const OrderTimeout = 400 * time.Millisecond

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
