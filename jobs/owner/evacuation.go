package owner

import (
	"maps"
	"slices"
	"time"
)

// Evacuate says which availability zones get no new tasks until they are left out again. What
// runs there goes on: a task that ends by itself is done sooner than one that starts anew
// elsewhere, and a long-running one would be away for its startup, for a zone that may be taken
// back at once. Where it ends it starts elsewhere.
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
			c.note(Decision{Event: "zone-evacuated", Reason: z})
		}
	}
	for _, z := range slices.Sorted(maps.Keys(c.evacuatedZones)) {
		if !named[z] {
			c.note(Decision{Event: "zone-restored", Reason: z})
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

// isUsable reports whether new tasks may be placed on the worker.
func (c *Core) isUsable(w *worker, now time.Time) bool {
	return w.isReady(now) && !c.evacuatedZones[w.Zone]
}
