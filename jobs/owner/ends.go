package owner

import (
	"time"

	"github.com/postmount/postmount/jobs/job"
)

// advanceAck advances the number up to which the worker's run ends are acknowledged, to the end
// before the first one whose job is unknown or not stored yet.
func (c *Core) advanceAck(w *worker, now time.Time) {
	acked := 0
	for _, u := range w.unacked {
		if u.job != nil && u.job.storedVersion < u.version {
			u.job.addAckWaiter(w)
			break
		}
		if _, unknown := w.unknownEnds[u.seq]; unknown {
			break
		}
		w.lastAckedEnd = u.seq
		acked++
	}
	if acked == 0 {
		return
	}
	if w.ackDueSince.IsZero() {
		w.ackDueSince = now
	}
	w.unacked = w.unacked[acked:]
	if len(w.unacked) == 0 && w.nextHoldAt.After(now) {
		c.scheduleHold(w, now)
	}
}

// addAckWaiter adds a worker whose run ends are acknowledged once the job is stored.
func (j *jobState) addAckWaiter(w *worker) {
	if n := len(j.ackWaiters); n == 0 || j.ackWaiters[n-1] != w {
		j.ackWaiters = append(j.ackWaiters, w)
	}
}

// onEnd handles a run end that a worker lists.
func (c *Core) onEnd(w *worker, e RunEnd, now time.Time) {
	j := c.jobs[e.Task.Job]
	if j == nil {
		w.unknownEnds[e.Seq] = unknownEnd{e, now}
		w.unacked = append(w.unacked, unackedEnd{seq: e.Seq})
		return
	}
	c.applyEnd(w, j, e, now)
	w.unacked = append(w.unacked, unackedEnd{e.Seq, j, j.version})
}

// applyEnd releases the run that ended, if it is known, and updates its task by the kind of the
// end.
func (c *Core) applyEnd(w *worker, j *jobState, e RunEnd, now time.Time) {
	delete(w.unknownRuns, e.Task)
	t := c.taskOfEnd(w, j, e.Task)
	if t == nil && j.doneOccurrences.Has(e.Task.Occurrence) {
		return // listed again
	}
	if t == nil {
		c.logDecision(Decision{Event: "end-of-unknown-task", Task: e.Task.String(), Worker: w.Worker})
		return
	}
	s := t.step
	r := t.findRun(e.Run, w)
	j.started = j.started || s.endProvesStart(e.Kind)
	c.updatePendingCount(j)
	if r != nil {
		c.releaseRun(r, e.Kind.cause(), now)
	}
	if j.state.Final() {
		return
	}
	if r != nil && e.Kind == EndDone && !r.confirmedAt.IsZero() && !s.spec.LongRunning {
		cores := float64(s.spec.ReservedResources().CPUMilli) / 1000
		c.pool(j.service).estimateRatio.add(cores*now.Sub(r.confirmedAt).Seconds(), cores*s.spec.Estimate.Seconds())
	}
	w.recentEnds.add(e.Kind, now)
	switch e.Kind {
	case EndDone:
		c.counts.Done++
		c.onTaskDone(t, r, now)
	case EndFailed:
		c.counts.Failed++
		c.onTaskFailed(w, t, e, now)
	case EndStopped:
		c.counts.Stopped++
		c.saveCheckpoint(t, e.Checkpoint)
	default:
		c.counts.Lapsed++
		if s.spec.LongRunning {
			c.counts.LongRunningLapsed++
		}
		c.saveCheckpoint(t, e.Checkpoint)
		c.logDecision(Decision{Event: "task-" + e.Kind.String(), Job: j.spec.ID, Task: e.Task.String(), Worker: w.Worker, Run: e.Run})
	}
	c.changedServices[j.service] = true
}

// taskOfEnd returns the task of a run end that a worker lists, nil if the job has no such task or its state is not
// kept, as the job has ended or the occurrence is done. The task of a run that was adopted after that is known to the worker alone.
func (c *Core) taskOfEnd(w *worker, j *jobState, id job.TaskID) *task {
	if r := w.runs[id]; r != nil {
		return r.task
	}
	if !j.spec.Has(id) {
		return nil
	}
	if !j.state.Final() {
		c.openOccurrence(j, id.Occurrence)
	}
	if s := j.step(id.Occurrence, id.Step); s != nil {
		return s.task(id.Index)
	}
	return nil
}

