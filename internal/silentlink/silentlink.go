// Package silentlink forwards connections that can go silent, for tests: no data passes any more in
// either direction, and no side is told, as after a middlebox has dropped its state.
package silentlink

import (
	"net"
	"sync"
)

// Link forwards TCP connections on a loopback address to a server.
type Link struct {
	listener net.Listener
	server   string

	mu     sync.Mutex
	silent chan struct{} // closed when the open connections go silent
	conns  []net.Conn
	opened int
}

// New starts a link to the server at addr.
func New(addr string) (*Link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	link := &Link{listener: l, server: addr, silent: make(chan struct{})}
	go link.accept()
	return link, nil
}

// Addr returns the address that clients connect to.
func (l *Link) Addr() string { return l.listener.Addr().String() }

// Opened returns the number of connections that clients have opened so far.
func (l *Link) Opened() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.opened
}

// GoSilent makes all open connections silent for good. New connections work.
func (l *Link) GoSilent() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.silent)
	l.silent = make(chan struct{})
}

// Close closes the link and all its connections.
func (l *Link) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.listener.Close() // its connections are closed too
	for _, c := range l.conns {
		_ = c.Close() // may be closed already
	}
}

func (l *Link) accept() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", l.server)
		if err != nil {
			_ = client.Close() // the client sees a reset
			continue
		}
		l.mu.Lock()
		silent := l.silent
		l.conns = append(l.conns, client, server)
		l.opened++
		l.mu.Unlock()
		go forward(server, client, silent)
		go forward(client, server, silent)
	}
}

// forward copies data until a side closes. Once silent is closed it only reads, and neither data nor
// the end of the connection passes.
func forward(to, from net.Conn, silent <-chan struct{}) {
	chunk := make([]byte, 32<<10)
	for {
		n, err := from.Read(chunk)
		select {
		case <-silent:
			if err != nil {
				return
			}
			continue
		default:
		}
		if err != nil {
			_ = to.Close() // passes the end on
			return
		}
		if _, err := to.Write(chunk[:n]); err != nil {
			_ = from.Close() // passes the end on
			return
		}
	}
}
