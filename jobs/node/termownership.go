package node

import (
	"sync/atomic"
	"time"

	"github.com/postmount/postmount/jobs/ledger"
)

// certainStoreLease is how long this daemon certainly holds its lease after it sent a renewal that
// was answered: the lease starts at the arrival of the renewal, and the two clocks may differ by 2%.
const certainStoreLease = storeLease * 98 / 100

// termOwnership is what a term knows of how long its lock is certainly held.
type termOwnership struct {
	renewedAt  int64        // when the last answered renewal of the lock's lease was sent, as uptimeNanos
	releasedAt atomic.Int64 // when a release that may have taken effect was first sent, as uptimeNanos; 0: none
}

// releaseSent records that a release of the lock, or of its lease, is sent at uptimeNanos, which
// may take effect even if it is not answered. It reports whether one was sent before.
func (o *termOwnership) releaseSent(at int64) (before bool) {
	return !o.releasedAt.CompareAndSwap(0, max(1, at))
}

// releaseNotRun records that the only release that was sent has certainly had no effect.
func (o *termOwnership) releaseNotRun() { o.releasedAt.Store(0) }

// mayBeReleased reports whether a release was sent that may have taken effect. The daemon's own
// lease is renewed all the same, and does not tell whether the lock is held.
func (o *termOwnership) mayBeReleased() bool { return o.releasedAt.Load() != 0 }

// certainEnd returns until when the lock is certainly held, as uptimeNanos.
func (o *termOwnership) certainEnd() int64 {
	end := o.renewedAt + int64(certainStoreLease)
	if released := o.releasedAt.Load(); released != 0 {
		end = min(end, released)
	}
	return end
}

// updateOwnership tells the core until when this daemon is certainly the owner, and whether orders
// for instances may be sent.
func (t *termRun) updateOwnership(now time.Time) {
	// The time is read before the lease: a new lease is known only after its time.
	renewedAt := t.n.leaseRenewedAt.Load()
	if ledger.LeaseID(t.n.lease.Load()) == t.lease {
		t.ownership.renewedAt = renewedAt
	}
	uptime, end := t.n.uptimeNanos(), t.ownership.certainEnd()
	renewed := now.Add(time.Duration(min(end, t.ownership.renewedAt) - uptime))
	t.core.SetOwnedUntil(renewed, now.Add(time.Duration(end-uptime)), now)
	t.core.SetStoreLease(t.mayOrderInstances(), now)
}

// mayOrderInstances reports whether the term may send orders for instances.
func (t *termRun) mayOrderInstances() bool {
	return !t.ownership.mayBeReleased() && t.n.mayOrderInstances()
}

// priorLeaseLeft returns for how long after the election an earlier owner may still have taken its
// store lease for held.
func priorLeaseLeft(term *ledger.Term) time.Duration {
	if term.PriorLeaseRevoked {
		return storeLease
	}
	return 0
}
