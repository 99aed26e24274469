package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/postmount/postmount/internal/sleep"
	"github.com/postmount/postmount/jobs/ledger"
	"github.com/postmount/postmount/jobs/owner"
	"github.com/postmount/postmount/verdict"
)

// Figures of the workers' registrations.
const (
	// registrationsWait is how long a watch of them waits for changes. Its return tells
	// the owner that what it knows is current, so that an outage of the store shows
	// within half a second more.
	registrationsWait = time.Second
	// registrationsEvery is the least time between two watches that return with changes:
	// one twentieth of the time in which a draining worker must be left alone.
	registrationsEvery = 100 * time.Millisecond
)

// registrations are the workers' entries in the store, kept by their changes: the whole
// list is read when a term begins and when the store has dropped the changes in between.
// Of 132 workers it has 55 KB, a fifth of a second of a link of 2 Mbit/s.
type registrations map[string]owner.Registration

// followRegistrations hands the workers' entries to the core whenever a look at the store
// has shown that they are current.
func (t *termRun) followRegistrations() {
	prefix := t.n.platform.Dialect.WorkerPrefix
	for t.ctx.Err() == nil {
		items, revision, err := t.n.readAll(t.ctx, prefix)
		if err != nil {
			sleep.For(t.ctx, retryPause)
			continue
		}
		known := registrations{}
		for _, i := range items {
			t.applyRegistration(known, ledger.Event{Item: i})
		}
		t.register(known)
		t.watchRegistrations(prefix, known, revision)
	}
}

// watchRegistrations applies changes after a revision until the history is gone.
func (t *termRun) watchRegistrations(prefix string, known registrations, revision int64) {
	for t.ctx.Err() == nil {
		ch, err := t.n.watchFor(t.ctx, prefix, revision, registrationsWait)
		if verdict.CodeOf(err) == ledger.CodeCompacted {
			t.n.log.Warn("history-gone", zap.String("prefix", prefix), zap.Int64("after", revision))
			return
		}
		if err != nil {
			sleep.For(t.ctx, retryPause)
			continue
		}
		for _, e := range ch.Events {
			t.applyRegistration(known, e)
		}
		revision = max(revision, ch.Revision)
		t.register(known)
		if len(ch.Events) > 0 {
			sleep.For(t.ctx, registrationsEvery)
		}
	}
}

func (t *termRun) applyRegistration(known registrations, e ledger.Event) {
	if e.Deleted {
		delete(known, e.Key)
		return
	}
	r, err := t.n.platform.Dialect.DecodeWorker(e.Key, e.Value)
	if err != nil {
		t.n.log.Error("registration-unreadable", zap.Error(err))
		return
	}
	known[e.Key] = r
}

func (t *termRun) register(known registrations) {
	list := make([]owner.Registration, 0, len(known))
	for _, r := range known {
		list = append(list, r)
	}
	t.do(func(c *owner.Core, now time.Time) { c.Register(list, now) })
}

// watchFor waits so long for changes after a revision.
func (n *Node) watchFor(ctx context.Context, prefix string, after int64, wait time.Duration) (ledger.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+watchReserve)
	defer cancel()
	return n.store.Watch(ctx, prefix, after, wait)
}
