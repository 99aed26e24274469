package owner

import (
	"maps"
	"slices"
	"time"
)

// Evacuate sets the availability zones that get no new tasks. A zone left out by a later call
// gets them again. Running tasks continue: one that ends by itself is done sooner than if it
// restarted elsewhere, and a long-running one would be down for its startup although the
// evacuation may be cancelled at once. Tasks that end there are restarted in other zones.
func (c *Core) Evacuate(zones []string) {
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

// isUsable reports whether new tasks may be placed on the worker: it is ready and its zone
// isn't evacuated.
func (c *Core) isUsable(w *worker, now time.Time) bool {
	return w.isReady(now) && !c.evacuatedZones[w.Zone]
}
