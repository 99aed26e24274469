// Package backendhttp sends one request to one worker over HTTP/1.1 and reports
// whether the request may have run.
package backendhttp

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/requests/port"
	"github.com/postmount/postmount/verdict"
)

// Headers of requests to workers and of their responses.
const (
	// HeaderRequestID is sent with every attempt and echoed by the backend server.
	HeaderRequestID = "X-Request-Id"
	// HeaderNotRun with the value "true" in a response means that the backend
	// server refused the request before running it.
	HeaderNotRun = "X-Request-Not-Run"
)

// Options of a client.
type Options struct {
	// MaxConnections bounds this daemon's connections to one worker.
	MaxConnections int
	ConnectTimeout time.Duration
	IdleTimeout    time.Duration // after which an unused connection is closed
	MaxAnswerBytes int64         // of a response's body
}

// Client implements port.Backend with one pool of connections per worker.
type Client struct {
	opts Options
	mu   sync.Mutex
	// transports are keyed by worker and address, so that a worker replaced at
	// another address does not share connections with its predecessor.
	transports map[workerAddr]*http.Transport
}

// workerAddr is a worker and the address (IP:port) at which it is called.
type workerAddr struct {
	id   fleet.InstanceID
	addr string
}

var _ port.Backend = (*Client)(nil)

// New returns a client without connections.
func New(opts Options) *Client {
	return &Client{opts: opts, transports: map[workerAddr]*http.Transport{}}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.transports {
		t.CloseIdleConnections()
	}
}

// RetainConnections closes the idle connections to workers that are not in live,
// which maps each worker in use to its address.
func (c *Client) RetainConnections(live map[fleet.InstanceID]string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, t := range c.transports {
		if live[k.id] != k.addr {
			t.CloseIdleConnections()
			delete(c.transports, k)
		}
	}
}

// transport returns the worker's transport and creates it on first use.
func (c *Client) transport(w workerAddr) *http.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t, ok := c.transports[w]; ok {
		return t
	}
	dialer := &net.Dialer{Timeout: c.opts.ConnectTimeout}
	t := &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &trackedConn{Conn: conn}, nil
		},
		MaxConnsPerHost:     c.opts.MaxConnections,
		MaxIdleConnsPerHost: c.opts.MaxConnections,
		IdleConnTimeout:     c.opts.IdleTimeout,
		DisableCompression:  true,
	}
	c.transports[w] = t
	return t
}

// opaqueBody hides the type of the request's body from net/http. The transport
// cannot replay a request whose body is neither nil nor http.NoBody and has no
// GetBody, not even one with an Idempotency-Key, which it would otherwise replay.
type opaqueBody struct{ io.Reader }

// Close implements io.Closer.
func (opaqueBody) Close() error { return nil }

// Send implements port.Backend. The verdict of an error is NotRun only if no byte was
// written to a connection, or if the backend server reported that it did not run the
// request.
func (c *Client) Send(ctx context.Context, r port.BackendRequest) (*port.BackendAnswer, error) {
	conns := &requestConns{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: conns.gotConn})
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+r.Addr+r.URI, nil)
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, port.CodeBackendUnreachable, "invalid request to worker %s", r.Worker)
	}
	req.Body = opaqueBody{bytes.NewReader(r.Body)}
	req.ContentLength = int64(len(r.Body))
	req.Header = r.Header
	req.Host = r.Host
	req.Header.Set(HeaderRequestID, r.RequestID)
	transport := c.transport(workerAddr{r.Worker, r.Addr})
	resp, err := transport.RoundTrip(req)
	if err != nil {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			transport.CloseIdleConnections() // if this connection has gone silent, they may have too
		}
		return nil, classifyError(ctx, err, conns.sealUnwritten(), r.Worker)
	}
	defer resp.Body.Close()
	return c.readResponse(ctx, r, resp)
}

// classifyError converts the error of a failed round trip. unsent means that no
// byte was written to a connection, so that the request did not run.
func classifyError(ctx context.Context, err error, unsent bool, w fleet.InstanceID) error {
	if unsent {
		return verdict.Wrap(err, verdict.NotRun, port.CodeBackendUnreachable, "request to worker %s failed", w)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.Wrap(err, verdict.MayHaveRun, port.CodeBackendTimeout, "request to worker %s failed", w)
	}
	return verdict.Wrap(err, verdict.MayHaveRun, port.CodeBackendConnectionBroken, "request to worker %s failed", w)
}

// readResponse reads the whole response. One that is truncated, too large, for another
// request or marked as not run is an error.
func (c *Client) readResponse(ctx context.Context, r port.BackendRequest, resp *http.Response) (*port.BackendAnswer, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.opts.MaxAnswerBytes+1))
	switch {
	case err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded):
		return nil, verdict.Wrap(err, verdict.MayHaveRun, port.CodeBackendTimeout, "read the response of worker %s", r.Worker)
	case err != nil:
		return nil, verdict.Wrap(err, verdict.MayHaveRun, port.CodeBackendAnswerTruncated, "read the response of worker %s", r.Worker)
	case int64(len(body)) > c.opts.MaxAnswerBytes:
		return nil, verdict.New(verdict.MayHaveRun, port.CodeBackendAnswerTooLarge, "response of worker %s exceeds %d bytes", r.Worker, c.opts.MaxAnswerBytes)
	}
	if echo := resp.Header.Get(HeaderRequestID); echo != "" && echo != r.RequestID {
		return nil, verdict.New(verdict.MayHaveRun, port.CodeBackendAnswerForeign, "response of worker %s is for request %q instead of %q", r.Worker, echo, r.RequestID)
	}
	if resp.Header.Get(HeaderNotRun) == "true" {
		return nil, verdict.New(verdict.NotRun, port.CodeBackendRefused, "worker %s refused the request with status %d", r.Worker, resp.StatusCode)
	}
	return &port.BackendAnswer{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// trackedConn counts attempted writes. It can be sealed, so that further writes fail,
// if there were none since an earlier count.
type trackedConn struct {
	net.Conn
	mu     sync.Mutex
	writes int
	sealed bool
}

// Write implements net.Conn. The write is counted before it is made.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (c *trackedConn) writeCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// sealIfUnwritten reports whether nothing was written since the count was writes.
// If so, it seals the connection: a write that the transport makes later fails.
func (c *trackedConn) sealIfUnwritten(writes int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != writes {
		return false
	}
	c.sealed = true
	return true
}

// requestConns records the connections that the transport assigned to one request,
// with their write counts at that time.
type requestConns struct {
	mu           sync.Mutex
	conns        []*trackedConn
	writesBefore []int
	closed       bool // set by sealUnwritten: later connections are sealed immediately
}

// gotConn is the httptrace hook that is called before a request is written to conn.
func (t *requestConns) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*trackedConn)
	if !ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	writes := conn.writeCount()
	if t.closed {
		conn.sealIfUnwritten(writes)
		return
	}
	t.conns = append(t.conns, conn)
	t.writesBefore = append(t.writesBefore, writes)
}

// sealUnwritten reports whether the request was written to none of its connections,
// and seals each connection that it was not written to, those assigned later too.
func (t *requestConns) sealUnwritten() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	unsent := true
	for i, conn := range t.conns {
		unsent = conn.sealIfUnwritten(t.writesBefore[i]) && unsent
	}
	return unsent
}
