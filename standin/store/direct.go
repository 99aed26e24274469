package store

import (
	"context"
	"sync"
	"time"

	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/requests/port"
	"github.com/postmount/postmount/verdict"
)

// Direct implements port.Store on an engine without a network, for tests in virtual time. Several
// callers may share an engine, each through a Direct of its own. It injects the faults Down,
// DelayMillis and, for CompareAndSwap only, LoseAnswers; it ignores the limits.
type Direct struct {
	Engine *Engine

	mu     sync.Mutex
	faults Faults
	closed chan struct{} // closed and replaced to end the watches
	Calls  Calls
}

var _ port.Store = (*Direct)(nil)

// NewDirect returns a healthy store over engine e.
func NewDirect(e *Engine) *Direct { return &Direct{Engine: e, closed: make(chan struct{})} }

// SetFaults replaces the faults. If Down is set it ends all watches.
func (d *Direct) SetFaults(f Faults) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults = f
	if f.Down {
		close(d.closed)
		d.closed = make(chan struct{})
	}
}

// errDown returns the error of a call while Faults.Down is set.
func errDown() error {
	return verdict.New(verdict.NotRun, port.CodeStoreUnavailable, "store stand-in: the store is down")
}

// beginCall counts a call and applies the faults that act before it takes effect.
func (d *Direct) beginCall(ctx context.Context, write bool) error {
	d.mu.Lock()
	f := d.faults
	if write {
		d.Calls.Writes++
	} else {
		d.Calls.Reads++
	}
	d.mu.Unlock()
	if f.DelayMillis > 0 {
		t := time.NewTimer(time.Duration(f.DelayMillis) * time.Millisecond)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
		}
	}
	if f.Down || ctx.Err() != nil {
		return errDown()
	}
	return nil
}

// lostAnswerError returns an error if the answer to a write that took effect is lost because of
// Faults.LoseAnswers.
func (d *Direct) lostAnswerError() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.faults.LoseAnswers == 0 {
		return nil
	}
	d.faults.LoseAnswers--
	return verdict.New(verdict.MayHaveRun, port.CodeStoreUnavailable, "store stand-in: the answer to the write was lost")
}

// Get implements port.Store.
func (d *Direct) Get(ctx context.Context, key string) (port.KV, bool, error) {
	if err := d.beginCall(ctx, false); err != nil {
		return port.KV{}, false, err
	}
	found, rev := d.Engine.Range(key, "")
	if len(found) == 0 {
		return port.KV{Revision: fleet.Revision(rev)}, false, nil
	}
	return found[0].kv(), true, nil
}

func (c change) kv() port.KV {
	return port.KV{Key: c.key, Value: c.value, Revision: fleet.Revision(c.revision)}
}

// List implements port.Store.
func (d *Direct) List(ctx context.Context, prefix string) (port.Listing, error) {
	if err := d.beginCall(ctx, false); err != nil {
		return port.Listing{}, err
	}
	found, rev := d.Engine.Range(prefix, prefix+"\xff")
	out := port.Listing{Revision: fleet.Revision(rev)}
	for _, c := range found {
		out.KVs = append(out.KVs, c.kv())
	}
	return out, nil
}

// CompareAndSwap implements port.Store.
func (d *Direct) CompareAndSwap(ctx context.Context, key string, expect fleet.Revision, value []byte, lease port.LeaseID) (fleet.Revision, bool, error) {
	if err := d.beginCall(ctx, true); err != nil {
		return 0, false, err
	}
	rev, ok := d.Engine.Put(key, int64(expect), value, int64(lease))
	if ok {
		if err := d.lostAnswerError(); err != nil {
			return 0, false, err
		}
	}
	return fleet.Revision(rev), ok, nil
}

// CompareAndDelete implements port.Store.
func (d *Direct) CompareAndDelete(ctx context.Context, key string, expect fleet.Revision) (bool, error) {
	if err := d.beginCall(ctx, true); err != nil {
		return false, err
	}
	_, ok := d.Engine.Delete(key, int64(expect))
	return ok, nil
}

// Watch implements port.Store.
func (d *Direct) Watch(ctx context.Context, prefix string, from fleet.Revision, fn func([]port.Event)) error {
	if err := d.beginCall(ctx, false); err != nil {
		return err
	}
	d.mu.Lock()
	closed := d.closed
	d.mu.Unlock()
	next := int64(from) + 1
	fn(nil)
	for {
		events, upTo, changed, ok := d.Engine.ChangesSince(prefix, prefix+"\xff", next)
		if !ok {
			return verdict.New(verdict.NotRun, port.CodeStoreCompacted, "history from revision %d on is compacted", next)
		}
		var out []port.Event
		for _, c := range events {
			out = append(out, port.Event{KV: c.kv(), Deleted: c.deleted})
		}
		if len(out) > 0 {
			fn(out)
		}
		next = upTo + 1
		select {
		case <-changed:
		case <-closed:
			return errDown()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// GrantLease implements port.Store.
func (d *Direct) GrantLease(ctx context.Context, ttl time.Duration) (port.LeaseID, error) {
	if err := d.beginCall(ctx, true); err != nil {
		return 0, err
	}
	return port.LeaseID(d.Engine.Grant(ttl)), nil
}

// KeepAlive implements port.Store.
func (d *Direct) KeepAlive(ctx context.Context, id port.LeaseID) (bool, error) {
	if err := d.beginCall(ctx, true); err != nil {
		return false, err
	}
	return d.Engine.KeepAlive(int64(id)) > 0, nil
}

// RevokeLease implements port.Store.
func (d *Direct) RevokeLease(ctx context.Context, id port.LeaseID) error {
	if err := d.beginCall(ctx, true); err != nil {
		return err
	}
	d.Engine.Revoke(int64(id))
	return nil
}
