package cluster

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/requests/member"
	"github.com/postmount/postmount/requests/port"
	"github.com/postmount/postmount/requests/record"
	"github.com/postmount/postmount/requests/slots"
	"github.com/postmount/postmount/verdict"
)

// LoanID identifies one loan of a slot between peers.
type LoanID = slots.LoanID

// sendHeartbeats sends a heartbeat to each known peer, and to the seed addresses
// while no view is known.
func (n *Node) sendHeartbeats(ctx context.Context, now time.Time) {
	targets := map[string]fleet.Incarnation{}
	for _, e := range n.deps.Mirror.State().Entries {
		targets[e.Value.PeerAddr] = e.Value.Incarnation
	}
	for _, m := range n.tracker.View().Members {
		targets[m.PeerAddr] = m.Incarnation
	}
	if n.tracker.View().Epoch == 0 {
		for _, addr := range n.opts.Seeds {
			if _, known := targets[addr]; !known {
				targets[addr] = ""
			}
		}
	}
	delete(targets, n.opts.Self.PeerAddr)
	for addr, inc := range targets {
		n.sendHeartbeat(ctx, now, addr, inc)
	}
}

// peer returns the state of a peer, which is created when first needed.
func (n *Node) peer(i fleet.Incarnation) *peerState {
	p := n.peers[i]
	if p == nil {
		p = &peerState{}
		n.peers[i] = p
	}
	return p
}

// sendHeartbeat sends a heartbeat in the background, unless one to the same peer is in
// progress. inc is "" for a seed address, to which heartbeats may overlap.
func (n *Node) sendHeartbeat(ctx context.Context, now time.Time, addr string, inc fleet.Incarnation) {
	p := n.peer(inc)
	if p.heartbeatPending && inc != "" {
		return
	}
	p.heartbeatPending = true
	hb := n.newHeartbeat()
	n.background(func() {
		reply, err := n.deps.Peers.Heartbeat(ctx, addr, hb)
		n.postToLoop(func(answered time.Time) {
			p.heartbeatPending = false
			if err == nil {
				n.handleHeartbeatReply(ctx, answered, now, addr, hb, reply)
			}
		})
	})
}

func (n *Node) newHeartbeat() port.Heartbeat {
	return port.Heartbeat{
		From:     n.opts.Self.Incarnation,
		ID:       n.opts.Self.ID,
		Epoch:    n.tracker.View().Epoch,
		Highest:  n.tracker.HighestEpoch(),
		Revision: n.deps.Mirror.State().Revision,
		Settled:  n.deps.Shares.SelfSettled(),
		Stopping: n.stopping,
	}
}

// handleHeartbeatReply processes the reply to the heartbeat asked, sent at sentAt.
func (n *Node) handleHeartbeatReply(ctx context.Context, now, sentAt time.Time, addr string, asked port.Heartbeat, r port.HeartbeatReply) {
	n.tracker.RecordConfirmation(now, sentAt, r.From, asked.Epoch, r.Highest)
	n.recordPeerState(now, r.From, r.Epoch, r.Revision, r.Settled, r.Stopping)
	if r.Revision > n.deps.Mirror.State().Revision && n.needsRecords() {
		n.fetchRecords(ctx, addr)
	}
}

// recordPeerState records what a peer's heartbeat or reply says about the peer.
func (n *Node) recordPeerState(now time.Time, from fleet.Incarnation, epoch fleet.Epoch, rev fleet.Revision, settled, stopping bool) {
	p := n.peer(from)
	p.heardAt = now
	p.revision = max(p.revision, rev)
	p.stopping = p.stopping || stopping
	if settled {
		n.deps.Shares.PeerSettled(from, epoch)
	}
}

// needsRecords reports whether to fetch records from a peer that has newer ones:
// if the store's watch is down or a newer epoch is known.
func (n *Node) needsRecords() bool {
	return !n.deps.Connected() || n.tracker.HighestEpoch() > n.tracker.View().Epoch
}

// fetchRecords fetches the peer's records that are newer than this daemon's.
func (n *Node) fetchRecords(ctx context.Context, addr string) {
	if n.fetching {
		return
	}
	n.fetching = true
	since := n.deps.Mirror.State().Revision
	n.background(func() {
		changes, err := n.deps.Peers.Changes(ctx, addr, since)
		if err == nil {
			n.deps.Mirror.Apply(changes.Events, changes.CompleteTo)
			n.deps.SeedInstances(changes.Instances)
		}
		n.postToLoop(func(time.Time) { n.fetching = false })
	})
}

