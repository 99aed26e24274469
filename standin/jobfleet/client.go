package jobfleet

import (
	"context"
	"sync"
	"time"

	"github.com/postmount/postmount/jobs/ledger"
	"github.com/postmount/postmount/verdict"
)

// Failure is the injected failure of a call to a stand-in.
type Failure int

// Failures of a call.
const (
	NoFailure   Failure = iota
	Refused             // not carried out; the caller gets an error
	RequestLost         // not carried out; no answer
	AnswerLost          // carried out; no answer
	Delayed             // carried out later; no answer
)

// FailureFunc returns the failure to inject into a call of a daemon. It is called before the call
// is carried out. op is the kind of call: get, range, watch, commit, grant, keep or end for the
// store; start, stop, throttle or hold for workers; move or maintain for instances.
type FailureFunc func(daemon, op string) Failure

// Client is a daemon's client of the store.
type Client struct {
	store       *Store
	daemon      string
	gate        *Gate
	failureFunc FailureFunc
}

// Client returns a daemon's client of the store. gate delays its calls while the daemon is frozen
// and drops them while it is cut off.
func (s *Store) Client(daemon string, gate *Gate, failure FailureFunc) *Client {
	return &Client{store: s, daemon: daemon, gate: gate, failureFunc: failure}
}

// storeCall carries out do with the latency of the store and the failures injected into the
// daemon's calls.
func storeCall[T any](ctx context.Context, c *Client, op string, do func() (T, error)) (T, error) {
	var none T
	if err := c.gate.pass(ctx, toStore); err != nil {
		return none, noAnswerError(ctx)
	}
	time.Sleep(storeLatency)
	failure := c.failureFunc(c.daemon, op)
	switch {
	case c.gate.requestDropped(StoreMember):
		failure = RequestLost
	case c.gate.answerDropped(StoreMember) && failure == NoFailure:
		failure = AnswerLost
	}
	switch failure {
	case Refused:
		return none, verdict.New(verdict.NotRun, ledger.CodeStoreUnavailable, "store: refused")
	case RequestLost:
		<-ctx.Done()
		return none, noAnswerError(ctx)
	case AnswerLost:
		if _, err := do(); err != nil {
			return none, err
		}
		<-ctx.Done()
		return none, noAnswerError(ctx)
	case Delayed:
		time.AfterFunc(delayedCallDelay, func() { _, _ = do() }) // the daemon gets no result
		<-ctx.Done()
		return none, noAnswerError(ctx)
	}
	out, err := do()
	if gateErr := c.gate.pass(ctx, toStore); gateErr != nil {
		return none, noAnswerError(ctx)
	}
	if c.gate.answerDropped(StoreMember) { // the cut began during the call
		<-ctx.Done()
		return none, noAnswerError(ctx)
	}
	return out, err
}

type foundItem struct {
	item ledger.Item
	ok   bool
}

// Get implements ledger.Store.
func (c *Client) Get(ctx context.Context, key string, _ bool) (ledger.Item, bool, error) {
	f, err := storeCall(ctx, c, "get", func() (foundItem, error) {
		i, ok := c.store.get(key)
		return foundItem{i, ok}, nil
	})
	return f.item, f.ok, err
}

// Range implements ledger.Store.
func (c *Client) Range(ctx context.Context, prefix, after string, _ bool) (ledger.Page, error) {
	return storeCall(ctx, c, "range", func() (ledger.Page, error) { return c.store.page(prefix, after), nil })
}

// Watch implements ledger.Store.
func (c *Client) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (ledger.Changes, error) {
	return storeCall(ctx, c, "watch", func() (ledger.Changes, error) { return c.store.watch(ctx, prefix, after, wait) })
}

// Commit implements ledger.Store.
func (c *Client) Commit(ctx context.Context, t ledger.Txn) (ledger.TxnResult, error) {
	return storeCall(ctx, c, "commit", func() (ledger.TxnResult, error) { return c.store.commit(t) })
}

// GrantLease implements ledger.Store.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (ledger.LeaseID, error) {
	return storeCall(ctx, c, "grant", func() (ledger.LeaseID, error) { return c.store.grant(ttl), nil })
}

// KeepAlive implements ledger.Store.
func (c *Client) KeepAlive(ctx context.Context, id ledger.LeaseID) (bool, error) {
	return storeCall(ctx, c, "keep", func() (bool, error) { return c.store.keep(id), nil })
}

