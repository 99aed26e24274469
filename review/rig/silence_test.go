package rig

import (
	"net"
	"sync"
	"sync/atomic"
)

// silencer makes open channels go silent for good, without a reset, while new ones work.
type silencer struct {
	mu  sync.Mutex
	now *atomic.Bool // set once the channels that are open now are silent
}

func newSilencer() *silencer { return &silencer{now: new(atomic.Bool)} }

// silence makes all open channels go silent.
func (s *silencer) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now.Store(true)
	s.now = new(atomic.Bool)
}

// listener wraps a listener whose channels may go silent.
func (s *silencer) listener(l net.Listener) net.Listener { return &silentListener{l, s} }

type silentListener struct {
	net.Listener
	s *silencer
}

// Accept implements net.Listener.
func (l *silentListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	return &silentConn{c, l.s.now}, nil
}

type silentConn struct {
	net.Conn
	silent *atomic.Bool
}

// Read implements net.Conn. What arrives on a silent channel is lost.
func (c *silentConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn. What is sent on a silent channel is lost.
func (c *silentConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}
