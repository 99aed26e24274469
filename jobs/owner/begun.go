package owner

import "time"

// A job has begun once a worker has said so: by taking a start, or by listing a run or
// the end of one. That a start was sent shows nothing. It may be refused or lost, and
// while the workers of a new owner are slow to answer those of many jobs are on their
// way for seconds, all of which still wait.

// noteStarted takes note that the worker has the run, if that is the first sign that its
// job has begun.
func (c *Core) noteStarted(r *run, now time.Time) {
	s := r.task.step
	j := s.job
	if j.started || s.spec.Gang && !s.gangRunsTogether(r.number) {
		return
	}
	j.started = true
	c.updatePendingCount(j)
	c.note(Decision{Event: "job-started", Job: j.spec.ID, Task: r.task.id().String(), Worker: r.worker.Worker, Run: r.number,
		Reason: "accepted " + now.Sub(j.spec.AcceptedAt).Round(time.Millisecond).String() + " ago"})
}

// gangRunsTogether reports whether workers have all members of a gang in the given run: their
// tasks start only then.
func (s *stepState) gangRunsTogether(number uint64) bool {
	for _, t := range s.tasks {
		r := t.activeRun()
		if r == nil || r.number != number || r.phase != running {
			return false
		}
	}
	return true
}

// endProvesStart reports whether an end of this kind shows that a task of the step had
// started. A member of a gang may have waited for the others until then.
func (s *stepState) endProvesStart(k EndKind) bool {
	return !s.spec.Gang || k == EndDone || k == EndFailed || k == EndPeerEnded
}
