package owner

import "time"

// Figures of the pacing of fillers beside serving tasks.
const (
	// throttleInterval is how often a worker's fillers are looked at; the figures that
	// a worker gives cover half a second.
	throttleInterval = 400 * time.Millisecond
	// slowDownAbove and speedUpAt are shares of a serving task's target: above the
	// first its neighbours are slowed down to half, below the second they get
	// some of their speed back.
	slowDownAbove = 0.95
	speedUpBelow  = 0.7
	// throttleStepPercent is how much speed is given back at a time, in percent.
	throttleStepPercent = 20
	// minThrottlePercent is where halving ends and fillers stand still.
	minThrottlePercent = 10
)

// throttleFillers throttles fillers by the worst tail of the serving tasks beside them:
// additive increase, multiplicative decrease.
func (c *Core) throttleFillers(now time.Time) {
	for _, w := range c.colocatedWorkers.sorted() {
		if w.ended || !w.silentSince.IsZero() || now.Before(w.nextThrottleAt) {
			continue
		}
		w.nextThrottleAt = now.Add(throttleInterval)
		worst := worstLatencyRatio(w)
		if worst == 0 {
			continue
		}
		for _, r := range w.runs {
			if r.task.step.spec.Filler && r.phase == running {
				c.setThrottle(r, nextThrottle(worst, r.throttlePercent))
			}
		}
	}
}

// worstLatencyRatio returns the highest tail of a serving task on the worker as a share
// of its target; 0: there is none.
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

// nextThrottle returns the speed of a filler beside a tail that is worst times its
// target.
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

func (c *Core) setThrottle(r *run, percent int) {
	if percent == r.throttlePercent {
		return
	}
	r.throttlePercent = percent
	c.effects.Throttles = append(c.effects.Throttles, Throttle{
		Target: c.target(r.worker), Task: r.task.id(), Run: r.number, Percent: percent,
	})
}

// OnThrottled takes a worker's answer to a throttle. After one without an
// answer the run is throttled anew.
func (c *Core) OnThrottled(o Throttle, a Answer, now time.Time) {
	w := c.targetedWorker(o.Target)
	if w == nil {
		return
	}
	c.onOrderAnswer(w, a, now)
	if a.Outcome == Fenced {
		c.markFenced(w)
		return
	}
	if r := w.runs[o.Task]; r != nil && r.number == o.Run && (a.Outcome == Unanswered || a.Outcome == NotSent) {
		r.throttlePercent = unknownThrottle
	}
}

// unknownThrottle differs from every throttle that may be ordered, but counts
// as full speed in paceFor.
const unknownThrottle = 101
