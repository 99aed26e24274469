package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/postmount/postmount/internal/sleep"
	"github.com/postmount/postmount/jobs/ledger"
	"github.com/postmount/postmount/verdict"
)

// prefixWatch describes a watch of all keys with a prefix.
type prefixWatch struct {
	prefix      string
	minInterval time.Duration      // minimum time between two watch calls that return all changes
	reset       func()             // if set, called before all keys are applied
	apply       func(ledger.Event) // called for each key, then for each change
	synced      func()             // if set, called when all keys or changes of an answer are applied
}

// watchPrefix reads all keys with a prefix, then every change. It starts over if the store has
// compacted changes that were not read.
func (n *Node) watchPrefix(ctx context.Context, w prefixWatch) {
	for ctx.Err() == nil {
		items, revision, err := n.listPrefix(ctx, w.prefix)
		if err != nil {
			sleep.For(ctx, retryPause)
			continue
		}
		callIfSet(w.reset)
		for _, i := range items {
			w.apply(ledger.Event{Item: i})
		}
		callIfSet(w.synced)
		n.watchChanges(ctx, w, revision)
	}
}

// callIfSet calls f unless it is nil.
func callIfSet(f func()) {
	if f != nil {
		f()
	}
}

// listPrefix reads all keys with a prefix, and returns the revision from which a watch misses no
// change. Refused entries that are gone are no longer listed as such.
func (n *Node) listPrefix(ctx context.Context, prefix string) ([]ledger.Item, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*storeTimeout)
	defer cancel()
	items, revision, err := ledger.RangeAll(ctx, n.store, prefix, false)
	if err == nil {
		n.refusedEntries.retain(prefix, items)
	}
	return items, revision, err
}

// watchChanges applies the changes after a revision. It returns when ctx ends or the store has
// compacted changes that were not read.
func (n *Node) watchChanges(ctx context.Context, w prefixWatch, revision int64) {
	for ctx.Err() == nil {
		known := n.store.LatestRevision()
		ch, err := n.watchFor(ctx, w.prefix, revision, watchWait)
		if verdict.CodeOf(err) == ledger.CodeCompacted {
			n.log.Warn("history-gone", zap.String("prefix", w.prefix), zap.Int64("after", revision))
			return
		}
		if err != nil {
			sleep.For(ctx, retryPause)
			continue
		}
		for _, e := range ch.Events {
			w.apply(e)
		}
		callIfSet(w.synced)
		revision = max(revision, ch.Revision)
		current := ch.Revision >= known // otherwise the answer was truncated, and more changes are available
		if current && len(ch.Events) > 0 && w.minInterval > 0 {
			sleep.For(ctx, w.minInterval)
		}
	}
}

// watchFor waits up to wait for changes after a revision.
func (n *Node) watchFor(ctx context.Context, prefix string, after int64, wait time.Duration) (ledger.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+watchTimeoutMargin)
	defer cancel()
	return n.store.Watch(ctx, prefix, after, wait)
}
