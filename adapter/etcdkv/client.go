// Package etcdkv is a client of the platform's key-value store through the etcd
// v3 JSON gateway. It implements port.Store only, without elections and locks.
package etcdkv

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/requests/port"
	"github.com/postmount/postmount/verdict"
)

// Options of a client.
type Options struct {
	Addr    string        // IP:port of the store
	Timeout time.Duration // of every call except a watch
	// WatchIdleTimeout is how long a watch may receive nothing before it is closed
	// as broken.
	WatchIdleTimeout time.Duration
}

// Client implements port.Store.
type Client struct {
	opts     Options
	http     *http.Client
	Counters Counters
}

// Counters count calls, failed calls, and the bytes of request and response bodies,
// since the client was created.
type Counters struct {
	Reads, Writes, Watches, Errors, BytesIn, BytesOut atomic.Int64
}

var _ port.Store = (*Client)(nil)

// New returns a client. It connects on the first call.
func New(opts Options) *Client {
	dialer := &net.Dialer{Timeout: opts.Timeout}
	return &Client{
		opts: opts,
		http: &http.Client{Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: 8,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
		}},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// maxResponseBytes bounds the response of one call except a watch.
const maxResponseBytes = 64 << 20

// call makes one call and decodes the JSON response into resp. write tells whether a
// call that fails without a complete response may have changed the store.
func (c *Client) call(ctx context.Context, path string, write bool, req, resp any) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	c.count(write)
	httpResp, err := c.post(ctx, path, req)
	if err != nil {
		return c.transportError(err, write)
	}
	defer httpResp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(httpResp.Body, maxResponseBytes))
	c.Counters.BytesIn.Add(int64(len(body)))
	if err != nil {
		return c.transportError(err, write)
	}
	if httpResp.StatusCode != http.StatusOK {
		return c.statusError(httpResp.StatusCode, body)
	}
	if err := json.Unmarshal(body, resp); err != nil {
		return c.transportError(err, write)
	}
	return nil
}

func (c *Client) count(write bool) {
	if write {
		c.Counters.Writes.Add(1)
		return
	}
	c.Counters.Reads.Add(1)
}

// post sends req as JSON and returns the response, whose body the caller closes.
func (c *Client) post(ctx context.Context, path string, req any) (*http.Response, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, err
	}
	c.Counters.BytesOut.Add(int64(len(body)))
	// net/http sets no GetBody for a reader of an unknown type, so the transport
	// never replays a write.
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.opts.Addr+path, struct{ io.Reader }{bytes.NewReader(body)})
	if err != nil {
		return nil, err
	}
	r.ContentLength = int64(len(body))
	r.Header.Set("Content-Type", "application/json")
	return c.http.Do(r)
}

// transportError converts the error of a call without a complete response. A write
// may have taken effect unless the dial failed. The idle connections are closed: if
// this one has gone silent, they may have too.
func (c *Client) transportError(err error, write bool) error {
	c.Counters.Errors.Add(1)
	c.http.CloseIdleConnections()
	v := verdict.NotRun
	var opErr *net.OpError
	dialFailed := errors.As(err, &opErr) && opErr.Op == "dial"
	if write && !dialFailed {
		v = verdict.MayHaveRun
	}
	return verdict.Wrap(err, v, port.CodeStoreUnavailable, "store call failed")
}

// statusError converts a response with an error status.
func (c *Client) statusError(status int, body []byte) error {
	c.Counters.Errors.Add(1)
	switch status {
	case http.StatusTooManyRequests:
		return verdict.New(verdict.NotRun, port.CodeStoreRateLimited, "store refused the call: too many requests")
	case http.StatusServiceUnavailable:
		// The store also answers with 503 when a proposal timed out, which may
		// still take effect. Only "no leader" means that nothing was proposed.
		if !bytes.Contains(body, []byte("no leader")) {
			return verdict.New(verdict.MayHaveRun, port.CodeStoreUnavailable, "store unavailable: %s", bytes.TrimSpace(body))
		}
		return verdict.New(verdict.NotRun, port.CodeStoreUnavailable, "store unavailable: %s", bytes.TrimSpace(body))
	default:
		return verdict.New(verdict.MayHaveRun, port.CodeStoreUnavailable, "store returned status %d: %s", status, bytes.TrimSpace(body))
	}
}

// Get implements port.Store.
func (c *Client) Get(ctx context.Context, key string) (port.KV, bool, error) {
	var resp rangeResponse
	if err := c.call(ctx, "/v3/kv/range", false, rangeRequest{Key: []byte(key)}, &resp); err != nil {
		return port.KV{}, false, err
	}
	if len(resp.KVs) == 0 {
		return port.KV{Revision: fleet.Revision(resp.Header.Revision)}, false, nil
	}
	return resp.KVs[0].toPort(), true, nil
}

// List implements port.Store.
func (c *Client) List(ctx context.Context, prefix string) (port.Listing, error) {
	var resp rangeResponse
	req := rangeRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix)}
	if err := c.call(ctx, "/v3/kv/range", false, req, &resp); err != nil {
		return port.Listing{}, err
	}
	out := port.Listing{Revision: fleet.Revision(resp.Header.Revision)}
	for _, kv := range resp.KVs {
		out.KVs = append(out.KVs, kv.toPort())
	}
	return out, nil
}

