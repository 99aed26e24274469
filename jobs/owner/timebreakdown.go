package owner

import (
	"time"

	"github.com/postmount/postmount/jobs/job"
)

// Cause is a reason for which a job spent time.
type Cause int

// The causes. All but CauseWork are avoidable time.
const (
	CauseWork              Cause = iota // tasks ran, up to their estimate
	CauseSlowTask                       // tasks ran beyond their estimate
	CauseNotKnown                       // accepted, but not known to the owner yet
	CauseEarlierTerm                    // before this owner's term: work, waiting and the change of owner
	CauseTakeover                       // the new owner did not know all runs yet
	CausePoolShort                      // no free capacity, for none of the three reasons below
	CauseInstancesArriving              // no free capacity, and instances were moving to the pool
	CauseMaintenance                    // no free capacity, and workers of the pool were reserved for a wave
	CauseZoneEvacuated                  // no free capacity, and instances of the pool are in an evacuated zone
	CauseTenantLimit                    // its tenant was at its limit
	CauseFailedThereBefore              // capacity was free only on workers where the task had failed
	CauseRunFailed                      // a failed run, and the backoff after it
	CauseRunStopped                     // a stopped run: preempted, stalled or for a wave
	CauseRunLost                        // a run that ended with its worker or its lease, or whose start was not answered
	CauseOther                          // the rest: orders in transit, placement, work in an earlier term
	numCauses
)

var causeNames = [numCauses]string{"work", "slow-task", "not-known", "earlier-term", "takeover", "pool-short", "instances-arriving",
	"maintenance", "zone-evacuated", "tenant-limit", "failed-there-before", "run-failed", "run-stopped", "run-lost", "other"}

// String returns the cause's name in logs and reports.
func (c Cause) String() string { return causeNames[c] }

// CauseNames returns the names of all causes in the order of their values.
func CauseNames() []string { return causeNames[:] }

// TimeBreakdown says what a job's time was spent on along its critical path, which consists of the
// step that was done last, the dependency of that step that was done last, and so on.
type TimeBreakdown struct {
	Total   time.Duration // from acceptance until the owner learned of the end
	Allowed time.Duration // the objective, computed from the measured work
	Spent   [numCauses]time.Duration
}

// timeByCause holds the total time for each cause.
type timeByCause [numCauses]time.Duration

// addTime attributes the time since accountedUntil, or since the task became ready if that is
// later, to the cause.
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

// addWaitTime calls addWaitTime for each ready step of the job.
func (j *jobState) addWaitTime(c Cause, now time.Time) {
	for _, s := range j.steps {
		if s.ready() {
			s.addWaitTime(c, now)
		}
	}
}

// addWaitTime calls addTime for each task of the step that waits for placement.
func (s *stepState) addWaitTime(c Cause, now time.Time) {
	ready := s.readySince()
	if s.untouched() > 0 {
		s.sharedWaitOfUntouched().addTime(c, ready, now)
	}
	for _, t := range s.tasks {
		if t.needsPlacement(now) {
			t.addTime(c, ready, now)
		}
	}
}

// readySince returns when the last dependency of the step was done, but no earlier than the
// owner learned of the job.
func (s *stepState) readySince() time.Time {
	at := s.job.knownAt
	for _, a := range s.spec.After {
		if b := s.job.step(s.occurrence, a); b != nil && b.doneAt.After(at) {
			at = b.doneAt
		}
	}
	return at
}

// addLostTime attributes the time of a run that ended without completing its task to the
// cause.
func (r *run) addLostTime(c Cause, now time.Time) {
	if r.firstSentAt.IsZero() || r.task.done {
		return
	}
	r.task.timeSpent[c] += now.Sub(r.firstSentAt)
	r.task.accountedUntil = now
}

// recordCompletion attributes the time of r, the run that completed the task; nil if it is not
// known. If the task was the last one of its step, it records the end of the step.
func (t *task) recordCompletion(r *run, now time.Time) {
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

// waitCause returns why a task of the service finds no free capacity now.
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

// timeBreakdown returns the time breakdown of a completed job that ran once.
func (j *jobState) timeBreakdown(now time.Time) TimeBreakdown {
	b := TimeBreakdown{Total: now.Sub(j.spec.AcceptedAt)}
	beforeKnown := CauseNotKnown
	if j.loadedFromStore {
		beforeKnown = CauseEarlierTerm
	}
	b.Spent[beforeKnown] = max(0, j.knownAt.Sub(j.spec.AcceptedAt))
	work := time.Duration(0)
	for s := j.lastStep(); s != nil; s = s.lastDependency() {
		if s.lastDone == nil {
			break // done in an earlier term
		}
		for c, d := range s.lastDone.timeSpent {
			b.Spent[c] += d
		}
		work += s.lastDone.timeSpent[CauseWork] + s.lastDone.timeSpent[CauseSlowTask]
	}
	b.Allowed = time.Duration(j.queue.ObjectiveFactor*float64(work)) + j.queue.ObjectiveOffset
	rest := b.Total
	for _, d := range b.Spent {
		rest -= d
	}
	b.Spent[CauseOther] += max(0, rest)
	return b
}

// lastStep returns the step that was done last.
func (j *jobState) lastStep() *stepState {
	var last *stepState
	for _, s := range j.steps {
		if last == nil || s.doneAt.After(last.doneAt) {
			last = s
		}
	}
	return last
}

// lastDependency returns the dependency of s that was done last, nil if it has none.
func (s *stepState) lastDependency() *stepState {
	var last *stepState
	for _, a := range s.spec.After {
		if b := s.job.step(s.occurrence, a); b != nil && (last == nil || b.doneAt.After(last.doneAt)) {
			last = b
		}
	}
	return last
}

// logIfLate logs a completed job that took longer than its objective allows.
func (c *Core) logIfLate(j *jobState, now time.Time) {
	if j.state != job.Completed || j.spec.Repeat > 0 || j.spec.Steps[0].LongRunning {
		return
	}
	if b := j.timeBreakdown(now); b.Total > b.Allowed {
		c.logDecision(Decision{Event: "job-late", Job: j.spec.ID, Reason: j.service, TimeBreakdown: &b})
	}
}
