// Package connlimit bounds the connections that a listener has open at the same time, and what their clients
// may do to keep them open.
package connlimit

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Reason says why a connection was closed.
type Reason string

// The reasons.
const (
	// Idle means that nothing was received on it or sent for the longest time when another one needed its place.
	Idle Reason = "idle"
	// AllBusy means that no other one was idle for a second after it had arrived.
	AllBusy Reason = "all-busy"
	// HeaderTooLarge means that the header of a request exceeded the limit.
	HeaderTooLarge Reason = "header-too-large"
)

// WriteTimeout bounds one write: a client has to read its answers.
const WriteTimeout = 10 * time.Second

const (
	// minIdle is how long nothing must have happened on a connection that is closed for another one. Arrivals wait
	// that long in the order in which they came, so that a crowd that keeps returning takes no place from a client
	// which has just connected.
	minIdle = 100 * time.Millisecond
	// maxPlaceWait bounds the wait of an arrival for a place, placeInterval is how often it looks for one.
	maxPlaceWait  = time.Second
	placeInterval = 5 * time.Millisecond
)

// headerReadAhead is how much an http.Server reads beyond a header.
const headerReadAhead = 4096

var errHeaderTooLarge = errors.New("the header of the request is too large")

// Listener is a net.Listener with at most a fixed number of open connections. Instead of refusing a connection at
// that bound, it closes the idlest one.
type Listener struct {
	net.Listener
	max         int
	headerLimit func() int // bytes; nil: unlimited
	closed      func(Reason)

	mu    sync.Mutex
	conns map[*Conn]struct{}
}

// New returns a listener that has at most max connections of l open. headerLimit, if not nil, returns the limit of a
// request's header in bytes. closed is called for each connection that the listener closes.
func New(l net.Listener, max int, headerLimit func() int, closed func(Reason)) *Listener {
	return &Listener{Listener: l, max: max, headerLimit: headerLimit, closed: closed, conns: map[*Conn]struct{}{}}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: raw, listener: l}
		if l.awaitPlace(c) {
			return c, nil
		}
		l.closed(AllBusy)
		_ = raw.Close() // nothing was read
	}
}

// awaitPlace registers a connection as soon as there is room; it returns false if there is none for maxPlaceWait.
func (l *Listener) awaitPlace(c *Conn) bool {
	for end := time.Now().Add(maxPlaceWait); ; time.Sleep(placeInterval) {
		c.touch()
		if l.add(c) {
			return true
		}
		if time.Now().After(end) {
			return false
		}
	}
}

// add registers a connection. If there is no room, it closes the idlest one before; it returns false if none is idle.
func (l *Listener) add(c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.conns) >= l.max {
		idlest := l.idlest()
		if idlest == nil {
			return false
		}
		delete(l.conns, idlest)
		if idlest.state.CompareAndSwap(stateIdle, stateClosed) {
			_ = idlest.Conn.Close() // its owner sees the error of a read
			l.closed(Idle)
		}
	}
	l.conns[c] = struct{}{}
	return true
}

// idlest returns the connection to close first, nil if none is idle: those that are not established go first,
// then those on which nothing happened for the longest time. The caller holds mu.
func (l *Listener) idlest() *Conn {
	var out *Conn
	idleBefore := time.Now().Add(-minIdle).UnixNano()
	for c := range l.conns {
		if c.state.Load() == stateIdle && c.used.Load() <= idleBefore && (out == nil || c.before(out)) {
			out = c
		}
	}
	return out
}

func (c *Conn) before(other *Conn) bool {
	if a, b := c.established.Load(), other.established.Load(); a != b {
		return b
	}
	return c.used.Load() < other.used.Load()
}

func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// States of a connection.
const (
	stateIdle int32 = iota // may be closed for another one
	stateBusy
	stateClosed
)

// Conn is a connection of a Listener.
type Conn struct {
	net.Conn
	listener    *Listener
	state       atomic.Int32
	used        atomic.Int64 // time of the last byte received or sent, Unix time in ns
	established atomic.Bool
	header      atomic.Int64 // bytes received of a header; negative: no header is being received
}

func (c *Conn) touch() { c.used.Store(time.Now().UnixNano()) }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.touch()
	}
	if limit := c.listener.headerLimit; limit != nil && c.header.Load() >= 0 {
		if c.header.Add(int64(n)) > int64(limit()+headerReadAhead) {
			c.listener.closed(HeaderTooLarge)
			return 0, errHeaderTooLarge
		}
	}
	return n, err
}

// Write implements net.Conn. It fails if the client does not read for WriteTimeout.
func (c *Conn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(WriteTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.touch()
	}
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.listener.remove(c)
	return c.Conn.Close()
}

// CloseWrite closes the sending direction, so that an http.Server's last response is not lost with a reset.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Begin marks the connection as busy, so that it is not closed for another one. It returns false if it was closed.
// A nil Conn is never closed.
func (c *Conn) Begin() bool {
	return c == nil || c.state.CompareAndSwap(stateIdle, stateBusy) || c.state.Load() == stateBusy
}

// End undoes Begin.
func (c *Conn) End() {
	if c == nil {
		return
	}
	c.touch()
	c.state.CompareAndSwap(stateBusy, stateIdle)
}

// Establish marks a connection of a known client: it is closed after those that are not marked.
func (c *Conn) Establish() { c.established.Store(true) }

type contextKey struct{}

// FromContext returns the connection of a request, nil if its server was not set up by Configure.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}

// Configure sets up a server whose listener is a Listener: the limit of headers, and FromContext.
func Configure(s *http.Server) {
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := FromContext(r.Context()); c != nil {
			c.header.Store(-1)
		}
		next.ServeHTTP(w, r)
	})
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if c, ok := c.(*Conn); ok {
			return context.WithValue(ctx, contextKey{}, c)
		}
		return ctx
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if c, ok := c.(*Conn); ok && state == http.StateIdle {
			c.header.Store(0)
			c.End()
		}
	}
}
