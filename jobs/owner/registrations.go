package owner

import (
	"fmt"
	"slices"
	"time"
)

// SetRegistrations replaces all known registrations by the list.
func (c *Core) SetRegistrations(list []Registration, now time.Time) {
	listed := make(map[WorkerID]bool, len(list))
	for _, r := range list {
		listed[r.Worker] = true
	}
	var missing []WorkerID
	for id := range c.workers {
		if !listed[id] {
			missing = append(missing, id)
		}
	}
	for id := range c.unknownServiceWorkers {
		if !listed[id] {
			delete(c.unknownServiceWorkers, id)
		}
	}
	c.UpdateRegistrations(list, missing, true, now)
}

// UpdateRegistrations applies changes of the registrations. It is also called without changes, to
// report that the store was read. upToDate says that no further changes are outstanding.
func (c *Core) UpdateRegistrations(changed []Registration, missing []WorkerID, upToDate bool, now time.Time) {
	if !c.registrationsAt.IsZero() && now.Sub(c.registrationsAt) > storeOutageGap {
		c.unregisterFrom = now.Add(reregistrationGrace)
		c.logDecision(Decision{Event: "registrations-back", Reason: "no update for " + now.Sub(c.registrationsAt).String()})
	}
	c.registrationsAt = now
	c.trackRegistrationLag(upToDate, now)
	for _, r := range changed {
		if c.isConfigured(r.Service) {
			delete(c.unknownServiceWorkers, r.Worker)
			c.register(r, now)
		} else {
			c.keepUnknownService(r, now)
		}
	}
	for _, id := range missing {
		delete(c.unknownServiceWorkers, id)
		if w := c.workers[id]; w != nil {
			c.markRegistrationMissing(w, now)
		}
	}
	if !now.Before(c.unregisterFrom) {
		c.unregisterMissing()
	}
	for service := range c.pools {
		c.changedServices[service] = true
	}
}

// maxRegistrationLag is how far the known registrations may lag behind the store before no tasks
// are started any more. It is half of the shortest time from the announcement of a drain until
// no task may start on the worker.
const maxRegistrationLag = time.Second

// trackRegistrationLag records since when the known registrations lag behind the store.
func (c *Core) trackRegistrationLag(upToDate bool, now time.Time) {
	switch {
	case upToDate && c.areRegistrationsStale(now):
		c.logDecision(Decision{Event: "registrations-caught-up", Reason: "behind the store for " + now.Sub(c.registrationsLagSince).String()})
		c.registrationsLagSince = time.Time{}
		for service := range c.pools {
			c.changedServices[service] = true
		}
	case upToDate:
		c.registrationsLagSince = time.Time{}
	case c.registrationsLagSince.IsZero():
		c.registrationsLagSince = now
	}
}

// areRegistrationsStale reports whether the known registrations lag too far behind the store to
// start tasks.
func (c *Core) areRegistrationsStale(now time.Time) bool {
	return !c.registrationsLagSince.IsZero() && now.Sub(c.registrationsLagSince) > maxRegistrationLag
}

// isConfigured reports whether the configuration contains the service. Without configured
// services all are accepted.
func (c *Core) isConfigured(service string) bool {
	return c.catalog == nil || len(c.catalog.Services) == 0 || c.catalog.Service(service) != nil
}

// keepUnknownService keeps the registration of a worker whose service is not configured. The
// worker gets no tasks until its service is.
func (c *Core) keepUnknownService(r Registration, now time.Time) {
	if _, known := c.unknownServiceWorkers[r.Worker]; !known {
		c.logDecision(Decision{Event: "worker-of-unknown-service", Worker: r.Worker, Reason: r.Service})
	}
	c.unknownServiceWorkers[r.Worker] = r
	if w := c.workers[r.Worker]; w != nil {
		c.markRegistrationMissing(w, now)
	}
}

// registerNewlyConfigured registers kept workers whose service is configured now.
func (c *Core) registerNewlyConfigured() {
	for id, r := range c.unknownServiceWorkers {
		if c.isConfigured(r.Service) {
			delete(c.unknownServiceWorkers, id)
			c.register(r, c.registrationsAt)
		}
	}
}

// markRegistrationMissing records that the worker is missing from the registrations.
func (c *Core) markRegistrationMissing(w *worker, now time.Time) {
	if w.registrationMissingSince.IsZero() {
		w.registrationMissingSince = now
	}
	c.missingRegistrations.put(w, w.registered)
}

