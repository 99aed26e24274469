// Package peer is the protocol between daemons: net/rpc over TCP. A daemon asks
// the owner for the state of jobs, and another daemon to make a call to the
// store for it.
package peer

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"time"

	"github.com/postmount/postmount/internal/netdial"
	"github.com/postmount/postmount/internal/rpcconn"
	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/ledger"
	"github.com/postmount/postmount/verdict"
)

// serviceName is the name of the methods on the wire.
const serviceName = "Peer"

// dialTimeout bounds opening a connection to a peer: some round trips.
const dialTimeout = 400 * time.Millisecond

// CodePeerUnreachable says that a peer could not be asked.
const CodePeerUnreachable verdict.Code = "peer-unreachable"

// StateRequest asks for the state of a job.
type StateRequest struct{ Job job.ID }

// StateReply is the owner's answer. Known is false for a job that it has not
// heard of; Owner is false if the peer is not the owner.
type StateReply struct {
	Owner bool
	Known bool
	State job.State
	// Tenant is whose job it is.
	Tenant string
}

// PendingRequest asks how many jobs of a queue wait for their first task.
type PendingRequest struct{ Queue string }

// PendingReply is the owner's answer.
type PendingReply struct {
	Owner bool
	Count int
}

// CancelRequest tells the owner of a cancellation that is in the store.
type CancelRequest struct{ Job job.ID }

// SubmitRequest tells the owner of a job that is in the store.
type SubmitRequest struct{ Job job.Job }

// SubmitReply says whether the owner cannot keep up: it is to be asked before the next job
// is accepted.
type SubmitReply struct{ Behind bool }

// AdmitRequest asks whether a job that was not accepted yet would be done in time.
type AdmitRequest struct{ Job job.Job }

// AdmitReply is the owner's answer: by how much the job would be late, 0 if it would not.
type AdmitReply struct {
	Owner  bool
	LateBy time.Duration
}

// Empty is a reply without content.
type Empty struct{ Ignored bool }

// Operation is a call to the store.
type Operation int

// The operations of a relay.
const (
	OpGet Operation = iota
	OpRange
	OpWatch
	OpCommit
	OpGrant
	OpKeepAlive
	OpEndLease
)

// RelayRequest is a call to the store for another daemon.
type RelayRequest struct {
	Op       Operation
	Key      string // or prefix
	After    string
	Revision int64
	Stale    bool
	Wait     time.Duration // of a watch, or the time to live of a lease
	Txn      ledger.Txn
	Lease    ledger.LeaseID
}

// RelayReply is the store's answer. Message is empty if there was no error.
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

// Handler answers peers.
type Handler interface {
	State(r StateRequest) StateReply
	Pending(r PendingRequest) PendingReply
	Cancelled(r CancelRequest)
	Submitted(r SubmitRequest) SubmitReply
	Admit(r AdmitRequest) AdmitReply
	Relay(r RelayRequest) RelayReply
	CheckPresence(addr string) Presence
}

// server adapts a Handler to net/rpc's form of methods.
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

// Serve answers peers on l until it is closed.
func Serve(l net.Listener, h Handler) error {
	srv := rpc.NewServer()
	if err := srv.RegisterName(serviceName, &server{h}); err != nil {
		return err
	}
	srv.Accept(l)
	return nil
}

// Client calls peers over one kept connection each.
type Client struct{ conns rpcconn.Pool }

// NewClient returns a client without connections.
func NewClient() *Client { return &Client{} }

// call makes one call. A connection that is broken is closed, and one that does not
// answer in time is left.
func (c *Client) call(ctx context.Context, addr, method string, req, reply any) error {
	conn, err := c.conns.Get(addr, func() (net.Conn, error) { return netdial.Dialer(dialTimeout).DialContext(ctx, "tcp", addr) })
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, CodePeerUnreachable, "peer %s", addr)
	}
	defer c.conns.Release(conn)
	pending := conn.Go(serviceName+"."+method, req, reply, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.conns.Retire(conn)
		}
		return verdict.Wrap(ctx.Err(), verdict.MayHaveRun, CodePeerUnreachable, "peer %s %s", addr, method)
	case <-pending.Done:
	}
	if pending.Error == nil {
		return nil
	}
	c.conns.Discard(conn)
	return verdict.Wrap(pending.Error, verdict.MayHaveRun, CodePeerUnreachable, "peer %s %s", addr, method)
}

// callRepeatable puts a question that may be repeated. A first try has half the time until
// the deadline: its connection may have gone silent, and the second opens another.
func callRepeatable[R any](ctx context.Context, c *Client, addr, method string, question any) (R, error) {
	var first, second R
	half, cancel := withHalfTimeout(ctx)
	defer cancel()
	if err := c.call(half, addr, method, question, &first); err == nil || ctx.Err() != nil {
		return first, err
	}
	err := c.call(ctx, addr, method, question, &second)
	return second, err
}

// withHalfTimeout returns a context with half of the time that ctx has.
func withHalfTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	end, bounded := ctx.Deadline()
	if !bounded {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Until(end)/2)
}

// State asks the peer at addr for the state of a job.
func (c *Client) State(ctx context.Context, addr string, id job.ID) (StateReply, error) {
	return callRepeatable[StateReply](ctx, c, addr, "State", StateRequest{id})
}

// Pending asks the peer at addr for the length of a queue.
func (c *Client) Pending(ctx context.Context, addr, queue string) (PendingReply, error) {
	return callRepeatable[PendingReply](ctx, c, addr, "Pending", PendingRequest{queue})
}

// Cancelled tells the peer at addr of a cancellation.
func (c *Client) Cancelled(ctx context.Context, addr string, id job.ID) error {
	return c.call(ctx, addr, "Cancelled", CancelRequest{id}, &Empty{})
}

// Submitted tells the peer at addr of a job.
func (c *Client) Submitted(ctx context.Context, addr string, j *job.Job) (SubmitReply, error) {
	var out SubmitReply
	err := c.call(ctx, addr, "Submitted", SubmitRequest{*j}, &out)
	return out, err
}

// Admit asks the peer at addr whether a job would be done in time. An owner that is behind
// is not asked twice.
func (c *Client) Admit(ctx context.Context, addr string, j *job.Job) (AdmitReply, error) {
	var out AdmitReply
	err := c.call(ctx, addr, "Admit", AdmitRequest{*j}, &out)
	return out, err
}

// Relay makes a call to the store by way of the peer at addr.
func (c *Client) Relay(ctx context.Context, addr string, r RelayRequest) (RelayReply, error) {
	var out RelayReply
	err := c.call(ctx, addr, "Relay", r, &out)
	return out, err
}
