package ledger

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/postmount/postmount/verdict"
)

// Relays provides access to the store through other daemons.
type Relays interface {
	// Relay returns a store that forwards calls through another daemon, nil if no daemon is
	// available. Successive calls may return different ones.
	Relay() Store
	// RelayFailed reports that a call on a store returned by Relay failed.
	RelayFailed(s Store)
}

// Failover is a store that is called directly, and through another daemon (a relay) while direct
// calls fail: the store may refuse one daemon while it serves the others, or a partition may
// separate a daemon from it.
type Failover struct {
	direct Store
	relays Relays

	mu              sync.Mutex
	directDown      bool          // the latest direct call failed
	dialFailed      bool          // the latest direct failure: no connection could be opened
	nextProbe       time.Time     // earliest time of the next direct call
	backoff         time.Duration // latest backoff of the direct path
	failures        int           // consecutive calls that failed on every path
	now             func() time.Time
	onDirectFailure func(err error)
	partition       partitionDetector

	latestRevision atomic.Int64 // latest revision that the store is known to have reached
}

// Parameters of the failover.
const (
	// minDirectBackoff is how long the direct path is avoided after a failure; a probe delays
	// its call by up to probeTimeout.
	minDirectBackoff = 700 * time.Millisecond
	// maxDirectBackoff bounds the backoff while no connection can be opened. A relay adds only 2 ms
	// to a call, so returning to the direct path is not urgent.
	maxDirectBackoff = 4 * time.Second
	// probeTimeout bounds a probe of a direct path that is down. The store answers in 4 ms. While
	// it is slow it takes 300 ms and the probe fails, but then the relay is used and is no slower.
	probeTimeout = 150 * time.Millisecond
)

// NewFailover returns a store that calls direct, or a relay while direct calls fail.
// onDirectFailure is called after each failed direct call.
func NewFailover(direct Store, relays Relays, now func() time.Time, onDirectFailure func(error)) *Failover {
	return &Failover{direct: direct, relays: relays, now: now, onDirectFailure: onDirectFailure}
}

// unavailableAfter is how many consecutive calls must fail on every path for the store to count as
// unavailable. After a single one, just its answer may have been lost.
const unavailableAfter = 2

// Unavailable reports whether the store currently answers on no path. The daemon's own calls,
// above all the renewal of its lease, continue and detect when it is available again.
func (f *Failover) Unavailable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failures >= unavailableAfter
}

// callFailed records a call that failed on every path.
func (f *Failover) callFailed() {
	f.mu.Lock()
	f.failures++
	f.mu.Unlock()
}

// path is one path of a call to the store.
type path struct {
	store   Store
	timeout time.Duration // of the call on this path; 0: only that of the caller's context
}

// paths returns the paths to try in order. While the direct path is down it comes last, except
// in one call per backoff that probes it first. The probe has a short timeout, so that the call
// has time left for the relay. Only repeatable calls probe.
func (f *Failover) paths(repeatable bool) []path {
	relay := f.relays.Relay()
	f.mu.Lock()
	defer f.mu.Unlock()
	direct := path{store: f.direct}
	if relay == nil {
		return []path{direct}
	}
	relayed := path{store: relay}
	if !f.directDown {
		return []path{direct, relayed}
	}
	if repeatable && !f.now().Before(f.nextProbe) {
		f.nextProbe = f.now().Add(minDirectBackoff) // one probe at a time
		return []path{{f.direct, probeTimeout}, relayed}
	}
	return []path{relayed, direct}
}

// pathFailed records a failed call on a path. If the relay fails too, the direct path is tried
// again immediately, unless no direct connection could be opened: a failure on an open connection
// may mean that just this connection was broken.
func (f *Failover) pathFailed(s Store, began time.Time, err error) {
	if s != f.direct {
		f.relays.RelayFailed(s)
	}
	f.mu.Lock()
	switch {
	case s == f.direct:
		f.partition.directFailed(began, f.now())
		f.directDown = true
		f.dialFailed = verdict.Of(err) == verdict.NotRun
		f.backoff = f.nextBackoff()
		f.nextProbe = f.now().Add(f.backoff)
	case !f.dialFailed:
		f.nextProbe = time.Time{}
	}
	f.mu.Unlock()
	if s == f.direct {
		f.onDirectFailure(err)
	}
}

// nextBackoff returns how long to avoid the direct path after a failure. It doubles each time
// while no connection can be opened, as each attempt costs its caller a timeout.
func (f *Failover) nextBackoff() time.Duration {
	if !f.dialFailed {
		return minDirectBackoff
	}
	return min(maxDirectBackoff, max(minDirectBackoff, 2*f.backoff))
}

// pathSucceeded records an answered call.
func (f *Failover) pathSucceeded(s Store, began time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failures = 0
	if s == f.direct {
		f.directDown, f.backoff = false, 0
		f.partition = partitionDetector{}
		return
	}
	f.partition.relaySucceeded(began, f.now())
}