// OnHeartbeat implements port.PeerServer. It runs on the control goroutine, so that
// once the reply reports a newer epoch, this daemon serves no older one.
func (n *Node) OnHeartbeat(hb port.Heartbeat) port.HeartbeatReply {
	var r port.HeartbeatReply
	n.runOnLoop(func(now time.Time) {
		n.tracker.RecordEpoch(now, hb.From, hb.Highest)
		n.recordPeerState(now, hb.From, hb.Epoch, hb.Revision, hb.Settled, hb.Stopping)
		n.publish(now)
		r = port.HeartbeatReply{
			From:     n.opts.Self.Incarnation,
			Epoch:    n.tracker.View().Epoch,
			Highest:  n.tracker.HighestEpoch(),
			Revision: n.deps.Mirror.State().Revision,
			Settled:  n.deps.Shares.SelfSettled(),
			Stopping: n.stopping,
		}
	})
	return r
}

// OnChanges implements port.PeerServer.
func (n *Node) OnChanges(since fleet.Revision) port.Changes {
	events, upTo := n.deps.Mirror.ChangesSince(since)
	out := port.Changes{Events: events, CompleteTo: upTo}
	if since == 0 {
		out.Instances = n.deps.Instances()
	}
	return out
}

// OnBorrow implements port.PeerServer.
func (n *Node) OnBorrow(r port.BorrowRequest) port.BorrowReply { return n.deps.Shares.OnBorrow(r) }

// OnReturn implements port.PeerServer.
func (n *Node) OnReturn(ids []LoanID) { n.deps.Shares.OnReturn(ids) }

// OnBurn implements port.PeerServer.
func (n *Node) OnBurn() port.BurnCounts { return n.deps.Burn() }

// proposalInterval is the mean pause between one daemon's proposals of a view, so that
// one proposal includes several changes.
const proposalInterval = 500 * time.Millisecond

// proposeView writes a new view to the store if the current one does not match the
// observations. Any member may try; the store's compare-and-swap accepts one of them.
func (n *Node) proposeView(ctx context.Context, now time.Time) {
	if n.proposing || now.Before(n.nextProposalAt) || !n.deps.Connected() {
		return
	}
	state := n.deps.Mirror.State()
	if state.View.Value.Epoch != n.tracker.View().Epoch {
		return
	}
	obs := n.observations(now, state)
	serving := n.tracker.ServingStatus(now).Serving(now)
	next, ok := member.Propose(now, state.View.Value, obs, n.opts.Grace, serving)
	if !ok {
		return
	}
	n.proposing = true
	n.background(func() {
		n.writeView(ctx, state.View, next)
		n.postToLoop(func(now time.Time) {
			n.proposing = false
			n.nextProposalAt = now.Add(proposalInterval/2 + time.Duration(n.rand.Int64N(int64(proposalInterval))))
		})
	})
}

// observations returns what this daemon knows about the entry daemons. It also updates
// missingSince.
func (n *Node) observations(now time.Time, state *fleet.State) member.Observations {
	obs := member.Observations{
		MissingSince: n.missingSince,
		HeardAt:      map[fleet.Incarnation]time.Time{n.opts.Self.Incarnation: now},
		Ended:        n.ended,
		Stopping:     map[fleet.Incarnation]bool{n.opts.Self.Incarnation: n.stopping},
	}
	registered := map[fleet.Incarnation]bool{}
	for _, e := range state.Entries {
		obs.Registered = append(obs.Registered, *e.Value)
		registered[e.Value.Incarnation] = true
	}
	for i, p := range n.peers {
		obs.HeardAt[i] = p.heardAt
		obs.Stopping[i] = p.stopping
	}
	for _, m := range state.View.Value.Members {
		if registered[m.Incarnation] {
			delete(n.missingSince, m.Incarnation)
		} else if _, ok := n.missingSince[m.Incarnation]; !ok {
			n.missingSince[m.Incarnation] = now
		}
	}
	return obs
}

// writeTimeout bounds one write to the store.
const writeTimeout = 3 * time.Second

func (n *Node) writeView(ctx context.Context, base fleet.Versioned[fleet.View], next *fleet.View) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	w, err := record.Write(ctx, n.writer, record.ViewKey, base, next, 0)
	if err != nil {
		if verdict.CodeOf(err) != record.CodeConflict {
			n.deps.Log.Info("view change not written", zap.Error(err))
		}
		return
	}
	n.deps.Mirror.Apply([]port.Event{{KV: w.KV}}, 0)
}
