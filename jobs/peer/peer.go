// Package peer implements the protocol between daemons, net/rpc over TCP. A daemon queries the
// owner and notifies it of jobs, and uses other daemons as relays to the store.
package peer

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"time"

	"github.com/postmount/postmount/internal/netdial"
	"github.com/postmount/postmount/internal/rpcconn"
	"github.com/postmount/postmount/jobs/admission"
	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/ledger"
	"github.com/postmount/postmount/verdict"
)

// serviceName is the net/rpc service name.
const serviceName = "Peer"

// dialTimeout bounds the opening of a connection to a peer, which takes a few round trips.
const dialTimeout = 400 * time.Millisecond

// CodePeerUnreachable means that a call to a peer failed.
const CodePeerUnreachable verdict.Code = "peer-unreachable"

// StateRequest asks for the state of a job.
type StateRequest struct{ Job job.ID }

// StateReply is the owner's reply. Known is false if it does not know the job; Owner is false if
// the peer is not the owner.
type StateReply struct {
	Owner bool
	Known bool
	State job.State
	// Tenant is the tenant that submitted the job, "" if none.
	Tenant string
}

// PendingRequest asks how many jobs of a queue wait for their first task.
type PendingRequest struct{ Queue string }

// PendingReply is the owner's reply. Owner is false if the peer is not, or may not be, the owner.
type PendingReply struct {
	Owner bool
	Count int
}

// CancelRequest notifies the owner of a cancellation that is in the store.
type CancelRequest struct{ Job job.ID }

// SubmitRequest notifies the owner of a job that is in the store.
type SubmitRequest struct{ Job job.Job }

// SubmitReply says for which jobs the owner must be asked, by an AdmitRequest, before they are accepted. Owner is
// false if the peer is not the owner.
type SubmitReply struct {
	Owner bool
	Hint  admission.Hint
}

// AdmitRequest asks whether to accept a job.
type AdmitRequest struct{ Job job.Job }

// AdmitReply is the owner's reply, with the hint for further jobs. Owner is false if the peer is not, or may not be,
// the owner; then it decides nothing.
type AdmitReply struct {
	Owner    bool
	Decision admission.Decision
	Hint     admission.Hint
}

// Empty is a reply without content. encoding/gob, which net/rpc uses, needs an exported field.
type Empty struct{ Ignored bool }

// Operation is a method of ledger.Store.
type Operation int

// The operations that can be relayed.
const (
	OpGet Operation = iota
	OpRange
	OpWatch
	OpCommit
	OpGrant
	OpKeepAlive
	OpEndLease
)

// RelayRequest asks a peer to make a call to the store.
type RelayRequest struct {
	Op       Operation
	Key      string // or prefix
	After    string
	Revision int64
	Stale    bool
	Wait     time.Duration // of a watch; for OpGrant the time to live of the lease
	Txn      ledger.Txn
	Lease    ledger.LeaseID
}

// RelayReply holds the result of a relayed call. Message is its error, "" if there was none.
type RelayReply struct {
	Item    ledger.Item
	Found   bool
	Page    ledger.Page
	Changes ledger.Changes
	Result  ledger.TxnResult
	Lease   ledger.LeaseID
	Message string
	Verdict verdict.Verdict
	Code    verdict.Code
}

// Handler handles the calls of peers.
type Handler interface {
	State(r StateRequest) StateReply
	Pending(r PendingRequest) PendingReply
	Cancelled(r CancelRequest)
	Submitted(r SubmitRequest) SubmitReply
	Admit(r AdmitRequest) AdmitReply
	Relay(r RelayRequest) RelayReply
	CheckPresence(addr string) Presence
}

// server adapts a Handler to the method signatures that net/rpc needs.
type server struct{ h Handler }

func (s *server) State(r StateRequest, out *StateReply) error {
	*out = s.h.State(r)
	return nil
}

func (s *server) Pending(r PendingRequest, out *PendingReply) error {
	*out = s.h.Pending(r)
	return nil
}

