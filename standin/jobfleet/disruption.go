package jobfleet

import (
	"time"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/owner"
)

// absenceGrace is how long a long-running task may be not ready before it counts as unavailable
// whatever the cause.
const absenceGrace = 4500 * time.Millisecond

// FaultsEnded tells the checker that no more faults are injected: from now on an expired lease
// counts as the daemons' decision, like a stop.
func (j *Checker) FaultsEnded() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.faultsEnded = true
}

// ready reports whether a long-running task runs and has started up.
func (r *taskRecord) ready() bool {
	return len(r.running) > 0 && time.Since(r.began) >= startupTime
}

// isUnavailable reports whether a task counts against the budget of its step: it is not ready,
// and an order ended it or absenceGrace is over.
func (j *Checker) isUnavailable(t job.TaskID) bool {
	r := j.record(t)
	return !r.ready() && (r.endedByOrder || time.Since(later(r.lastReady, j.jobs[t.Job].submitted)) > absenceGrace)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// checkDisruption checks the end of a task by an order or by its lease: with this task, no more
// tasks of its step than its budget may be unavailable. It is called before ended. healthy says
// that the worker has no injected fault.
func (j *Checker) checkDisruption(t job.TaskID, w owner.WorkerID, how string, sound bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	rec := j.jobs[t.Job]
	byLease := how == owner.EndLapsed.String()
	if rec == nil || byLease && !j.faultsEnded {
		return
	}
	r, step := j.record(t), &rec.spec.Steps[t.Step]
	atWork := r.ready()
	r.endedByOrder = true
	if _, draining := j.drained[w]; draining || !sound || !atWork || !step.LongRunning || step.MayMiss == 0 || !rec.cancelled.IsZero() {
		return
	}
	others := 0
	for i := range step.Count {
		o := t
		o.Index = i
		if o != t && j.isUnavailable(o) {
			others++
		}
	}
	if others >= step.MayMiss {
		j.addViolation("task %s on %s is ended (%s) while %d others of its step are unavailable, the budget is %d", t, w, how, others, step.MayMiss)
	}
}

// Waiting returns the number of jobs that match of, were accepted before a time, and have not
// started.
func (j *Checker) Waiting(before time.Time, of func(job.ID) bool) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := 0
	for id, r := range j.jobs {
		if r.accepted && r.acceptedAt.Before(before) && !r.started && r.cancelled.IsZero() && of(id) {
			n++
		}
	}
	return n
}
