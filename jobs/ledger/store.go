// Package ledger keeps jobs in the store: it accepts submissions, elects the
// one owner that schedules them, and writes the owner's progress under the
// condition that it still is the owner.
package ledger

import (
	"context"
	"time"

	"github.com/postmount/postmount/verdict"
)

// LeaseID identifies a lease of the store; 0 means none.
type LeaseID int64

// Item is one key of the store.
type Item struct {
	Key      string
	Value    []byte
	Revision int64 // of the last change
	Created  int64 // revision at which the key came to be
	Lease    LeaseID
}

// Event is one change seen by a watch.
type Event struct {
	Item
	Deleted bool
}

// EventsOf returns the events by which the items came to be as they are.
func EventsOf(items []Item) []Event {
	out := make([]Event, 0, len(items))
	for _, i := range items {
		out = append(out, Event{Item: i})
	}
	return out
}

// Condition holds if Key was last changed at Revision; 0: if it does not exist.
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

// Txn is all or nothing. It has at most MaxTxnEntries entries.
type Txn struct {
	If      []Condition
	Puts    []Put
	Deletes []string
}

// MaxTxnEntries is the store's limit of conditions, puts and deletes together.
const MaxTxnEntries = 32

// TxnResult is the store's answer to a Txn.
type TxnResult struct {
	Committed bool
	Revision  int64  // if committed
	Current   []Item // if not committed: the existing keys of the conditions
	LeaseGone bool   // a put named a lease that has ended
}

// Page is a part of a range.
type Page struct {
	Items    []Item
	More     bool
	Revision int64
}

// Changes is the answer to a watch.
type Changes struct {
	Events   []Event
	Revision int64 // to continue from
}

// Codes of the store's errors.
const (
	CodeStoreUnavailable verdict.Code = "store-unavailable"
	CodeCompacted        verdict.Code = "store-history-gone"
)

// Store is the platform's key-value service. Each method makes one call. The
// error of a Commit says by its verdict whether it may have taken effect.
type Store interface {
	// Get returns a key. stale allows an answer that is some seconds old, at a
	// tenth of the price.
	Get(ctx context.Context, key string, stale bool) (item Item, found bool, err error)
	// Range returns the keys with the prefix that come after the key after.
	Range(ctx context.Context, prefix, after string, stale bool) (Page, error)
	// Watch waits for changes of keys with the prefix, later than revision after.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (Changes, error)
	Commit(ctx context.Context, t Txn) (TxnResult, error)
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease; alive is false if it has ended.
	KeepAlive(ctx context.Context, id LeaseID) (alive bool, err error)
	EndLease(ctx context.Context, id LeaseID) error
}

// RangeAll reads all pages of a prefix. revision is that of the first page:
// watching from there misses nothing.
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