func (s *server) Cancelled(r CancelRequest, _ *Empty) error {
	s.h.Cancelled(r)
	return nil
}

func (s *server) Submitted(r SubmitRequest, out *SubmitReply) error {
	*out = s.h.Submitted(r)
	return nil
}

func (s *server) Admit(r AdmitRequest, out *AdmitReply) error {
	*out = s.h.Admit(r)
	return nil
}

func (s *server) Relay(r RelayRequest, out *RelayReply) error {
	*out = s.h.Relay(r)
	return nil
}

// Client calls peers over one persistent connection each.
type Client struct{ conns rpcconn.Pool }

// NewClient returns a client without connections.
func NewClient() *Client { return &Client{} }

// call makes one call. It closes a connection that failed, and retires one whose reply did not
// arrive in time.
func (c *Client) call(ctx context.Context, addr, method string, req, reply any) error {
	conn, err := c.conns.Get(addr, func() (net.Conn, error) { return netdial.Dialer(dialTimeout).DialContext(ctx, "tcp", addr) })
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, CodePeerUnreachable, "connect to peer %s", addr)
	}
	defer c.conns.Release(conn)
	pending := conn.Go(serviceName+"."+method, req, reply, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.conns.Retire(conn)
		}
		return verdict.Wrap(ctx.Err(), verdict.MayHaveRun, CodePeerUnreachable, "peer %s: call %s", addr, method)
	case <-pending.Done:
	}
	if pending.Error == nil {
		return nil
	}
	c.conns.Discard(conn)
	return verdict.Wrap(pending.Error, verdict.MayHaveRun, CodePeerUnreachable, "peer %s: call %s", addr, method)
}

// callIdempotent makes a call that is safe to repeat. The first attempt gets half of the time until
// the deadline. If it fails, the second attempt uses another connection.
func callIdempotent[R any](ctx context.Context, c *Client, addr, method string, request any) (R, error) {
	var first, second R
	firstCtx, cancel := withHalfTimeout(ctx)
	defer cancel()
	if err := c.call(firstCtx, addr, method, request, &first); err == nil || ctx.Err() != nil {
		return first, err
	}
	err := c.call(ctx, addr, method, request, &second)
	return second, err
}

// withHalfTimeout returns a context with half of the remaining time of ctx.
func withHalfTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	end, bounded := ctx.Deadline()
	if !bounded {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Until(end)/2)
}

// State asks the peer at addr for the state of a job.
func (c *Client) State(ctx context.Context, addr string, id job.ID) (StateReply, error) {
	return callIdempotent[StateReply](ctx, c, addr, "State", StateRequest{id})
}

// Pending asks the peer at addr how many jobs of a queue are pending.
func (c *Client) Pending(ctx context.Context, addr, queue string) (PendingReply, error) {
	return callIdempotent[PendingReply](ctx, c, addr, "Pending", PendingRequest{queue})
}

// Cancelled notifies the peer at addr of a cancellation.
func (c *Client) Cancelled(ctx context.Context, addr string, id job.ID) error {
	return c.call(ctx, addr, "Cancelled", CancelRequest{id}, &Empty{})
}

// Submitted notifies the peer at addr of a job that is in the store.
func (c *Client) Submitted(ctx context.Context, addr string, j *job.Job) (SubmitReply, error) {
	var out SubmitReply
	err := c.call(ctx, addr, "Submitted", SubmitRequest{*j}, &out)
	return out, err
}

// Admit asks the peer at addr whether to accept a job. It is not repeated: a job about which the owner does not
// answer in time is accepted.
func (c *Client) Admit(ctx context.Context, addr string, j *job.Job) (AdmitReply, error) {
	var out AdmitReply
	err := c.call(ctx, addr, "Admit", AdmitRequest{*j}, &out)
	return out, err
}

// Relay makes a call to the store through the peer at addr.
func (c *Client) Relay(ctx context.Context, addr string, r RelayRequest) (RelayReply, error) {
	var out RelayReply
	err := c.call(ctx, addr, "Relay", r, &out)
	return out, err
}