// unregisterMissing marks workers without a registration as not registered. It is not called
// while workers may still have to register again after a store outage.
func (c *Core) unregisterMissing() {
	for _, w := range c.missingRegistrations.sorted() {
		w.registered = false
		c.missingRegistrations.put(w, false)
		c.markWorkerChanged(w)
		c.logDecision(Decision{Event: "worker-unregistered", Worker: w.Worker})
	}
}

// register applies a registration: it adds a new worker, begins a new incarnation of a known one,
// or updates the properties of a known incarnation.
func (c *Core) register(r Registration, now time.Time) {
	w := c.workers[r.Worker]
	if f := c.formerWorkers[r.Worker]; w == nil && f.startedMsConfirmed && slices.Contains(f.pastStartsMs, r.StartedMs) {
		return // written before the latest known incarnation registered
	}
	if w == nil {
		w = c.newWorker(r.Worker, r.StartedMs, now)
		c.logDecision(Decision{Event: "worker-registered", Worker: r.Worker, Reason: "service " + r.Service})
	}
	switch relation := w.relationTo(r.StartedMs); {
	case relation == pastIncarnation && w.startedMsConfirmed:
		return // written before the current incarnation registered
	case relation != sameIncarnation:
		w = c.startIncarnation(w, r.StartedMs, "a new incarnation has registered", now)
	}
	if r.StartedMs == 0 {
		r.StartedMs = w.StartedMs // not reported
	}
	if w.StartedMs != r.StartedMs && len(c.unconfirmedCrashes[w.incarnation()]) > 0 {
		c.clearCrashes(w.incarnation(), "the worker's start time was unknown until now")
	}
	if r.Draining && !w.Draining {
		c.logDecision(Decision{Event: "worker-draining", Worker: r.Worker})
	}
	w.updateCold(&r, now)
	unchanged := w.registered && w.equal(&r)
	w.registrationMissingSince = time.Time{}
	c.missingRegistrations.put(w, false)
	if unchanged {
		return
	}
	if w.Service != "" { // not a new worker
		c.workersByService.remove(w)
		c.changedServices[w.Service] = true
		if w.Capacity != r.Capacity {
			c.logDecision(Decision{Event: "worker-resized", Worker: r.Worker, Reason: fmt.Sprintf("from %v to %v, %v in use", w.Capacity, r.Capacity, w.allocated)})
		}
	}
	startKnown := w.StartedMs != r.StartedMs
	w.Registration = r
	w.registered = true
	if startKnown && w.answeredThisOwner {
		c.scheduleSettling(w, now)
	}
	c.workersByService.add(w)
	c.markWorkerChanged(w)
	c.changedServices[r.Service] = true
}

// updateCold applies how much longer the worker reports to be slow. The same report may be read again
// later, so within one incarnation the end moves to an earlier time only.
func (w *worker) updateCold(r *Registration, now time.Time) {
	end := now.Add(r.ColdFor)
	switch {
	case r.ColdFor == 0:
		w.coldUntil = time.Time{}
	case w.coldUntil.IsZero() || end.Before(w.coldUntil):
		w.coldUntil = end
	}
}

// equal reports whether both registrations have the same values, apart from ColdFor, which changes
// with time.
func (r *Registration) equal(o *Registration) bool {
	return r.Worker == o.Worker && r.Service == o.Service && r.Addr == o.Addr && r.Zone == o.Zone && r.Rack == o.Rack &&
		r.Capacity == o.Capacity && r.Draining == o.Draining && r.StartedMs == o.StartedMs && slices.Equal(r.Labels, o.Labels)
}

// removeWorker removes a worker whose state is no longer needed.
func (c *Core) removeWorker(id WorkerID, now time.Time) {
	w := c.workers[id]
	c.rememberWorker(w, now)
	if !w.ended && len(c.unconfirmedCrashes[w.incarnation()]) > 0 {
		c.clearCrashes(w.incarnation(), "the worker was removed before it was known whether it had crashed")
	}
	delete(c.workers, id)
	delete(c.silentWorkers, id)
	delete(c.endedWorkers, id)
	delete(c.workersWithUnknownJobs, id)
	delete(c.throttledWorkers, id)
	delete(c.missingRegistrations, id)
	delete(c.maintenanceWorkers, id)
	c.workersByService.remove(w)
	w.removeFromIndex()
	c.updateSupplyOfWorker(w)
}
