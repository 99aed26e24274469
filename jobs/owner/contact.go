package owner

import "time"

// contactLoss is when contact to a worker was lost.
type contactLoss struct {
	lostAt       time.Time // first unanswered call; zero: the worker answers
	lastAnswerAt time.Time // last answer before that
	connFailed   bool      // the connection ended, so the worker was alive until about lostAt
	// duringIsolation: a risky task was isolated on the worker, so that it is the likely cause.
	duringIsolation bool
	connRefused     bool // the connection was refused, and no open one is known to have ended, so the worker may have ended earlier
}

// markContactLost records when contact was lost, if it was not lost already. first reports
// whether it was recorded.
func (w *worker) markContactLost(a Answer, now time.Time) (first bool) {
	if loss := &w.contactLoss; !loss.lostAt.IsZero() {
		if a.ConnFailed && !a.ConnRefused && now.Sub(loss.lostAt) <= lossNoticeDelay { // failures of several calls are handled in any order
			loss.connFailed, loss.connRefused = true, false
		}
		return false
	}
	w.beginContactLoss(now)
	w.contactLoss.connFailed, w.contactLoss.connRefused = a.ConnFailed, a.ConnRefused
	return true
}

// beginContactLoss records that contact was lost at now.
func (w *worker) beginContactLoss(now time.Time) {
	w.contactLoss = contactLoss{lostAt: now, lastAnswerAt: w.lastAnswerAt}
	for _, r := range w.isolatedRuns {
		if w.runs[r.task.id()] == r && r.needsIsolation(now) {
			w.contactLoss.duringIsolation = true
		}
	}
}

// lastAliveAt returns the latest time at which the worker was certainly alive.
func (l *contactLoss) lastAliveAt() time.Time {
	if l.connFailed {
		return l.lostAt
	}
	return l.lastAnswerAt
}

// releaseLostRun releases a run that ended with its worker or its lease. proof says how its end
// is known.
func (c *Core) releaseLostRun(r *run, proof string, now time.Time) {
	c.counts.Lost++
	id := r.task.id()
	c.logDecision(Decision{Event: "run-lost", Job: id.Job, Task: id.String(), Worker: r.worker.Worker, Run: r.number,
		Reason: proof + "; " + r.describeContact()})
	r.task.runLostAt = now
	c.releaseRun(r, CauseRunLost, now)
}

// describeContact describes for the log how long the run's worker was certainly alive after the
// start.
func (r *run) describeContact() string {
	if r.firstSentAt.IsZero() {
		return "started by an earlier owner"
	}
	if r.worker.contactLoss.lostAt.IsZero() {
		return "contact to the worker was not lost before"
	}
	return "the worker was alive for " + r.aliveAfterStart().Round(time.Millisecond).String() + " after the start"
}

// aliveAfterStart returns how long the worker was certainly alive after it confirmed the run,
// or after the first start order if it has not confirmed it; at least 0.
func (r *run) aliveAfterStart() time.Duration {
	from := r.firstSentAt
	if r.phase == running {
		from = r.confirmedAt
	}
	return max(0, r.worker.contactLoss.lastAliveAt().Sub(from))
}
