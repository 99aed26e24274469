package owner

import "time"

// contactLoss says when a worker that does not answer was lost.
type contactLoss struct {
	lostAt       time.Time // first call that went unanswered; zero: it answers
	lastAnswerAt time.Time // newest answer before that
	connFailed   bool      // the connection ended: the worker was there until lostAt
}

// markContactLost takes note of a call without an answer; first is true if the worker had
// answered until then.
func (w *worker) markContactLost(a Answer, now time.Time) (first bool) {
	if !w.contactLoss.lostAt.IsZero() {
		return false
	}
	w.contactLoss = contactLoss{lostAt: now, lastAnswerAt: w.lastAnswerAt, connFailed: a.ConnFailed}
	return true
}

// lastAliveAt returns the latest time at which the worker was there for certain.
func (k *contactLoss) lastAliveAt() time.Time {
	if k.connFailed {
		return k.lostAt
	}
	return k.lastAnswerAt
}

// loseRun frees a run that ended with its worker, or with its lease. proof is how that is known.
func (c *Core) loseRun(r *run, proof string, now time.Time) {
	c.counts.Lost++
	id := r.task.id()
	c.note(Decision{Event: "run-lost", Job: id.Job, Task: id.String(), Worker: r.worker.Worker, Run: r.number,
		Reason: proof + "; " + r.workerSeenAfterStart()})
	c.releaseRun(r, CauseRunLost, now)
}

// workerSeenAfterStart says for how long the worker of a lost run was seen to be there after the start.
func (r *run) workerSeenAfterStart() string {
	if r.firstSentAt.IsZero() {
		return "started by an earlier owner"
	}
	if r.worker.contactLoss.lostAt.IsZero() {
		return "its worker did not fail to answer before"
	}
	return "its worker was there for " + r.aliveAfterStart().Round(time.Millisecond).String() + " after the start"
}

// aliveAfterStart returns for how long the worker was there for certain after it had confirmed the
// run, or after the order if it has not; 0 at least.
func (r *run) aliveAfterStart() time.Duration {
	from := r.firstSentAt
	if r.phase == running {
		from = r.confirmedAt
	}
	return max(0, r.worker.contactLoss.lastAliveAt().Sub(from))
}
