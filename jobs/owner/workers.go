package owner

import (
	"fmt"
	"slices"
	"time"
)

// Timeouts and retry pauses for workers.
const (
	// storeOutageGap is the gap between updates of the registrations that counts as a store
	// outage: three missed reads at 400 ms.
	storeOutageGap = 1500 * time.Millisecond
	// reregistrationGrace is how long after a store outage workers may take to register again.
	// The platform documents about 2 s.
	reregistrationGrace = 2200 * time.Millisecond
	// holdRetryPause is the pause after an unanswered hold.
	holdRetryPause = 150 * time.Millisecond
	// lossyHoldRetryPause is the same for a worker whose silence lost calls may explain.
	lossyHoldRetryPause = 30 * time.Millisecond
	// noInstanceHoldRetryPause is the same for a worker that the instance list does not show.
	// Most of these have ended, but stay registered for some seconds. If they were retried as
	// often as the others, most calls of a new owner would go to them.
	noInstanceHoldRetryPause = 700 * time.Millisecond
	// tokenRetryPause is the time between two checks whether the fencing token for a worker's new
	// incarnation is reserved.
	tokenRetryPause = 25 * time.Millisecond
	// ackRetryPause is how long the next hold is delayed after one that listed run ends, so that
	// these can be stored and then acknowledged by that next hold.
	ackRetryPause = 300 * time.Millisecond
	// isolatedHoldPause replaces ackRetryPause at a worker on which a risky task has just been started, so
	// that its crash is seen, and stored, soon. A worker with unacknowledged ends answers a hold at
	// once, so that none stays in flight.
	isolatedHoldPause = 20 * time.Millisecond
	// unknownJobGrace is how long a run of an unknown job may continue. Jobs become known with
	// the delay of the store's watch, at worst about a second.
	unknownJobGrace = 4 * time.Second
	// unhealthyPause is how long a worker that answered Unhealthy gets no new tasks.
	unhealthyPause = 500 * time.Millisecond
)

// target returns the target of orders to w.
func (c *Core) target(w *worker) Target {
	return Target{Worker: w.Worker, Addr: w.Addr, Token: w.token, StartedMs: w.StartedMs}
}

// scheduleHold sets the time of the worker's next hold.
func (c *Core) scheduleHold(w *worker, at time.Time) {
	w.nextHoldAt = at
	c.holdsDue.add(at, w)
}

// sendDueHolds sends the holds that are due.
func (c *Core) sendDueHolds(now time.Time) {
	due := c.holdsDue.popAllDue(now)
	slices.SortFunc(due, byID)
	for _, w := range due {
		if w.holdInFlight || w.ended || now.Before(w.nextHoldAt) || c.workers[w.Worker] != w {
			continue
		}
		if !c.assignToken(w) {
			c.markSilent(w, "no fencing token is reserved for its incarnation", now)
			c.scheduleHold(w, now.Add(tokenRetryPause))
			continue
		}
		c.sendHold(w, now)
	}
}

// sendHold sends a hold to a worker that has none in flight.
func (c *Core) sendHold(w *worker, now time.Time) {
	w.holdInFlight = true
	w.holdSentAt = now
	leaseUntilMs := c.leaseEndFor(w, now)
	if w.isSilent() && w.StartedMs != 0 && !c.isStarved(now) {
		leaseUntilMs = 0 // renews nothing, and would be a longer lease on the clock of a next incarnation
	}
	if leaseUntilMs > 0 {
		w.lease.sentAt = now
	}
	if leaseUntilMs > 0 && w.lease.firstRenewalAt.IsZero() {
		w.lease.firstRenewalAt = now
	}
	w.holdAckThrough = w.ackThrough(now)
	c.effects.Holds = append(c.effects.Holds, Hold{
		Target:       c.target(w),
		LeaseUntilMs: leaseUntilMs,
		AckThrough:   w.holdAckThrough,
		Wait:         c.holdWaitAt(w, now),
		Timeout:      c.holdTimeout(w),
	})
}

// Times of holds.
const (
	// holdTimeout is how long the answer to a hold may take beyond the hold's Wait.
	holdTimeout = 300 * time.Millisecond
	// lossyHoldWait is the Wait of a worker with tasks while calls are being lost. A lost
	// answer then delays the report of a run end by about this time, not by a second or more.
	lossyHoldWait = 120 * time.Millisecond
)

