package owner

import (
	"maps"
	"slices"
	"time"
)

// SetEvacuatedZones sets the availability zones that get no new tasks; zones set by an earlier
// call and missing from this one get them again. Running tasks continue: a task that ends on its
// own completes sooner than after a restart elsewhere, and moving a long-running task costs its
// startup time even if the evacuation is cancelled soon. Tasks that end in an evacuated zone before
// they are done are restarted in other zones.
func (c *Core) SetEvacuatedZones(zones []string) {
	named := map[string]bool{}
	for _, z := range zones {
		named[z] = true
	}
	if maps.Equal(named, c.evacuatedZones) {
		return
	}
	for _, z := range slices.Sorted(maps.Keys(named)) {
		if !c.evacuatedZones[z] {
			c.logDecision(Decision{Event: "zone-evacuated", Reason: z})
		}
	}
	for _, z := range slices.Sorted(maps.Keys(c.evacuatedZones)) {
		if !named[z] {
			c.logDecision(Decision{Event: "zone-restored", Reason: z})
		}
	}
	c.evacuatedZones = named
	for _, w := range c.workers {
		c.markWorkerChanged(w)
	}
	for _, i := range c.instances {
		c.updateSupply(i)
	}
	for service := range c.pools {
		c.changedServices[service] = true
	}
}

// isUsable reports whether new tasks may be placed on the worker: it is ready and not avoided, was
// known while this daemon was certainly the owner, and its zone isn't evacuated. A worker in a quiet period isn't.
func (c *Core) isUsable(w *worker, now time.Time) bool {
	return !now.Before(w.avoidUntil) && c.isUsableUnlessAvoided(w, now)
}

// isUsableUnlessAvoided reports whether the worker would be usable if it was not avoided.
func (c *Core) isUsableUnlessAvoided(w *worker, now time.Time) bool {
	return w.isReady(now) && !w.isQuiet(now) && c.knewWorkerInTime(w) && !c.evacuatedZones[w.Zone] && !w.oversized
}
