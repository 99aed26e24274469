package owner

import (
	"fmt"
	"slices"
	"time"
)

// Register takes the whole list of registrations.
func (c *Core) Register(list []Registration, now time.Time) {
	present := make(map[WorkerID]bool, len(list))
	for _, r := range list {
		present[r.Worker] = true
	}
	var gone []WorkerID
	for id := range c.workers {
		if !present[id] {
			gone = append(gone, id)
		}
	}
	for id := range c.unnamed {
		if !present[id] {
			delete(c.unnamed, id)
		}
	}
	c.RegisterChanges(list, gone, true, now)
}

// RegisterChanges takes what has changed among the registrations, if anything. current says
// that what is known of the others is so, too: no more has changed.
func (c *Core) RegisterChanges(changed []Registration, gone []WorkerID, current bool, now time.Time) {
	if !c.toldAt.IsZero() && now.Sub(c.toldAt) > outage {
		c.settleAt = now.Add(settleTime)
		c.note(Decision{Event: "registrations-back", Reason: now.Sub(c.toldAt).String()})
	}
	c.toldAt = now
	c.noteLag(current, now)
	for _, r := range changed {
		if c.isNamed(r.Service) {
			delete(c.unnamed, r.Worker)
			c.registerOne(r, now)
		} else {
			c.setAside(r, now)
		}
	}
	for _, id := range gone {
		delete(c.unnamed, id)
		if w := c.workers[id]; w != nil {
			c.missing(w, now)
		}
	}
	if !now.Before(c.settleAt) {
		c.unregisterMissing()
	}
	for service := range c.pools {
		c.changed[service] = true
	}
}

// lagBound is how old the view of the registrations may be, while the store tells of changes, for
// tasks to be started by it: half of the shortest time after which none may start on a worker that
// has said that it leaves.
const lagBound = time.Second

// noteLag takes note of since when more has changed among the registrations than is known.
func (c *Core) noteLag(current bool, now time.Time) {
	switch {
	case current && c.isLagging(now):
		c.note(Decision{Event: "registrations-caught-up", Reason: now.Sub(c.lagsSince).String()})
		c.lagsSince = time.Time{}
		for service := range c.pools {
			c.changed[service] = true
		}
	case current:
		c.lagsSince = time.Time{}
	case c.lagsSince.IsZero():
		c.lagsSince = now
	}
}

// isLagging reports whether what is known of the registrations is too old for a start.
func (c *Core) isLagging(now time.Time) bool {
	return !c.lagsSince.IsZero() && now.Sub(c.lagsSince) > lagBound
}

// isNamed reports whether the configuration names the service.
func (c *Core) isNamed(service string) bool {
	return c.catalog == nil || len(c.catalog.Services) == 0 || c.catalog.Service(service) != nil
}

// setAside keeps the registration of a worker of a service that no configuration names: it is
// no worker to use, until one does.
func (c *Core) setAside(r Registration, now time.Time) {
	if _, known := c.unnamed[r.Worker]; !known {
		c.note(Decision{Event: "worker-of-unknown-service", Worker: r.Worker, Reason: r.Service})
	}
	c.unnamed[r.Worker] = r
	if w := c.workers[r.Worker]; w != nil {
		c.missing(w, now)
	}
}

// registerNamed takes the workers of services that a configuration has come to name.
func (c *Core) registerNamed() {
	for id, r := range c.unnamed {
		if c.isNamed(r.Service) {
			delete(c.unnamed, id)
			c.registerOne(r, c.toldAt)
		}
	}
}

// missing takes note that the worker is not among the registrations.
func (c *Core) missing(w *worker, now time.Time) {
	if w.unlistedSince.IsZero() {
		w.unlistedSince = now
	}
	c.unlisted.put(w, w.registered)
}

// unregisterMissing counts workers that are missing as not registered: the store is not
// about to have them back.
func (c *Core) unregisterMissing() {
	for _, w := range c.unlisted.sorted() {
		w.registered = false
		c.unlisted.put(w, false)
		c.markWorkerChanged(w)
		c.note(Decision{Event: "worker-unregistered", Worker: w.Worker})
	}
}

func (c *Core) registerOne(r Registration, now time.Time) {
	w := c.workers[r.Worker]
	if w == nil {
		w = c.newWorker(r.Worker, r.StartedMs, now)
		c.note(Decision{Event: "worker-new", Worker: r.Worker, Reason: r.Service})
	}
	switch w.relation(r.StartedMs) {
	case formerLife:
		return // written before its present life registered
	case nextLife:
		w = c.beginLife(w, r.StartedMs, "it has registered anew", now)
	}
	if r.StartedMs == 0 {
		r.StartedMs = w.StartedMs // which it does not say
	}
	if w.StartedMs != r.StartedMs && len(c.openCrashes[w.life()]) > 0 {
		c.clearCrashes(w.life(), "it has only now said which life it is")
	}
	if r.Draining && !w.Draining {
		c.note(Decision{Event: "worker-draining", Worker: r.Worker})
	}
	known := w.registered && w.sameAs(&r)
	w.unlistedSince = time.Time{}
	c.unlisted.put(w, false)
	if known {
		return
	}
	if w.Service != "" { // not of a worker that is new
		c.roster.remove(w)
		c.changed[w.Service] = true
		if w.Capacity != r.Capacity {
			c.note(Decision{Event: "worker-resized", Worker: r.Worker, Reason: fmt.Sprintf("from %v to %v, %v in use", w.Capacity, r.Capacity, w.allocated)})
		}
	}
	w.Registration = r
	w.registered = true
	c.roster.add(w)
	c.markWorkerChanged(w)
	c.changed[r.Service] = true
}

// sameAs reports whether the registration says the same.
func (r *Registration) sameAs(o *Registration) bool {
	return r.Worker == o.Worker && r.Service == o.Service && r.Addr == o.Addr && r.Zone == o.Zone && r.Rack == o.Rack &&
		r.Capacity == o.Capacity && r.Draining == o.Draining && r.StartedMs == o.StartedMs && slices.Equal(r.Labels, o.Labels)
}

// forget removes a worker of which nothing is left to know.
func (c *Core) forget(id WorkerID) {
	w := c.workers[id]
	if !w.ended && len(c.openCrashes[w.life()]) > 0 {
		c.clearCrashes(w.life(), "nobody can tell what became of it")
	}
	delete(c.workers, id)
	delete(c.silent, id)
	delete(c.over, id)
	delete(c.puzzling, id)
	delete(c.sharing, id)
	delete(c.unlisted, id)
	delete(c.maintaining, id)
	c.roster.remove(w)
	w.removeFromIndex()
	c.countOfWorker(w)
}
