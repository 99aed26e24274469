package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/postmount/postmount/internal/sleep"
	"github.com/postmount/postmount/jobs/ledger"
	"github.com/postmount/postmount/jobs/owner"
)

// watchJobs hands submissions and cancellations to the core.
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

// awaitLease waits until this daemon's lease is held for certain, or the term is
// over: new jobs are taken only while no other daemon can be the owner.
func (t *termRun) awaitLease() {
	for !t.leaseHeld() && sleep.For(t.ctx, retryPause) {
	}
}

// pollInstances reads the instance list from time to time, and soon after an
// order for an instance was accepted: the list shows whose life is over. Orders
// that are accepted meanwhile share a reading.
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

// instanceListPause returns the least time until the next reading of a list of so many
// instances, so that the list takes no more than its share of this daemon's link.
func (t *termRun) instanceListPause(instances int) time.Duration {
	if t.n.settings.LinkMbps <= 0 {
		return minInstancesInterval
	}
	megabits := float64(instances*bytesPerInstance) * 8 / 1e6
	pause := time.Duration(megabits / (t.n.settings.LinkMbps * instancesLinkShare) * float64(time.Second))
	return min(maxInstancesInterval, max(minInstancesInterval, pause))
}

// requestInstanceList asks for a reading of the instance list that begins after now.
func (t *termRun) requestInstanceList() {
	select {
	case t.relist <- struct{}{}:
	default: // one is asked for already and has not begun
	}
}

// listInstances reads the instance list, and returns how many there are, 0 if that failed.
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
