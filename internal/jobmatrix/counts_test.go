package jobmatrix

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/owner"
	"github.com/postmount/postmount/standin/jobfleet"
)

// countPollInterval is the pause between two rounds of asking all daemons for the count.
const countPollInterval = 130 * time.Millisecond

// pollCounts asks all daemons for the number of pending jobs in the orders queue until ctx
// ends; the checker verifies each answer.
func (d *deployment) pollCounts(ctx context.Context) {
	for ctx.Err() == nil {
		for _, dm := range d.in.Daemons() {
			go d.in.CallerTo(dm).Pending(ordersPrefix)
		}
		time.Sleep(countPollInterval)
	}
}

// waitingJobs is the number of jobs submitted during a fault.
const waitingJobs = 30

// ownerFaults are faults of an owner that last so long that jobs it does not know of wait
// longer than the checker allows to leave out of a count.
var ownerFaults = []struct {
	name   string
	strike func(d *deployment, o *jobfleet.Daemon, lasts time.Duration)
}{
	{"it is cut off from the store and its peers", func(_ *deployment, o *jobfleet.Daemon, lasts time.Duration) { o.Gate.CutStoreAndPeers(lasts) }},
	{"it is cut off from the store only", func(_ *deployment, o *jobfleet.Daemon, lasts time.Duration) { o.Gate.CutStoreOnly(lasts) }},
	{"it is frozen", func(_ *deployment, o *jobfleet.Daemon, lasts time.Duration) { o.Gate.Freeze(lasts) }},
	{"its watches get no answer", func(d *deployment, o *jobfleet.Daemon, lasts time.Duration) { d.dropCalls(o, lasts, "watch") }},
	{"its watches get no answer, and its lease is revoked", func(d *deployment, o *jobfleet.Daemon, lasts time.Duration) {
		d.dropCalls(o, lasts, "watch")
		d.in.Store.RevokeAll()
	}},
	{"its watches and reads get no answer, and its lease is revoked", func(d *deployment, o *jobfleet.Daemon, lasts time.Duration) {
		d.dropCalls(o, lasts, "watch", "get", "range")
		d.in.Store.RevokeAll()
	}},
	{"its renewals and commits get no answer", func(d *deployment, o *jobfleet.Daemon, lasts time.Duration) { d.dropCalls(o, lasts, "keep", "commit") }},
	{"its lease is revoked repeatedly", func(d *deployment, _ *jobfleet.Daemon, lasts time.Duration) {
		for at := time.Duration(0); at < lasts; at += 700 * time.Millisecond {
			time.AfterFunc(at, d.in.Store.RevokeAll)
		}
	}},
	{"the store compacts its history repeatedly", func(d *deployment, _ *jobfleet.Daemon, lasts time.Duration) {
		for at := time.Duration(0); at < lasts; at += 300 * time.Millisecond {
			time.AfterFunc(at, d.in.Store.CompactHistory)
		}
	}},
}

// dropCalls loses a daemon's own store calls of the given kinds for a while.
func (d *deployment) dropCalls(o *jobfleet.Daemon, lasts time.Duration, ops ...string) {
	end := time.Now().Add(lasts)
	d.in.SetHook(func(daemon, op string) jobfleet.Failure {
		if daemon == o.Name && time.Now().Before(end) && slices.Contains(ops, op) {
			return jobfleet.RequestLost
		}
		return jobfleet.NoFailure
	})
}

// TestCountWhileTheOwnerIsInTrouble: a daemon that is no longer the owner, or that may not
// know of all jobs, gives no count.
func TestCountWhileTheOwnerIsInTrouble(t *testing.T) {
	for _, f := range ownerFaults {
		t.Run(f.name, func(t *testing.T) {
			simulate(t, func(d *deployment) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				time.Sleep(3 * time.Second) // until the daemons have read the member list
				go d.pollCounts(ctx)
				o := d.in.Owner()
				require.NotNil(t, o)
				f.strike(d, o, 12*time.Second)
				for i := range waitingJobs {
					j := batchJob(i)
					j.Steps[0].Need.CPUMilli = 9000 // more than any worker has
					d.submit(ordersPrefix, j)
					time.Sleep(200 * time.Millisecond)
				}
				time.Sleep(10 * time.Second)
				assert.Empty(t, d.in.Checker.Violations())
			})
		})
	}
}

// TestCountWhileDaemonsAreStoppedInTurn: each owner is stopped shortly after its workers,
// which answer slowly, have reported to it.
func TestCountWhileDaemonsAreStoppedInTurn(t *testing.T) {
	for seed := range uint64(rollingStopSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			simulate(t, func(d *deployment) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				time.Sleep(3 * time.Second) // until the daemons have read the member list
				d.delayWorkerCalls(seed)
				go d.pollCounts(ctx)
				go d.stopOwnersInTurn(ctx)
				for _, i := range []owner.InstanceID{"i0", "i1", "i2", "i3"} {
					d.in.Fleet.Cut(i, 7*time.Second)
				}
				for i := range waitingJobs {
					j := batchJob(i)
					j.Steps[0].Need.CPUMilli = 100
					d.submit(ordersPrefix, j)
					time.Sleep(100 * time.Millisecond)
				}
				time.Sleep(10 * time.Second)
				cancel()
				d.awaitCompletion(60 * time.Second)
			})
		})
	}
}

// rollingStopSeeds is the number of seeds of TestCountWhileDaemonsAreStoppedInTurn.
const rollingStopSeeds = 12

// delayWorkerCalls delays each start and hold by up to slowest, drawn from the seed.
func (d *deployment) delayWorkerCalls(seed uint64) {
	const slowest = 600 * time.Millisecond
	var mu sync.Mutex
	r := rand.New(rand.NewPCG(seed, 2))
	d.in.SetHook(func(_, op string) jobfleet.Failure {
		if op == "start" || op == "hold" {
			mu.Lock()
			wait := time.Duration(r.Int64N(int64(slowest)))
			mu.Unlock()
			time.Sleep(wait)
		}
		return jobfleet.NoFailure
	})
}

// stopOwnersInTurn stops the current owner and restarts it, every 1.5 s, until ctx ends.
func (d *deployment) stopOwnersInTurn(ctx context.Context) {
	for ctx.Err() == nil {
		if o := d.in.Owner(); o != nil {
			d.in.Stop(o.Name)
			restartLater(d, o.Name)
		}
		time.Sleep(1500 * time.Millisecond)
	}
}
