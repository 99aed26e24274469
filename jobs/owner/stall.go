package owner

import (
	"slices"
	"time"
)

// Parameters for detecting runs that make no progress.
const (
	// stallTimeout is how long a run may make no progress before it counts as stalled. A task of
	// 5 s on a worker that is eight times too slow still gains 1% in 400 ms, and workers report
	// progress once a second.
	stallTimeout = 1600 * time.Millisecond
	// startupStallTimeout is the same for fillers, for long-running tasks, which start up until
	// they report 100%, and for members of a gang that wait for the others. A sound worker ends a
	// member that waited for 3 s.
	startupStallTimeout = 3500 * time.Millisecond
	// stallRecheckInterval is the time between checks of a run that is past its stall timeout,
	// until its worker's run list confirms the stall.
	stallRecheckInterval = 25 * time.Millisecond
	// maxStallCheckInterval is the longest time between checks of a run: when it counts as stalled
	// depends on its speed and on the other members of its gang.
	maxStallCheckInterval = time.Second
	// maxStallsBlamedOnWorkers is how many stalls of a task are blamed on its workers. From then
	// on no worker is avoided for the task's stalls, and its stall timeout doubles with each.
	maxStallsBlamedOnWorkers = 2
	// maxStallDoublings limits how often the stall timeout of a task is doubled.
	maxStallDoublings = 5
	// workerWaitAfterStall is how long a task that was stopped for lack of progress waits for a worker
	// on which it has not stalled. An instance can join the pool in this time.
	workerWaitAfterStall = 2800 * time.Millisecond
)

// scheduleStallCheck schedules a check of the run at the shortest stall timeout, if it can stall.
func (c *Core) scheduleStallCheck(r *run) {
	if r.stallWatched || !r.canStall() {
		return
	}
	r.stallWatched = true
	c.stallsDue.add(r.progressAt.Add(stallTimeout), r)
}

// stopStalledRuns stops runs that make no progress, so that their tasks start elsewhere.
func (c *Core) stopStalledRuns(now time.Time) {
	for _, r := range c.stallsDue.popAllDue(now) {
		r.stallWatched = false
		if r.worker.ended || r.worker.runs[r.task.id()] != r {
			continue
		}
		if !r.isStalled(now) {
			c.rescheduleStallCheck(r, now)
			continue
		}
		if r.task.step.spec.Gang {
			c.stopStalledGang(r, now)
			continue
		}
		c.blameForStall(r, now)
		c.stopStalledRun(r, now)
	}
}

// stopStalledRun stops a run that makes no progress.
func (c *Core) stopStalledRun(r *run, now time.Time) {
	t := r.task
	t.stalls++
	t.lastStalledAt = now
	if !t.hasStalledOn(r.worker) {
		t.stalledOn = append(t.stalledOn, r.worker.Worker)
	}
	c.stop(r, "no progress for "+now.Sub(r.progressAt).String(), now)
}

// stopStalledGang stops all members of a gang of which r makes no progress, as they end only together.
// If several members stand still, it is not known which of their workers are at fault, so that only
// the gang itself prefers others.
func (c *Core) stopStalledGang(r *run, now time.Time) {
	var stalled, others []*run
	for _, m := range r.gang() {
		if m == r || m.isStalled(now) {
			stalled = append(stalled, m)
		} else {
			others = append(others, m)
		}
	}
	if len(stalled) == 1 {
		c.blameForStall(r, now)
	}
	for _, m := range stalled {
		c.stopStalledRun(m, now)
	}
	for _, m := range others {
		c.stop(m, "another member of its gang makes no progress", now)
	}
}

// hasStalledOn reports whether the task made no progress on the worker in this term.
func (t *task) hasStalledOn(w *worker) bool { return slices.Contains(t.stalledOn, w.Worker) }

// awaitsWorkerAfterStall reports whether the task waits for a worker on which it has not stalled.
func (t *task) awaitsWorkerAfterStall(now time.Time) bool {
	return now.Sub(t.lastStalledAt) < workerWaitAfterStall
}