// holdWaitAt is holdWait for a hold that is sent now: it is answered by the time at which the worker's list is due, and the one
// after that at once.
func (c *Core) holdWaitAt(w *worker, now time.Time) time.Duration {
	wait := c.holdWait(w)
	switch {
	case now.Before(w.listDueAt):
		return min(wait, w.listDueAt.Sub(now))
	case w.answeredHoldSentAt.Before(w.listDueAt):
		return 0
	}
	return wait
}

// holdWait returns how long the worker is to wait for a new run end before it answers a hold.
func (c *Core) holdWait(w *worker) time.Duration {
	switch {
	case !w.answeredThisOwner || !w.silentSince.IsZero() || len(w.unacked) > 0 || w.hasUnansweredStart():
		return 0
	case w.ackDue():
		return 0 // an acknowledgement must not act later than the hold arrives, see ackThrough
	case len(w.runs) == 0:
		return max(c.opt.HoldWait, c.opt.IdleHoldWait)
	case c.callLossDetector.Lossy():
		return min(c.opt.HoldWait, max(lossyHoldWait, c.minHoldWait()))
	}
	return c.opt.HoldWait
}

// minHoldWait returns the shortest Wait at which the holds of all workers with tasks together
// stay within MaxHoldsPerSec.
func (c *Core) minHoldWait() time.Duration {
	if c.opt.MaxHoldsPerSec <= 0 {
		return 0
	}
	busy := 0
	for _, p := range c.pools {
		busy += p.supply.instances - len(p.supply.idle)
	}
	return time.Duration(float64(busy) / c.opt.MaxHoldsPerSec * float64(time.Second))
}

// hasUnansweredStart reports whether the worker has an unanswered start that will not be sent
// again. Its task is blocked until the worker's run list shows whether the run has started.
func (w *worker) hasUnansweredStart() bool {
	for _, r := range w.runs {
		if r.phase == starting && !r.startAbandonedAt.IsZero() {
			return true
		}
	}
	return false
}

// leaseEndFor returns the lease end for an order to w. The lease of a silent worker is not
// renewed, as it has to expire before the worker's tasks may start elsewhere. A starved owner
// renews it, as the worker's answers may wait to be read. No lease is renewed for longer than
// ownership.leaseLimit allows.
func (c *Core) leaseEndFor(w *worker, now time.Time) int64 {
	if w.isSilent() && !c.isStarved(now) {
		return w.lease.grantedUntilMs
	}
	d := c.ownership.leaseLimit(c.opt.TaskLease, now)
	if d == 0 {
		return w.lease.grantedUntilMs
	}
	return w.lease.grant(d, now)
}

// isSilent reports whether the last hold or a later order to w went unanswered, with no
// answer since.
func (w *worker) isSilent() bool { return !w.silentSince.IsZero() || w.orderUnanswered }

// onOrderAnswer handles the outcome of an order other than a hold. A timeout does not count as
// lost contact: only that order may have been lost, and the hold in flight will show whether
// the worker answers. Otherwise, on a network that loses a fifth of the calls, each lost order
// would be recorded as an unconfirmed crash.
func (c *Core) onOrderAnswer(w *worker, a Answer, timeout time.Duration, now time.Time) {
	c.recordCallOutcome(w, a, now.Add(-timeout), now)
	if a.Outcome == Unanswered && !a.ConnFailed {
		c.markWorkerChanged(w)
		return
	}
	c.onAnswer(w, a, now)
}

// mayBeLostHold reports whether an unanswered hold may have been lost on a lossy network. Such a
// hold does not count as lost contact unless more go unanswered too; otherwise tasks just started
// on the worker would be suspected of having crashed it.
func (c *Core) mayBeLostHold(w *worker, a Answer, now time.Time) bool {
	return a.Outcome == Unanswered && !a.ConnFailed && c.callLossDetector.Lossy() &&
		(w.silentSince.IsZero() || now.Before(w.silenceToleratedUntil))
}

// onAnswer handles the outcome of a call to the worker, answered or not.
func (c *Core) onAnswer(w *worker, a Answer, now time.Time) {
	c.markWorkerChanged(w)
	if w.ended {
		return // answered before the incarnation ended
	}
	if a.Outcome == Unanswered {
		c.onContactLost(w, a, now)
		return
	}
	if a.Outcome == NotSent || a.Outcome == OtherIncarnation {
		return // not an answer of this incarnation
	}
	w.lease.observeClock(a.ClockMs, now)
	w.lastAnswerAt = now
	w.orderUnanswered = false
	c.correlationsStale = c.correlationsStale || !w.contactLoss.lostAt.IsZero()
	w.contactLoss = contactLoss{}
	c.clearCrashesOfAnswering(w, now)
	c.clearStableStarts(w, now)
	c.trackAnswerLatency(a.Latency, now)
}

