package ledger

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/postmount/postmount/verdict"
)

// Relays reach the store through other daemons.
type Relays interface {
	// Relay returns the store as another daemon reaches it, nil if there is
	// none to ask. Successive calls may name different ones.
	Relay() Store
	// RelayFailed says that a store that Relay returned did not serve.
	RelayFailed(s Store)
}

// Failover is the store by the direct way, and through another daemon while the
// direct one does not serve: the store may turn one daemon away while it serves the
// others, and a partition may cut a daemon off from it.
type Failover struct {
	direct Store
	relays Relays

	mu              sync.Mutex
	directDown      bool          // the direct way failed, and nothing was answered there since
	dialFailed      bool          // no connection could be opened that way
	nextProbe       time.Time     // when the direct way may be tried next
	backoff         time.Duration // how long it was left last
	failures        int           // calls that failed by every way since one was answered
	now             func() time.Time
	onDirectFailure func(err error)
	partition       partitionDetector

	latestRevision atomic.Int64 // revision that the store is known to have reached
}

// Figures of the ways.
const (
	// minDirectBackoff is how long the direct way is left after a failure; a try costs
	// its call up to probeTimeout.
	minDirectBackoff = 700 * time.Millisecond
	// maxDirectBackoff bounds how long the direct way is left while no connection can be
	// opened: the way by a peer costs two milliseconds, so that there is no hurry.
	maxDirectBackoff = 4 * time.Second
	// probeTimeout bounds the try of a direct way that is bad. The store answers in
	// 4 ms; in its slow hours, 300 ms, the way by a peer is as slow, and serves.
	probeTimeout = 150 * time.Millisecond
)

// NewFailover returns a store with two ways. onBad is told each failure of the
// direct one.
func NewFailover(direct Store, relays Relays, now func() time.Time, onDirectFailure func(error)) *Failover {
	return &Failover{direct: direct, relays: relays, now: now, onDirectFailure: onDirectFailure}
}

// unavailableAfter is how many calls in a row have to fail by every way for the store to
// count as away: one alone may be an answer that was lost.
const unavailableAfter = 2

// Unavailable reports whether the store does not answer at present, by any way. The daemon's
// own calls, the renewal of its lease above all, go on and notice its return.
func (f *Failover) Unavailable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failures >= unavailableAfter
}

// callFailed takes note of a call that failed by every way.
func (f *Failover) callFailed() {
	f.mu.Lock()
	f.failures++
	f.mu.Unlock()
}

// path is one path of a call.
type path struct {
	store   Store
	timeout time.Duration // of the call by this way; 0: that of the caller alone
}

// paths returns the paths to try in order. While the direct one is bad it comes last, but
// for one call from time to time that tries it: for a short while, as what is left of
// the call's time has to do for the other way. Only calls that may be repeated do so.
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
		f.nextProbe = f.now().Add(minDirectBackoff) // one at a time
		return []path{{f.direct, probeTimeout}, relayed}
	}
	return []path{relayed, direct}
}

// pathFailed takes note of a failure. If the direct way pathFailed on an open connection,
// which may just have gone silent, it is tried again soon after a failure of the other
// one; if no connection could be opened it is left alone.
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

// nextBackoff returns how long the direct way is left now: each time twice as long
// while no connection can be opened, as each try costs its caller a timeout.
func (f *Failover) nextBackoff() time.Duration {
	if !f.dialFailed {
		return minDirectBackoff
	}
	return min(maxDirectBackoff, max(minDirectBackoff, 2*f.backoff))
}

// pathSucceeded takes note of an answer.
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

// PartitionedFor returns for how long calls by the direct way have had no answer while those by other
// daemons are answered promptly; 0 if that cannot be said. The store serves others then, and not
// this daemon: one that is away, or slow for all, does not count.
func (f *Failover) PartitionedFor() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.partition.duration(f.now())
}

// idempotentCall tries both ways with a call that may be repeated.
func idempotentCall[T any](ctx context.Context, f *Failover, call func(context.Context, Store) (T, error)) (T, error) {
	return tryPaths(ctx, f, true, call)
}

// longPoll is read for a call that takes as long as nothing happens: a short try of a way
// tells nothing then.
func longPoll[T any](ctx context.Context, f *Failover, call func(context.Context, Store) (T, error)) (T, error) {
	return tryPaths(ctx, f, false, call)
}

func tryPaths[T any](ctx context.Context, f *Failover, probes bool, call func(context.Context, Store) (T, error)) (T, error) {
	var out T
	var err error
	for _, w := range f.paths(probes) {
		began := f.now()
		out, err = callPath(ctx, w, call)
		if err == nil || verdict.CodeOf(err) != CodeStoreUnavailable {
			f.pathSucceeded(w.store, began)
			return out, err
		}
		if errors.Is(ctx.Err(), context.Canceled) {
			return out, err // the caller gave up, the store is not to blame
		}
		f.pathFailed(w.store, began, err)
		if ctx.Err() != nil {
			break
		}
	}
	f.callFailed()
	return out, err
}

// callPath makes a call callPath one way within its limit.
func callPath[T any](ctx context.Context, w path, call func(context.Context, Store) (T, error)) (T, error) {
	if w.timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, w.timeout)
		defer cancel()
	}
	return call(ctx, w.store)
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
	f.noteRevision(page.Revision)
	return page, err
}

// LatestRevision returns the newest revision that the store is known to have reached.
func (f *Failover) LatestRevision() int64 { return f.latestRevision.Load() }

// noteRevision takes note of a revision of the store; 0: none was told.
func (f *Failover) noteRevision(revision int64) {
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
	f.noteRevision(ch.Revision)
	return ch, err
}

// Commit implements Store. The second way is tried only if the first one
// certainly had no effect.
func (f *Failover) Commit(ctx context.Context, t Txn) (TxnResult, error) {
	var res TxnResult
	var err error
	for _, w := range f.paths(false) {
		began := f.now()
		res, err = w.store.Commit(ctx, t)
		if err == nil {
			f.pathSucceeded(w.store, began)
			f.noteRevision(res.Revision)
			return res, nil
		}
		if errors.Is(ctx.Err(), context.Canceled) {
			return res, err
		}
		f.pathFailed(w.store, began, err)
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
