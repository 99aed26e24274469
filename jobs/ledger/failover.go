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

	mu     sync.Mutex
	bad    bool          // the direct way failed, and nothing was answered there since
	cutOff bool          // no connection could be opened that way
	probe  time.Time     // when the direct way may be tried next
	leave  time.Duration // how long it was left last
	misses int           // calls that failed by every way since one was answered
	now    func() time.Time
	onBad  func(err error)
	cut    directCut

	newest atomic.Int64 // revision that the store is known to have reached
}

// Figures of the ways.
const (
	// avoidDirect is how long the direct way is left after a failure; a try costs
	// its call up to probeTimeout.
	avoidDirect = 700 * time.Millisecond
	// maxAvoidDirect bounds how long the direct way is left while no connection can be
	// opened: the way by a peer costs two milliseconds, so that there is no hurry.
	maxAvoidDirect = 4 * time.Second
	// probeTimeout bounds the try of a direct way that is bad. The store answers in
	// 4 ms; in its slow hours, 300 ms, the way by a peer is as slow, and serves.
	probeTimeout = 150 * time.Millisecond
)

// NewFailover returns a store with two ways. onBad is told each failure of the
// direct one.
func NewFailover(direct Store, relays Relays, now func() time.Time, onBad func(error)) *Failover {
	return &Failover{direct: direct, relays: relays, now: now, onBad: onBad}
}

// awayAfter is how many calls in a row have to fail by every way for the store to
// count as away: one alone may be an answer that was lost.
const awayAfter = 2

// Unavailable reports whether the store does not answer at present, by any way. The daemon's
// own calls, the renewal of its lease above all, go on and notice its return.
func (f *Failover) Unavailable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.misses >= awayAfter
}

// missed takes note of a call that failed by every way.
func (f *Failover) missed() {
	f.mu.Lock()
	f.misses++
	f.mu.Unlock()
}

// way is one way of a call.
type way struct {
	store Store
	limit time.Duration // of the call by this way; 0: that of the caller alone
}

// ways returns the ways to try in order. While the direct one is bad it comes last, but
// for one call from time to time that tries it: for a short while, as what is left of
// the call's time has to do for the other way. Only calls that may be repeated do so.
func (f *Failover) ways(repeatable bool) []way {
	relay := f.relays.Relay()
	f.mu.Lock()
	defer f.mu.Unlock()
	direct := way{store: f.direct}
	if relay == nil {
		return []way{direct}
	}
	by := way{store: relay}
	if !f.bad {
		return []way{direct, by}
	}
	if repeatable && !f.now().Before(f.probe) {
		f.probe = f.now().Add(avoidDirect) // one at a time
		return []way{{f.direct, probeTimeout}, by}
	}
	return []way{by, direct}
}

// failed takes note of a failure. If the direct way failed on an open connection,
// which may just have gone silent, it is tried again soon after a failure of the other
// one; if no connection could be opened it is left alone.
func (f *Failover) failed(s Store, began time.Time, err error) {
	if s != f.direct {
		f.relays.RelayFailed(s)
	}
	f.mu.Lock()
	switch {
	case s == f.direct:
		f.cut.failed(began, f.now())
		f.bad = true
		f.cutOff = verdict.Of(err) == verdict.NotRun
		f.leave = f.nextLeave()
		f.probe = f.now().Add(f.leave)
	case !f.cutOff:
		f.probe = time.Time{}
	}
	f.mu.Unlock()
	if s == f.direct {
		f.onBad(err)
	}
}

// nextLeave returns how long the direct way is left now: each time twice as long
// while no connection can be opened, as each try costs its caller a timeout.
func (f *Failover) nextLeave() time.Duration {
	if !f.cutOff {
		return avoidDirect
	}
	return min(maxAvoidDirect, max(avoidDirect, 2*f.leave))
}

// worked takes note of an answer.
func (f *Failover) worked(s Store, began time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.misses = 0
	if s == f.direct {
		f.bad, f.leave = false, 0
		f.cut = directCut{}
		return
	}
	f.cut.relayed(began, f.now())
}

// PartitionedFor returns for how long calls by the direct way have had no answer while those by other
// daemons are answered promptly; 0 if that cannot be said. The store serves others then, and not
// this daemon: one that is away, or slow for all, does not count.
func (f *Failover) PartitionedFor() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut.lasts(f.now())
}

