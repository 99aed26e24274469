package owner

import (
	"fmt"
	"slices"
	"time"
)

// SetRegistrations takes the whole list of registrations.
func (c *Core) SetRegistrations(list []Registration, now time.Time) {
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
	for id := range c.unknownServiceWorkers {
		if !present[id] {
			delete(c.unknownServiceWorkers, id)
		}
	}
	c.UpdateRegistrations(list, gone, true, now)
}

// UpdateRegistrations takes what has changed among the registrations, if anything. current says
// that what is known of the others is so, too: no more has changed.
func (c *Core) UpdateRegistrations(changed []Registration, gone []WorkerID, current bool, now time.Time) {
	if !c.registrationsAt.IsZero() && now.Sub(c.registrationsAt) > storeOutageGap {
		c.unregisterFrom = now.Add(reregistrationGrace)
		c.note(Decision{Event: "registrations-back", Reason: now.Sub(c.registrationsAt).String()})
	}
	c.registrationsAt = now
	c.trackRegistrationLag(current, now)
	for _, r := range changed {
		if c.isConfigured(r.Service) {
			delete(c.unknownServiceWorkers, r.Worker)
			c.register(r, now)
		} else {
			c.keepUnknownService(r, now)
		}
	}
	for _, id := range gone {
		delete(c.unknownServiceWorkers, id)
		if w := c.workers[id]; w != nil {
			c.markUnlisted(w, now)
		}
	}
	if !now.Before(c.unregisterFrom) {
		c.unregisterUnlisted()
	}
	for service := range c.pools {
		c.changedServices[service] = true
	}
}

// maxRegistrationLag is how old the view of the registrations may be, while the store tells of changes, for
// tasks to be started by it: half of the shortest time after which none may start on a worker that
// has said that it leaves.
const maxRegistrationLag = time.Second

// trackRegistrationLag takes note of since when more has changed among the registrations than is known.
func (c *Core) trackRegistrationLag(current bool, now time.Time) {
	switch {
	case current && c.areRegistrationsStale(now):
		c.note(Decision{Event: "registrations-caught-up", Reason: now.Sub(c.registrationsLagSince).String()})
		c.registrationsLagSince = time.Time{}
		for service := range c.pools {
			c.changedServices[service] = true
		}
	case current:
		c.registrationsLagSince = time.Time{}
	case c.registrationsLagSince.IsZero():
		c.registrationsLagSince = now
	}
}

// areRegistrationsStale reports whether what is known of the registrations is too old for a start.
func (c *Core) areRegistrationsStale(now time.Time) bool {
	return !c.registrationsLagSince.IsZero() && now.Sub(c.registrationsLagSince) > maxRegistrationLag
}

// isConfigured reports whether the configuration names the service.
func (c *Core) isConfigured(service string) bool {
	return c.catalog == nil || len(c.catalog.Services) == 0 || c.catalog.Service(service) != nil
}

// keepUnknownService keeps the registration of a worker of a service that no configuration names: it is
// no worker to use, until one does.
func (c *Core) keepUnknownService(r Registration, now time.Time) {
	if _, known := c.unknownServiceWorkers[r.Worker]; !known {
		c.note(Decision{Event: "worker-of-unknown-service", Worker: r.Worker, Reason: r.Service})
	}
	c.unknownServiceWorkers[r.Worker] = r
	if w := c.workers[r.Worker]; w != nil {
		c.markUnlisted(w, now)
	}
}

// registerNewlyConfigured takes the workers of services that a configuration has come to name.
func (c *Core) registerNewlyConfigured() {
	for id, r := range c.unknownServiceWorkers {
		if c.isConfigured(r.Service) {
			delete(c.unknownServiceWorkers, id)
			c.register(r, c.registrationsAt)
		}
	}
}

// markUnlisted takes note that the worker is not among the registrations.
func (c *Core) markUnlisted(w *worker, now time.Time) {
	if w.unlistedSince.IsZero() {
		w.unlistedSince = now
	}
	c.unlistedWorkers.put(w, w.registered)
}

// unregisterUnlisted counts workers that are missing as not registered: the store is not
// about to have them back.
func (c *Core) unregisterUnlisted() {
	for _, w := range c.unlistedWorkers.sorted() {
		w.registered = false
		c.unlistedWorkers.put(w, false)
		c.markWorkerChanged(w)
		c.note(Decision{Event: "worker-unregistered", Worker: w.Worker})
	}
}

func (c *Core) register(r Registration, now time.Time) {
	w := c.workers[r.Worker]
	if w == nil {
		w = c.newWorker(r.Worker, r.StartedMs, now)
		c.note(Decision{Event: "worker-new", Worker: r.Worker, Reason: r.Service})
	}
	switch w.relationTo(r.StartedMs) {
	case pastIncarnation:
		return // written before its present life registered
	case nextIncarnation:
		w = c.startIncarnation(w, r.StartedMs, "it has registered anew", now)
	}
	if r.StartedMs == 0 {
		r.StartedMs = w.StartedMs // which it does not say
	}
	if w.StartedMs != r.StartedMs && len(c.openCrashes[w.incarnation()]) > 0 {
		c.clearCrashes(w.incarnation(), "it has only now said which life it is")
	}
	if r.Draining && !w.Draining {
		c.note(Decision{Event: "worker-draining", Worker: r.Worker})
	}
	known := w.registered && w.equal(&r)
	w.unlistedSince = time.Time{}
	c.unlistedWorkers.put(w, false)
	if known {
		return
	}
	if w.Service != "" { // not of a worker that is new
		c.workersByService.remove(w)
		c.changedServices[w.Service] = true
		if w.Capacity != r.Capacity {
			c.note(Decision{Event: "worker-resized", Worker: r.Worker, Reason: fmt.Sprintf("from %v to %v, %v in use", w.Capacity, r.Capacity, w.allocated)})
		}
	}
	w.Registration = r
	w.registered = true
	c.workersByService.add(w)
	c.markWorkerChanged(w)
	c.changedServices[r.Service] = true
}

// equal reports whether the registration says the same.
func (r *Registration) equal(o *Registration) bool {
	return r.Worker == o.Worker && r.Service == o.Service && r.Addr == o.Addr && r.Zone == o.Zone && r.Rack == o.Rack &&
		r.Capacity == o.Capacity && r.Draining == o.Draining && r.StartedMs == o.StartedMs && slices.Equal(r.Labels, o.Labels)
}

// forgetWorker removes a worker of which nothing is left to know.
func (c *Core) forgetWorker(id WorkerID) {
	w := c.workers[id]
	if !w.ended && len(c.openCrashes[w.incarnation()]) > 0 {
		c.clearCrashes(w.incarnation(), "nobody can tell what became of it")
	}
	delete(c.workers, id)
	delete(c.silentWorkers, id)
	delete(c.endedWorkers, id)
	delete(c.workersWithUnknownJobs, id)
	delete(c.colocatedWorkers, id)
	delete(c.unlistedWorkers, id)
	delete(c.maintenanceWorkers, id)
	c.workersByService.remove(w)
	w.removeFromIndex()
	c.updateSupplyOfWorker(w)
}
