package jobfleet

import (
	"time"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/owner"
)

// absenceGrace is how long a task that lasts may be absent from its work before it counts
// as away whatever the cause.
const absenceGrace = 4500 * time.Millisecond

// FaultsEnded says that from now on nothing harms the workers, the store and the ways between:
// a lease that is left to end is the daemons' doing, as a stop is.
func (j *Checker) FaultsEnded() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.faultsEnded = true
}

// ready reports whether a task that lasts has started up, and runs.
func (r *taskRecord) ready() bool {
	return len(r.running) > 0 && time.Since(r.began) >= startupTime
}

// isUnavailable reports whether a task of a step counts against its budget: an order ended it, or
// it has not been at work for long.
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

// checkDisruption judges the end of a task by an order, or by its lease: as many others of its step
// may be away as its budget says, less this one. It is called before ended. sound says
// that nothing is wrong with the worker.
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
		j.violation("task %s on %s is ended (%s) while %d others of its step are away, %d may be", t, w, how, others, step.MayMiss)
	}
}

// Waiting returns how many of the jobs for which of holds were accepted before a moment
// and have not begun.
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
