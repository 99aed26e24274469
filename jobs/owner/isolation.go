package owner

import (
	"time"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/placement"
)

// Parameters of isolation. A risky task is started on a worker without runs of other jobs, and
// nothing of another job is started there until its run is stable. The tasks of a job are isolated
// together, except for long-running ones (see failsWith).
const (
	// stableAfter is how long a run has to be up to count as not having crashed its worker at
	// the start.
	stableAfter = 2 * atStartTime
	// isolationWait is how long a risky task waits for an empty worker. After that it accepts a
	// worker whose other runs are stable. Most tasks end within this time.
	// isolationWaitLongRunning is the same for long-running tasks, which must be restored
	// within 3 s.
	isolationWait            = 1500 * time.Millisecond
	isolationWaitLongRunning = 700 * time.Millisecond
	// repeatedCrashes is the number of crashes from which an ordinary task has a worker to itself for its
	// whole run.
	repeatedCrashes = 2
	// soleSuspectWait is how long such a task waits for a worker without other runs. A crash beside
	// others would prove nothing. A job must not stand idle for 3 s.
	soleSuspectWait = 2500 * time.Millisecond
	// vacateTime is how long a worker gets no other tasks so that it becomes empty for a
	// risky task.
	vacateTime = 2 * time.Second
	// maxVacatingShare is the largest share of a service's workers that may be vacated for
	// risky tasks at a time; one worker always may be.
	maxVacatingShare = 0.25
)

// crashRisk returns the task's risk of crashing its worker. Members of a gang share the
// highest among them, as they start together.
func (t *task) crashRisk() job.CrashRisk {
	if t.step.spec.Gang {
		return t.step.crashRisk()
	}
	return t.ownCrashRisk()
}

// ownCrashRisk returns the task's risk without regard to its gang. Repeated crashes isolate an ordinary task
// for its whole run, even if coincidence may explain them: otherwise those of tasks that crash their workers
// late never have a sole suspect, and excuse each other. A long-running task would need a worker of its own
// for long.
func (t *task) ownCrashRisk() job.CrashRisk {
	if !t.step.spec.LongRunning && t.crashes.Timed() >= repeatedCrashes {
		return job.CrashRiskAnytime
	}
	return t.crashes.Risk()
}

// crashRisk returns the highest risk among the step's tasks.
func (s *stepState) crashRisk() job.CrashRisk {
	highest := job.CrashRiskNone
	for _, t := range s.tasks {
		highest = max(highest, t.ownCrashRisk())
	}
	return highest
}

// isStable reports whether the run has been up for stableAfter on a worker that answers.
func (r *run) isStable(now time.Time) bool {
	return r.phase != starting && r.worker.contactLoss.lostAt.IsZero() && (r.firstSentAt.IsZero() || now.Sub(r.confirmedAt) > stableAfter)
}

// needsIsolation reports whether no task that does not fail together with the run's task may be
// started on the run's worker.
func (r *run) needsIsolation(now time.Time) bool {
	switch r.isolatedRisk {
	case job.CrashRiskAtStart:
		return !r.isStable(now)
	case job.CrashRiskAnytime:
		return !r.task.step.spec.LongRunning || now.Sub(r.firstSentAt) < longRunningClearTime
	}
	return false
}

// hasIsolatedStart reports whether a risky task was started on the worker and is not stable yet.
func (w *worker) hasIsolatedStart(now time.Time) bool {
	for _, r := range w.isolatedRuns {
		if w.runs[r.task.id()] == r && !r.isStable(now) {
			return true
		}
	}
	return false
}

// beginIsolation marks the start of a risky task in isolation; it does nothing for other tasks.
// Nothing is stored: whether the start arrives is not known, and a crash is recorded once this owner
// loses contact to the worker. A hold in flight shows that at once.
func (c *Core) beginIsolation(r *run, now time.Time) {
	r.isolatedRisk = r.task.crashRisk()
	if r.isolatedRisk == job.CrashRiskNone {
		return
	}
	c.counts.IsolatedStarts++
	w, t := r.worker, r.task
	t.isolationWaitSince = time.Time{}
	w.isolatedFor = nil
	w.isolatedRuns = append(w.isolatedRuns, r)
	if !w.holdInFlight {
		c.sendHold(w, now)
	}
	c.logDecision(Decision{Event: "task-isolated", Job: t.step.job.spec.ID, Task: t.id().String(), Worker: w.Worker, Run: r.number})
}

// isIsolatedFrom reports whether the worker is being vacated for a risky task of another
// job, or has a run that needs isolation from the tasks of the step.
func (w *worker) isIsolatedFrom(s *stepState, now time.Time) bool {
	if w.isolatedFor != nil && w.isolatedFor != s.job && now.Before(w.isolatedUntil) && !w.isolatedFor.state.Final() {
		return true
	}
	remaining := w.isolatedRuns[:0]
	isolating := false
	for _, r := range w.isolatedRuns {
		if w.runs[r.task.id()] != r || !r.needsIsolation(now) {
			continue
		}
		remaining = append(remaining, r)
		isolating = isolating || r.task.step.job != s.job || !s.failsWithJob()
	}
	w.isolatedRuns = remaining
	return isolating
}