// hasStalledOn reports whether one of the step's tasks made no progress on the worker in this term.
func (s *stepState) hasStalledOn(w *worker) bool {
	return slices.ContainsFunc(s.tasks, func(t *task) bool { return t.hasStalledOn(w) })
}

// awaitsWorkerAfterStall reports whether the step's gang waits for workers on which it has not stalled.
func (s *stepState) awaitsWorkerAfterStall(now time.Time) bool {
	return slices.ContainsFunc(s.tasks, func(t *task) bool { return t.awaitsWorkerAfterStall(now) })
}

// blameForStall avoids the worker of a stalled run, unless the task has stalled on several.
func (c *Core) blameForStall(r *run, now time.Time) {
	if r.task.stalls < maxStallsBlamedOnWorkers {
		c.avoidWorker(r.worker, "a task makes no progress", now)
	}
}

// rescheduleStallCheck schedules another check of a run that is not certain to have stalled.
func (c *Core) rescheduleStallCheck(r *run, now time.Time) {
	if !r.canStall() {
		return // scheduled again if its percentage falls below 100
	}
	r.stallWatched = true
	due := laterOf(r.progressAt.Add(r.stallTimeout()), now.Add(stallRecheckInterval))
	if latest := now.Add(maxStallCheckInterval); due.After(latest) || r.throttlePercent < 100 {
		due = latest
	}
	c.stallsDue.add(due, r)
}

// canStall reports whether the run has to make progress: a long-running task at 100% serves until it is
// stopped. Any other run at 100% is about to end.
func (r *run) canStall() bool {
	return r.phase == running && (r.percent < 100 || !r.task.step.spec.LongRunning)
}

// standstillAt returns how long the run has made no progress. Time at a lower speed counts in
// proportion.
func (r *run) standstillAt(now time.Time) time.Duration {
	atThisSpeed := now.Sub(laterOf(r.progressAt, r.throttledAt))
	return r.standstill + atThisSpeed*time.Duration(min(100, r.throttlePercent))/100
}

// stallTimeout returns how long the run may make no progress before it counts as stalled.
func (r *run) stallTimeout() time.Duration {
	limit := stallTimeout
	if spec := r.task.step.spec; spec.LongRunning || spec.Filler || spec.Gang && !r.task.step.gangRunsTogether(r.number) {
		limit = startupStallTimeout
	}
	return limit << min(maxStallDoublings, max(0, r.task.stalls-maxStallsBlamedOnWorkers+1))
}

// isStalled reports whether the run has certainly made no progress for its stall timeout. A member
// of a gang at 100% may wait for slower ones.
func (r *run) isStalled(now time.Time) bool {
	if !r.hasStoodStill(now) {
		return false
	}
	if !r.task.step.spec.Gang || r.percent < 100 {
		return true
	}
	return !slices.ContainsFunc(r.gang(), func(m *run) bool { return !m.hasStoodStill(now) })
}

// hasStoodStill reports whether the run's percentage has certainly not changed for its stall timeout.
// The run list with the last percentage may be old: only the answer to a hold that was sent some time
// after the last progress is proof.
func (r *run) hasStoodStill(now time.Time) bool {
	limit := r.stallTimeout()
	return r.canStall() && r.worker.silentSince.IsZero() && r.standstillAt(now) > limit &&
		r.worker.answeredHoldSentAt.Sub(r.progressAt) > limit/2
}

// gang returns the runs of the gang that r belongs to, r included.
func (r *run) gang() []*run {
	var out []*run
	for _, t := range r.task.step.tasks {
		for _, m := range t.runs {
			if m.number == r.number {
				out = append(out, m)
			}
		}
	}
	return out
}

// recordProgress records the percentage that the run's worker reports.
func (r *run) recordProgress(percent int, now time.Time) {
	if percent != r.percent {
		r.percent = percent
		r.progressAt, r.standstill = now, 0
	}
}

// recordThrottle records the percentage of full speed at which the run goes on.
func (r *run) recordThrottle(percent int, now time.Time) {
	r.standstill = r.standstillAt(now)
	r.throttlePercent, r.throttledAt = percent, now
}
