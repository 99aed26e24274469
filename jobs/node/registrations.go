package node

import (
	"fmt"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/postmount/postmount/internal/sleep"
	"github.com/postmount/postmount/jobs/ledger"
	"github.com/postmount/postmount/jobs/owner"
	"github.com/postmount/postmount/verdict"
)

// Intervals of the watch of the workers' registrations.
const (
	// registrationsWait is how long a watch waits for changes. Its answer, also one without changes,
	// confirms that the owner's registrations are current. Package owner takes 1.5 s without an answer
	// for an outage of the store (storeOutageGap), so this must be shorter by more than a call takes.
	registrationsWait = time.Second
	// registrationsInterval is the minimum time between two watch calls that return all changes:
	// a fifth of the time in which starts to a draining worker must stop. Each worker's heartbeat
	// is a change. expectingInterval applies while instances are moving to a pool: a read costs as
	// much as an instance does in a thirtieth of a second.
	registrationsInterval = 400 * time.Millisecond
	expectingInterval     = 100 * time.Millisecond
)

// watchRegistrations passes the workers' entries to the core, and tells it whenever the store has
// confirmed that they are current. The whole list is read only when a term begins and when the
// store has compacted changes that were not read: for 132 workers it has 49 KB, which take 0.2 s
// on a 2 Mbit/s link.
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

// watchRegistrationChanges passes changes after a revision to the core. It returns when the term
// has ended or the store has compacted changes that were not read.
func (t *termRun) watchRegistrationChanges(prefix string, revision int64) {
	var replySizes truncationDetector
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
		current := ch.Revision >= known && !replySizes.mayBeTruncated(len(ch.Events))
		t.enqueue(func(c *owner.Core, now time.Time) {
			c.UpdateRegistrations(changed, gone, current, now)
			t.expectingWorkers.Store(c.ExpectsWorkers())
		})
		switch {
		case current && len(ch.Events) > 0:
			sleep.For(t.ctx, t.registrationsPause())
		case !current && len(ch.Events) == 0:
			sleep.For(t.ctx, expectingInterval) // the store lags behind a revision seen before, and returned nothing
		}
	}
}

// truncationDetector guesses from the number of changes in the answer to a watch whether the store
// has truncated it. A store may do so without reporting it.
type truncationDetector struct{ maxChanges int }

// minTruncatedChanges is the smallest size to which a store may truncate an answer.
const minTruncatedChanges = 64

// mayBeTruncated reports whether an answer with this number of changes may be truncated: it has at
// least minTruncatedChanges, and at least three quarters as many as the largest answer so far.
func (r *truncationDetector) mayBeTruncated(changes int) bool {
	r.maxChanges = max(r.maxChanges, changes)
	return changes >= minTruncatedChanges && 4*changes >= 3*r.maxChanges
}

// decodeRegistrations returns the registration of each worker after the last of its events, and the
// workers whose entry was deleted or is invalid. An invalid entry does not prove that a worker has
// ended, so its tasks continue.
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

// decodeRegistration decodes and validates the registration of the named worker.
func (t *termRun) decodeRegistration(name owner.WorkerID, i ledger.Item) (owner.Registration, error) {
	r, err := t.n.platform.Formats.DecodeWorker(i.Key, i.Value)
	switch {
	case err != nil:
	case r.Worker != name:
		err = fmt.Errorf("registration is of worker %q, not %q", r.Worker, name)
	default:
		err = r.Validate()
	}
	return r, err
}

// registrationsPause returns the minimum time until the next watch call.
func (t *termRun) registrationsPause() time.Duration {
	if t.expectingWorkers.Load() {
		return expectingInterval
	}
	return registrationsInterval
}