// runsNothingElse reports whether the worker has only runs of tasks that fail together with t.
func (w *worker) runsNothingElse(t *task) bool {
	for _, r := range w.runs {
		if !t.failsWith(r.task) {
			return false
		}
	}
	return true
}

// othersStable reports whether all other runs on the worker are stable, so that they are not suspects
// if the worker crashes at the start of t.
func (w *worker) othersStable(t *task, now time.Time) bool {
	for _, r := range w.runs {
		if !t.failsWith(r.task) && !r.isStable(now) {
			return false
		}
	}
	return true
}

// isolationConditions returns the conditions that a risky task's worker may meet, the preferred
// one first.
func (p *schedulingPass) isolationConditions(t *task) []func(*worker) bool {
	if t.isolationWaitSince.IsZero() {
		t.isolationWaitSince = p.now
	}
	reliable := func(w *worker) bool {
		return p.core.isInstanceReliable(w, p.now) && p.core.isNewInstanceFor(t, w)
	}
	stable := func(w *worker) bool { return w.othersStable(t, p.now) && p.core.mayRepeatOn(t, w, p.now) }
	alone := func(w *worker) bool { return w.runsNothingElse(t) && p.core.mayRepeatOn(t, w, p.now) }
	out := []func(*worker) bool{func(w *worker) bool { return alone(w) && reliable(w) }}
	waited := p.now.Sub(t.isolationWaitSince)
	switch {
	case waited < t.step.isolationWait():
		return out
	case t.crashRisk() == job.CrashRiskAnytime && !t.step.spec.LongRunning && waited < soleSuspectWait:
		return append(out, alone)
	}
	return append(out, func(w *worker) bool { return stable(w) && reliable(w) }, alone, stable)
}

// isolationWait returns how long a risky task of the step waits for an empty worker.
func (s *stepState) isolationWait() time.Duration {
	if s.spec.LongRunning {
		return isolationWaitLongRunning
	}
	return isolationWait
}

// excludedAfterFailure returns the workers to exclude for a risky task: those where it failed or made no
// progress, if that was recently.
func (t *task) excludedAfterFailure(now time.Time) func(*worker) bool {
	failed, stalled := now.Sub(t.lastFailedAt) <= otherWorkerWait, t.awaitsWorkerAfterStall(now)
	return func(w *worker) bool { return failed && t.hasFailedOn(w) || stalled && t.hasStalledOn(w) }
}

// placeIsolated starts a risky task on the best worker that meets an isolation condition. If
// there is none, the task waits, and after its isolation wait it may preempt other runs.
func (p *schedulingPass) placeIsolated(t *task, sel *workerSelector, excluded func(*worker) bool) {
	for _, fits := range p.isolationConditions(t) {
		w := sel.pick(t, func(w *worker) bool { return excluded(w) || !fits(w) })
		if w == nil {
			continue
		}
		if !p.deferStarts() {
			sel.start(t, w)
			t.step.waitingSince = time.Time{}
		}
		return
	}
	p.awaitIsolation(t, &sel.req)
	if p.now.Sub(t.isolationWaitSince) >= t.step.isolationWait() {
		p.preempt(t.step, &sel.req) // even the relaxed conditions found no worker
	}
}

// awaitIsolation counts a risky task as waiting, and vacates the worker with the fewest runs for
// its job; among equals that of its tie break.
func (p *schedulingPass) awaitIsolation(t *task, req *placement.Request) {
	s := t.step
	p.pool.addWaiting(s, 1)
	t.addTime(CauseFailedThereBefore, s.readySince(), p.now)
	p.requestAdvice(s)
	view := p.workersFor(s)
	vacating := 0
	var best *worker
	first := t.tieBreak().of(len(view.workers))
	for n := range view.workers {
		i := (first + n) % len(view.workers)
		w := view.workers[i]
		if w.isolatedFor != nil && p.now.Before(w.isolatedUntil) {
			if w.isolatedFor == s.job {
				return
			}
			vacating++
			continue
		}
		if w.longRunningRuns > 0 || view.views[i].Excluded || !p.core.isNewInstanceFor(t, w) || // long-running tasks do not end on their own
			!placement.Feasible(&view.views[i], req) {
			continue
		}
		if best == nil || len(w.runs) < len(best.runs) {
			best = w
		}
	}
	if best == nil || float64(vacating+1) > max(1, maxVacatingShare*float64(len(view.workers))) {
		return
	}
	best.isolatedFor, best.isolatedUntil = s.job, p.now.Add(vacateTime)
}

// isolationViews returns a copy of the views that excludes the workers on which a risky gang may
// not start.
func (p *schedulingPass) isolationViews(s *stepState, view *workerView) []placement.Worker {
	conditions := p.isolationConditions(s.tasks[0])
	allowed := conditions[len(conditions)-1]
	views := make([]placement.Worker, len(view.views))
	copy(views, view.views)
	for i, w := range view.workers {
		views[i].Excluded = views[i].Excluded || !allowed(w)
	}
	return views
}
