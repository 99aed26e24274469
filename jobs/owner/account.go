package owner

import (
	"time"

	"github.com/postmount/postmount/jobs/job"
)

// Cause is what time of a job was spent on.
type Cause int

// The causes. All but CauseWork are time that the job could have done without.
const (
	CauseWork              Cause = iota // its tasks worked, for as long as they were estimated to
	CauseSlowTask                       // a task took longer than estimated
	CauseNotKnown                       // accepted, and not known to the owner yet
	CauseEarlierTerm                    // before this owner's term: work, waits, and the change of owner
	CauseTakeover                       // the owner did not know yet what runs where
	CausePoolShort                      // no room, and no instance was on its way to the pool
	CauseInstancesArriving              // no room, and instances were on their way
	CauseMaintenance                    // no room, and instances of the pool were kept for a wave
	CauseZoneEvacuated                  // no room, and instances of the pool are in a zone that is evacuated
	CauseTenantLimit                    // its tenant had as much running as it may
	CauseFailedThereBefore              // there was room, but only where the task had failed
	CauseRunFailed                      // a run of the task failed, and the pause after it
	CauseRunStopped                     // a run was stopped: preempted, at a standstill, for a wave
	CauseRunLost                        // a run ended with its worker or its lease, or was not answered
	CauseOther                          // the rest: orders on their way, placement, an earlier term
	numCauses
)

var causeNames = [numCauses]string{"work", "slow-task", "not-known", "earlier-term", "takeover", "pool-short", "instances-arriving",
	"maintenance", "zone-evacuated", "tenant-limit", "failed-there-before", "run-failed", "run-stopped", "run-lost", "other"}

// String returns the cause's name in logs and reports.
func (c Cause) String() string { return causeNames[c] }

// CauseNames returns the names of all causes, in their order.
func CauseNames() []string { return causeNames[:] }

// TimeBreakdown says what a job's time was spent on, along its critical path: the step
// that ended last, of those before it the one that ended last, and so on.
type TimeBreakdown struct {
	Total   time.Duration // from acceptance to the owner's knowledge of the end
	Allowed time.Duration // the objective, for the work as it was measured
	Spent   [numCauses]time.Duration
}

// timeByCause sums up durations by cause.
type timeByCause [numCauses]time.Duration

// addTime adds the time since the task was last looked at, or since it became ready,
// to the cause for which it still waits.
func (t *task) addTime(c Cause, ready, now time.Time) {
	from := t.accountedUntil
	if from.Before(ready) {
		from = ready
	}
	if now.After(from) {
		t.timeSpent[c] += now.Sub(from)
	}
	t.accountedUntil = now
}

// addWaitTime does so for all steps of the job that are ready.
func (j *jobState) addWaitTime(c Cause, now time.Time) {
	for _, s := range j.steps {
		if s.ready() {
			s.addWaitTime(c, now)
		}
	}
}

// addWaitTime adds the time since they were last looked at to the waiting tasks of
// the step.
func (s *stepState) addWaitTime(c Cause, now time.Time) {
	ready := s.readySince()
	for _, t := range s.tasks {
		if t.needsPlacement(now) {
			t.addTime(c, ready, now)
		}
	}
}

// readySince returns when the last of the steps before it was done, or else when
// the job became known here.
func (s *stepState) readySince() time.Time {
	at := s.job.knownAt
	for _, a := range s.spec.After {
		if b := s.job.step(s.occurrence, a); b != nil && b.doneAt.After(at) {
			at = b.doneAt
		}
	}
	return at
}

// addLostTime accounts for a run that ended without the task's being done.
func (r *run) addLostTime(c Cause, now time.Time) {
	if r.firstSentAt.IsZero() || r.task.done {
		return
	}
	r.task.timeSpent[c] += now.Sub(r.firstSentAt)
	r.task.accountedUntil = now
}

// addRunTime notes which run ended the task, and the step with it if it was the last.
func (t *task) addRunTime(r *run, now time.Time) {
	if r != nil && !r.firstSentAt.IsZero() {
		took := now.Sub(r.firstSentAt)
		work := min(took, t.step.spec.Estimate)
		t.timeSpent[CauseWork] += work
		t.timeSpent[CauseSlowTask] += took - work
	}
	if t.step.remaining == 0 {
		t.step.doneAt, t.step.lastDone = now, t
	}
}

// waitCause tells why a task of the pool finds no room now.
func (c *Core) waitCause(service string) Cause {
	p := c.pool(service)
	switch {
	case p.arrivingInstances > 0:
		return CauseInstancesArriving
	case p.reservedForWave > 0:
		return CauseMaintenance
	case p.supply.evacuated > 0:
		return CauseZoneEvacuated
	}
	return CausePoolShort
}

// timeBreakdown returns what a completed job's time was spent on.
func (j *jobState) timeBreakdown(now time.Time) TimeBreakdown {
	a := TimeBreakdown{Total: now.Sub(j.spec.AcceptedAt)}
	before := CauseNotKnown
	if j.loadedFromStore {
		before = CauseEarlierTerm
	}
	a.Spent[before] = max(0, j.knownAt.Sub(j.spec.AcceptedAt))
	work := time.Duration(0)
	for s := j.lastStep(); s != nil; s = s.lastDependency() {
		if s.lastDone == nil {
			break // done in an earlier term
		}
		for c, d := range s.lastDone.timeSpent {
			a.Spent[c] += d
		}
		work += s.lastDone.timeSpent[CauseWork] + s.lastDone.timeSpent[CauseSlowTask]
	}
	a.Allowed = time.Duration(j.queue.ObjectiveFactor*float64(work)) + j.queue.ObjectiveOffset
	rest := a.Total
	for _, d := range a.Spent {
		rest -= d
	}
	a.Spent[CauseOther] += max(0, rest)
	return a
}

// lastStep returns the step of the newest occurrence that was done last.
func (j *jobState) lastStep() *stepState {
	var last *stepState
	for _, s := range j.steps {
		if last == nil || s.doneAt.After(last.doneAt) {
			last = s
		}
	}
	return last
}

// lastDependency returns the step that s waited for longest, nil if it waited for none.
func (s *stepState) lastDependency() *stepState {
	var last *stepState
	for _, a := range s.spec.After {
		if b := s.job.step(s.occurrence, a); b != nil && (last == nil || b.doneAt.After(last.doneAt)) {
			last = b
		}
	}
	return last
}

// noteLateJob writes a line on a completed job that took longer than it was
// allowed to.
func (c *Core) noteLateJob(j *jobState, now time.Time) {
	if j.state != job.Completed || j.spec.Repeat > 0 || j.spec.Steps[0].LongRunning {
		return
	}
	if a := j.timeBreakdown(now); a.Total > a.Allowed {
		c.note(Decision{Event: "job-late", Job: j.spec.ID, Reason: j.service, Account: &a})
	}
}