// CompareAndSwap implements port.Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expect fleet.Revision, value []byte, lease port.LeaseID) (fleet.Revision, bool, error) {
	put := &putRequest{Key: []byte(key), Value: value, Lease: decimalInt64(lease)}
	return c.txn(ctx, key, expect, requestOp{Put: put})
}

// CompareAndDelete implements port.Store.
func (c *Client) CompareAndDelete(ctx context.Context, key string, expect fleet.Revision) (bool, error) {
	_, ok, err := c.txn(ctx, key, expect, requestOp{Delete: &deleteRequest{Key: []byte(key)}})
	return ok, err
}

// txn executes op if key is at revision expect, and reports whether it did. It also
// returns the store's revision, which is that of the change if op was executed.
func (c *Client) txn(ctx context.Context, key string, expect fleet.Revision, op requestOp) (fleet.Revision, bool, error) {
	req := txnRequest{
		Compare: []compare{{Key: []byte(key), Target: "MOD", Result: "EQUAL", ModRevision: decimalInt64(expect)}},
		Success: []requestOp{op},
	}
	var resp txnResponse
	if err := c.call(ctx, "/v3/kv/txn", true, req, &resp); err != nil {
		return 0, false, err
	}
	return fleet.Revision(resp.Header.Revision), resp.Succeeded, nil
}

// GrantLease implements port.Store. ttl is rounded up to whole seconds, the unit of
// the store.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (port.LeaseID, error) {
	seconds := (ttl + time.Second - 1) / time.Second
	var resp leaseMessage
	err := c.call(ctx, "/v3/lease/grant", true, leaseMessage{TTL: decimalInt64(seconds)}, &resp)
	return port.LeaseID(resp.ID), err
}

// KeepAlive implements port.Store.
func (c *Client) KeepAlive(ctx context.Context, id port.LeaseID) (bool, error) {
	var resp streamMessage[leaseMessage]
	if err := c.call(ctx, "/v3/lease/keepalive", true, leaseMessage{ID: decimalInt64(id)}, &resp); err != nil {
		return false, err
	}
	return resp.Result.TTL > 0, nil
}

// RevokeLease implements port.Store.
func (c *Client) RevokeLease(ctx context.Context, id port.LeaseID) error {
	var resp leaseMessage
	return c.call(ctx, "/v3/lease/revoke", true, leaseMessage{ID: decimalInt64(id)}, &resp)
}

// Watch implements port.Store.
func (c *Client) Watch(ctx context.Context, prefix string, from fleet.Revision, fn func([]port.Event)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idleTimer := time.AfterFunc(c.opts.WatchIdleTimeout, cancel)
	defer idleTimer.Stop()
	c.Counters.Watches.Add(1)
	resp, err := c.post(ctx, "/v3/watch", watchRequest{Create: watchCreate{
		Key: []byte(prefix), RangeEnd: prefixEnd(prefix), StartRevision: decimalInt64(from + 1), ProgressNotify: true,
	}})
	if err != nil {
		return c.transportError(err, false)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(io.LimitReader(resp.Body, 1024))
		return c.statusError(resp.StatusCode, body)
	}
	return c.readWatch(json.NewDecoder(countingReader{resp.Body, &c.Counters.BytesIn}), idleTimer, fn)
}

// readWatch passes the events of a watch to fn until the stream breaks or the store
// cancels the watch. Every message, also one without events, restarts idleTimer.
func (c *Client) readWatch(dec *json.Decoder, idleTimer *time.Timer, fn func([]port.Event)) error {
	for {
		var m streamMessage[watchResponse]
		if err := dec.Decode(&m); err != nil {
			return c.transportError(err, false)
		}
		idleTimer.Reset(c.opts.WatchIdleTimeout)
		if m.Result.Canceled && m.Result.CompactRevision == 0 {
			c.Counters.Errors.Add(1)
			return verdict.New(verdict.NotRun, port.CodeStoreUnavailable, "store cancelled the watch: %s", m.Result.CancelReason)
		}
		if m.Result.Canceled {
			return verdict.New(verdict.NotRun, port.CodeStoreCompacted, "store cancelled the watch: revisions before %d have been compacted", m.Result.CompactRevision)
		}
		fn(m.Result.events())
	}
}

// countingReader adds the number of bytes read to n.
type countingReader struct {
	io.Reader
	n *atomic.Int64
}

// Read implements io.Reader.
func (r countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.n.Add(int64(n))
	return n, err
}

// prefixEnd returns the first key after all keys that start with prefix, as the end
// of a range. If there is none, it returns a zero byte, which means no upper bound.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}

// decimalInt64 is a 64-bit integer that the gateway encodes as a decimal string.
type decimalInt64 int64

// MarshalJSON implements json.Marshaler.
func (n decimalInt64) MarshalJSON() ([]byte, error) {
	return []byte(strconv.Quote(strconv.FormatInt(int64(n), 10))), nil
}

// UnmarshalJSON implements json.Unmarshaler; it accepts a bare number as well.
func (n *decimalInt64) UnmarshalJSON(b []byte) error {
	v, err := strconv.ParseInt(string(bytes.Trim(b, `"`)), 10, 64)
	if err != nil {
		return fmt.Errorf("want a 64-bit integer, got %s", b)
	}
	*n = decimalInt64(v)
	return nil
}
