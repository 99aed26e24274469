package owner

import "time"

// maxRunListAge is how old a worker's list of runs may be for a decision that ends
// tasks: the hold that brought it was sent two holds ago at most. An owner that was
// frozen, or that is short of processor time, knows less than it seems.
const maxRunListAge = 2500 * time.Millisecond

// hasFreshRunList reports whether what runs on the worker is hasFreshRunList well enough to count on.
func (w *worker) hasFreshRunList(now time.Time) bool {
	return !w.isSilent() && now.Sub(w.answeredHoldSentAt) <= maxRunListAge
}

// longRunningOn counts the long-running tasks on a worker by their step.
func longRunningOn(w *worker) map[*stepState]int {
	counts := map[*stepState]int{}
	for _, r := range w.runs {
		if s := r.task.step; s.spec.LongRunning && !s.job.state.Final() {
			counts[s]++
		}
	}
	return counts
}

// unavailableElsewhere counts the tasks of a step that are away beside those on w. A task
// on a worker that was ordered away is.
func unavailableElsewhere(s *stepState, w *worker, now time.Time) int {
	unavailable := 0
	for _, t := range s.tasks {
		if !t.runsOn(w) && !t.isServing(now) {
			unavailable++
		}
	}
	return unavailable
}

// canTakeDown reports whether the budgets of the long-running tasks on the worker
// allow to take it away now: of each step at most MayMiss tasks are away.
func canTakeDown(w *worker, now time.Time) bool {
	for s, n := range longRunningOn(w) {
		if unavailableElsewhere(s, w, now)+n > s.spec.MayMiss {
			return false
		}
	}
	return true
}

// canThinOut reports whether tasks can be moved away from the worker one by one,
// because it has more of a step than may be away at once.
func canThinOut(w *worker, now time.Time) bool {
	for s, n := range longRunningOn(w) {
		if s.spec.MayMiss == 0 || n <= s.spec.MayMiss && unavailableElsewhere(s, w, now)+n > s.spec.MayMiss {
			return false
		}
	}
	return true
}

// thinOut stops one task of each step of which a reserved worker has more than
// may be away at once; it comes back on another worker.
func (c *Core) thinOut(w *worker, now time.Time) {
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

func hasRunNotServing(s *stepState, w *worker) bool {
	for _, r := range w.runs {
		if r.task.step == s && (r.phase != running || r.percent < 100) {
			return true
		}
	}
	return false
}

// runsOn reports whether the task runs runsOn w.
func (t *task) runsOn(w *worker) bool {
	for _, r := range t.runs {
		if r.worker == w {
			return true
		}
	}
	return false
}
