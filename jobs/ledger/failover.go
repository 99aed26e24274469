package ledger

import (
	"context"
	"errors"
	"sync"
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

// Failover is the store by the direct way, and through another daemon for a
// while after the direct way failed: the store may turn one daemon away while
// it serves the others.
type Failover struct {
	direct Store
	relays Relays

	mu     sync.Mutex
	avoid  time.Time     // the direct way is not tried before
	cutOff bool          // no connection could be opened that way
	leave  time.Duration // how long the direct way was left last
	misses int           // calls that failed by every way since one was answered
	now    func() time.Time
	onBad  func(err error)
}

// avoidDirect is how long the direct way is left after a failure; a try costs
// a timeout if the store does not answer.
const avoidDirect = 700 * time.Millisecond

// maxAvoidDirect bounds how long the direct way is left while no connection can be
// opened: the way by a peer costs two milliseconds, so that there is no hurry.
const maxAvoidDirect = 4 * time.Second

// NewFailover returns a store with two ways. onBad is told each failure of the
// direct one.
func NewFailover(direct Store, relays Relays, now func() time.Time, onBad func(error)) *Failover {
	return &Failover{direct: direct, relays: relays, now: now, onBad: onBad}
}

// awayAfter is how many calls in a row have to fail by every way for the store to
// count as away: one alone may be an answer that was lost.
const awayAfter = 2

// Away reports whether the store does not answer at present, by any way. The daemon's
// own calls, the renewal of its lease above all, go on and notice its return.
func (f *Failover) Away() bool {
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

// ways returns the stores to try in order.
func (f *Failover) ways() []Store {
	f.mu.Lock()
	skip := f.now().Before(f.avoid)
	f.mu.Unlock()
	relay := f.relays.Relay()
	if relay == nil {
		return []Store{f.direct}
	}
	if skip {
		return []Store{relay, f.direct}
	}
	return []Store{f.direct, relay}
}

// failed takes note of a failure. If the direct way failed on an open connection,
// which may just have gone silent, it is tried again after a failure of the other
// one; if no connection could be opened it is left alone.
func (f *Failover) failed(s Store, err error) {
	if s != f.direct {
		f.relays.RelayFailed(s)
	}
	f.mu.Lock()
	switch {
	case s == f.direct:
		f.cutOff = verdict.Of(err) == verdict.NotRun
		f.leave = f.nextLeave()
		f.avoid = f.now().Add(f.leave)
	case !f.cutOff:
		f.avoid = time.Time{}
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
func (f *Failover) worked(s Store) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.misses = 0
	if s == f.direct {
		f.leave = 0
	}
}

// read tries both ways.
func read[T any](ctx context.Context, f *Failover, call func(Store) (T, error)) (T, error) {
	var out T
	var err error
	for _, s := range f.ways() {
		out, err = call(s)
		if err == nil || verdict.CodeOf(err) != CodeStore {
			f.worked(s)
			return out, err
		}
		if errors.Is(ctx.Err(), context.Canceled) {
			return out, err // the caller gave up, the store is not to blame
		}
		f.failed(s, err)
		if ctx.Err() != nil {
			break
		}
	}
	f.missed()
	return out, err
}

type found struct {
	item Item
	ok   bool
}

// Get implements Store.
func (f *Failover) Get(ctx context.Context, key string, stale bool) (Item, bool, error) {
	r, err := read(ctx, f, func(s Store) (found, error) {
		i, ok, err := s.Get(ctx, key, stale)
		return found{i, ok}, err
	})
	return r.item, r.ok, err
}

// Range implements Store.
func (f *Failover) Range(ctx context.Context, prefix, after string, stale bool) (Page, error) {
	return read(ctx, f, func(s Store) (Page, error) { return s.Range(ctx, prefix, after, stale) })
}

// Watch implements Store.
func (f *Failover) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (Changes, error) {
	return read(ctx, f, func(s Store) (Changes, error) { return s.Watch(ctx, prefix, after, wait) })
}

// Commit implements Store. The second way is tried only if the first one
// certainly had no effect.
func (f *Failover) Commit(ctx context.Context, t Txn) (TxnResult, error) {
	var res TxnResult
	var err error
	for _, s := range f.ways() {
		res, err = s.Commit(ctx, t)
		if err == nil {
			f.worked(s)
			return res, nil
		}
		if errors.Is(ctx.Err(), context.Canceled) {
			return res, err
		}
		f.failed(s, err)
		if verdict.Of(err) != verdict.NotRun || ctx.Err() != nil {
			break
		}
	}
	f.missed()
	return res, err
}

// GrantLease implements Store.
func (f *Failover) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	return read(ctx, f, func(s Store) (LeaseID, error) { return s.GrantLease(ctx, ttl) })
}

// KeepAlive implements Store.
func (f *Failover) KeepAlive(ctx context.Context, id LeaseID) (bool, error) {
	return read(ctx, f, func(s Store) (bool, error) { return s.KeepAlive(ctx, id) })
}

// EndLease implements Store.
func (f *Failover) EndLease(ctx context.Context, id LeaseID) error {
	_, err := read(ctx, f, func(s Store) (struct{}, error) { return struct{}{}, s.EndLease(ctx, id) })
	return err
}
