package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/postmount/postmount/internal/sleep"
	"github.com/postmount/postmount/jobs/ledger"
	"github.com/postmount/postmount/jobs/owner"
)

// watchJobs passes submissions and cancellations from the store to the core.
func (t *termRun) watchJobs(revision int64) {
	apply := func(e ledger.Event) {
		if e.Deleted {
			return
		}
		ch, ok, err := ledger.DecodeChange(e.Item)
		if err != nil {
			t.n.refusedEntries.add(e.Key, e.Revision, err)
			return
		}
		if !ok {
			return
		}
		t.n.refusedEntries.remove(e.Key)
		t.awaitLease()
		t.enqueue(func(c *owner.Core, now time.Time) {
			switch {
			case ch.Ended != nil: // written by this owner
			case ch.Submitted != nil:
				c.Submit(ch.Submitted, now)
			default:
				c.Cancel(ch.Cancelled, now)
			}
		})
	}
	jobs := prefixWatch{prefix: ledger.PrefixJobs, minInterval: jobsInterval, apply: apply}
	t.n.watchChanges(t.ctx, jobs, revision)
	t.n.watchPrefix(t.ctx, jobs)
}

// awaitLease blocks until the lease of the lock is certainly held or the term has ended. New jobs
// are passed to the core only while no other daemon can be the owner.
func (t *termRun) awaitLease() {
	for !t.leaseHeld() && sleep.For(t.ctx, retryPause) {
	}
}

// pollInstances reads the instance list every instancesInterval, and earlier after an order
// for an instance was accepted: the list shows which workers have ended. Orders that are
// accepted before the next read share it.
func (t *termRun) pollInstances() {
	for t.ctx.Err() == nil {
		pause := t.instanceListPause(t.listInstances())
		if !sleep.For(t.ctx, pause) {
			return
		}
		select {
		case <-t.ctx.Done():
		case <-t.relist:
		case <-time.After(max(0, instancesInterval-pause)):
		}
	}
}

// instanceListPause returns the minimum time until the next read of a list of this number of
// instances, so that reads use at most instancesLinkShare of this daemon's link.
func (t *termRun) instanceListPause(instances int) time.Duration {
	if t.n.settings.LinkMbps <= 0 {
		return minInstancesInterval
	}
	megabits := float64(instances*bytesPerInstance) * 8 / 1e6
	pause := time.Duration(megabits / (t.n.settings.LinkMbps * instancesLinkShare) * float64(time.Second))
	return min(maxInstancesInterval, max(minInstancesInterval, pause))
}

// requestInstanceList requests a read of the instance list that starts after this call.
func (t *termRun) requestInstanceList() {
	select {
	case t.relist <- struct{}{}:
	default: // a requested read has not started yet
	}
}

// listInstances reads the instance list, passes it to the core and returns its length, 0 if
// the call failed.
func (t *termRun) listInstances() int {
	ctx, cancel := context.WithTimeout(t.ctx, instanceOrderTimeout)
	defer cancel()
	list, err := t.n.platform.Manager.Instances(ctx)
	if err != nil {
		if t.ctx.Err() == nil {
			t.n.log.Warn("instance-list-failed", zap.Error(err))
		}
		return 0
	}
	t.enqueue(func(c *owner.Core, now time.Time) { c.OnInstances(list, now) })
	return len(list)
}
