// Package rpcconn pools net/rpc connections: one per peer, shared by all calls to it.
package rpcconn

import (
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
)

// Pool holds connections by address. The zero value is ready to use.
type Pool struct {
	mu    sync.Mutex
	conns map[string]*Conn
}

// Conn is a connection to a peer. Pool.Release must be called after each call that uses it.
type Conn struct {
	*rpc.Client
	addr string
	conn *trackedConn

	inFlight int  // calls that use the connection; guarded by Pool.mu
	retired  bool // closed after the calls in flight; guarded by Pool.mu
}

// trackedConn is a net.Conn that records whether a read has failed.
type trackedConn struct {
	net.Conn
	broken atomic.Bool
}

// Read implements net.Conn.
func (t *trackedConn) Read(p []byte) (int, error) {
	n, err := t.Conn.Read(p)
	if err != nil {
		t.broken.Store(true)
	}
	return n, err
}

// Broken reports whether the connection was closed by the peer or failed.
func (c *Conn) Broken() bool { return c.conn.broken.Load() }

// Get returns the pooled connection to addr, or one that dial opens if there is none or it is
// broken. The caller must call Release after its call.
func (p *Pool) Get(addr string, dial func() (net.Conn, error)) (*Conn, error) {
	if pooled := p.acquire(addr); pooled != nil {
		if !pooled.Broken() {
			return pooled, nil
		}
		p.Discard(pooled)
		p.Release(pooled)
	}
	raw, err := dial()
	if err != nil {
		return nil, err
	}
	return p.add(addr, raw), nil
}

// acquire returns the pooled connection to addr for one more call, nil if there is none.
func (p *Pool) acquire(addr string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	pooled := p.conns[addr]
	if pooled != nil {
		pooled.inFlight++
	}
	return pooled
}

// add adds a new connection to the pool and returns it. If another call has added one meanwhile,
// add closes the new one and returns the other.
func (p *Pool) add(addr string, raw net.Conn) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if other := p.conns[addr]; other != nil {
		_ = raw.Close() // nothing was sent on it
		other.inFlight++
		return other
	}
	if p.conns == nil {
		p.conns = map[string]*Conn{}
	}
	tracked := &trackedConn{Conn: raw}
	c := &Conn{Client: rpc.NewClient(tracked), addr: addr, conn: tracked, inFlight: 1}
	p.conns[addr] = c
	return c
}

// Release ends a call's use of a connection. A retired connection is closed after its last call.
func (p *Pool) Release(c *Conn) {
	p.mu.Lock()
	c.inFlight--
	unused := c.retired && c.inFlight == 0
	p.mu.Unlock()
	if unused {
		_ = c.Close() // may be closed already
	}
}

// Retire removes a connection from the pool after a call on it timed out, as it may be
// broken. Calls in flight still use it, as the peer may be slow with only that one reply: if they
// were repeated on a new connection, a slow peer would do all their work twice.
func (p *Pool) Retire(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.retired = true
	p.remove(c)
}

// Discard closes a connection that failed and removes it from the pool.
func (p *Pool) Discard(c *Conn) {
	p.mu.Lock()
	p.remove(c)
	p.mu.Unlock()
	_ = c.Close() // may be closed already
}

// remove removes a connection from the pool. The caller holds mu.
func (p *Pool) remove(c *Conn) {
	if p.conns[c.addr] == c {
		delete(p.conns, c.addr)
	}
}

// Close closes all pooled connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close() // may be closed already
	}
	clear(p.conns)
}
