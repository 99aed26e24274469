package node

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/postmount/postmount/internal/sleep"
	"github.com/postmount/postmount/jobs/ledger"
	"github.com/postmount/postmount/jobs/peer"
)

// Parameters of the watch of the owner's process.
const (
	// lockCheckInterval is how often the watch of the process checks whether the owner has changed;
	// the watch of the lock reports a change within that time.
	lockCheckInterval = 100 * time.Millisecond
	// requiredConfirmations is how many other daemons must also find that no process listens at
	// the owner's address; one is enough if no more of them answer. A partition that refuses
	// connections looks the same to one daemon, but daemons chosen at random are unlikely to be
	// all on the same side of it. Up to maxPeersAsked are asked, as some may have ended as well.
	requiredConfirmations = 2
	maxPeersAsked         = 5
	// maxRevokeJitter spreads out daemons that detect the owner's end at the same moment, so that
	// most of them see that one has revoked its lease. It is the duration of a few store calls.
	maxRevokeJitter = 30 * time.Millisecond
)

// watchOwnerProcess revokes the lease of an owner whose process has ended. The store removes the
// lock with it, and the next owner is elected within milliseconds instead of after the lease's
// two seconds. If the owner is alive after all, it may not learn that it has lost its lock until the
// time at which the lease would have expired. The revocation is recorded, so that the next owner
// waits that much longer for workers that do not answer it.
func (n *Node) watchOwnerProcess(ctx context.Context) {
	for ctx.Err() == nil {
		l := n.lock.Load()
		if l == nil || l.Node == n.settings.Node || n.stopping.Load() {
			sleep.For(ctx, lockCheckInterval)
			continue
		}
		n.watchOwnerConnection(ctx, l)
	}
}

// watchOwnerConnection blocks until the owner changes or the connection to it breaks. In the
// latter case it revokes the owner's lease if its process has ended.
func (n *Node) watchOwnerConnection(ctx context.Context, l *ledger.Lock) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for n.lock.Load() == l && sleep.For(ctx, lockCheckInterval) {
		}
		cancel()
	}()
	if err := n.peers.AwaitDisconnect(ctx, l.Addr); err == nil || ctx.Err() != nil {
		return
	}
	if !n.mayReplace(l.Node) || !n.ownerGone(ctx, l) {
		sleep.For(ctx, lockCheckInterval) // just the connection has ended, or could not be opened
		return
	}
	sleep.For(ctx, n.rng.durationBelow(maxRevokeJitter))
	if n.lock.Load() != l {
		return
	}
	n.log.Info("owner-process-ended", zap.String("node", l.Node), zap.Uint64("term", l.Term))
	endCtx, end := context.WithTimeout(ctx, storeTimeout)
	defer end()
	if err := ledger.RecordRevocation(endCtx, n.store, *l); err != nil {
		n.log.Warn("owner-lease-revoke-failed", zap.Error(err))
		return
	}
	if err := n.store.EndLease(endCtx, l.Lease); err != nil {
		n.log.Warn("owner-lease-revoke-failed", zap.Error(err))
		return
	}
	sleep.For(ctx, storeTimeout) // the watch of the lock reports the change meanwhile
}

// ownerGone reports whether no process listens at the owner's address, according to this daemon
// and others. A daemon listens from before its election until its process ends.
func (n *Node) ownerGone(ctx context.Context, l *ledger.Lock) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	if n.peers.CheckPresence(ctx, l.Addr) != peer.Absent {
		return false
	}
	others := n.peersExcept(l.Node)
	n.rng.shuffle(others)
	confirmed := 0
	for _, addr := range others[:min(len(others), maxPeersAsked)] {
		seen, err := n.peers.CheckPresenceVia(ctx, addr, l.Addr)
		if err != nil {
			n.log.Info("presence-query-failed", zap.String("addr", addr), zap.Error(err))
			continue
		}
		switch seen {
		case peer.Present:
			return false
		case peer.Absent:
			confirmed++
		}
		if confirmed == requiredConfirmations {
			return true
		}
	}
	return confirmed > 0 || len(others) == 0
}

// mayReplace reports whether this daemon has about as much CPU as the named one, or more. If many
// processes are killed at the same time, those with much CPU have restarted within a second, before
// the lease expires; a daemon with little CPU that took over immediately could not keep up with the
// owner's work.
func (n *Node) mayReplace(node string) bool {
	list := n.members.Load()
	if list == nil {
		return true
	}
	return !slices.ContainsFunc(*list, func(m ledger.Member) bool {
		return m.Node == node && m.Cores > electionCPUFactor*n.settings.Cores
	})
}

// peersExcept returns the addresses of all daemons except this one and the named one.
func (n *Node) peersExcept(node string) []string {
	list := n.members.Load()
	if list == nil {
		return nil
	}
	var out []string
	for _, m := range *list {
		if m.Node != n.settings.Node && m.Node != node {
			out = append(out, m.Addr)
		}
	}
	return out
}
