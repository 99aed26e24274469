package owner

import (
	"maps"
	"slices"

	"github.com/postmount/postmount/jobs/job"
)

// Correlated losses: if most workers of a rack or availability zone are lost at the same time,
// the cause is the rack or zone, and no task is blamed.

// A rack or zone counts as failed if at least this many of its workers, and more than half of
// them, were lost at the same time.
const (
	minRackLosses = 2
	minZoneLosses = 3
)

// lossCorrelation is whether a worker was lost together with others of its rack or zone.
type lossCorrelation int

const (
	uncorrelated       lossCorrelation = iota
	possiblyCorrelated                 // depends on whether the workers that are silent now have ended
	correlated
)

// lossCorrelationOf returns whether most workers of w's rack or zone were lost together with w.
// Silent workers that are not known to have ended may just be partitioned for a short time. If
// the result depends on them, it is possiblyCorrelated.
func (c *Core) lossCorrelationOf(w *worker) lossCorrelation {
	rack, zone := lossCount{min: minRackLosses}, lossCount{min: minZoneLosses}
	if w.contactLoss.duringIsolation || c.losesWorkersOften(w) { // one other loss at the same time is more likely a coincidence
		rack.min, zone.min = min(rack.min+1, max(rack.min, c.instancesInRack(w.Rack))), zone.min+1
	}
	count := func(o *worker) {
		if o.endsAsPlanned() || !o.answeredThisOwner || o.firstSeenAt.After(w.contactLoss.lostAt) {
			return
		}
		lost := o.contactLoss.overlaps(&w.contactLoss)
		if o.ended && !lost {
			return // ended before
		}
		lost = lost && (o == w || !c.isExplainedByTask(o, w))
		if w.Rack != "" && o.Rack == w.Rack {
			rack.add(lost, o.ended)
		}
		if w.Zone != "" && o.Zone == w.Zone {
			zone.add(lost, o.ended)
		}
	}
	for _, o := range c.workers {
		if !o.ended {
			count(o)
		}
	}
	for _, o := range c.recentlyEnded {
		count(o)
	}
	return max(rack.correlation(), zone.correlation())
}

// maxCoincidentLosses is the share of the fleet that is lost each second from which another loss in the same rack
// at the same time is likely to be a coincidence.
const maxCoincidentLosses = 0.05

// losesWorkersOften reports whether so many workers were lost shortly before and after w, for whatever reason, that
// another one of its rack may be lost together with it by chance.
func (c *Core) losesWorkersOften(w *worker) bool {
	n := 0
	for _, o := range c.recentlyEnded {
		if !o.endsAsPlanned() && !o.contactLoss.overlaps(&w.contactLoss) {
			n++
		}
	}
	return float64(n) > maxCoincidentLosses*lostWorkerRetention.Seconds()*float64(len(c.instances))
}

// refreshCorrelations records with each unconfirmed crash that this owner saw whether most workers of the rack
// or zone are lost, too, and has it stored: if this owner is lost with them, no other one can know. It does
// nothing unless contact to a worker was lost or regained since the last call.
func (c *Core) refreshCorrelations() {
	if !c.correlationsStale {
		return
	}
	c.correlationsStale = false
	for _, inc := range slices.SortedFunc(maps.Keys(c.unconfirmedCrashes), compareIncarnations) {
		w := c.currentWorker(inc)
		if w == nil || w.contactLoss.lostAt.IsZero() {
			continue
		}
		isCorrelated := c.lossCorrelationOf(w) != uncorrelated
		for _, t := range c.unconfirmedCrashes[inc] {
			c.setCorrelated(t, inc, isCorrelated)
		}
	}
}

// setCorrelated sets Correlated of the task's unconfirmed crash on the incarnation, if this owner saw it.
func (c *Core) setCorrelated(t *task, inc incarnation, isCorrelated bool) {
	for n := range t.crashes {
		k := &t.crashes[n]
		if k.Worker == inc.String() && k.Correlated != isCorrelated && t.crashDetail(k.Run).loss == lossObserved {
			k.Correlated = isCorrelated
			c.markCrashDirty(t.step.job)
		}
	}
}

// clearIfCorrelatedBefore removes the task's unconfirmed crash on the incarnation if an earlier owner saw it
// lost together with most workers of its rack or zone.
func (c *Core) clearIfCorrelatedBefore(t *task, inc incarnation) (cleared bool) {
	t.crashes = t.crashes.Without(func(k job.Crash) bool {
		if k.Worker != inc.String() || !k.Correlated || t.crashDetail(k.Run).loss != lossOfEarlierTerm {
			return false
		}
		c.logRuledOut(t, k, "an earlier owner lost most workers of its rack or zone with it")
		cleared = true
		return true
	})
	if cleared {
		c.markDirtyUnlessFinal(t.step.job)
		c.queueForPlacement(t.step.job)
	}
	return cleared
}

// instancesInRack returns the number of instances in the rack, those that are down included.
func (c *Core) instancesInRack(rack string) int {
	n := 0
	for _, i := range c.instances {
		if i.Rack == rack {
			n++
		}
	}
	return n
}

// isExplainedByTask reports whether the loss of o is no sign that the rack or zone of w has failed: a
// risky task was isolated on o, one of its tasks is likely to crash its workers, or one task may have crashed
// both workers. A task that is started again immediately can crash one worker of a rack after another, and so
// can several tasks.
func (c *Core) isExplainedByTask(o, w *worker) bool {
	return o.contactLoss.duringIsolation || c.shareCrashSuspect(o, w) || slices.ContainsFunc(c.crashSuspects(o), c.isLikelyCause)
}

// shareCrashSuspect reports whether one task may have crashed both workers.
func (c *Core) shareCrashSuspect(a, b *worker) bool {
	suspects := c.crashSuspects(b)
	return slices.ContainsFunc(c.crashSuspects(a), func(t *task) bool { return slices.Contains(suspects, t) })
}

// crashSuspects returns the tasks that may have crashed the worker.
func (c *Core) crashSuspects(w *worker) []*task {
	if w.ended {
		return w.crashSuspects
	}
	return c.unconfirmedCrashes[w.incarnation()]
}

// overlaps reports whether both losses may have happened at the same time: each happened
// between lastAliveAt and the first unanswered call.
func (l *contactLoss) overlaps(o *contactLoss) bool {
	if l.lostAt.IsZero() || o.lostAt.IsZero() {
		return false
	}
	const accuracy = atStartTime // of the time at which a connection failed
	return !l.lastAliveAt().After(o.lostAt.Add(accuracy)) && !o.lastAliveAt().After(l.lostAt.Add(accuracy))
}

// lossCount counts the workers of a rack or zone.
type lossCount struct {
	min   int // smallest number of losses that counts as a failure
	total int
	lost  int // silent or ended
	ended int // of these, ended
}

// add counts a worker.
func (c *lossCount) add(lost, ended bool) {
	c.total++
	if lost {
		c.lost++
	}
	if lost && ended {
		c.ended++
	}
}

// correlation returns the result for the rack or zone.
func (c *lossCount) correlation() lossCorrelation {
	switch {
	case c.isMajority(c.ended):
		return correlated
	case c.isMajority(c.lost):
		return possiblyCorrelated
	}
	return uncorrelated
}

// isMajority reports whether n is at least min and more than half of total.
func (c *lossCount) isMajority(n int) bool { return n >= c.min && 2*n > c.total }