// EndLease implements ledger.Store.
func (c *Client) EndLease(ctx context.Context, id ledger.LeaseID) error {
	_, err := storeCall(ctx, c, "end", func() (struct{}, error) { c.store.RevokeLease(id); return struct{}{}, nil })
	return err
}

// direction is the kind of destination of a daemon's calls.
type direction int

const (
	toStore direction = iota
	toWorkers
	toPeers
)

// Gate simulates the freezing and network partitions of a daemon. While the daemon is frozen all
// its calls wait for the end of the freeze; while it is cut off from a direction, calls there are
// lost.
type Gate struct {
	name   string // of the daemon
	cuts   *cuts  // nil: none
	mu     sync.Mutex
	thaw   chan struct{} // nil: not frozen
	cut    [toPeers + 1]bool
	killed bool

	slowdown     float64       // factor on the duration of the CPU probe; 0: normal speed
	suspendedFor time.Duration // total of the past suspensions
	suspendedAt  time.Time     // start of the current suspension; zero: none
}

// Freeze blocks all calls of the daemon for d.
func (g *Gate) Freeze(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.thaw != nil {
		return
	}
	thaw := make(chan struct{})
	g.thaw = thaw
	time.AfterFunc(d, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.thaw = nil
		close(thaw)
	})
}

// Suspend freezes the daemon for d like a suspended virtual machine: its monotonic clock doesn't
// count this time.
func (g *Gate) Suspend(d time.Duration) {
	g.mu.Lock()
	if g.thaw != nil {
		g.mu.Unlock()
		return
	}
	g.suspendedAt = time.Now()
	g.mu.Unlock()
	time.AfterFunc(d, func() { // runs before the end of the freeze, which is scheduled later
		g.mu.Lock()
		defer g.mu.Unlock()
		g.suspendedFor += time.Since(g.suspendedAt)
		g.suspendedAt = time.Time{}
	})
	g.Freeze(d)
}

func (g *Gate) suspended() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.suspendedAt.IsZero() {
		return g.suspendedFor
	}
	return g.suspendedFor + time.Since(g.suspendedAt)
}

// normalProbeTime is the duration of the CPU probe on an instance of normal speed.
const normalProbeTime = 40 * time.Microsecond

// ReportSlow makes the CPU probe take factor times as long for d, as on a slow instance. The
// daemon's actual speed doesn't change.
func (g *Gate) ReportSlow(factor float64, d time.Duration) {
	g.setSlowdown(factor)
	time.AfterFunc(d, func() { g.setSlowdown(0) })
}

func (g *Gate) setSlowdown(factor float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slowdown = factor
}

// probe returns the duration of the CPU probe.
func (g *Gate) probe() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Duration(max(1, g.slowdown) * float64(normalProbeTime))
}

// clock is the clock of a daemon's instance; it stops during suspensions.
type clock struct{ gate *Gate }

// Now implements node.Clock.
func (c clock) Now() time.Time { return time.Now().Add(-c.gate.suspended()) }

// Suspended implements node.Clock.
func (c clock) Suspended() time.Duration { return c.gate.suspended() }

// CutStoreAndPeers cuts the daemon off from the store and its peers for d.
func (g *Gate) CutStoreAndPeers(d time.Duration) {
	g.setCut(true, toStore, toPeers)
	time.AfterFunc(d, func() { g.setCut(false, toStore, toPeers) })
}

// CutStoreOnly cuts the daemon off from the store for d.
func (g *Gate) CutStoreOnly(d time.Duration) {
	g.setCut(true, toStore)
	time.AfterFunc(d, func() { g.setCut(false, toStore) })
}

// Kill drops all calls of the daemon from now on.
func (g *Gate) Kill() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.killed = true
}

func (g *Gate) setCut(cut bool, where ...direction) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, d := range where {
		g.cut[d] = cut
	}
}

// pass waits until the daemon may send to direction d, or receive from there. If the call is
// dropped, pass returns an error when ctx ends.
func (g *Gate) pass(ctx context.Context, d direction) error {
	for {
		g.mu.Lock()
		thaw, dropped := g.thaw, g.cut[d] || g.killed
		g.mu.Unlock()
		if dropped {
			<-ctx.Done()
			return errNoAnswer
		}
		if thaw == nil {
			return nil
		}
		<-thaw
	}
}

func (g *Gate) isKilled() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.killed
}