// read tries both ways with a call that may be repeated.
func read[T any](ctx context.Context, f *Failover, call func(context.Context, Store) (T, error)) (T, error) {
	return each(ctx, f, true, call)
}

// await is read for a call that takes as long as nothing happens: a short try of a way
// tells nothing then.
func await[T any](ctx context.Context, f *Failover, call func(context.Context, Store) (T, error)) (T, error) {
	return each(ctx, f, false, call)
}

func each[T any](ctx context.Context, f *Failover, probes bool, call func(context.Context, Store) (T, error)) (T, error) {
	var out T
	var err error
	for _, w := range f.ways(probes) {
		began := f.now()
		out, err = by(ctx, w, call)
		if err == nil || verdict.CodeOf(err) != CodeStoreUnavailable {
			f.worked(w.store, began)
			return out, err
		}
		if errors.Is(ctx.Err(), context.Canceled) {
			return out, err // the caller gave up, the store is not to blame
		}
		f.failed(w.store, began, err)
		if ctx.Err() != nil {
			break
		}
	}
	f.missed()
	return out, err
}

// by makes a call by one way within its limit.
func by[T any](ctx context.Context, w way, call func(context.Context, Store) (T, error)) (T, error) {
	if w.limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, w.limit)
		defer cancel()
	}
	return call(ctx, w.store)
}

type found struct {
	item Item
	ok   bool
}

// Get implements Store.
func (f *Failover) Get(ctx context.Context, key string, stale bool) (Item, bool, error) {
	r, err := read(ctx, f, func(ctx context.Context, s Store) (found, error) {
		i, ok, err := s.Get(ctx, key, stale)
		return found{i, ok}, err
	})
	return r.item, r.ok, err
}

// Range implements Store.
func (f *Failover) Range(ctx context.Context, prefix, after string, stale bool) (Page, error) {
	page, err := read(ctx, f, func(ctx context.Context, s Store) (Page, error) { return s.Range(ctx, prefix, after, stale) })
	f.reached(page.Revision)
	return page, err
}

// LatestRevision returns the newest revision that the store is known to have reached.
func (f *Failover) LatestRevision() int64 { return f.newest.Load() }

// reached takes note of a revision of the store; 0: none was told.
func (f *Failover) reached(revision int64) {
	for {
		known := f.newest.Load()
		if revision <= known || f.newest.CompareAndSwap(known, revision) {
			return
		}
	}
}

// Watch implements Store.
func (f *Failover) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (Changes, error) {
	ch, err := await(ctx, f, func(ctx context.Context, s Store) (Changes, error) { return s.Watch(ctx, prefix, after, wait) })
	f.reached(ch.Revision)
	return ch, err
}

// Commit implements Store. The second way is tried only if the first one
// certainly had no effect.
func (f *Failover) Commit(ctx context.Context, t Txn) (TxnResult, error) {
	var res TxnResult
	var err error
	for _, w := range f.ways(false) {
		began := f.now()
		res, err = w.store.Commit(ctx, t)
		if err == nil {
			f.worked(w.store, began)
			f.reached(res.Revision)
			return res, nil
		}
		if errors.Is(ctx.Err(), context.Canceled) {
			return res, err
		}
		f.failed(w.store, began, err)
		if verdict.Of(err) != verdict.NotRun || ctx.Err() != nil {
			break
		}
	}
	f.missed()
	return res, err
}

// GrantLease implements Store.
func (f *Failover) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	return read(ctx, f, func(ctx context.Context, s Store) (LeaseID, error) { return s.GrantLease(ctx, ttl) })
}

// KeepAlive implements Store.
func (f *Failover) KeepAlive(ctx context.Context, id LeaseID) (bool, error) {
	return read(ctx, f, func(ctx context.Context, s Store) (bool, error) { return s.KeepAlive(ctx, id) })
}

// EndLease implements Store.
func (f *Failover) EndLease(ctx context.Context, id LeaseID) error {
	_, err := read(ctx, f, func(ctx context.Context, s Store) (struct{}, error) { return struct{}{}, s.EndLease(ctx, id) })
	return err
}
