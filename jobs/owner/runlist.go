package owner

import (
	"fmt"
	"time"

	"github.com/postmount/postmount/jobs/job"
)

// A worker's answer to a hold lists all of its active runs, but only the first of its ended runs if many of them
// are not acknowledged (HoldAnswer.EndsTruncated). So a run that is known to have started and is not listed as
// active has ended, but how it ended is known only once the list of ends is complete.

// applyRunList applies the lists of a worker's answer to a hold.
func (c *Core) applyRunList(w *worker, h HoldAnswer, now time.Time) {
	c.setEndsTruncated(w, h)
	for _, e := range h.Ends {
		if e.Seq > w.lastSeenEnd {
			c.logSkippedEnds(w, e.Seq)
			w.lastSeenEnd = e.Seq
			c.onEnd(w, e, now)
		}
	}
	c.reconcileRuns(w, h.Active, now)
}

// logSkippedEnds logs that the worker has forgotten ends before seq that this owner has not read: an order that was
// not meant for this incarnation acknowledged them. The first list that an owner reads begins anywhere.
func (c *Core) logSkippedEnds(w *worker, seq uint64) {
	if seq == w.lastSeenEnd+1 || w.lastSeenEnd == 0 && (c.opt.Term > 1 || len(w.pastStartsMs) == 0) {
		return
	}
	c.counts.SkippedEnds += int64(seq - w.lastSeenEnd - 1)
	c.logDecision(Decision{Event: "run-ends-skipped", Worker: w.Worker, Reason: fmt.Sprintf("ends %d to %d were forgotten before they were read", w.lastSeenEnd+1, seq-1)})
}

// setEndsTruncated records whether the answer may lack ends of runs.
func (c *Core) setEndsTruncated(w *worker, h HoldAnswer) {
	if w.endsTruncated != h.EndsTruncated {
		event := "run-ends-complete"
		if h.EndsTruncated {
			event = "run-ends-truncated"
		}
		c.logDecision(Decision{Event: event, Worker: w.Worker, Reason: fmt.Sprintf("%d ends are listed; %d are not acknowledged yet, %d runs are known", len(h.Ends), len(w.unacked), len(w.runs))})
	}
	w.endsTruncated = h.EndsTruncated
}

// reconcileRuns compares the runs that a worker lists with those that it should have, and
// releases or stops those that it should have but does not list.
func (c *Core) reconcileRuns(w *worker, active []ActiveRun, now time.Time) {
	listed := make(map[job.TaskID]uint64, len(active)) // run numbers
	for _, a := range active {
		listed[a.Task] = a.Run
	}
	// These come first: a worker has one entry for a task, which may be another run than the listed one.
	for id, r := range w.runs {
		if listed[id] != r.number {
			c.reconcileUnlistedRun(r, now)
		}
	}
	for _, a := range active {
		c.reconcileRun(w, a, now)
	}
	if w.endsTruncated {
		return
	}
	for id := range w.unknownRuns {
		if listed[id] == 0 {
			delete(w.unknownRuns, id)
		}
	}
}

// reconcileUnlistedRun handles a run that its worker lists neither as active nor as ended.
func (c *Core) reconcileUnlistedRun(r *run, now time.Time) {
	w := r.worker
	hasStarted := r.phase != starting && !r.confirmedAt.IsZero() && w.holdSentAt.After(r.confirmedAt)
	switch {
	case w.endsTruncated && hasStarted:
		c.awaitEnd(r)
	case w.endsTruncated: // its start may have arrived, and it may have ended
	case r.provenNotStarted(w.holdSentAt):
		r.neverStarted = true
		c.ruleOutCrash(r, "the worker answers and does not list the run")
		c.stop(r, "the start was not answered, and the worker does not list the run", now)
	case hasStarted:
		c.releaseVanishedRun(r, now)
	}
}

// awaitEnd frees the resources of a run that has ended. Its task keeps the run, and is not placed again, until the
// end is listed.
func (c *Core) awaitEnd(r *run) {
	if r.phase == ended {
		return
	}
	r.worker.addUsage(r, -1)
	r.phase = ended
	c.markWorkerChanged(r.worker)
	c.changedServices[r.worker.Service] = true
}

// releaseVanishedRun releases a run that has ended, of which the worker's complete list of ends does not say how:
// its end was listed before, or it never started.
func (c *Core) releaseVanishedRun(r *run, now time.Time) {
	if r.fromPastIncarnation {
		r.task.runLostAt = now
	}
	c.releaseRun(r, CauseRunLost, now)
	if r.phase == running || r.phase == ended {
		c.counts.Lost++
		id := r.task.id()
		c.logDecision(Decision{Event: "run-vanished", Job: id.Job, Task: id.String(), Worker: r.worker.Worker, Run: r.number})
	}
}

// reconcileRun handles a run that a worker lists as active: it updates the progress of a known run,
// keeps a run of an unknown job for later, and adopts or stops any other run.
func (c *Core) reconcileRun(w *worker, a ActiveRun, now time.Time) {
	r := w.runs[a.Task]
	if r != nil && r.number == a.Run {
		c.onProgress(r, a, now)
		return
	}
	j := c.jobs[a.Task.Job]
	if j == nil {
		if _, known := w.unknownRuns[a.Task]; !known {
			w.unknownRuns[a.Task] = unknownRun{a.Run, now}
		}
		return
	}
	if j.stepsDropped {
		c.stopUnexpectedRun(w, a, "the job has ended")
		return
	}
	c.adoptRun(w, j, a, now)
}

// onProgress applies what a worker's run list says about a known run.
func (c *Core) onProgress(r *run, a ActiveRun, now time.Time) {
	r.mayStartLate = false
	if r.fromPastIncarnation {
		r.fromPastIncarnation = false
		c.ruleOutCrash(r, "the worker's next incarnation lists the run")
	}
	c.settleStart(r, settledByRunList, now)
	r.startConfirmed = true
	r.listed = true
	switch r.phase {
	case starting:
		r.phase = running
		r.confirmedAt = now
		r.progressAt = now
		c.recordAcceptedStart(r, now)
	case ended: // a start that arrived late has started it on the worker's next incarnation
		r.phase = running
		r.worker.addUsage(r, 1)
	}
	c.scheduleStallCheck(r)
	c.markJobStarted(r, now)
	r.recordProgress(a.Percent, now)
	r.usage = a.Usage
	c.clearLongRunning(r, now)
	if a.Checkpoint != "" && r.task.step.spec.Checkpoints {
		r.task.setCheckpoint(a.Checkpoint) // stored only when the run ends
	}
}
