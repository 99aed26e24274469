package owner

import "slices"

// Workers that were lost together: a rack, or an availability zone, is nobody's crash.

// Least workers that have to be lost at the same time, beside more than half of those there
// are.
const (
	leastOfRack = 2
	leastOfZone = 3
)

// togetherness says whether a worker was lost with the others of its rack or zone.
type togetherness int

const (
	lostAlone       togetherness = iota
	perhapsTogether              // so many others are silent that it depends on whether they come back
	lostTogether
)

// lostWith tells whether most workers of the worker's rack or zone were lost with it. Those
// that are silent, but not known to have ended, may be behind a way that is cut for a moment:
// while they decide, nothing is certain.
func (c *Core) lostWith(w *worker) togetherness {
	rack, zone := lossCount{least: leastOfRack}, lossCount{least: leastOfZone}
	count := func(o *worker) {
		if o.endsByOrder() || !o.heldByUs || o.firstSeenAt.After(w.contactLoss.lostAt) || o != w && c.shareSuspect(o, w) {
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
	return max(rack.judge(), zone.judge())
}

// shareSuspect reports whether one task may have crashed both workers: started again at once, it
// can end a rack worker by worker.
func (c *Core) shareSuspect(a, b *worker) bool {
	others := c.suspectsOf(b)
	return slices.ContainsFunc(c.suspectsOf(a), func(t *task) bool { return slices.Contains(others, t) })
}

// suspectsOf returns the tasks that may have crashed the worker.
func (c *Core) suspectsOf(w *worker) []*task {
	if w.ended {
		return w.crashSuspects
	}
	return c.openCrashes[w.incarnation()]
}

// overlaps reports whether both losses may have happened at the same moment: each between the
// last sign of life and the first call without an answer.
func (k *contactLoss) overlaps(o *contactLoss) bool {
	if k.lostAt.IsZero() || o.lostAt.IsZero() {
		return false
	}
	const accuracy = crashSoon // of what is known of the moment at which a connection ended
	return !k.lastAliveAt().After(o.lostAt.Add(accuracy)) && !o.lastAliveAt().After(k.lostAt.Add(accuracy))
}

// lossCount counts the workers of a rack or zone.
type lossCount struct {
	least     int
	all       int
	lost      int // silent or gone
	lostKnown int // gone for certain
}

func (t *lossCount) add(lost, gone bool) {
	t.all++
	if lost {
		t.lost++
	}
	if lost && gone {
		t.lostKnown++
	}
}

func (t *lossCount) judge() togetherness {
	switch {
	case t.isMost(t.lostKnown):
		return lostTogether
	case t.isMost(t.lost):
		return perhapsTogether
	}
	return lostAlone
}

func (t *lossCount) isMost(n int) bool { return n >= t.least && 2*n > t.all }
