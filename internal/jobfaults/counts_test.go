package jobfaults

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
// ends; the checker verifies each response.
func (d *deployment) pollCounts(ctx context.Context) {
	for ctx.Err() == nil {
		for _, dm := range d.in.Daemons() {
			go d.in.CallerTo(dm).Pending(ordersPrefix)
		}
		time.Sleep(countPollInterval)
	}
}

// jobsDuringFault is the number of jobs submitted during a fault.
const jobsDuringFault = 30

// ownerFaults are faults of an owner. They last long enough that a job which the owner does not
// know of must be included in a count.
var ownerFaults = []struct {
	name   string
	inject func(d *deployment, o *jobfleet.Daemon, duration time.Duration)
}{
	{"it is cut off from the store and its peers", func(_ *deployment, o *jobfleet.Daemon, duration time.Duration) { o.Gate.CutStoreAndPeers(duration) }},
	{"it is cut off from the store only", func(_ *deployment, o *jobfleet.Daemon, duration time.Duration) { o.Gate.CutStoreOnly(duration) }},
	{"it is frozen", func(_ *deployment, o *jobfleet.Daemon, duration time.Duration) { o.Gate.Freeze(duration) }},
	{"its watches get no answer", func(d *deployment, o *jobfleet.Daemon, duration time.Duration) { d.dropCalls(o, duration, "watch") }},
	{"its watches get no answer, and its lease is revoked", func(d *deployment, o *jobfleet.Daemon, duration time.Duration) {
		d.dropCalls(o, duration, "watch")
		d.in.Store.RevokeAllLeases()
	}},
	{"its watches and reads get no answer, and its lease is revoked", func(d *deployment, o *jobfleet.Daemon, duration time.Duration) {
		d.dropCalls(o, duration, "watch", "get", "range")
		d.in.Store.RevokeAllLeases()
	}},
	{"its renewals and commits get no answer", func(d *deployment, o *jobfleet.Daemon, duration time.Duration) {
		d.dropCalls(o, duration, "keep", "commit")
	}},
	{"its lease is revoked repeatedly", func(d *deployment, _ *jobfleet.Daemon, duration time.Duration) {
		for at := time.Duration(0); at < duration; at += 700 * time.Millisecond {
			time.AfterFunc(at, d.in.Store.RevokeAllLeases)
		}
	}},
	{"the store compacts its history repeatedly", func(d *deployment, _ *jobfleet.Daemon, duration time.Duration) {
		for at := time.Duration(0); at < duration; at += 300 * time.Millisecond {
			time.AfterFunc(at, d.in.Store.CompactHistory)
		}
	}},
}

// dropCalls loses a daemon's own store calls of the given kinds for a while.
func (d *deployment) dropCalls(o *jobfleet.Daemon, duration time.Duration, ops ...string) {
	end := time.Now().Add(duration)
	d.in.SetFailureFunc(func(daemon, op string) jobfleet.Failure {
		if daemon == o.Name && time.Now().Before(end) && slices.Contains(ops, op) {
			return jobfleet.RequestLost
		}
		return jobfleet.NoFailure
	})
}

// TestPendingCountUnderOwnerFaults: a daemon that is no longer the owner, or that may not
// know of all jobs, gives no count of pending jobs.
func TestPendingCountUnderOwnerFaults(t *testing.T) {
	for _, f := range ownerFaults {
		t.Run(f.name, func(t *testing.T) {
			simulate(t, func(d *deployment) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				time.Sleep(3 * time.Second) // until the daemons have read the member list
				go d.pollCounts(ctx)
				o := d.in.Owner()
				require.NotNil(t, o)
				f.inject(d, o, 12*time.Second)
				for i := range jobsDuringFault {
					j := batchJob(i)
					j.Steps[0].RequiredLabel = "none" // no worker has it
					d.submit(ordersPrefix, j)
					time.Sleep(200 * time.Millisecond)
				}
				time.Sleep(10 * time.Second)
				assert.Empty(t, d.in.Checker.Violations())
			})
		})
	}
}

// TestPendingCountDuringRollingStops: owners are stopped one after another, each shortly after
// its workers, which answer slowly, have reported to it.
func TestPendingCountDuringRollingStops(t *testing.T) {
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
					d.in.Fleet.Isolate(i, 7*time.Second)
				}
				for i := range jobsDuringFault {
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

// rollingStopSeeds is the number of seeds of TestPendingCountDuringRollingStops.
const rollingStopSeeds = 12

// delayWorkerCalls delays each start and hold by less than maxDelay, drawn from the seed.
func (d *deployment) delayWorkerCalls(seed uint64) {
	const maxDelay = 600 * time.Millisecond
	var mu sync.Mutex
	r := rand.New(rand.NewPCG(seed, 2))
	d.in.SetFailureFunc(func(_, op string) jobfleet.Failure {
		if op == "start" || op == "hold" {
			mu.Lock()
			wait := time.Duration(r.Int64N(int64(maxDelay)))
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
