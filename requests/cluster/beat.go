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

// beatAll sends a heartbeat to each known peer. While no view is known, the
// addresses of the settings stand in for it.
func (n *Node) beatAll(ctx context.Context, now time.Time) {
	targets := map[string]fleet.Incarnation{}
	for _, e := range n.deps.Mirror.State().Entries {
		targets[e.Value.PeerAddr] = e.Value.Incarnation
	}
	for _, m := range n.core.View().Members {
		targets[m.PeerAddr] = m.Incarnation
	}
	if n.core.View().Epoch == 0 {
		for _, addr := range n.opts.Seeds {
			if _, known := targets[addr]; !known {
				targets[addr] = ""
			}
		}
	}
	delete(targets, n.opts.Self.PeerAddr)
	for addr, inc := range targets {
		n.beat(ctx, now, addr, inc)
	}
}

func (n *Node) peer(i fleet.Incarnation) *peerState {
	p := n.peers[i]
	if p == nil {
		p = &peerState{}
		n.peers[i] = p
	}
	return p
}

func (n *Node) beat(ctx context.Context, now time.Time, addr string, inc fleet.Incarnation) {
	p := n.peer(inc)
	if p.busy && inc != "" {
		return
	}
	p.busy = true
	b := n.ownBeat()
	n.background(func() {
		reply, err := n.deps.Peers.Heartbeat(ctx, addr, b)
		n.post(func(answered time.Time) {
			p.busy = false
			if err == nil {
				n.beatAnswered(ctx, answered, now, addr, b, reply)
			}
		})
	})
}

func (n *Node) ownBeat() port.Heartbeat {
	return port.Heartbeat{
		From:     n.opts.Self.Incarnation,
		ID:       n.opts.Self.ID,
		Epoch:    n.core.View().Epoch,
		Highest:  n.core.HighestEpoch(),
		Revision: n.deps.Mirror.State().Revision,
		Settled:  n.deps.Shares.SelfSettled(),
		Stopping: n.stopping,
	}
}

func (n *Node) beatAnswered(ctx context.Context, now, sentAt time.Time, addr string, asked port.Heartbeat, r port.HeartbeatReply) {
	n.core.RecordConfirmation(now, sentAt, r.From, asked.Epoch, r.Highest)
	n.heard(now, r.From, r.Epoch, r.Revision, r.Settled, r.Stopping)
	if r.Revision > n.deps.Mirror.State().Revision && n.wantsRecords() {
		n.pull(ctx, addr)
	}
}

// heard takes in what a peer says of itself, in a question or an answer.
func (n *Node) heard(now time.Time, from fleet.Incarnation, epoch fleet.Epoch, rev fleet.Revision, settled, stopping bool) {
	p := n.peer(from)
	p.heardAt = now
	p.revision = max(p.revision, rev)
	p.stopping = p.stopping || stopping
	if settled {
		n.deps.Shares.PeerSettled(from, epoch)
	}
}

// wantsRecords reports whether records should be fetched from a peer that is
// ahead: when the store's watch is not there to bring them, or a newer epoch
// is known to exist.
func (n *Node) wantsRecords() bool {
	return !n.deps.Connected() || n.core.HighestEpoch() > n.core.View().Epoch
}

// pull fetches the records that the peer at addr has and this daemon lacks.
func (n *Node) pull(ctx context.Context, addr string) {
	if n.pulling {
		return
	}
	n.pulling = true
	since := n.deps.Mirror.State().Revision
	n.background(func() {
		changes, err := n.deps.Peers.Changes(ctx, addr, since)
		if err == nil {
			n.deps.Mirror.Apply(changes.Events, changes.CompleteTo)
			n.deps.SeedInstances(changes.Instances)
		}
		n.post(func(time.Time) { n.pulling = false })
	})
}

// OnHeartbeat implements port.PeerServer. It runs on the control goroutine, so that
// after the answer names a newer epoch this daemon serves no older one.
func (n *Node) OnHeartbeat(b port.Heartbeat) port.HeartbeatReply {
	var r port.HeartbeatReply
	n.do(func(now time.Time) {
		n.core.RecordEpoch(now, b.From, b.Highest)
		n.heard(now, b.From, b.Epoch, b.Revision, b.Settled, b.Stopping)
		n.publish(now)
		r = port.HeartbeatReply{
			From:     n.opts.Self.Incarnation,
			Epoch:    n.core.View().Epoch,
			Highest:  n.core.HighestEpoch(),
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

// proposeEvery bounds how often one daemon tries to change the view, so that
// several changes go into one.
const proposeEvery = 500 * time.Millisecond

// propose changes the view if it no longer fits what is known. Any member may
// try; the store's compare-and-swap lets one of them through.
func (n *Node) propose(ctx context.Context, now time.Time) {
	if n.proposing || now.Before(n.notBefore) || !n.deps.Connected() {
		return
	}
	state := n.deps.Mirror.State()
	if state.View.Value.Epoch != n.core.View().Epoch {
		return
	}
	ev := n.evidence(now, state)
	serving := n.core.ServingStatus(now).Serving(now)
	next, ok := member.Propose(now, state.View.Value, ev, n.opts.Grace, serving)
	if !ok {
		return
	}
	n.proposing = true
	n.background(func() {
		n.writeView(ctx, state.View, next)
		n.post(func(now time.Time) {
			n.proposing = false
			n.notBefore = now.Add(proposeEvery/2 + time.Duration(n.rand.Int64N(int64(proposeEvery))))
		})
	})
}

func (n *Node) evidence(now time.Time, state *fleet.State) member.Observations {
	ev := member.Observations{
		MissingSince: n.missingSince,
		HeardAt:      map[fleet.Incarnation]time.Time{n.opts.Self.Incarnation: now},
		Ended:        n.gone,
		Stopping:     map[fleet.Incarnation]bool{n.opts.Self.Incarnation: n.stopping},
	}
	registered := map[fleet.Incarnation]bool{}
	for _, e := range state.Entries {
		ev.Registered = append(ev.Registered, *e.Value)
		registered[e.Value.Incarnation] = true
	}
	for i, p := range n.peers {
		ev.HeardAt[i] = p.heardAt
		ev.Stopping[i] = p.stopping
	}
	for _, m := range state.View.Value.Members {
		if registered[m.Incarnation] {
			delete(n.missingSince, m.Incarnation)
		} else if _, ok := n.missingSince[m.Incarnation]; !ok {
			n.missingSince[m.Incarnation] = now
		}
	}
	return ev
}

// writeTimeout bounds one write of the node.
const writeTimeout = 3 * time.Second

func (n *Node) writeView(ctx context.Context, base fleet.Versioned[fleet.View], next *fleet.View) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	w, err := record.Write(ctx, n.writer, record.ViewKey, base, next, 0)
	if err != nil {
		if verdict.CodeOf(err) != record.CodeConflict {
			n.deps.Log.Info("view not changed", zap.Error(err))
		}
		return
	}
	n.deps.Mirror.Apply([]port.Event{{KV: w.KV}}, 0)
}
