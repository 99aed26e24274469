// Package rpcconn keeps one net/rpc connection to each peer, which all calls to it share.
package rpcconn

import (
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
)

// Pool keeps connections by address. Its zero value is ready to use.
type Pool struct {
	mu    sync.Mutex
	conns map[string]*Conn
}

// Conn is a connection to a peer, held for one call.
type Conn struct {
	*rpc.Client
	addr string
	conn *trackedConn

	inFlight int  // calls; under the pool's mu
	retired  bool // it is for the calls under way alone; likewise
}

// trackedConn is a connection that remembers that reading from it has ended.
type trackedConn struct {
	net.Conn
	broken atomic.Bool
}

// Read implements net.Conn.
func (e *trackedConn) Read(p []byte) (int, error) {
	n, err := e.Conn.Read(p)
	if err != nil {
		e.broken.Store(true)
	}
	return n, err
}

// Broken reports whether the other side, or the network, has ended the connection.
func (c *Conn) Broken() bool { return c.conn.broken.Load() }

// Get returns the kept connection to addr, or one that dial opens if there is none or it
// has ended. The call that it is for ends with Release.
func (p *Pool) Get(addr string, dial func() (net.Conn, error)) (*Conn, error) {
	if kept := p.acquire(addr); kept != nil {
		if !kept.Broken() {
			return kept, nil
		}
		p.Discard(kept)
		p.Release(kept)
	}
	raw, err := dial()
	if err != nil {
		return nil, err
	}
	return p.add(addr, raw), nil
}

// acquire returns the kept connection to addr for a call, nil if there is none.
func (p *Pool) acquire(addr string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.conns[addr]
	if kept != nil {
		kept.inFlight++
	}
	return kept
}

// add stores a new connection, or closes it if another call was faster.
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
	noter := &trackedConn{Conn: raw}
	c := &Conn{Client: rpc.NewClient(noter), addr: addr, conn: noter, inFlight: 1}
	p.conns[addr] = c
	return c
}

// Release ends a call. The last one closes a connection that was left.
func (p *Pool) Release(c *Conn) {
	p.mu.Lock()
	c.inFlight--
	over := c.retired && c.inFlight == 0
	p.mu.Unlock()
	if over {
		_ = c.Close() // it may have ended by itself
	}
}

// Retire takes a connection on which an answer is late out of use: it may have gone
// silent. Calls under way keep it, as the peer may be slow with that one answer alone;
// a slow peer would else do the work of all of them twice.
func (p *Pool) Retire(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.retired = true
	p.remove(c)
}

// Discard closes a connection that failed.
func (p *Pool) Discard(c *Conn) {
	p.mu.Lock()
	p.remove(c)
	p.mu.Unlock()
	_ = c.Close() // it may have ended by itself
}

// remove takes a connection out of those that are kept.
func (p *Pool) remove(c *Conn) {
	if p.conns[c.addr] == c {
		delete(p.conns, c.addr)
	}
}

// Close closes all connections that are kept.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close() // it may have ended by itself
	}
	clear(p.conns)
}
