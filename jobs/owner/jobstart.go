package owner

import "time"

// A job counts as started once a worker has confirmed one of its runs, by accepting its start or by
// listing the run or its end. Sending a start is not enough: it may be refused or lost, and as long
// as workers are slow to answer a new owner, the starts of many jobs are in flight for seconds.

// markJobStarted marks the job as started when a worker first confirms one of its runs. A gang has
// started once all its members are confirmed.
func (c *Core) markJobStarted(r *run, now time.Time) {
	s := r.task.step
	j := s.job
	if j.started || s.spec.Gang && !s.gangRunsTogether(r.number) {
		return
	}
	j.started = true
	c.updatePendingCount(j)
	c.logDecision(Decision{Event: "job-started", Job: j.spec.ID, Task: r.task.id().String(), Worker: r.worker.Worker, Run: r.number,
		Reason: "accepted " + now.Sub(j.spec.AcceptedAt).Round(time.Millisecond).String() + " ago"})
}

// gangRunsTogether reports whether workers have confirmed all members of a gang under the run
// number. The members do not begin their work before.
func (s *stepState) gangRunsTogether(number uint64) bool {
	if s.untouched() > 0 {
		return false
	}
	for _, t := range s.tasks {
		r := t.activeRun()
		if r == nil || r.number != number || r.phase != running {
			return false
		}
	}
	return true
}

// endProvesStart reports whether an end of this kind shows that a task of the step had
// started. A member of a gang may have ended while it waited for the others.
func (s *stepState) endProvesStart(k EndKind) bool {
	return !s.spec.Gang || k == EndDone || k == EndFailed || k == EndPeerEnded
}
