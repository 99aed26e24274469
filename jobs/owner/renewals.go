package owner

import "time"

// renewalSendTime is the time after which a renewal has reached its worker: it waits for the owner's
// processor or link, and is dropped when the term ends.
const renewalSendTime = 300 * time.Millisecond

// RenewalsPending reports whether this owner has not yet renewed the lease of every worker that it
// should reach. A new owner's first call to a worker only learns the worker's clock, and the second
// one renews its lease. An owner that leaves before that leaves a lease as it found it, and if the
// next owner does so too, the lease ends on a healthy worker.
func (c *Core) RenewalsPending(now time.Time) bool {
	if c.opt.Term == 1 || now.Sub(c.startedAt) > c.maxLeaseDuration() {
		return false // no lease of an earlier owner is left
	}
	if c.registrationsAt.IsZero() {
		return true
	}
	for _, w := range c.workers {
		if w.registered && !w.ended && !w.isSilent() && (w.lease.firstRenewalAt.IsZero() || now.Sub(w.lease.firstRenewalAt) < renewalSendTime) {
			return true
		}
	}
	return false
}
