// Package backendhttp sends one request to one worker over HTTP/1.1 and says
// exactly whether it may have run.
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

// Header names on the way to a worker and back.
const (
	// HeaderRequestID is sent with every try and echoed by the backend server.
	HeaderRequestID = "X-Request-Id"
	// HeaderNotRun set to "true" on an answer says that the backend server
	// refused the request before it ran.
	HeaderNotRun = "X-Request-Not-Run"
)

// Options of a client.
type Options struct {
	// MaxConnections bounds this daemon's connections to one worker.
	MaxConnections int
	ConnectTimeout time.Duration
	IdleTimeout    time.Duration
	MaxAnswerBytes int64
}

// Client implements port.Backend with one pool of connections per worker.
type Client struct {
	opts Options
	mu   sync.Mutex
	// transports are keyed by worker, so that a worker that is replaced at
	// another address does not share connections with its predecessor.
	transports map[workerAddr]*http.Transport
}

type workerAddr struct {
	id   fleet.InstanceID
	addr string
}

var _ port.Backend = (*Client)(nil)

// New returns a client without connections.
func New(opts Options) *Client {
	return &Client{opts: opts, transports: map[workerAddr]*http.Transport{}}
}

// Close drops idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.transports {
		t.CloseIdleConnections()
	}
}

// RetainConnections drops the connections to workers that are not in live.
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

// opaqueBody hides the request's body from net/http. A body that is neither
// nil nor http.NoBody and has no GetBody makes the transport's own replays of
// a request impossible, also those it permits itself for an Idempotency-Key.
type opaqueBody struct{ io.Reader }

// Close implements io.Closer.
func (opaqueBody) Close() error { return nil }

// Send implements port.Backend.
func (c *Client) Send(ctx context.Context, r port.BackendRequest) (*port.BackendAnswer, error) {
	conns := &requestConns{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: conns.gotConn})
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+r.Addr+r.URI, nil)
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, port.CodeBackendUnreachable, "request to %s", r.Worker)
	}
	req.Body = opaqueBody{bytes.NewReader(r.Body)}
	req.ContentLength = int64(len(r.Body))
	req.Header = r.Header
	req.Host = r.Host
	req.Header.Set(HeaderRequestID, r.RequestID)
	resp, err := c.transport(workerAddr{r.Worker, r.Addr}).RoundTrip(req)
	if err != nil {
		return nil, classifyError(ctx, err, conns.sealUnwritten(), r.Worker)
	}
	defer resp.Body.Close()
	return c.readResponse(ctx, r, resp)
}

// classifyError says what a failed round trip means. Nothing ran if no byte was
// ever handed to a connection.
func classifyError(ctx context.Context, err error, unsent bool, w fleet.InstanceID) error {
	if unsent {
		return verdict.Wrap(err, verdict.NotRun, port.CodeBackendUnreachable, "worker %s", w)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.Wrap(err, verdict.MayHaveRun, port.CodeBackendTimeout, "worker %s", w)
	}
	return verdict.Wrap(err, verdict.MayHaveRun, port.CodeBackendConnectionBroken, "worker %s", w)
}

// readResponse takes in the whole answer; one that is cut, foreign or too large is an
// error.
func (c *Client) readResponse(ctx context.Context, r port.BackendRequest, resp *http.Response) (*port.BackendAnswer, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.opts.MaxAnswerBytes+1))
	switch {
	case err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded):
		return nil, verdict.Wrap(err, verdict.MayHaveRun, port.CodeBackendTimeout, "answer of worker %s", r.Worker)
	case err != nil:
		return nil, verdict.Wrap(err, verdict.MayHaveRun, port.CodeBackendAnswerTruncated, "answer of worker %s", r.Worker)
	case int64(len(body)) > c.opts.MaxAnswerBytes:
		return nil, verdict.New(verdict.MayHaveRun, port.CodeBackendAnswerTooLarge, "answer of worker %s exceeds %d bytes", r.Worker, c.opts.MaxAnswerBytes)
	}
	if echo := resp.Header.Get(HeaderRequestID); echo != "" && echo != r.RequestID {
		return nil, verdict.New(verdict.MayHaveRun, port.CodeBackendAnswerForeign, "worker %s answered request %q", r.Worker, echo)
	}
	if resp.Header.Get(HeaderNotRun) == "true" {
		return nil, verdict.New(verdict.NotRun, port.CodeBackendRefused, "worker %s refused with status %d", r.Worker, resp.StatusCode)
	}
	return &port.BackendAnswer{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// trackedConn counts the writes that were attempted, and can be closed to
// further writes as long as there were none since a mark.
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

// sealIfUnwritten reports whether nothing was written since mark. If so, nothing ever
// will be: a write that the transport still has under way fails.
func (c *trackedConn) sealIfUnwritten(writes int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != writes {
		return false
	}
	c.sealed = true
	return true
}

// requestConns remembers the connections that one request was given.
type requestConns struct {
	mu           sync.Mutex
	conns        []*trackedConn
	writesBefore []int
	closed       bool
}

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

// sealUnwritten reports whether the request reached none of its connections, and makes
// sure that it never will.
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
