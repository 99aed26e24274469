// Package peerrpc is the client and server for calls between entry daemons over
// net/rpc.
//
// A connection starts with a handshake line that holds the fleet's shared token.
// Without a valid handshake the server closes it before decoding anything.
package peerrpc

import (
	"bufio"
	"crypto/subtle"
	"errors"
	"io"
	"net"
	"net/rpc"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/requests/idempotency"
	"github.com/postmount/postmount/requests/port"
	"github.com/postmount/postmount/requests/slots"
)

// Connection set-up.
const (
	handshakePrefix   = "postmount-peer/1 "
	maxHandshakeBytes = 256
	handshakeTimeout  = 2 * time.Second
	// idleTimeout closes a connection that receives nothing; heartbeats are far
	// more frequent.
	idleTimeout = time.Minute
	// maxConnections bounds the connections open at the same time.
	maxConnections = 128
)

// Server serves a port.PeerServer.
type Server struct {
	token  string
	bytes  *ByteCounts
	rpc    *rpc.Server
	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
	wg     sync.WaitGroup
	// Rejected counts connections closed because the handshake was invalid, there were
	// maxConnections already, or the server was closed.
	Rejected atomic.Int64
}

// NewServer returns a server that passes the calls of peers with the given token to
// handler and adds its traffic to bytes.
func NewServer(token string, handler port.PeerServer, bytes *ByteCounts) *Server {
	s := &Server{token: token, bytes: bytes, rpc: rpc.NewServer(), conns: map[net.Conn]bool{}}
	// RegisterName fails only for a receiver without suitable methods.
	if err := s.rpc.RegisterName(serviceName, &service{handler}); err != nil {
		panic(err)
	}
	return s
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		if !s.addConn(conn) {
			s.Rejected.Add(1)
			conn.Close()
			continue
		}
		go s.serveConn(conn)
	}
}

// addConn registers a connection. It returns false if the server is closed or has
// maxConnections.
func (s *Server) addConn(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= maxConnections {
		return false
	}
	s.conns[conn] = true
	s.wg.Add(1)
	return true
}

// serveConn checks the handshake of a connection and serves its calls until it is
// closed.
func (s *Server) serveConn(conn net.Conn) {
	defer s.wg.Done()
	defer s.removeConn(conn)
	_ = conn.SetReadDeadline(time.Now().Add(handshakeTimeout))
	r := bufio.NewReader(conn)
	if !s.readHandshake(r) {
		s.Rejected.Add(1)
		return
	}
	s.rpc.ServeConn(&readDeadlineConn{Conn: conn, r: r, bytes: s.bytes})
}

// readHandshake reads the handshake line and reports whether its token is valid. The
// comparison takes the same time wherever the tokens differ.
func (s *Server) readHandshake(r *bufio.Reader) bool {
	line, err := bufio.NewReader(io.LimitReader(oneByteReader{r}, maxHandshakeBytes)).ReadString('\n')
	if err != nil {
		return false
	}
	token, ok := strings.CutPrefix(strings.TrimSuffix(line, "\n"), handshakePrefix)
	return ok && subtle.ConstantTimeCompare([]byte(token), []byte(s.token)) == 1
}

// oneByteReader reads one byte per call, so that nothing after the handshake is
// consumed.
type oneByteReader struct{ r io.Reader }

// Read implements io.Reader.
func (o oneByteReader) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	return o.r.Read(p[:1])
}

func (s *Server) removeConn(conn net.Conn) {
	conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// Close closes every connection and waits for their goroutines.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// readDeadlineConn renews the read deadline at every read and counts the traffic.
type readDeadlineConn struct {
	net.Conn
	r     io.Reader
	bytes *ByteCounts
}

// Write implements net.Conn.
func (c *readDeadlineConn) Write(p []byte) (int, error) {
	c.bytes.Out.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *readDeadlineConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
		return 0, err
	}
	n, err := c.r.Read(p)
	c.bytes.In.Add(int64(n))
	return n, err
}

// serviceName is the prefix of the RPC methods' names.
const serviceName = "Peer"

// service adapts a port.PeerServer to net/rpc. The names of its methods are part of
// the protocol between daemons.
type service struct{ h port.PeerServer }

// Void is the argument of calls that take none and the reply of calls that return
// nothing.
type Void struct{}

// Beat handles a heartbeat.
func (s *service) Beat(b port.Heartbeat, out *port.HeartbeatReply) error {
	*out = s.h.OnHeartbeat(b)
	return nil
}

// Changes returns the records that changed after revision since.
func (s *service) Changes(since fleet.Revision, out *port.Changes) error {
	*out = s.h.OnChanges(since)
	return nil
}

// Claim handles a peer's claim of an idempotency key.
func (s *service) Claim(r idempotency.Request, out *idempotency.Reply) error {
	*out = s.h.OnClaim(r)
	return nil
}

// Note records the state of an attempt; out is false if this daemon does not own the
// partition of its key.
func (s *service) Note(n idempotency.Claim, out *bool) error {
	*out = s.h.OnAttemptReport(n)
	return nil
}

// Transfer takes over the claims of a partition; out reports whether it did.
func (s *service) Transfer(t idempotency.Transfer, out *bool) error {
	*out = s.h.OnTransfer(t)
	return nil
}

// Borrow lends a slot of a worker to a peer.
func (s *service) Borrow(r port.BorrowRequest, out *port.BorrowReply) error {
	*out = s.h.OnBorrow(r)
	return nil
}

// Return takes back lent slots.
func (s *service) Return(loans []slots.LoanID, _ *Void) error { s.h.OnReturn(loans); return nil }

// Burn returns this daemon's request counts against its objectives.
func (s *service) Burn(_ Void, out *port.BurnCounts) error { *out = s.h.OnBurn(); return nil }
