package ledger

import (
	"context"
	"time"

	"github.com/postmount/postmount/verdict"
)

// StoreCall describes one call to the store. The store charges for each call, including
// refused ones.
type StoreCall struct {
	Kind    string // "get", "range", "watch", "commit", "grant", "keep" or "end"
	Stale   bool   // a stale read, at a tenth of the price
	Outcome string // "answered", or the error's code
	Took    time.Duration
}

// Observed returns a store that makes each call on s and then reports it to observe.
func Observed(s Store, observe func(StoreCall)) Store { return &observedStore{s, observe} }

type observedStore struct {
	store   Store
	observe func(StoreCall)
}

// report reports a call that has ended now.
func (o *observedStore) report(kind string, stale bool, began time.Time, err error) {
	outcome := "answered"
	if err != nil {
		outcome = string(verdict.CodeOf(err))
	}
	o.observe(StoreCall{Kind: kind, Stale: stale, Outcome: outcome, Took: time.Since(began)})
}

// Get implements Store.
func (o *observedStore) Get(ctx context.Context, key string, stale bool) (Item, bool, error) {
	began := time.Now()
	item, found, err := o.store.Get(ctx, key, stale)
	o.report("get", stale, began, err)
	return item, found, err
}

// Range implements Store.
func (o *observedStore) Range(ctx context.Context, prefix, after string, stale bool) (Page, error) {
	began := time.Now()
	page, err := o.store.Range(ctx, prefix, after, stale)
	o.report("range", stale, began, err)
	return page, err
}

// Watch implements Store.
func (o *observedStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (Changes, error) {
	began := time.Now()
	ch, err := o.store.Watch(ctx, prefix, after, wait)
	o.report("watch", false, began, err)
	return ch, err
}

// Commit implements Store.
func (o *observedStore) Commit(ctx context.Context, t Txn) (TxnResult, error) {
	began := time.Now()
	res, err := o.store.Commit(ctx, t)
	o.report("commit", false, began, err)
	return res, err
}

// GrantLease implements Store.
func (o *observedStore) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	began := time.Now()
	id, err := o.store.GrantLease(ctx, ttl)
	o.report("grant", false, began, err)
	return id, err
}

// KeepAlive implements Store.
func (o *observedStore) KeepAlive(ctx context.Context, id LeaseID) (bool, error) {
	began := time.Now()
	alive, err := o.store.KeepAlive(ctx, id)
	o.report("keep", false, began, err)
	return alive, err
}

// EndLease implements Store.
func (o *observedStore) EndLease(ctx context.Context, id LeaseID) error {
	began := time.Now()
	err := o.store.EndLease(ctx, id)
	o.report("end", false, began, err)
	return err
}
