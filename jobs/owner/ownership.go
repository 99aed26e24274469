package owner

import (
	"fmt"
	"time"
)

// ownership is the time for which this daemon is certainly the owner. Another daemon may be elected
// later, while this one does not reach the store. It goes on with what the other one cannot
// undo, see docs/design/0017. Without a known end, as in a test, the ownership does not end.
type ownership struct {
	until          time.Time // certain end by the clock; zero: not known
	proven         time.Time // when the last answered renewal was sent, which proves that it was held until then
	uncertainSince time.Time // when the end was noticed to have passed; zero: it has not
}

// heldAt reports whether this daemon was certainly the owner at the given time.
func (o *ownership) heldAt(at time.Time) bool { return o.until.IsZero() || !at.After(o.until) }

// provenAt reports whether a later renewal proves that this daemon was the owner at the given time.
// The clock does not prove it if another daemon has revoked the store lease.
func (o *ownership) provenAt(at time.Time) bool { return o.until.IsZero() || !at.After(o.proven) }

// leaseLimit returns how long a worker's lease granted now may be at most: a lease that ends within
// longest after the certain end expires before the next owner starts the tasks that it covers.
func (o *ownership) leaseLimit(longest time.Duration, now time.Time) time.Duration {
	if o.until.IsZero() {
		return longest
	}
	return max(0, min(longest, o.until.Add(longest).Sub(now)))
}

// SetOwnedUntil sets until when this daemon is certainly the owner: another daemon can be elected
// only later, unless the store lease is revoked. renewed is when the last answered renewal was
// sent. Both may move back by the duration of a suspension, see ReportSuspension.
func (c *Core) SetOwnedUntil(renewed, until, now time.Time) {
	o := &c.ownership
	wasHeld := o.heldAt(now)
	o.until, o.proven = until, renewed
	switch held := o.heldAt(now); {
	case !held && o.uncertainSince.IsZero():
		o.uncertainSince = now
		c.logDecision(Decision{Event: "ownership-uncertain", Reason: "the store lease may have ended " + now.Sub(until).Round(time.Millisecond).String() + " ago"})
	case held && !wasHeld:
		if !o.uncertainSince.IsZero() {
			c.logDecision(Decision{Event: "ownership-certain", Reason: "uncertain for " + now.Sub(o.uncertainSince).Round(time.Millisecond).String()})
			o.uncertainSince = time.Time{}
		}
		for _, w := range c.workers {
			c.markWorkerChanged(w) // workers that first answered meanwhile become usable
		}
		for service := range c.pools {
			c.changedServices[service] = true
		}
	}
}

// knewWorkerInTime reports whether the worker's incarnation had answered while this daemon was
// certainly the owner. Such a worker refuses this owner's orders once another owner has called it.
func (c *Core) knewWorkerInTime(w *worker) bool { return c.ownership.heldAt(w.firstAnsweredAt) }

// mayStart reports whether tasks of the step may be started now. Once another daemon may be the
// owner, only runs are started that will end before their lease, which is not renewed without bound.
func (c *Core) mayStart(s *stepState, now time.Time) bool {
	if c.ownership.heldAt(now) {
		return true
	}
	return !s.spec.LongRunning && s.spec.Estimate+startReserve <= c.ownership.leaseLimit(c.opt.TaskLease, now)
}

// startReserve is the time kept between the expected end of a run and the end of its lease.
const startReserve = 200 * time.Millisecond

// lossProven reports whether the last loss of a run of the task proves that the run has ended
// unnoticed. If this daemon was not certainly the owner at that time, another one may have
// taken note of its end, or may have started the task again.
func (c *Core) lossProven(t *task) bool { return c.ownership.heldAt(t.runLostAt) }

// logUnprovenLapse logs that the leases of a worker have expired by this owner's knowledge, but
// another owner may have renewed them. While the store lease is held, the next renewal decides.
func (c *Core) logUnprovenLapse(w *worker, now time.Time) {
	if w.unprovenLapseLogged || c.ownership.heldAt(now) {
		return
	}
	w.unprovenLapseLogged = true
	c.counts.UnprovenLapses++
	c.logDecision(Decision{Event: "lapse-unproven", Worker: w.Worker,
		Reason: fmt.Sprintf("silent for %s; another owner may have renewed its lease, %d runs are kept", now.Sub(w.silentSince).Round(time.Millisecond), len(w.runs))})
}
