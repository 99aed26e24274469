package peerrpc

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync/atomic"
	"time"

	"github.com/postmount/postmount/internal/rpcconn"
	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/requests/idempotency"
	"github.com/postmount/postmount/requests/port"
	"github.com/postmount/postmount/requests/slots"
	"github.com/postmount/postmount/verdict"
)

// CodePeerUnreachable is the code of every failed call to a peer.
const CodePeerUnreachable verdict.Code = "peer-unreachable"

// Client implements port.Peers with one connection per peer, opened on demand.
type Client struct {
	token          string
	connectTimeout time.Duration // also of sending the handshake
	callTimeout    time.Duration // of one call and of one write

	conns rpcconn.Pool
	// Bytes counts the bytes sent and received, including those of a Server that
	// was given this counter.
	Bytes ByteCounts
	// Blocked makes calls to the addresses for which it returns true fail; tests
	// and the demo use it to partition peers. Nil blocks none.
	Blocked func(addr string) bool
}

// ByteCounts counts the bytes received (In) and sent (Out) between daemons.
type ByteCounts struct{ In, Out atomic.Int64 }

var _ port.Peers = (*Client)(nil)

// NewClient returns a client without connections. token is the fleet's shared token.
func NewClient(token string, connectTimeout, callTimeout time.Duration) *Client {
	return &Client{
		token:          token,
		connectTimeout: connectTimeout,
		callTimeout:    callTimeout,
	}
}

// Close closes every connection.
func (c *Client) Close() { c.conns.Close() }

// dial opens a connection to addr and sends the handshake.
func (c *Client) dial(ctx context.Context, addr string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: c.connectTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	_ = conn.SetWriteDeadline(time.Now().Add(c.connectTimeout))
	if _, err := fmt.Fprintf(conn, "%s%s\n", handshakePrefix, c.token); err != nil {
		conn.Close()
		return nil, err
	}
	_ = conn.SetWriteDeadline(time.Time{})
	return &writeDeadlineConn{conn, c.callTimeout, &c.Bytes}, nil
}

// call makes one call, bounded by ctx and the call timeout. After a call that timed
// out, its connection takes no new calls.
//
// The reply is read only after the call has succeeded: net/rpc may still write to
// the reply of an abandoned call.
func call[R any](ctx context.Context, c *Client, addr, method string, args any) (R, error) {
	var zero R
	if c.Blocked != nil && c.Blocked(addr) {
		return zero, verdict.New(verdict.NotRun, CodePeerUnreachable, "call to peer %s blocked by a simulated partition", addr)
	}
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	conn, err := c.conns.Get(addr, func() (net.Conn, error) { return c.dial(ctx, addr) })
	if err != nil {
		return zero, verdict.Wrap(err, verdict.NotRun, CodePeerUnreachable, "call to peer %s failed", addr)
	}
	defer c.conns.Release(conn)
	reply := new(R)
	call := conn.Go(serviceName+"."+method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if err := c.callError(addr, conn, call.Error); err != nil {
			return zero, err
		}
		return *reply, nil
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.conns.Retire(conn)
		}
		return zero, verdict.Wrap(ctx.Err(), verdict.MayHaveRun, CodePeerUnreachable, "call to peer %s failed", addr)
	}
}

// callError converts the error of a completed call, and discards the connection
// unless the peer returned the error, which leaves the connection usable.
func (c *Client) callError(addr string, conn *rpcconn.Conn, err error) error {
	if err == nil {
		return nil
	}
	var serverErr rpc.ServerError
	if !errors.As(err, &serverErr) {
		c.conns.Discard(conn)
	}
	return verdict.Wrap(err, verdict.MayHaveRun, CodePeerUnreachable, "call to peer %s failed", addr)
}

// writeDeadlineConn bounds every write, so that a peer that does not read cannot
// block a caller's goroutine, and counts the traffic.
type writeDeadlineConn struct {
	net.Conn
	timeout time.Duration
	bytes   *ByteCounts
}

// Read implements net.Conn.
func (c *writeDeadlineConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.In.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *writeDeadlineConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	c.bytes.Out.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// Heartbeat implements port.Peers.
func (c *Client) Heartbeat(ctx context.Context, addr string, b port.Heartbeat) (port.HeartbeatReply, error) {
	return call[port.HeartbeatReply](ctx, c, addr, "Beat", b)
}

// Changes implements port.Peers.
func (c *Client) Changes(ctx context.Context, addr string, since fleet.Revision) (port.Changes, error) {
	return call[port.Changes](ctx, c, addr, "Changes", since)
}

// Claim implements port.Peers.
func (c *Client) Claim(ctx context.Context, addr string, r idempotency.Request) (idempotency.Reply, error) {
	return call[idempotency.Reply](ctx, c, addr, "Claim", r)
}

// ReportAttempt implements port.Peers.
func (c *Client) ReportAttempt(ctx context.Context, addr string, n idempotency.Claim) (bool, error) {
	return call[bool](ctx, c, addr, "Note", n)
}

// Transfer implements port.Peers.
func (c *Client) Transfer(ctx context.Context, addr string, t idempotency.Transfer) (bool, error) {
	return call[bool](ctx, c, addr, "Transfer", t)
}

// Borrow implements port.Peers.
func (c *Client) Borrow(ctx context.Context, addr string, r port.BorrowRequest) (port.BorrowReply, error) {
	return call[port.BorrowReply](ctx, c, addr, "Borrow", r)
}

// Return implements port.Peers.
func (c *Client) Return(ctx context.Context, addr string, loans []slots.LoanID) error {
	_, err := call[Void](ctx, c, addr, "Return", loans)
	return err
}

// Burn implements port.Peers.
func (c *Client) Burn(ctx context.Context, addr string) (port.BurnCounts, error) {
	return call[port.BurnCounts](ctx, c, addr, "Burn", Void{})
}