// markOrderUnanswered marks the worker as silent if it has not answered since an unanswered
// order was sent.
func (c *Core) markOrderUnanswered(w *worker, sentAt time.Time) {
	if w.lastAnswerAt.Before(sentAt) {
		w.orderUnanswered = true
		c.markWorkerChanged(w)
	}
}

// OnHoldAnswer handles the outcome of a hold, answered or not.
func (c *Core) OnHoldAnswer(target Target, h HoldAnswer, now time.Time) {
	w := c.targetedWorker(target)
	if w == nil {
		return
	}
	w.holdInFlight = false
	if h.Outcome == Accepted {
		switch relation := w.relationTo(h.StartedMs); {
		case relation == pastIncarnation && w.startedMsConfirmed:
			c.scheduleHold(w, now.Add(holdRetryPause))
			return
		case relation != sameIncarnation:
			// Late orders for the past incarnation may still change what it lists, until it has
			// executed an order of its own.
			w = c.startIncarnation(w, h.StartedMs, "another incarnation answered the hold", now)
			w.startedMsConfirmed = true
			return
		}
		w.startedMsConfirmed = w.startedMsConfirmed || h.StartedMs != 0 && h.StartedMs == w.StartedMs
	}
	if w.ended {
		return // answered before the incarnation ended; its runs are already released
	}
	c.recordCallOutcome(w, h.Answer, w.holdSentAt, now)
	c.markWorkerChanged(w)
	if !c.mayBeLostHold(w, h.Answer, now) {
		c.onAnswer(w, h.Answer, now)
	}
	switch h.Outcome {
	case Accepted:
	case Fenced:
		c.markFenced(w)
		return
	case OtherIncarnation:
		c.endIncarnation(w, "another incarnation answers at its address", now)
		return
	case NotSent:
		w.lease.firstRenewalAt = time.Time{}       // it may have been this hold
		c.scheduleHold(w, now.Add(holdRetryPause)) // says nothing about the worker
		return
	default:
		c.markSilent(w, describeAnswer(h.Answer), now)
		c.scheduleHold(w, now.Add(c.retryPause(w, now)))
		return
	}
	if !w.silentSince.IsZero() {
		c.logDecision(Decision{Event: "worker-answers-again", Worker: w.Worker, Reason: "silent for " + now.Sub(w.silentSince).String()})
		w.silentSince = time.Time{}
		c.silentWorkers.put(w, false)
	}
	first := !w.answeredThisOwner
	w.answeredThisOwner = true
	if first {
		w.firstAnsweredAt = now
		c.scheduleSettling(w, now)
	}
	w.unprovenLapseLogged = false
	c.confirmAcks(w, now)
	w.answeredHoldSentAt = w.holdSentAt
	c.applyRunList(w, h, now)
	c.workersWithUnknownJobs.put(w, len(w.unknownRuns)+len(w.unknownEnds) > 0)
	w.nextHoldAt = now
	c.advanceAck(w, now)
	c.beginQuiet(w, now)
	if w.acksAreLate(now) {
		if w.hasUnlistedRun(now) {
			w.nextHoldAt = now.Add(quietHoldPause)
		}
	} else if len(w.unacked) > 0 && !w.hasIsolatedStart(now) {
		w.nextHoldAt = now.Add(ackRetryPause)
	} else if len(w.unacked) > 0 || w.ackDue() && w.hasUnlistedRun(now) {
		w.nextHoldAt = now.Add(isolatedHoldPause)
	}
	c.scheduleHold(w, w.nextHoldAt)
	if first {
		c.logDecision(Decision{Event: "worker-connected", Worker: w.Worker, Reason: "service " + w.Service})
	}
	c.changedServices[w.Service] = true
}

// markSilent records that holds of the worker go unanswered, or cannot be sent.
func (c *Core) markSilent(w *worker, reason string, now time.Time) {
	if !w.silentSince.IsZero() {
		return
	}
	w.silentSince = now
	c.silentWorkers.put(w, true)
	c.logDecision(Decision{Event: "worker-silent", Worker: w.Worker, Reason: reason})
}

// retryPause returns the pause before the next hold after an unanswered one.
func (c *Core) retryPause(w *worker, now time.Time) time.Duration {
	if c.callLossDetector.Lossy() && w.silentSince.Equal(now) {
		return 0 // only this hold may have been lost
	}
	if now.Before(w.silenceToleratedUntil) {
		return lossyHoldRetryPause
	}
	if !c.instanceListAt.IsZero() && !c.isOnInstanceList(w) {
		return noInstanceHoldRetryPause
	}
	return holdRetryPause
}

