package owner

import "time"

// maxRunListAge is how old a worker's run list may be when the owner decides to end tasks: it was
// requested at most two holds ago. Otherwise an owner that was suspended or is short of CPU would
// act on outdated state.
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

// unavailableElsewhere counts the step's tasks that have no run on w and are not serving. Tasks
// on workers that were ordered to end do not count as serving.
func unavailableElsewhere(s *stepState, w *worker, now time.Time) int {
	unavailable := s.untouched()
	for _, t := range s.tasks {
		if !t.runsOn(w) && !t.isServing(now) {
			unavailable++
		}
	}
	return unavailable
}

// canTakeDown reports whether the disruption budgets allow the worker to be taken down now: of
// each step with long-running tasks on it, at most MayMiss tasks would be unavailable.
func canTakeDown(w *worker, now time.Time) bool {
	for s, n := range longRunningOn(w) {
		if unavailableElsewhere(s, w, now)+n > s.spec.MayMiss {
			return false
		}
	}
	return true
}

// drainOneByOne stops one task of each step that has more tasks on the reserved worker than may be
// unavailable at the same time, so that the task is started again on another worker. A task that would
// find no place there goes on.
func (c *Core) drainOneByOne(w *worker, now time.Time) {
	for s, n := range longRunningOn(w) {
		if n <= s.spec.MayMiss || unavailableElsewhere(s, w, now) > 0 || hasRunNotServing(s, w) || c.findPlaces([]placeNeed{{s, 1}}, w, now) != nil {
			continue
		}
		for _, r := range w.runs {
			if r.task.step == s && r.phase == running {
				c.stop(r, "its worker is due for maintenance", now)
				w.drainStepAt = now
				break
			}
		}
	}
}

// hasRunNotServing reports whether a run of the step on w is starting up or being stopped.
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
