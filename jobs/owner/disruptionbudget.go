package owner

import "time"

// maxRunListAge is how old a worker's run list may be for decisions that end tasks: it was
// requested two holds ago at most. An owner that was suspended or is short of processor time
// acts on outdated state otherwise.
const maxRunListAge = 2500 * time.Millisecond

// hasFreshRunList reports whether the worker answers and its run list is recent.
func (w *worker) hasFreshRunList(now time.Time) bool {
	return !w.isSilent() && now.Sub(w.answeredHoldSentAt) <= maxRunListAge
}

// longRunningOn counts the worker's long-running tasks by step.
func longRunningOn(w *worker) map[*stepState]int {
	counts := map[*stepState]int{}
	for _, r := range w.runs {
		if s := r.task.step; s.spec.LongRunning && !s.job.state.Final() {
			counts[s]++
		}
	}
	return counts
}

// unavailableElsewhere counts the step's tasks that are not on w and do not serve. Tasks on
// workers whose end was ordered do not count as serving.
func unavailableElsewhere(s *stepState, w *worker, now time.Time) int {
	unavailable := 0
	for _, t := range s.tasks {
		if !t.runsOn(w) && !t.isServing(now) {
			unavailable++
		}
	}
	return unavailable
}

// canTakeDown reports whether the worker may be taken down now: of each step with
// long-running tasks there, at most MayMiss tasks would be unavailable.
func canTakeDown(w *worker, now time.Time) bool {
	for s, n := range longRunningOn(w) {
		if unavailableElsewhere(s, w, now)+n > s.spec.MayMiss {
			return false
		}
	}
	return true
}

// canDrainOneByOne reports whether a worker that cannot be taken down may have its long-running
// tasks moved away one at a time: each step either has more tasks there than may be unavailable
// at once, or fits its budget now.
func canDrainOneByOne(w *worker, now time.Time) bool {
	for s, n := range longRunningOn(w) {
		if s.spec.MayMiss == 0 || n <= s.spec.MayMiss && unavailableElsewhere(s, w, now)+n > s.spec.MayMiss {
			return false
		}
	}
	return true
}

// drainOneByOne stops one task of each step of which a reserved worker has more than may be
// unavailable at once. The task is started again on another worker.
func (c *Core) drainOneByOne(w *worker, now time.Time) {
	for s, n := range longRunningOn(w) {
		if n <= s.spec.MayMiss || unavailableElsewhere(s, w, now) > 0 || hasRunNotServing(s, w) {
			continue
		}
		for _, r := range w.runs {
			if r.task.step == s && r.phase == running {
				c.stop(r, "its worker is due for maintenance", now)
				break
			}
		}
	}
}

// hasRunNotServing reports whether a run of the step on w starts up or is being stopped.
func hasRunNotServing(s *stepState, w *worker) bool {
	for _, r := range w.runs {
		if r.task.step == s && (r.phase != running || r.percent < 100) {
			return true
		}
	}
	return false
}

// runsOn reports whether the task has a run on w.
func (t *task) runsOn(w *worker) bool {
	for _, r := range t.runs {
		if r.worker == w {
			return true
		}
	}
	return false
}
