package node

import (
	"time"

	"github.com/postmount/postmount/jobs/ledger"
	"github.com/postmount/postmount/jobs/peer"
)

// Relay implements ledger.Relays. It returns the relay in use, or else a random daemon that has not
// failed as a relay within failedRelayPause. A disruption often partitions a third of the daemons,
// so a relay that works is kept. The choice is random as one daemon's link could not carry the
// watches of all others. Daemons with more CPU, which have more bandwidth, are chosen more often.
func (n *Node) Relay() ledger.Store {
	list := n.members.Load()
	if list == nil {
		return nil
	}
	var others []ledger.Member
	last := n.lastRelay.Load()
	for _, m := range *list {
		if m.Node == n.settings.Node || n.relayFailedRecently(m.Addr) {
			continue
		}
		if last != nil && m.Addr == *last {
			return peer.StoreVia(n.peers, m.Addr)
		}
		others = append(others, m)
	}
	if len(others) == 0 {
		return nil
	}
	addr := n.rng.pickWeighted(others).Addr
	n.lastRelay.Store(&addr)
	return peer.StoreVia(n.peers, addr)
}

// RelayFailed implements ledger.Relays.
func (n *Node) RelayFailed(s ledger.Store) {
	n.lastRelay.Store(nil)
	n.failedRelays.Store(peer.RelayAddr(s), n.clock.Now().Add(failedRelayPause))
}

func (n *Node) relayFailedRecently(addr string) bool {
	until, known := n.failedRelays.Load(addr)
	if !known {
		return false
	}
	if n.clock.Now().Before(until.(time.Time)) {
		return true
	}
	n.failedRelays.Delete(addr)
	return false
}
