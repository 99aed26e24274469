package node

import (
	"context"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/peer"
)

// peerHandler handles calls of other daemons.
type peerHandler struct{ n *Node }

// State implements peer.Handler.
func (h peerHandler) State(r peer.StateRequest) peer.StateReply { return h.n.localState(r.Job) }

// Pending implements peer.Handler.
func (h peerHandler) Pending(r peer.PendingRequest) peer.PendingReply {
	t := h.n.term.Load()
	if t == nil {
		return peer.PendingReply{}
	}
	return t.pending(r.Queue)
}

// Cancelled implements peer.Handler.
func (h peerHandler) Cancelled(r peer.CancelRequest) {
	if t := h.n.term.Load(); t != nil {
		t.onCancelled(r.Job)
	}
}

// Submitted implements peer.Handler. A daemon whose lease may have expired takes no new jobs, as
// another one may be the owner and start them as well.
func (h peerHandler) Submitted(r peer.SubmitRequest) peer.SubmitReply {
	t := h.n.term.Load()
	if t == nil || !t.leaseHeld() {
		return peer.SubmitReply{}
	}
	t.onSubmitted(&r.Job)
	return peer.SubmitReply{Owner: true, Hint: *t.admissionHint.Load()}
}

// Admit implements peer.Handler.
func (h peerHandler) Admit(r peer.AdmitRequest) peer.AdmitReply {
	t := h.n.term.Load()
	if t == nil {
		return peer.AdmitReply{}
	}
	return t.admit(&r.Job)
}

// Relay implements peer.Handler. It calls the store directly, never through another relay, so
// that calls do not circle between daemons.
func (h peerHandler) Relay(r peer.RelayRequest) peer.RelayReply {
	return peer.ServeRelay(h.n.platform.Store, r)
}

// CheckPresence implements peer.Handler.
func (h peerHandler) CheckPresence(addr string) peer.Presence {
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	return h.n.peers.CheckPresence(ctx, addr)
}

// localState returns the state of a job if this daemon is the owner. Otherwise Owner is false in
// the reply.
func (n *Node) localState(id job.ID) peer.StateReply {
	t := n.term.Load()
	if t == nil {
		return peer.StateReply{}
	}
	return t.state(id)
}