// onTaskDone completes the task, or all tasks of a gang, and stops its other runs. doneBy is the
// run that completed it; nil if it is not known. Long-running tasks are never done.
func (c *Core) onTaskDone(t *task, doneBy *run, now time.Time) {
	s := t.step
	if s.spec.LongRunning {
		c.changedServices[s.job.service] = true
		return
	}
	members := []*task{t}
	switch {
	case s.spec.Gang && t.done: // then all are done, or t is known to its worker alone
		members = s.tasks
	case s.spec.Gang:
		members = s.allTasks()
	}
	for _, m := range members {
		wasDone := m.done
		c.completeTask(m)
		if !wasDone {
			m.recordCompletion(doneBy, now)
		}
		for _, r := range m.runs {
			c.stop(r, "the task is done", now)
		}
	}
	c.markDirty(s.job)
	c.finishIfDone(s.job, now)
}

// failureBackoff is the delay after a failure, so that a task does not use up its attempts
// immediately on one faulty worker.
const failureBackoff = 20 * time.Millisecond

// onTaskFailed counts a failed attempt and delays the next one. The job fails once a task has used
// up its attempts. Attempts of long-running tasks are not limited.
func (c *Core) onTaskFailed(w *worker, t *task, e RunEnd, now time.Time) {
	s := t.step
	j := s.job
	c.saveCheckpoint(t, e.Checkpoint)
	c.logDecision(Decision{Event: "task-failed", Job: j.spec.ID, Task: e.Task.String(), Worker: w.Worker, Run: e.Run})
	c.avoidIfFailing(w, now)
	if t.done {
		return // another copy completed it
	}
	if s.spec.LongRunning { // attempts are not limited
		t.consecutiveRetries++
		t.notBefore = now.Add(longRunningBackoff.delay(t.consecutiveRetries))
		return
	}
	t.failures = t.failures.With(e.Run)
	t.recordFailedRun(e.Run, w)
	t.notBefore = now.Add(failureBackoff)
	if t.hasFailedOn(w) { // there was no other worker for it, and attempts are limited
		t.notBefore = now.Add(otherWorkerWait)
	}
	t.failedOn = append(t.failedOn, w.Worker)
	t.lastFailedAt = now
	attempts := len(t.failures)
	if s.spec.Gang {
		s.failures = s.failures.With(e.Run)
		attempts = len(s.failures)
	}
	c.markDirty(j)
	if j.queue.MaxAttempts > 0 && attempts >= j.queue.MaxAttempts {
		c.finishJob(j, job.Failed, failureCause{kind: failedByAttempts, task: t}, now)
	}
}

// saveCheckpoint records the checkpoint from which the task, or its whole gang, resumes.
func (c *Core) saveCheckpoint(t *task, checkpoint string) {
	if checkpoint == "" || checkpoint == t.checkpoint || t.done {
		return
	}
	t.setCheckpoint(checkpoint)
	c.markDirty(t.step.job)
}

// setCheckpoint sets the checkpoint from which the task resumes. That of one member of a gang is valid for all, and all
// have to resume from the same.
func (t *task) setCheckpoint(checkpoint string) {
	switch {
	case t.checkpoint == checkpoint || t.done:
	case t.step.spec.Gang:
		t.step.setCheckpoints(checkpoint)
	default:
		t.checkpoint = checkpoint
	}
}

// setCheckpoints sets the checkpoint of all members of a gang.
func (s *stepState) setCheckpoints(checkpoint string) {
	for _, m := range s.allTasks() {
		m.checkpoint = checkpoint
	}
}

// cause returns the cause to which the time of a run that ended this way is attributed.
func (k EndKind) cause() Cause {
	switch k {
	case EndDone:
		return CauseWork
	case EndFailed:
		return CauseRunFailed
	case EndStopped:
		return CauseRunStopped
	}
	return CauseRunLost
}

// releaseRun frees the resources of a run that has ended and attributes its time to the cause.
// For CauseWork, recordCompletion attributes the time.
func (c *Core) releaseRun(r *run, cause Cause, now time.Time) {
	if cause != CauseWork {
		r.addLostTime(cause, now)
	}
	c.settleStart(r, settledByEnd, now)
	c.clearAcceptedStart(r)
	c.removeRun(r)
	if cause != CauseWork {
		c.awaitOutstandingStart(r, now)
	}
	if r.worker.contactLoss.lostAt.IsZero() && !r.fromPastIncarnation {
		c.ruleOutCrash(r, "the run ended and its worker answers")
	} else if !r.fromPastIncarnation {
		r.updateCrashDetail()
	}
	c.markWorkerChanged(r.worker)
	c.changedServices[r.worker.Service] = true
	c.queueForPlacement(r.task.step.job)
	c.closeIfDone(r.task.step.job, r.task.step.occurrence)
	c.dropSteps(r.task.step.job)
}
