package jobfleet

import (
	"time"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/owner"
)

// unavailabilityGrace is how long a long-running task may be not ready. After that it counts as
// unavailable whatever the cause.
const unavailabilityGrace = 4500 * time.Millisecond

// FaultsEnded tells the checker that no more faults are injected: from now on an expired lease
// counts as the daemons' decision, like a stop.
func (c *Checker) FaultsEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faultsEnded = true
}

// ready reports whether a long-running task runs and has started up.
func (r *taskRecord) ready() bool {
	return len(r.running) > 0 && time.Since(r.began) >= startupTime
}

// isUnavailable reports whether a task counts against the budget of its step: it is not ready,
// and an order ended it or unavailabilityGrace has elapsed.
func (c *Checker) isUnavailable(t job.TaskID) bool {
	r := c.record(t)
	return !r.ready() && (r.endedByOrder || time.Since(later(r.lastReady, c.jobs[t.Job].submitted)) > unavailabilityGrace)
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// checkDisruption checks the end of a task by an order or an expired lease: including this task, no
// more tasks of its step than its budget may be unavailable. It must be called before ended.
// healthy means that the worker has no injected fault.
func (c *Checker) checkDisruption(t job.TaskID, w owner.WorkerID, how string, healthy bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rec := c.jobs[t.Job]
	byLease := how == owner.EndLeaseExpired.String()
	if rec == nil || byLease && !c.faultsEnded {
		return
	}
	r, step := c.record(t), &rec.spec.Steps[t.Step]
	wasReady := r.ready()
	r.endedByOrder = true
	if _, draining := c.drained[w]; draining || !healthy || !wasReady || !step.LongRunning || step.MayMiss == 0 || !rec.cancelled.IsZero() {
		return
	}
	others := 0
	for i := range step.Count {
		o := t
		o.Index = i
		if o != t && c.isUnavailable(o) {
			others++
		}
	}
	if others >= step.MayMiss {
		c.addViolation("task %s on %s is ended (%s) while %d others of its step are unavailable, the budget is %d", t, w, how, others, step.MayMiss)
	}
}

// WaitingJobs returns the number of jobs that were accepted before a time, have neither started
// nor been cancelled, and for which match returns true.
func (c *Checker) WaitingJobs(before time.Time, match func(job.ID) bool) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for id, r := range c.jobs {
		if r.accepted && r.acceptedAt.Before(before) && !r.started && r.cancelled.IsZero() && match(id) {
			n++
		}
	}
	return n
}
