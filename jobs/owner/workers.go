package owner

import (
	"fmt"
	"slices"
	"time"

	"github.com/postmount/postmount/jobs/job"
)

// Times of the watch over workers.
const (
	// storeOutageGap is a gap between lists of registrations that counts as an storeOutageGap of
	// the store: three missed reads of 400 ms.
	storeOutageGap = 1500 * time.Millisecond
	// reregisterTime is how long after an outage missing registrations may come
	// back: the platform's page says about 2 s.
	reregisterTime = 2200 * time.Millisecond
	// holdRetryPause is the pause after a hold without an answer.
	holdRetryPause = 150 * time.Millisecond
	// unlistedHoldRetryPause is the same for a worker that the instance list does not show: most
	// are lives that are over, whose registrations last for some seconds; asked as often
	// as the others they would take most of a new owner's calls.
	unlistedHoldRetryPause = 700 * time.Millisecond
	// ackRetryPause is how long the next hold waits for the ends of the last one to be
	// recorded, before it looks again without acknowledging them.
	ackRetryPause = 300 * time.Millisecond
	// unknownJobGrace is how long a run of an unknown job is left alone. A job is
	// known within the delay of the store's watch, a second in its worst hour.
	unknownJobGrace = 4 * time.Second
	// unhealthyPause is how long a worker that refuses work gets none.
	unhealthyPause = 500 * time.Millisecond
)

// target returns the address of an order to w.
func (c *Core) target(w *worker) Target {
	return Target{Worker: w.Worker, Addr: w.Addr, Token: c.fencingToken, StartedMs: w.StartedMs}
}

// scheduleHold says when the worker is to be held next.
func (c *Core) scheduleHold(w *worker, at time.Time) {
	w.nextHoldAt = at
	c.holdsDue.add(at, w)
}

// sendDueHolds sends the holds whose time has come.
func (c *Core) sendDueHolds(now time.Time) {
	due := c.holdsDue.popAllDue(now)
	slices.SortFunc(due, byID)
	for _, w := range due {
		if w.holdInFlight || w.ended || now.Before(w.nextHoldAt) || c.workers[w.Worker] != w {
			continue
		}
		w.holdInFlight = true
		w.holdSentAt = now
		c.effects.Holds = append(c.effects.Holds, Hold{
			Target:       c.target(w),
			LeaseUntilMs: c.leaseEndFor(w, now),
			AckThrough:   w.ackThrough(),
			Wait:         c.holdWait(w),
			Timeout:      c.callOutcomes.Timeout(holdTimeout),
		})
	}
}

// Figures of holds.
const (
	// holdTimeout is how long the answer to a hold may take beyond what the worker waits.
	holdTimeout = 300 * time.Millisecond
	// lossyHoldWait is how long a worker with tasks waits for an end while calls are lost: an
	// end is known so much later if the answer is, in place of a second and more.
	lossyHoldWait = 120 * time.Millisecond
)

// holdWait returns how long the worker is to wait for an end before it answers.
func (c *Core) holdWait(w *worker) time.Duration {
	switch {
	case !w.heldByUs || !w.silentSince.IsZero() || len(w.unacked) > 0 || w.hasUnconfirmedStart():
		return 0
	case len(w.runs) == 0:
		return max(c.opt.HoldWait, c.opt.IdleHoldWait)
	case c.callOutcomes.Lossy():
		return min(c.opt.HoldWait, max(lossyHoldWait, c.minHoldWait()))
	}
	return c.opt.HoldWait
}

// minHoldWait returns how long each worker with tasks has to wait for the daemon to bear the
// holds of all of them.
func (c *Core) minHoldWait() time.Duration {
	if c.opt.MaxHoldsPerSec <= 0 {
		return 0
	}
	atWork := 0
	for _, p := range c.pools {
		atWork += p.supply.instances - len(p.supply.idle)
	}
	return time.Duration(float64(atWork) / c.opt.MaxHoldsPerSec * float64(time.Second))
}

// hasUnconfirmedStart reports whether the worker's list has to tell if a start without an answer
// began: the task stands still until it does.
func (w *worker) hasUnconfirmedStart() bool {
	for _, r := range w.runs {
		if r.phase == starting && !r.startAbandonedAt.IsZero() {
			return true
		}
	}
	return false
}

// leaseEndFor returns the end of the lease for an order to w. A silent worker's
// lease is not renewed: it has to end for its tasks to start elsewhere.
func (c *Core) leaseEndFor(w *worker, now time.Time) int64 {
	if w.isSilent() && !c.isStarved(now) {
		return w.lease.grantedUntilMs
	}
	return w.lease.grant(c.opt.TaskLease, now)
}

// isSilent reports whether the newest order to w, or its newest hold, went
// unanswered, and nothing was heard of it since.
func (w *worker) isSilent() bool { return !w.silentSince.IsZero() || w.orderUnanswered }

