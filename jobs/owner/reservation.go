package owner

import (
	"fmt"
	"time"
)

// Bounds of reservations.
const (
	// maxDrainPause is how long a reservation lasts without a step: an order of the maintenance, or a
	// task that is stopped to move elsewhere. A step needs the drain grace period, or the time until a
	// stopped task serves again.
	maxDrainPause = drainGracePeriod + 2*time.Second
	// reservationPause is the time from the end of such a reservation until the worker may be reserved
	// again. The tasks that waited for room start meanwhile.
	reservationPause = 2 * time.Second
	// searchPause is the same after a search found no places for its tasks.
	searchPause = 500 * time.Millisecond
	// maxFailedSearches limits the searches for places without a result in one check of a wave, since each
	// costs a look at all workers of a service.
	maxFailedSearches = 4
	// blockedWaveDelay is how long a wave must be blocked until that is logged.
	blockedWaveDelay = 2 * time.Second
)

// reserve keeps new tasks off the worker.
func (c *Core) reserve(w *worker, why reservation, now time.Time) {
	w.reserved = why
	w.reservedAt = now
	w.drainStepAt = now
	c.maintenanceWorkers.put(w, why == reservedMaintenance && !w.ended)
	c.markWorkerChanged(w)
}

// unreserve makes the worker available for new tasks again.
func (c *Core) unreserve(w *worker) {
	w.reserved = ""
	w.endOrdered = false
	c.maintenanceWorkers.put(w, false)
	c.markWorkerChanged(w)
}

// endStalledReservations ends the reservations for maintenance that have not led to a step for
// maxDrainPause, whatever they wait for. Those whose maintenance was ordered end with the platform's answer.
func (c *Core) endStalledReservations(now time.Time) {
	for _, w := range c.maintenanceWorkers.sorted() {
		if w.endOrdered || now.Sub(w.drainStepAt) < maxDrainPause {
			continue
		}
		c.unreserve(w)
		w.reserveAfter = now.Add(reservationPause)
		d := Decision{Event: "reservation-ended", Worker: w.Worker, Reason: fmt.Sprintf("no step for %s", maxDrainPause)}
		if s := overBudget(w, now); s != nil {
			d.Job = s.job.spec.ID
			d.Reason += fmt.Sprintf(": step %d has %d tasks there and %d unavailable elsewhere, %d may be",
				s.index, longRunningOn(w)[s], unavailableElsewhere(s, w, now), s.spec.MayMiss)
		}
		c.logDecision(d)
	}
}

// overBudget returns a step whose disruption budget keeps the worker from being taken down, nil if there is
// none.
func overBudget(w *worker, now time.Time) *stepState {
	for s, n := range longRunningOn(w) {
		if unavailableElsewhere(s, w, now)+n > s.spec.MayMiss {
			return s
		}
	}
	return nil
}

// noteBlocked records what keeps the wave from reserving a worker. It reports whether that is room, for which
// the pool is then asked.
func (c *Core) noteBlocked(ws *waveState, w *worker, b *drainBlock, now time.Time) bool {
	ws.blockedBy = b
	if b.cpuMilli == 0 {
		return false
	}
	w.reserveAfter = now.Add(searchPause)
	c.pool(b.step.job.service).places.want(float64(b.cpuMilli)/1000, now)
	return true
}

// updateBlocked logs once when the wave cannot go on: none of its instances is down or reserved, and each one
// that is left is blocked.
func (c *Core) updateBlocked(ws *waveState, now time.Time) {
	if ws.blockedBy == nil || len(ws.down) > 0 || len(c.reservedForWave(ws)) > 0 {
		ws.blockedBy, ws.blockedSince, ws.blockedLogged = nil, time.Time{}, false
		return
	}
	if ws.blockedSince.IsZero() {
		ws.blockedSince = now
	}
	if ws.blockedLogged || now.Sub(ws.blockedSince) < blockedWaveDelay {
		return
	}
	ws.blockedLogged = true
	s := ws.blockedBy.step
	c.logDecision(Decision{Event: "wave-blocked", Job: s.job.spec.ID, Reason: fmt.Sprintf("wave %d: step %d: %s", ws.Wave, s.index, ws.blockedBy.reason)})
}

// wantedPlaces is the room that long-running tasks need elsewhere before a wave may reserve their worker. It counts
// as cores that tasks of the pool wait for.
type wantedPlaces struct {
	cores        float64
	since, until time.Time
}

// want records that cores are needed until the next searches for places; of several needs the largest counts.
func (p *wantedPlaces) want(cores float64, now time.Time) {
	if now.After(p.until) {
		*p = wantedPlaces{since: now}
	}
	p.cores = max(p.cores, cores)
	p.until = now.Add(2 * searchPause)
}

// at returns the cores that are needed now, and for how long they have been.
func (p *wantedPlaces) at(now time.Time) (cores float64, since time.Duration) {
	if now.After(p.until) {
		return 0, 0
	}
	return p.cores, now.Sub(p.since)
}
