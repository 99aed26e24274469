package jobfleet

import (
	"context"
	"sync"
	"time"

	"github.com/postmount/postmount/jobs/ledger"
	"github.com/postmount/postmount/verdict"
)

// Failure is what becomes of one call to a stand-in.
type Failure int

// The ways in which a call fails.
const (
	NoFailure   Failure = iota
	Refused             // it was not carried out, and the caller hears so
	RequestLost         // it was not carried out, and nothing is heard
	AnswerLost          // it was carried out, and nothing is heard
	Delayed             // it is carried out later, and nothing is heard
)

// Hook is asked about each call before it is carried out. op is the kind of
// call: get, range, watch, commit, grant, keep or end for the store; start, stop,
// throttle or hold for workers; list, move or maintain for instances.
type Hook func(daemon, op string) Failure

// Client is the store as one daemon reaches it.
type Client struct {
	store  *Store
	daemon string
	gate   *Gate
	hook   Hook
}

// Client returns the store for a daemon. gate stops its calls while the daemon
// is frozen or cut off.
func (s *Store) Client(daemon string, gate *Gate, hook Hook) *Client {
	return &Client{store: s, daemon: daemon, gate: gate, hook: hook}
}

// call carries out do with the daemon's faults.
func storeCall[T any](ctx context.Context, c *Client, op string, do func() (T, error)) (T, error) {
	var none T
	if err := c.gate.pass(ctx, toStore); err != nil {
		return none, noAnswerError(ctx)
	}
	time.Sleep(storeLatency)
	switch c.hook(c.daemon, op) {
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
		time.AfterFunc(delayedWrite, func() { _, _ = do() }) // nobody hears of it, that is the fault
		<-ctx.Done()
		return none, noAnswerError(ctx)
	}
	out, err := do()
	if gateErr := c.gate.pass(ctx, toStore); gateErr != nil {
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
	_, err := storeCall(ctx, c, "end", func() (struct{}, error) { c.store.Revoke(id); return struct{}{}, nil })
	return err
}

// direction is where a daemon's calls go.
type direction int

const (
	toStore direction = iota
	toWorkers
	toPeers
)

// Gate stops a daemon's calls: all of them while it is frozen, those in some
// directions while it is cut off. A frozen daemon's calls go on when it wakes;
// those of one that is cut off are lost.
type Gate struct {
	mu     sync.Mutex
	thaw   chan struct{} // nil: not frozen
	cut    [toPeers + 1]bool
	killed bool

	slowdown     float64       // how many times slower the daemon\'s instance is; 0: not at all
	suspendedFor time.Duration // in suspensions that are over
	suspendedAt  time.Time     // when the present one began; zero: there is none
}

// Freeze stops the daemon for a while.
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

// Suspend stops the daemon for a while that its steady clock does not count.
func (g *Gate) Suspend(d time.Duration) {
	g.mu.Lock()
	if g.thaw != nil {
		g.mu.Unlock()
		return
	}
	g.suspendedAt = time.Now()
	g.mu.Unlock()
	time.AfterFunc(d, func() { // before it thaws
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

// normalProbeTime is what the fixed piece of work takes on an instance at its usual speed.
const normalProbeTime = 40 * time.Microsecond

// ReportSlow lets the daemon's instance seem so many times slower for a while. It tells it, and
// does all as fast as before.
func (g *Gate) ReportSlow(times float64, d time.Duration) {
	g.setSlowdown(times)
	time.AfterFunc(d, func() { g.setSlowdown(0) })
}

func (g *Gate) setSlowdown(times float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slowdown = times
}

// probe takes as long as the instance's speed says.
func (g *Gate) probe() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Duration(max(1, g.slowdown) * float64(normalProbeTime))
}

// clock is that of a daemon's instance.
type clock struct{ gate *Gate }

// Now implements node.Clock.
func (c clock) Now() time.Time { return time.Now().Add(-c.gate.suspended()) }

// Suspended implements node.Clock.
func (c clock) Suspended() time.Duration { return c.gate.suspended() }

// CutStoreAndPeers cuts the daemon off from the store and its peers for a while.
func (g *Gate) CutStoreAndPeers(d time.Duration) {
	g.setCut(true, toStore, toPeers)
	time.AfterFunc(d, func() { g.setCut(false, toStore, toPeers) })
}

// CutStoreOnly cuts the daemon off from the store alone for a while.
func (g *Gate) CutStoreOnly(d time.Duration) {
	g.setCut(true, toStore)
	time.AfterFunc(d, func() { g.setCut(false, toStore) })
}

// Kill loses all calls from now on.
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

// pass waits until the daemon may send in direction d, or hear from there. It
// fails if the call is lost, at the end of ctx.
func (g *Gate) pass(ctx context.Context, d direction) error {
	for {
		g.mu.Lock()
		thaw, gone := g.thaw, g.cut[d] || g.killed
		g.mu.Unlock()
		if gone {
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