// onOrderAnswer takes note of the answer to an order, or that there is none. An order that is
// lost on its way says nothing of the worker: the hold that is under way tells whether it is
// there. Where a fifth of the orders are lost, each would else count as a possible crash.
func (c *Core) onOrderAnswer(w *worker, a Answer, now time.Time) {
	c.countCallOutcome(w, a)
	if a.Outcome == Unanswered && !a.ConnFailed {
		c.markWorkerChanged(w)
		return
	}
	c.onAnswer(w, a, now)
}

// mayBeLostHold reports whether a hold may have no answer because it alone was lost: the next one
// tells. Else what had just started on the worker would be a suspect of its crash.
func (c *Core) mayBeLostHold(w *worker, a Answer) bool {
	return a.Outcome == Unanswered && !a.ConnFailed && w.silentSince.IsZero() && c.callOutcomes.Lossy()
}

// countCallOutcome takes note of whether a call was answered, for how long to wait for others.
func (c *Core) countCallOutcome(w *worker, a Answer) {
	switch {
	case a.Outcome == NotSent:
	case a.Outcome != Unanswered:
		c.callOutcomes.Answered()
		w.lossReported = false
	case a.ConnFailed:
	case w.lossReported:
		c.callOutcomes.LostAgain()
	default:
		c.callOutcomes.Lost()
		w.lossReported = true
	}
}

// onAnswer takes note of an answer, or that there is none.
func (c *Core) onAnswer(w *worker, a Answer, now time.Time) {
	c.markWorkerChanged(w)
	if w.ended {
		return // an answer that was on its way
	}
	if a.Outcome == Unanswered {
		c.onContactLost(w, a, now)
		return
	}
	if a.Outcome == NotSent || a.Outcome == OtherBoot {
		return // which says nothing of this life's answers
	}
	w.lease.observeClock(a.ClockMs, now)
	w.lastAnswerAt = now
	w.orderUnanswered = false
	w.contactLoss = contactLoss{}
	c.clearCrashesOfAnswering(w, now)
	c.trackAnswerLatency(a.Latency, now)
}

// noteOrderUnanswered takes note of an order, sent at sent, that went unanswered.
func (c *Core) noteOrderUnanswered(w *worker, sent time.Time) {
	if w.lastAnswerAt.Before(sent) {
		w.orderUnanswered = true
		c.markWorkerChanged(w)
	}
}

// OnHoldAnswer takes a worker's answer to a hold of the life that is meant.
func (c *Core) OnHoldAnswer(of Target, h HoldAnswer, now time.Time) {
	w := c.targetedWorker(of)
	if w == nil {
		return
	}
	w.holdInFlight = false
	if h.Outcome == Taken {
		switch w.relationTo(h.StartedMs) {
		case pastIncarnation:
			c.scheduleHold(w, now.Add(holdRetryPause))
			return
		case nextIncarnation:
			sent := w.holdSentAt
			w = c.startIncarnation(w, h.StartedMs, "its list is of another life", now)
			w.holdSentAt = sent
		}
	}
	if w.ended {
		return // sent before the end of its life, and nothing of it runs any more
	}
	c.countCallOutcome(w, h.Answer)
	if !c.mayBeLostHold(w, h.Answer) {
		c.onAnswer(w, h.Answer, now)
	}
	switch h.Outcome {
	case Taken:
	case Fenced:
		c.markFenced(w)
		return
	case OtherBoot:
		c.endIncarnation(w, "another life answers at its address", now)
		return
	case NotSent:
		c.scheduleHold(w, now.Add(holdRetryPause)) // which says nothing of the worker
		return
	default:
		if w.silentSince.IsZero() {
			w.silentSince = now
			c.silentWorkers.put(w, true)
			c.note(Decision{Event: "worker-silent", Worker: w.Worker, Reason: describeAnswer(h.Answer)})
		}
		c.scheduleHold(w, now.Add(c.retryPause(w, now)))
		return
	}
	if !w.silentSince.IsZero() {
		c.note(Decision{Event: "worker-answers", Worker: w.Worker, Reason: now.Sub(w.silentSince).String()})
		w.silentSince = time.Time{}
		c.silentWorkers.put(w, false)
	}
	first := !w.heldByUs
	w.heldByUs = true
	w.answeredHoldSentAt = w.holdSentAt
	for _, e := range h.Ends {
		if e.Seq > w.lastSeenEnd {
			w.lastSeenEnd = e.Seq
			c.onEnd(w, e, now)
		}
	}
	c.reconcileRuns(w, h.Active, now)
	c.workersWithUnknownJobs.put(w, len(w.unknownRuns)+len(w.unknownEnds) > 0)
	w.nextHoldAt = now
	c.advanceAck(w, now)
	if len(w.unacked) > 0 {
		w.nextHoldAt = now.Add(ackRetryPause)
	}
	c.scheduleHold(w, w.nextHoldAt)
	if first {
		c.note(Decision{Event: "worker-held", Worker: w.Worker, Reason: w.Service})
	}
	c.changedServices[w.Service] = true
}