// describeAnswer returns the outcome and the error of an answer for the log.
func describeAnswer(a Answer) string {
	if a.Err != nil {
		return a.Outcome.String() + ": " + a.Err.Error()
	}
	return a.Outcome.String()
}

// markFenced records that w has seen a higher fencing token, so that this daemon is no longer the
// owner.
func (c *Core) markFenced(w *worker) {
	if c.fenced {
		return
	}
	c.fenced = true
	c.logDecision(Decision{Event: "fenced", Worker: w.Worker, Reason: "the worker has seen a higher fencing token"})
}

// endIncarnation handles the proven end of a worker's incarnation: all its runs are lost. proof
// says how the end is known.
func (c *Core) endIncarnation(w *worker, proof string, now time.Time) {
	if w.ended {
		return
	}
	w.ended = true
	c.endedWorkers.put(w, true)
	c.maintenanceWorkers.put(w, false)
	c.silentWorkers.put(w, false)
	c.markWorkerChanged(w)
	c.logDecision(Decision{Event: "worker-ended", Worker: w.Worker, Reason: fmt.Sprintf("%s; %d runs are lost", proof, len(w.runs))})
	c.scheduleAttribution(w, now)
	clear(w.unknownRuns) // they have ended, too
	for _, r := range runsByNumber(w) {
		c.releaseLostRun(r, proof, now)
	}
	for service := range c.pools {
		c.changedServices[service] = true // tasks that waited for the attribution of its loss may start
	}
}

// presumeLost attributes the loss of a worker that is neither registered nor has answered for long, so
// that it is not known whether it has ended. Otherwise a task that crashes workers which do not come
// back would go on.
func (c *Core) presumeLost(w *worker, now time.Time) {
	if w.ended || !w.answeredThisOwner {
		return
	}
	w.ended = true
	c.scheduleAttribution(w, now)
}

// expireLeases releases the runs of silent workers whose leases have all expired. A starved
// owner releases none, as answers that it has not read yet may report tasks as done. Nor does one
// that was not certainly the owner when they expired: another one may have renewed them.
func (c *Core) expireLeases(now time.Time) {
	for id, w := range c.endedWorkers {
		if !w.registered && !w.holdInFlight {
			c.removeWorker(id, now)
		}
	}
	for _, w := range c.silentWorkers.sorted() {
		id := w.Worker
		c.expireLeasesOf(w, now)
		if !w.registered && len(w.runs) == 0 && !w.endsTruncated && !w.holdInFlight && now.Sub(w.silentSince) > c.opt.TaskLease*2 {
			c.presumeLost(w, now)
			c.removeWorker(id, now) // added again if it registers again
		}
	}
}

// expireLeasesOf releases the runs of a silent worker whose leases have expired.
func (c *Core) expireLeasesOf(w *worker, now time.Time) {
	expiry, known := c.leaseExpiry(w)
	if !known || !now.After(expiry) || c.isStarved(now) {
		return
	}
	unlistedExpiry := c.unlistedLeaseExpiry(w)
	if !now.After(unlistedExpiry) {
		c.releaseLapsed(w, expiry, func(r *run) bool { return c.hasStartedHereOnly(r, now) }, now)
		return
	}
	c.releaseLapsed(w, laterOf(expiry, unlistedExpiry), func(*run) bool { return true }, now)
}

// releaseLapsed releases those runs of a silent worker for which lapsed is true.
func (c *Core) releaseLapsed(w *worker, expiry time.Time, lapsed func(*run) bool, now time.Time) {
	runs := slices.DeleteFunc(runsByNumber(w), func(r *run) bool { return !lapsed(r) })
	if len(runs) == 0 && !w.endsTruncated {
		return
	}
	if !c.ownership.provenAt(expiry) {
		c.logUnprovenLapse(w, now)
		return
	}
	c.logDecision(Decision{Event: "leases-expired", Worker: w.Worker, Reason: fmt.Sprintf("silent for %s; %d incarnations before this one, first seen %s ago; %d of %d runs are lost",
		now.Sub(w.silentSince), len(w.pastStartsMs), now.Sub(w.firstSeenAt).Round(time.Millisecond), len(runs), len(w.runs))})
	suspects := newLossSuspects(w)
	for _, r := range runs {
		c.recordUnconfirmedCrash(r, suspects, now) // whether the worker has crashed may become known later
	}
	for _, r := range runs {
		c.releaseLostRun(r, "its lease has expired", now)
	}
	w.endsTruncated = false // ends that it did not list before its lease expired do not count any more
}
