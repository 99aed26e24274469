// Package ledger keeps jobs in the store: it accepts submissions, elects the owner, the one
// daemon that schedules jobs, and writes the owner's progress on condition that it still is
// the owner.
package ledger

import (
	"context"
	"time"

	"github.com/postmount/postmount/verdict"
)

// LeaseID identifies a lease of the store; 0 means no lease.
type LeaseID int64

// Item is a key of the store with its value.
type Item struct {
	Key      string
	Value    []byte
	Revision int64 // of the last change
	Created  int64 // revision at which the key was created
	Lease    LeaseID
}

// Event is a change of a key, as reported by a watch.
type Event struct {
	Item
	Deleted bool
}

// EventsOf returns an event for each item, as if it had just been put.
func EventsOf(items []Item) []Event {
	out := make([]Event, 0, len(items))
	for _, i := range items {
		out = append(out, Event{Item: i})
	}
	return out
}

// Condition is true if Key was last changed at Revision, or if Revision is 0 and Key does not
// exist.
type Condition struct {
	Key      string
	Revision int64
}

// Put writes a key.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn is a transaction that applies the puts and deletes if all conditions are true. It has at
// most MaxTxnEntries entries.
type Txn struct {
	If      []Condition
	Puts    []Put
	Deletes []string
}

// MaxTxnEntries is the store's limit on the number of conditions, puts and deletes together.
const MaxTxnEntries = 32

// TxnResult is the store's answer to a Txn.
type TxnResult struct {
	Committed bool
	Revision  int64  // if committed
	Current   []Item // if not committed: items of those condition keys that exist
	LeaseGone bool   // a put refers to a lease that has ended
}

// Page is one page of a range.
type Page struct {
	Items    []Item
	More     bool
	Revision int64
}

// Changes is the answer to a watch.
type Changes struct {
	Events   []Event
	Revision int64 // where the next watch continues
}

// Codes of the store's errors: it did not serve a call, it has compacted the history that
// a watch asked for or has too much of it to read, or it rejects the call as invalid, also if it is
// repeated.
const (
	CodeStoreUnavailable verdict.Code = "store-unavailable"
	CodeCompacted        verdict.Code = "store-history-gone"
	CodeStoreRejected    verdict.Code = "store-rejected"
)

// Store is the platform's key-value store. Each method makes one call. The verdict of an error
// of Commit says whether the transaction may have taken effect.
type Store interface {
	// Get returns an item. stale allows an answer that is some seconds old, at a tenth of the
	// price.
	Get(ctx context.Context, key string, stale bool) (item Item, found bool, err error)
	// Range returns a page of the items with the prefix whose keys come after the key after.
	Range(ctx context.Context, prefix, after string, stale bool) (Page, error)
	// Watch waits up to wait for changes of keys with the prefix later than revision after.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (Changes, error)
	Commit(ctx context.Context, t Txn) (TxnResult, error)
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease; alive is false if it has ended.
	KeepAlive(ctx context.Context, id LeaseID) (alive bool, err error)
	EndLease(ctx context.Context, id LeaseID) error
}

// RangeAll reads all pages of a prefix. revision is that of the first page: a watch from there
// misses no change.
func RangeAll(ctx context.Context, s Store, prefix string, stale bool) (items []Item, revision int64, err error) {
	after := ""
	for {
		page, err := s.Range(ctx, prefix, after, stale)
		if err != nil {
			return nil, 0, err
		}
		if revision == 0 {
			revision = page.Revision
		}
		items = append(items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return items, revision, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}
