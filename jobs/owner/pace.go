package owner

import "time"

// Figures of the pacing of fillers beside serving tasks.
const (
	// paceEvery is how often a worker's fillers are looked at; the figures that
	// a worker gives cover half a second.
	paceEvery = 400 * time.Millisecond
	// slowDownAt and speedUpAt are shares of a serving task's target: above the
	// first its neighbours are slowed down to half, below the second they get
	// some of their speed back.
	slowDownAt = 0.95
	speedUpAt  = 0.7
	// paceStep is how much speed is given back at a time, in percent.
	paceStep = 20
	// paceFloor is where halving ends and fillers stand still.
	paceFloor = 10
)

// pace throttles fillers by the worst tail of the serving tasks beside them:
// additive increase, multiplicative decrease.
func (c *Core) pace(now time.Time) {
	for _, w := range c.colocatedWorkers.sorted() {
		if w.ended || !w.silentSince.IsZero() || now.Before(w.nextThrottleAt) {
			continue
		}
		w.nextThrottleAt = now.Add(paceEvery)
		worst := worstTail(w)
		if worst == 0 {
			continue
		}
		for _, r := range w.runs {
			if r.task.step.spec.Filler && r.phase == running {
				c.throttle(r, paceFor(worst, r.throttlePercent))
			}
		}
	}
}

// worstTail returns the highest tail of a serving task on the worker as a share
// of its target; 0: there is none.
func worstTail(w *worker) float64 {
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

// paceFor returns the speed of a filler beside a tail that is worst times its
// target.
func paceFor(worst float64, current int) int {
	switch {
	case worst > slowDownAt && current <= paceFloor:
		return 0
	case worst > slowDownAt:
		return current / 2
	case worst < speedUpAt:
		return min(100, current+paceStep)
	}
	return current
}

func (c *Core) throttle(r *run, percent int) {
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
