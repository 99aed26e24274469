package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/postmount/postmount/internal/sleep"
	"github.com/postmount/postmount/jobs/ledger"
)

// keepLease holds a lease in the store, and this daemon's member entry attached to it.
func (n *Node) keepLease(ctx context.Context) {
	for ctx.Err() == nil {
		switch {
		case n.lease.Load() != 0:
			n.renewLease(ctx)
		case !n.stopping.Load():
			n.grantLease(ctx)
		}
		if !sleep.For(ctx, n.leaseInterval()) {
			return
		}
	}
}

// leaseInterval returns the time until the next attempt to get or renew the lease. It is
// short after a failed call, so that one lost answer does not let the lease expire.
func (n *Node) leaseInterval() time.Duration {
	since := time.Duration(n.uptimeNanos() - n.leaseRenewedAt.Load())
	if n.lease.Load() == 0 || since > renewInterval {
		return retryPause
	}
	return renewInterval
}

func (n *Node) grantLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	askedAt := n.uptimeNanos()
	id, err := n.store.GrantLease(ctx, max(storeLease, n.settings.MinStoreLease))
	if err != nil {
		return // logged by onStoreFailure; keepLease retries
	}
	n.writeMemberEntry(ctx, id)
	n.leaseRenewedAt.Store(askedAt)
	n.lease.Store(int64(id))
	n.log.Info("lease-granted", zap.Int64("lease", int64(id)))
	n.wakeElection()
}

// writeMemberEntry writes this daemon's entry to the store, attached to its lease.
func (n *Node) writeMemberEntry(ctx context.Context, id ledger.LeaseID) {
	key := ledger.PrefixMembers + n.settings.Node
	_, err := n.store.Commit(ctx, ledger.Txn{Puts: []ledger.Put{{Key: key, Value: ledger.EncodeMember(n.memberEntry()), Lease: id}}})
	if err != nil {
		n.log.Warn("member-entry-write-failed", zap.Error(err))
	}
}

func (n *Node) renewLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	id := ledger.LeaseID(n.lease.Load())
	askedAt := n.uptimeNanos()
	alive, err := n.store.KeepAlive(ctx, id)
	switch {
	case err != nil: // logged by onStoreFailure
	case alive:
		n.leaseRenewedAt.Store(askedAt)
	default:
		n.log.Warn("lease-ended", zap.Int64("lease", int64(id)))
		n.lease.Store(0)
		n.endTermUnder(id)
	}
}

// endTermUnder ends the term whose lock is attached to the expired lease, if there is one. The
// store has removed the lock with the lease, even if the watch has not reported that yet.
func (n *Node) endTermUnder(id ledger.LeaseID) {
	if t := n.term.Load(); t != nil && t.lease == id {
		t.depose("the lease of its lock has expired")
	}
}
