package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/postmount/postmount/internal/sleep"
	"github.com/postmount/postmount/jobs/ledger"
	"github.com/postmount/postmount/jobs/owner"
)

// followJobs hands submissions and cancellations to the core.
func (t *termRun) followJobs(revision int64) {
	apply := func(e ledger.Event) {
		if e.Deleted {
			return
		}
		ch, ok, err := ledger.DecodeChange(e.Item)
		if err != nil || !ok {
			t.n.log.Error("job-unreadable", zap.String("key", e.Key), zap.Error(err))
			return
		}
		t.awaitLease()
		t.do(func(c *owner.Core, now time.Time) {
			switch {
			case ch.Ended != nil: // written by this owner
			case ch.Submitted != nil:
				c.Submit(ch.Submitted, now)
			default:
				c.Cancel(ch.Cancelled, now)
			}
		})
	}
	t.n.followFrom(t.ctx, ledger.PrefixJobs, jobsEvery, revision, apply)
	t.n.follow(t.ctx, ledger.PrefixJobs, jobsEvery, func() {}, apply)
}

// awaitLease waits until this daemon's lease is held for certain, or the term is
// over: new jobs are taken only while no other daemon can be the owner.
func (t *termRun) awaitLease() {
	for !t.leaseHeld() && sleep.For(t.ctx, retryPause) {
	}
}

func (t *termRun) pollRegistrations() {
	for t.ctx.Err() == nil {
		items, _, err := t.n.readAll(t.ctx, t.n.platform.Dialect.WorkerPrefix)
		if err == nil {
			list := t.decodeRegistrations(items)
			t.do(func(c *owner.Core, now time.Time) {
				c.Register(list, now)
				t.expecting.Store(c.Expecting())
			})
		}
		if !sleep.For(t.ctx, t.registrationsPause(len(items))) {
			return
		}
	}
}

// registrationsPause returns the time until the next reading of the workers'
// entries. While workers are expected it is short, but bounded by what reading a
// large fleet costs.
func (t *termRun) registrationsPause(entries int) time.Duration {
	if !t.expecting.Load() {
		return registrationsEvery
	}
	return min(registrationsEvery, max(expectingEvery, time.Duration(entries)*pausePerEntry))
}

func (t *termRun) decodeRegistrations(items []ledger.Item) []owner.Registration {
	var list []owner.Registration
	for _, i := range items {
		r, err := t.n.platform.Dialect.DecodeWorker(i.Key, i.Value)
		if err != nil {
			t.n.log.Error("registration-unreadable", zap.Error(err))
			continue
		}
		list = append(list, r)
	}
	return list
}

// pollInstances reads the instance list from time to time, and soon after an
// order for an instance was accepted: the list shows whose life is over. Orders
// that are accepted meanwhile share a reading.
func (t *termRun) pollInstances() {
	for t.ctx.Err() == nil {
		t.listInstances()
		if !sleep.For(t.ctx, instancesLeast) {
			return
		}
		select {
		case <-t.ctx.Done():
		case <-t.relist:
		case <-time.After(instancesEvery - instancesLeast):
		}
	}
}

// wantInstances asks for a reading of the instance list that begins after now.
func (t *termRun) wantInstances() {
	select {
	case t.relist <- struct{}{}:
	default: // one is asked for already and has not begun
	}
}

func (t *termRun) listInstances() {
	ctx, cancel := context.WithTimeout(t.ctx, instanceOrderTimeout)
	defer cancel()
	list, err := t.n.platform.Manager.Instances(ctx)
	if err != nil {
		if t.ctx.Err() == nil {
			t.n.log.Warn("instance-list-failed", zap.Error(err))
		}
		return
	}
	t.do(func(c *owner.Core, now time.Time) { c.OnInstances(list, now) })
}
