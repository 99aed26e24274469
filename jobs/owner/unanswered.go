package owner

import (
	"time"

	"github.com/postmount/postmount/jobs/callpolicy"
)

// UnansweredStarts counts starts that went unanswered, and how their outcome became known.
type UnansweredStarts struct {
	Unanswered       int64         // runs whose start went unanswered at least once
	Repeated         int64         // starts sent again
	RepeatsDenied    int64         // starts that were not sent again for lack of budget
	SettledByAnswer  int64         // a repeat was answered
	SettledByRunList int64         // the worker listed the run
	SettledByEnd     int64         // the run ended, was stopped, or its worker or lease ended
	SettlingTime     time.Duration // total time from the first timeout until then
	HeldBack         int64         // tasks not started again for as long as a start of them might be executed
}

// How the outcome of an unanswered start became known.
const (
	settledByAnswer  = "answer"
	settledByRunList = "run-list"
	settledByEnd     = "end"
)

// settleStart records that the outcome of the run's start is known, if the start went unanswered.
func (c *Core) settleStart(r *run, how string, now time.Time) {
	if r.unansweredSince.IsZero() {
		return
	}
	took := now.Sub(r.unansweredSince)
	r.unansweredSince = time.Time{}
	c.counts.SettlingTime += took
	switch how {
	case settledByAnswer:
		c.counts.SettledByAnswer++
	case settledByRunList:
		c.counts.SettledByRunList++
	default:
		c.counts.SettledByEnd++
	}
	id := r.task.id()
	c.logDecision(Decision{Event: "start-settled", Job: id.Job, Task: id.String(), Worker: r.worker.Worker, Run: r.number,
		Reason: "by " + how + " after " + took.Round(time.Millisecond).String()})
}

// takeRepeat takes a repeat of a start from the budget and reports whether one was left.
func (c *Core) takeRepeat(now time.Time) bool {
	ok := c.repeatBudget.Take(c.startWindow.isCongested(c.meanAnswerLatency), now)
	if !ok {
		c.counts.RepeatsDenied++
	}
	return ok
}

// orderTimeout returns the timeout of the next start or stop for w.
func (c *Core) orderTimeout(w *worker) time.Duration {
	return c.callLossDetector.WorkerTimeout(c.callsOf(w), OrderTimeout)
}

// holdTimeout returns the timeout of the next hold of w, beyond its Wait. It does not back off: the
// worker's leases end unless one of many holds is answered before.
func (c *Core) holdTimeout(w *worker) time.Duration {
	if !c.callLossDetector.Lossy() {
		return holdTimeout
	}
	calls := c.callsOf(w).WithoutBackoff()
	return min(holdTimeout, c.callLossDetector.WorkerTimeout(&calls, OrderTimeout))
}

// callsOf returns the estimate for w, or that for all workers if no round trip to w is known.
func (c *Core) callsOf(w *worker) *callpolicy.WorkerCalls {
	if w.calls.Known() {
		return &w.calls
	}
	return &c.allCalls
}

// isLost reports whether a call that was sent at sentAt and has not been answered was lost: starts
// that were sent after it were answered fast, so it does not wait in this owner's queues.
func (c *Core) isLost(sentAt, now time.Time) bool { return c.fastAnswers.Between(sentAt, now) }

// recordStartLatency records the latency of a start. An unanswered one counts as a slow answer,
// unless it was lost.
func (c *Core) recordStartLatency(w *worker, o Start, a Answer, now time.Time) {
	switch {
	case a.Outcome == NotSent || a.Outcome == OtherIncarnation:
	case a.Outcome != Unanswered:
		w.calls.RecordRoundTrip(a.Latency)
		c.allCalls.RecordRoundTrip(a.Latency)
		c.callLossDetector.RecordLatency(a.Latency)
		if a.Latency > 0 && a.Latency <= congestedLatency {
			c.fastAnswers.Record(now.Add(-a.Latency))
		}
	case !c.callLossDetector.Lossy() && !c.isLost(now.Add(-o.Timeout), now):
		c.trackAnswerLatency(OrderTimeout, now)
	}
}

// recordCallOutcome counts a call sent at sentAt as answered or lost. The timeouts of later calls
// depend on it.
func (c *Core) recordCallOutcome(w *worker, a Answer, sentAt, now time.Time) {
	switch {
	case a.Outcome == NotSent:
		return
	case a.Outcome != Unanswered:
		c.callLossDetector.RecordAnswer()
		w.calls.RecordAnswer()
		c.allCalls.RecordAnswer()
		w.lostCallCounted = false
	case a.ConnFailed:
		return
	default:
		c.recordLostCall(w, w.lastAnswerAt.After(sentAt), c.isLost(sentAt, now))
	}
	w.losesOrders = w.calls.LosesMoreThan(&c.allCalls)
}

// recordLostCall counts an unanswered call. answeredSince reports whether the worker has answered
// another call since it was sent, and isLost whether other workers answered such calls fast.
func (c *Core) recordLostCall(w *worker, answeredSince, isLost bool) {
	w.calls.RecordLoss(answeredSince)
	switch {
	case w.lostCallCounted && isLost:
	case w.lostCallCounted:
		c.callLossDetector.RecordRepeatedLoss()
	case isLost:
		c.callLossDetector.RecordSingleLoss()
	default:
		c.callLossDetector.RecordLoss()
	}
	if answeredSince || !w.lostCallCounted {
		c.allCalls.RecordLoss(true)
	}
	w.lostCallCounted = true
	until := time.Time{}
	if c.callLossDetector.Lossy() {
		until = w.lastAnswerAt.Add(toleratedSilence)
	}
	if !until.Equal(w.silenceToleratedUntil) {
		w.silenceToleratedUntil = until
		c.avoidedDue.add(until, w) // the worker leaves the index then, if it has not answered
	}
}

// toleratedSilence is how long after its last answer a worker still gets tasks while calls are being
// lost: three holds in a row take that long. At a loss rate of 40%, a sixth of the workers lose two
// in a row, and a fifth of the fleet seemed silent at a time.
const toleratedSilence = 450 * time.Millisecond

// seemsUnreachable reports whether the worker is silent, and not only because a few calls were lost.
func (w *worker) seemsUnreachable(now time.Time) bool {
	return w.isSilent() && !now.Before(w.silenceToleratedUntil)
}