// PartitionedFor returns for how long direct calls have been unanswered while relayed calls are
// answered promptly, 0 if that is not known to be the case. A store that is down or slow for all
// daemons does not count as partitioned.
func (f *Failover) PartitionedFor() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.partition.duration(f.now())
}

// idempotentCall makes a call that may be repeated, probing the direct path if it is due.
func idempotentCall[T any](ctx context.Context, f *Failover, call func(context.Context, Store) (T, error)) (T, error) {
	return tryPaths(ctx, f, true, call)
}

// longPoll makes a call that waits for an event. It does not probe the direct path: a probe's
// short timeout would usually expire before the event.
func longPoll[T any](ctx context.Context, f *Failover, call func(context.Context, Store) (T, error)) (T, error) {
	return tryPaths(ctx, f, false, call)
}

// tryPaths makes a call on one path after the other until it is answered.
func tryPaths[T any](ctx context.Context, f *Failover, probes bool, call func(context.Context, Store) (T, error)) (T, error) {
	var out T
	var err error
	for _, p := range f.paths(probes) {
		began := f.now()
		out, err = callPath(ctx, p, call)
		if err == nil || verdict.CodeOf(err) != CodeStoreUnavailable {
			f.pathSucceeded(p.store, began)
			return out, err
		}
		if errors.Is(ctx.Err(), context.Canceled) {
			return out, err // cancelled by the caller, not a failure of the store
		}
		f.pathFailed(p.store, began, err)
		if ctx.Err() != nil {
			break
		}
	}
	f.callFailed()
	return out, err
}

// callPath makes a call on one path within the path's timeout.
func callPath[T any](ctx context.Context, p path, call func(context.Context, Store) (T, error)) (T, error) {
	if p.timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, p.timeout)
		defer cancel()
	}
	return call(ctx, p.store)
}

type getResult struct {
	item Item
	ok   bool
}

// Get implements Store.
func (f *Failover) Get(ctx context.Context, key string, stale bool) (Item, bool, error) {
	r, err := idempotentCall(ctx, f, func(ctx context.Context, s Store) (getResult, error) {
		i, ok, err := s.Get(ctx, key, stale)
		return getResult{i, ok}, err
	})
	return r.item, r.ok, err
}

// Range implements Store.
func (f *Failover) Range(ctx context.Context, prefix, after string, stale bool) (Page, error) {
	page, err := idempotentCall(ctx, f, func(ctx context.Context, s Store) (Page, error) { return s.Range(ctx, prefix, after, stale) })
	f.recordRevision(page.Revision)
	return page, err
}

// LatestRevision returns the latest revision that the store is known to have reached.
func (f *Failover) LatestRevision() int64 { return f.latestRevision.Load() }

// recordRevision records a revision of the store; 0 means that the answer contained none.
func (f *Failover) recordRevision(revision int64) {
	for {
		known := f.latestRevision.Load()
		if revision <= known || f.latestRevision.CompareAndSwap(known, revision) {
			return
		}
	}
}

// Watch implements Store.
func (f *Failover) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (Changes, error) {
	ch, err := longPoll(ctx, f, func(ctx context.Context, s Store) (Changes, error) { return s.Watch(ctx, prefix, after, wait) })
	f.recordRevision(ch.Revision)
	return ch, err
}

// Commit implements Store. The second path is tried only if the call on the first one had no
// effect for certain.
func (f *Failover) Commit(ctx context.Context, t Txn) (TxnResult, error) {
	var res TxnResult
	var err error
	for _, p := range f.paths(false) {
		began := f.now()
		res, err = p.store.Commit(ctx, t)
		if err == nil || verdict.CodeOf(err) == CodeStoreRejected {
			f.pathSucceeded(p.store, began)
			f.recordRevision(res.Revision)
			return res, err
		}
		if errors.Is(ctx.Err(), context.Canceled) {
			return res, err
		}
		f.pathFailed(p.store, began, err)
		if verdict.Of(err) != verdict.NotRun || ctx.Err() != nil {
			break
		}
	}
	f.callFailed()
	return res, err
}

// GrantLease implements Store.
func (f *Failover) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	return idempotentCall(ctx, f, func(ctx context.Context, s Store) (LeaseID, error) { return s.GrantLease(ctx, ttl) })
}

// KeepAlive implements Store.
func (f *Failover) KeepAlive(ctx context.Context, id LeaseID) (bool, error) {
	return idempotentCall(ctx, f, func(ctx context.Context, s Store) (bool, error) { return s.KeepAlive(ctx, id) })
}

// EndLease implements Store.
func (f *Failover) EndLease(ctx context.Context, id LeaseID) error {
	_, err := idempotentCall(ctx, f, func(ctx context.Context, s Store) (struct{}, error) { return struct{}{}, s.EndLease(ctx, id) })
	return err
}
