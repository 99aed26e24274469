package owner

import (
	"time"

	"github.com/postmount/postmount/jobs/job"
)

// A start without an answer may be executed as long as maxOrderDelay after it was sent. The incarnation of the worker
// that it was sent to refuses it once it has confirmed a stop of the run, but if the worker restarts in the meantime,
// its next incarnation executes the start unless an order with a higher fencing token comes first. If the task was
// done elsewhere by then, it runs twice. So a task whose run was released while a start is outstanding is not started
// again before the start cannot be executed any more, and the worker has shown that it was not.
//
// A task that lasts has to be restored sooner, and is never done: it may be started again on the same worker, as a
// restart would end that run, too.

// longRunningOutstandingWait is how long at most a task that lasts waits for the worker of its outstanding start
// before it may be started elsewhere. Tasks that last must be at work again within 6 s.
const longRunningOutstandingWait = 4 * time.Second

// outstandingStart is a start of a released run of a task that a worker may still execute.
type outstandingStart struct {
	worker WorkerID
	until  time.Time // when it cannot be executed any more; zero: no start is outstanding
}

// awaitOutstandingStart delays the next run of the task of r, which was released, if a start of r may still be
// executed. Copies of a speculative task may run at the same time, and a finished task is not started again. A worker
// without a known start time gets a new ID when it restarts, and its orders name the ID.
func (c *Core) awaitOutstandingStart(r *run, now time.Time) {
	t := r.task
	if !r.hasOutstandingStart(now) || r.worker.StartedMs == 0 || r.worker.ended {
		return
	}
	if t.done || t.step.spec.Speculative || t.step.job.state.Final() {
		return
	}
	until := r.mayStartUntil
	if t.step.spec.LongRunning {
		if last := t.outstandingStart; last.worker == r.worker.Worker && now.Sub(last.until) < maxOrderDelay {
			t.outstandingStart.until = now // its worker loses one start after another
			return
		}
		until = now.Add(min(longRunningOutstandingWait, until.Sub(now)))
	}
	t.outstandingStart = outstandingStart{r.worker.Worker, until}
	r.worker.listDueAt = laterOf(r.worker.listDueAt, until)
	c.counts.HeldBack++
	id := t.id()
	c.logDecision(Decision{Event: "task-held-back", Job: id.Job, Task: id.String(), Worker: r.worker.Worker, Run: r.number,
		Reason: "a start of its last run may be executed for another " + until.Sub(now).Round(time.Millisecond).String()})
}

// hasOutstandingStart reports whether a start of the run may still be executed. If the only one that was sent has
// started the run, none can be.
func (r *run) hasOutstandingStart(now time.Time) bool {
	return now.Before(r.mayStartUntil) && !(r.startsSent == 1 && r.startConfirmed)
}

// mayHaveBegun reports whether an outstanding start that cannot be executed any more may have begun a run that its worker has not
// listed. It is over with the longest lease at the latest.
func (c *Core) mayHaveBegun(o outstandingStart, now time.Time) bool {
	if o.until.IsZero() || now.After(o.until.Add(c.longestWorkerLease())) {
		return false
	}
	w := c.workers[o.worker]
	if w != nil && (w.ended || !w.answeredHoldSentAt.Before(o.until)) {
		return false
	}
	return c.instanceListAt.IsZero() || c.instanceListShows(o.worker)
}

// awaitsOutstandingStart reports whether no run of the task may be started yet, on whichever worker.
func (t *task) awaitsOutstandingStart(now time.Time) bool {
	return now.Before(t.outstandingStart.until) && !t.mayReturnToWorker()
}

// awaitsList reports whether no run of the task may be started before the worker of its outstanding start has listed its runs.
func (t *task) awaitsList(c *Core, now time.Time) bool {
	return !t.step.spec.LongRunning && c.mayHaveBegun(t.outstandingStart, now)
}

// isKeptForWorker reports whether the task may be started on the worker of its outstanding start only.
func (t *task) isKeptForWorker(now time.Time) bool {
	return now.Before(t.outstandingStart.until) && t.mayReturnToWorker()
}

// mayReturnToWorker reports whether the task may be started on the worker of its outstanding start. The members of a
// gang start together, and a task that may crash its worker has one chosen for that.
func (t *task) mayReturnToWorker() bool {
	return t.step.spec.LongRunning && !t.step.spec.Gang && t.crashRisk() == job.CrashRiskNone
}
