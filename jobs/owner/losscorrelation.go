package owner

import "slices"

// Workers that were lost together: a rack, or an availability zone, is nobody's crash.

// Least workers that have to be lost at the same time, beside more than half of those there
// are.
const (
	minRackLosses = 2
	minZoneLosses = 3
)

// lossCorrelation says whether a worker was lost with the others of its rack or zone.
type lossCorrelation int

const (
	uncorrelated       lossCorrelation = iota
	possiblyCorrelated                 // so many others are silent that it depends on whether they come back
	correlated
)

// lossCorrelationOf tells whether most workers of the worker's rack or zone were lost with it. Those
// that are silent, but not known to have ended, may be behind a way that is cut for a moment:
// while they decide, nothing is certain.
func (c *Core) lossCorrelationOf(w *worker) lossCorrelation {
	rack, zone := lossCount{min: minRackLosses}, lossCount{min: minZoneLosses}
	count := func(o *worker) {
		if o.endsAsPlanned() || !o.heldByUs || o.firstSeenAt.After(w.contactLoss.lostAt) || o != w && c.shareCrashSuspect(o, w) {
			return
		}
		lost := o.contactLoss.overlaps(&w.contactLoss)
		if o.ended && !lost {
			return // it was over before
		}
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

// shareCrashSuspect reports whether one task may have crashed both workers: started again at once, it
// can end a rack worker by worker.
func (c *Core) shareCrashSuspect(a, b *worker) bool {
	others := c.crashSuspects(b)
	return slices.ContainsFunc(c.crashSuspects(a), func(t *task) bool { return slices.Contains(others, t) })
}

// crashSuspects returns the tasks that may have crashed the worker.
func (c *Core) crashSuspects(w *worker) []*task {
	if w.ended {
		return w.crashSuspects
	}
	return c.openCrashes[w.incarnation()]
}

// overlaps reports whether both losses may have happened at the same moment: each between the
// last sign of life and the first call without an answer.
func (l *contactLoss) overlaps(o *contactLoss) bool {
	if l.lostAt.IsZero() || o.lostAt.IsZero() {
		return false
	}
	const accuracy = atStartTime // of what is known of the moment at which a connection ended
	return !l.lastAliveAt().After(o.lostAt.Add(accuracy)) && !o.lastAliveAt().After(l.lostAt.Add(accuracy))
}

// lossCount counts the workers of a rack or zone.
type lossCount struct {
	min  int
	all  int
	lost int // silent or gone
	gone int // gone for certain
}

func (t *lossCount) add(lost, gone bool) {
	t.all++
	if lost {
		t.lost++
	}
	if lost && gone {
		t.gone++
	}
}

func (t *lossCount) correlation() lossCorrelation {
	switch {
	case t.isMajority(t.gone):
		return correlated
	case t.isMajority(t.lost):
		return possiblyCorrelated
	}
	return uncorrelated
}

func (t *lossCount) isMajority(n int) bool { return n >= t.min && 2*n > t.all }
