package owner

import "time"

// Parameters of the throttling of fillers that share a worker with serving tasks.
const (
	// throttleInterval is how often a worker's fillers are adjusted; the latencies that a
	// worker reports cover half a second.
	throttleInterval = 400 * time.Millisecond
	// slowDownAbove and speedUpBelow are ratios of a serving task's tail latency to its target.
	// Above the first, the speed of fillers on the same worker is halved; below the second it
	// is increased again.
	slowDownAbove = 0.95
	speedUpBelow  = 0.7
	// throttleStepPercent is the increase in speed per throttleInterval.
	throttleStepPercent = 20
	// minThrottlePercent is the speed at or below which fillers are paused instead of halved.
	minThrottlePercent = 10
)

// throttleFillers adjusts the speed of fillers to the worst tail latency of the serving tasks
// on their worker: additive increase, multiplicative decrease.
func (c *Core) throttleFillers(now time.Time) {
	for _, w := range c.throttledWorkers.sorted() {
		if w.ended || !w.silentSince.IsZero() || now.Before(w.nextThrottleAt) {
			continue
		}
		w.nextThrottleAt = now.Add(throttleInterval)
		worst := worstLatencyRatio(w)
		if worst == 0 && w.servingRuns > 0 {
			continue // they are not at work yet
		}
		for _, r := range w.runs {
			if !r.task.step.spec.Filler || r.phase != running {
				continue
			}
			percent := 100
			if w.servingRuns > 0 {
				percent = nextThrottle(worst, r.throttlePercent)
			}
			c.setThrottle(r, percent, now)
		}
	}
}

// needsThrottling reports whether the speed of the worker's fillers has to be adjusted: serving tasks run
// beside them, or fillers are still throttled for one that has ended.
func (w *worker) needsThrottling() bool {
	if w.ended || w.fillerRuns == 0 {
		return false
	}
	return w.servingRuns > 0 || w.hasThrottledFiller()
}

// hasThrottledFiller reports whether a filler may run at another than full speed.
func (w *worker) hasThrottledFiller() bool {
	for _, r := range w.runs {
		if r.task.step.spec.Filler && r.throttlePercent != 100 {
			return true
		}
	}
	return false
}

// worstLatencyRatio returns the highest ratio of tail latency to target among the worker's
// serving tasks; 0 if none reports one.
func worstLatencyRatio(w *worker) float64 {
	worst := 0.0
	for _, r := range w.runs {
		target := r.task.step.spec.LatencyTarget
		if target == 0 || r.phase != running || r.percent < 100 {
			continue
		}
		worst = max(worst, float64(r.usage)/float64(target.Milliseconds()))
	}
	return worst
}

// nextThrottle returns the new speed, in percent, of a filler that runs at current percent;
// worst is the result of worstLatencyRatio.
func nextThrottle(worst float64, current int) int {
	switch {
	case worst > slowDownAbove && current <= minThrottlePercent:
		return 0
	case worst > slowDownAbove:
		return current / 2
	case worst < speedUpBelow:
		return min(100, current+throttleStepPercent)
	}
	return current
}

// setThrottle orders the run's speed in percent, unless it is the one ordered last.
func (c *Core) setThrottle(r *run, percent int, now time.Time) {
	if percent == r.throttlePercent || r.worker.token == 0 {
		return
	}
	r.recordThrottle(percent, now)
	c.effects.Throttles = append(c.effects.Throttles, Throttle{
		Target: c.target(r.worker), Task: r.task.id(), Run: r.number, Percent: percent,
	})
}

// OnThrottleAnswer handles the outcome of a Throttle order. Without an answer the order is
// sent again at the next interval.
func (c *Core) OnThrottleAnswer(o Throttle, a Answer, now time.Time) {
	w := c.targetedWorker(o.Target)
	if w == nil {
		return
	}
	c.onOrderAnswer(w, a, OrderTimeout, now)
	if a.Outcome == Fenced {
		c.markFenced(w)
		return
	}
	if r := w.runs[o.Task]; r != nil && r.number == o.Run && (a.Outcome == Unanswered || a.Outcome == NotSent) {
		r.recordThrottle(unknownThrottle, now)
	}
}

// unknownThrottle is the speed of a run whose last Throttle order was not answered. It differs
// from every speed that can be ordered, so that the next one is always sent, and counts as full
// speed in nextThrottle.
const unknownThrottle = 101
