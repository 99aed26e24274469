package jobfleet

import (
	"context"
	"sync"
	"time"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/peer"
	"github.com/postmount/postmount/verdict"
)

// peerLatency is the latency of a call between daemons.
const peerLatency = time.Millisecond

// Network connects the daemons of an installation.
type Network struct {
	mu       sync.Mutex
	handlers map[string]peer.Handler
	gates    map[string]*Gate
	left     map[string]chan struct{} // by address; closed when the daemon there leaves
}

// NewNetwork returns a network without daemons.
func NewNetwork() *Network {
	return &Network{handlers: map[string]peer.Handler{}, gates: map[string]*Gate{}, left: map[string]chan struct{}{}}
}

// Join makes a daemon reachable at addr.
func (n *Network) Join(addr string, h peer.Handler, gate *Gate) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[addr], n.gates[addr] = h, gate
	n.left[addr] = make(chan struct{})
}

// Leave makes a daemon unreachable.
func (n *Network) Leave(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.handlers[addr] != nil {
		close(n.left[addr])
	}
	delete(n.handlers, addr)
}

// PeerClient is a daemon's client of its peers.
type PeerClient struct {
	network *Network
	gate    *Gate
}

// Client returns a daemon's client of its peers.
func (n *Network) Client(gate *Gate) *PeerClient { return &PeerClient{n, gate} }

// reach returns the handler of the daemon at addr once the gates of both daemons let the call pass.
func (c *PeerClient) reach(ctx context.Context, addr string) (peer.Handler, error) {
	c.network.mu.Lock()
	h, gate := c.network.handlers[addr], c.network.gates[addr]
	c.network.mu.Unlock()
	if h == nil {
		return nil, verdict.New(verdict.NotRun, peer.CodePeerUnreachable, "no daemon listens at %s", addr)
	}
	if c.gate.pass(ctx, toPeers) != nil || gate.pass(ctx, toPeers) != nil {
		return nil, verdict.Wrap(errNoAnswer, verdict.MayHaveRun, peer.CodePeerUnreachable, "peer %s", addr)
	}
	if c.gate.separatedFrom(gate) {
		<-ctx.Done()
		return nil, verdict.Wrap(errNoAnswer, verdict.MayHaveRun, peer.CodePeerUnreachable, "peer %s", addr)
	}
	time.Sleep(peerLatency)
	return h, ctx.Err()
}

// State implements node.Peers.
func (c *PeerClient) State(ctx context.Context, addr string, id job.ID) (peer.StateReply, error) {
	h, err := c.reach(ctx, addr)
	if err != nil {
		return peer.StateReply{}, err
	}
	return h.State(peer.StateRequest{Job: id}), nil
}

// Pending implements node.Peers.
func (c *PeerClient) Pending(ctx context.Context, addr, queue string) (peer.PendingReply, error) {
	h, err := c.reach(ctx, addr)
	if err != nil {
		return peer.PendingReply{}, err
	}
	return h.Pending(peer.PendingRequest{Queue: queue}), nil
}

// Cancelled implements node.Peers.
func (c *PeerClient) Cancelled(ctx context.Context, addr string, id job.ID) error {
	h, err := c.reach(ctx, addr)
	if err != nil {
		return err
	}
	h.Cancelled(peer.CancelRequest{Job: id})
	return nil
}

// Submitted implements node.Peers.
func (c *PeerClient) Submitted(ctx context.Context, addr string, j *job.Job) (peer.SubmitReply, error) {
	h, err := c.reach(ctx, addr)
	if err != nil {
		return peer.SubmitReply{}, err
	}
	return h.Submitted(peer.SubmitRequest{Job: *j}), nil
}

// Admit implements node.Peers.
func (c *PeerClient) Admit(ctx context.Context, addr string, j *job.Job) (peer.AdmitReply, error) {
	h, err := c.reach(ctx, addr)
	if err != nil {
		return peer.AdmitReply{}, err
	}
	return h.Admit(peer.AdmitRequest{Job: *j}), nil
}

// Relay implements peer.Relayer.
func (c *PeerClient) Relay(ctx context.Context, addr string, r peer.RelayRequest) (peer.RelayReply, error) {
	h, err := c.reach(ctx, addr)
	if err != nil {
		return peer.RelayReply{}, err
	}
	out := h.Relay(r)
	if c.gate.pass(ctx, toPeers) != nil {
		return peer.RelayReply{}, verdict.Wrap(errNoAnswer, verdict.MayHaveRun, peer.CodePeerUnreachable, "peer %s", addr)
	}
	return out, nil
}

// separatedFrom reports whether messages between the two daemons are dropped in either direction.
func (g *Gate) separatedFrom(other *Gate) bool {
	return g.requestDropped(other.name) || g.answerDropped(other.name)
}

// AwaitDisconnect implements node.Peers.
func (c *PeerClient) AwaitDisconnect(ctx context.Context, addr string) error {
	if _, err := c.reach(ctx, addr); err != nil {
		return err
	}
	c.network.mu.Lock()
	left, gate := c.network.left[addr], c.network.gates[addr]
	c.network.mu.Unlock()
	for !c.gate.refused(gate) {
		select {
		case <-ctx.Done():
			return nil
		case <-left:
			return errNoAnswer
		case <-time.After(refusalCheckInterval):
		}
	}
	return errNoAnswer
}

// refusalCheckInterval is the time within which an open connection is closed by a refusing cut.
const refusalCheckInterval = 20 * time.Millisecond

// CheckPresence implements node.Peers.
func (c *PeerClient) CheckPresence(ctx context.Context, addr string) peer.Presence {
	c.network.mu.Lock()
	h, gate := c.network.handlers[addr], c.network.gates[addr]
	c.network.mu.Unlock()
	switch {
	case c.gate.pass(ctx, toPeers) != nil:
		return peer.Unknown
	case h == nil || c.gate.refused(gate):
		return peer.Absent
	case gate.pass(ctx, toPeers) != nil || c.gate.separatedFrom(gate):
		return peer.Unknown
	}
	return peer.Present
}

// CheckPresenceVia implements node.Peers.
func (c *PeerClient) CheckPresenceVia(ctx context.Context, by, addr string) (peer.Presence, error) {
	h, err := c.reach(ctx, by)
	if err != nil {
		return peer.Unknown, err
	}
	return h.CheckPresence(addr), nil
}