// retryPause returns how long after a hold without an answer the next one is sent.
func (c *Core) retryPause(w *worker, now time.Time) time.Duration {
	if c.callOutcomes.Lossy() && w.silentSince.Equal(now) {
		return 0 // this one alone may be lost
	}
	if !c.instanceListAt.IsZero() && !c.listed(w) {
		return unlistedHoldRetryPause
	}
	return holdRetryPause
}

func describeAnswer(a Answer) string {
	if a.Err != nil {
		return a.Outcome.String() + ": " + a.Err.Error()
	}
	return a.Outcome.String()
}

func (c *Core) markFenced(w *worker) {
	if c.fenced {
		return
	}
	c.fenced = true
	c.note(Decision{Event: "fenced", Worker: w.Worker, Reason: "a higher fencing token was seen there"})
}

// reconcileRuns compares what a worker runs with what it should run.
func (c *Core) reconcileRuns(w *worker, active []ActiveRun, now time.Time) {
	listed := map[job.TaskID]bool{}
	for _, a := range active {
		listed[a.Task] = true
		c.reconcileRun(w, a, now)
	}
	for id, r := range w.runs {
		if listed[id] {
			continue
		}
		if r.provenNotStarted(w.holdSentAt) {
			r.neverStarted = true
			r.task.dropUndecidedCrash(r.number)
			c.stop(r, "its start was not answered, and it does not run", now)
			continue
		}
		confirmed := r.phase != starting && !r.confirmedAt.IsZero() && w.holdSentAt.After(r.confirmedAt)
		if !confirmed {
			continue
		}
		c.releaseRun(r, CauseRunLost, now) // its end was listed before, or it never began
		if r.phase == running {
			c.counts.Lost++
			c.note(Decision{Event: "run-vanished", Job: id.Job, Task: id.String(), Worker: w.Worker, Run: r.number})
		}
	}
	for id := range w.unknownRuns {
		if !listed[id] {
			delete(w.unknownRuns, id)
		}
	}
}

func (c *Core) reconcileRun(w *worker, a ActiveRun, now time.Time) {
	r := w.runs[a.Task]
	if r != nil && r.number == a.Run {
		c.onProgress(r, a, now)
		return
	}
	j := c.jobs[a.Task.Job]
	if j == nil {
		if _, known := w.unknownRuns[a.Task]; !known {
			w.unknownRuns[a.Task] = unknownRun{a.Run, now}
		}
		return
	}
	if j.stepsDropped {
		c.stopUnexpectedRun(w, a, "its job is over")
		return
	}
	c.adoptRun(w, j, a, now)
}

func (c *Core) onProgress(r *run, a ActiveRun, now time.Time) {
	r.mayStartLate = false
	if r.fromPastIncarnation {
		r.fromPastIncarnation = false
		r.task.dropUndecidedCrash(r.number)
	}
	if r.phase == starting {
		r.phase = running
		r.confirmedAt = now
		r.progressAt = now
	}
	c.scheduleStallCheck(r)
	c.noteStarted(r, now)
	if a.Percent != r.percent {
		r.percent = a.Percent
		r.progressAt = now
	}
	r.usage = a.Usage
	c.clearLongRunning(r, now)
	if a.Checkpoint != "" && r.task.step.spec.Checkpoints {
		r.task.checkpoint = a.Checkpoint // kept in the store only when the run ends
	}
}

// endIncarnation handles the certain end of a worker's life: nothing runs there.
func (c *Core) endIncarnation(w *worker, proof string, now time.Time) {
	if w.ended {
		return
	}
	w.ended = true
	c.endedWorkers.put(w, true)
	c.maintenanceWorkers.put(w, false)
	c.silentWorkers.put(w, false)
	c.markWorkerChanged(w)
	c.note(Decision{Event: "worker-gone", Worker: w.Worker, Reason: fmt.Sprintf("%s, %d runs", proof, len(w.runs))})
	c.investigateLoss(w, now)
	for _, r := range runsByNumber(w) {
		c.loseRun(r, proof, now)
	}
	for service := range c.pools {
		c.changedServices[service] = true // what waited for news of it may go on
	}
}

// expireLeases frees the runs of workers that are silent for longer than
// every lease that they were given. An owner that is short of processor time frees
// none: what was done there may be in answers that it has not read.
func (c *Core) expireLeases(now time.Time) {
	for id, w := range c.endedWorkers {
		if !w.registered && !w.holdInFlight {
			c.forgetWorker(id)
		}
	}
	for _, w := range c.silentWorkers.sorted() {
		id := w.Worker
		if len(w.runs) > 0 && c.leasesExpired(w, now) && !c.isStarved(now) {
			c.note(Decision{Event: "leases-over", Worker: id, Reason: "silent for " + now.Sub(w.silentSince).String()})
			for _, r := range runsByNumber(w) {
				c.recordPossibleCrash(r, now) // what became of the worker may be known later
			}
			for _, r := range runsByNumber(w) {
				c.loseRun(r, "its lease is over", now)
			}
		}
		if !w.registered && len(w.runs) == 0 && !w.holdInFlight && now.Sub(w.silentSince) > c.opt.TaskLease*2 {
			c.forgetWorker(id) // it is known anew if it registers again
		}
	}
}
