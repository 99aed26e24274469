package node

import (
	"context"
	"fmt"
	"strings"
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
	// registrationsInterval is the least time between two watches that return with all changes
	// there are: a fifth of the time in which a draining worker must be left alone. Each worker's
	// heartbeat is a change. expectingEvery is the same while instances are on their way to
	// a pool: a reading costs a thirtieth of a second of an instance.
	registrationsInterval = 400 * time.Millisecond
	expectingInterval     = 100 * time.Millisecond
)

// watchRegistrations hands the workers' entries to the core, and tells it whenever a look
// at the store has shown that what it knows of them is current. The whole list is read when
// a term begins and when the store has dropped the changes in between: of 132 workers it has
// 49 KB, a fifth of a second of a link of 2 Mbit/s.
func (t *termRun) watchRegistrations() {
	prefix := t.n.platform.Formats.WorkerPrefix
	for t.ctx.Err() == nil {
		items, revision, err := t.n.listPrefix(t.ctx, prefix)
		if err != nil {
			sleep.For(t.ctx, retryPause)
			continue
		}
		list, _ := t.decodeRegistrations(ledger.EventsOf(items))
		t.enqueue(func(c *owner.Core, now time.Time) { c.SetRegistrations(list, now) })
		t.watchRegistrationChanges(prefix, revision)
	}
}

// watchRegistrationChanges hands on changes after a revision until the history is gone.
func (t *termRun) watchRegistrationChanges(prefix string, revision int64) {
	var returns truncationDetector
	for t.ctx.Err() == nil {
		known := t.n.store.LatestRevision()
		ch, err := t.n.watchFor(t.ctx, prefix, revision, registrationsWait)
		if verdict.CodeOf(err) == ledger.CodeCompacted {
			t.n.log.Warn("history-gone", zap.String("prefix", prefix), zap.Int64("after", revision))
			return
		}
		if err != nil {
			sleep.For(t.ctx, retryPause)
			continue
		}
		revision = max(revision, ch.Revision)
		changed, gone := t.decodeRegistrations(ch.Events)
		current := ch.Revision >= known && !returns.mayBeTruncated(len(ch.Events))
		t.enqueue(func(c *owner.Core, now time.Time) {
			c.UpdateRegistrations(changed, gone, current, now)
			t.expectingWorkers.Store(c.ExpectsWorkers())
		})
		switch {
		case current && len(ch.Events) > 0:
			sleep.For(t.ctx, t.registrationsPause())
		case !current && len(ch.Events) == 0:
			sleep.For(t.ctx, expectingInterval) // it does not tell what it knows
		}
	}
}

// truncationDetector tells from how much a watch returns whether more has changed. A store bounds a
// return, and does not say that it did.
type truncationDetector struct{ maxChanges int }

// minTruncatedChanges is the fewest changes that a store may bound a return to.
const minTruncatedChanges = 64

// mayBeTruncated reports whether a return of so many changes is about as large as any before.
func (r *truncationDetector) mayBeTruncated(changes int) bool {
	r.maxChanges = max(r.maxChanges, changes)
	return changes >= minTruncatedChanges && 4*changes >= 3*r.maxChanges
}

// decodeRegistrations returns what events leave of each worker's entry. One that cannot be
// used names no worker, as one that is gone: that is no proof of a worker's death, so that
// what runs there runs on.
func (t *termRun) decodeRegistrations(events []ledger.Event) (changed []owner.Registration, gone []owner.WorkerID) {
	newest := map[string]ledger.Event{}
	for _, e := range events {
		newest[e.Key] = e
	}
	prefix := t.n.platform.Formats.WorkerPrefix
	for key, e := range newest {
		name := owner.WorkerID(strings.TrimPrefix(key, prefix))
		if e.Deleted {
			t.n.refusedEntries.remove(key)
			gone = append(gone, name)
			continue
		}
		r, err := t.decodeRegistration(name, e.Item)
		if err != nil {
			t.n.refusedEntries.add(key, e.Revision, err)
			gone = append(gone, name)
			continue
		}
		t.n.refusedEntries.remove(key)
		changed = append(changed, r)
	}
	return changed, gone
}

func (t *termRun) decodeRegistration(name owner.WorkerID, i ledger.Item) (owner.Registration, error) {
	r, err := t.n.platform.Formats.DecodeWorker(i.Key, i.Value)
	switch {
	case err != nil:
	case r.Worker != name:
		err = fmt.Errorf("it is of worker %q", r.Worker)
	default:
		err = r.Validate()
	}
	return r, err
}

func (t *termRun) registrationsPause() time.Duration {
	if t.expectingWorkers.Load() {
		return expectingInterval
	}
	return registrationsInterval
}

// watchFor waits so long for changes after a revision.
func (n *Node) watchFor(ctx context.Context, prefix string, after int64, wait time.Duration) (ledger.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+watchTimeoutMargin)
	defer cancel()
	return n.store.Watch(ctx, prefix, after, wait)
}
