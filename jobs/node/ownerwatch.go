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

// Figures of the watch over the owner's process.
const (
	// lockCheckInterval is how often the watch looks whether there is another owner: the store's
	// watch has told by then.
	lockCheckInterval = 100 * time.Millisecond
	// requiredConfirmations is how many other daemons have to find nobody at the owner's address,
	// too, for its process to count as gone; one if no more can be asked. A partition
	// that refuses connections looks the same to one daemon; others, picked at random,
	// hardly all stand on the same side of it. Up to mostAsked are asked, as some may
	// have ended as well.
	requiredConfirmations = 2
	maxPeersAsked         = 5
	// maxRevokeJitter spreads the daemons that find the owner gone at the same moment, so
	// that most of them see that one has ended its lease. It is some calls to the store.
	maxRevokeJitter = 30 * time.Millisecond
)

// watchOwnerProcess ends the lease of an owner whose process is gone: the lock goes
// with it, and the next owner is elected within some milliseconds instead of after the
// lease's two seconds. An owner that lives on after all loses its lock as if the store
// had revoked the lease, which is safe at any time.
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

// watchOwnerConnection returns when there is another owner, or the connection to this one has
// ended and its lease if its process is gone.
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
		sleep.For(ctx, lockCheckInterval) // its connection was reset, or cannot be opened
		return
	}
	sleep.For(ctx, n.rng.durationBelow(maxRevokeJitter))
	if n.lock.Load() != l {
		return
	}
	n.log.Info("owner-gone", zap.String("node", l.Node), zap.Uint64("term", l.Term))
	endCtx, end := context.WithTimeout(ctx, storeTimeout)
	defer end()
	if err := n.store.EndLease(endCtx, l.Lease); err != nil {
		n.log.Warn("owners-lease-not-ended", zap.Error(err))
		return
	}
	sleep.For(ctx, storeTimeout) // until the store's watch tells
}

// ownerGone reports whether nobody listens at the owner's address, as this daemon and
// others see it. A process listens from before its election to its end.
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
			n.log.Info("witness-not-asked", zap.String("addr", addr), zap.Error(err))
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

// mayReplace reports whether this daemon is about as strong as the named one. Where
// many processes are killed at once the strong ones are back within a second, before the
// lease ends; a weak one that takes over at once cannot carry what the owner did.
func (n *Node) mayReplace(node string) bool {
	list := n.members.Load()
	if list == nil {
		return true
	}
	return !slices.ContainsFunc(*list, func(m ledger.Member) bool {
		return m.Node == node && m.Cores > electionCPUFactor*n.settings.Cores
	})
}

// peersExcept returns the addresses of all daemons but this one and the named one.
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
