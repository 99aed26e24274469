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

// countEvery is the pause between two questions for the count to one daemon.
const countPollInterval = 130 * time.Millisecond

// askCounts asks all daemons for the count of the orders until ctx ends; the checker looks
// at each answer.
func (d *deployment) pollCounts(ctx context.Context) {
	for ctx.Err() == nil {
		for _, dm := range d.in.Daemons() {
			go d.in.CallerTo(dm).Pending(ordersPrefix)
		}
		time.Sleep(countPollInterval)
	}
}

// waitingJobs are submitted while something goes wrong.
const waitingJobs = 30

// ownerFaults befall an owner for so long that jobs it has not heard of wait for too
// long meanwhile.
var ownerFaults = []struct {
	name   string
	strike func(d *deployment, o *jobfleet.Daemon, lasts time.Duration)
}{
	{"it is cut off from the store and its peers", func(_ *deployment, o *jobfleet.Daemon, lasts time.Duration) { o.Gate.CutStoreAndPeers(lasts) }},
	{"the store turns it away", func(_ *deployment, o *jobfleet.Daemon, lasts time.Duration) { o.Gate.CutStoreOnly(lasts) }},
	{"it is frozen", func(_ *deployment, o *jobfleet.Daemon, lasts time.Duration) { o.Gate.Freeze(lasts) }},
	{"its watches are silent", func(d *deployment, o *jobfleet.Daemon, lasts time.Duration) { d.dropCalls(o, lasts, "watch") }},
	{"its watches are silent, and its lease is revoked", func(d *deployment, o *jobfleet.Daemon, lasts time.Duration) {
		d.dropCalls(o, lasts, "watch")
		d.in.Store.RevokeAll()
	}},
	{"its watches and reads are silent, and its lease is revoked", func(d *deployment, o *jobfleet.Daemon, lasts time.Duration) {
		d.dropCalls(o, lasts, "watch", "get", "range")
		d.in.Store.RevokeAll()
	}},
	{"its renewals and commits are silent", func(d *deployment, o *jobfleet.Daemon, lasts time.Duration) { d.dropCalls(o, lasts, "keep", "commit") }},
	{"its lease is revoked time and again", func(d *deployment, _ *jobfleet.Daemon, lasts time.Duration) {
		for at := time.Duration(0); at < lasts; at += 700 * time.Millisecond {
			time.AfterFunc(at, d.in.Store.RevokeAll)
		}
	}},
	{"the store forgets its history time and again", func(d *deployment, _ *jobfleet.Daemon, lasts time.Duration) {
		for at := time.Duration(0); at < lasts; at += 300 * time.Millisecond {
			time.AfterFunc(at, d.in.Store.CompactHistory)
		}
	}},
}

// swallow leaves a daemon's own calls of some kinds to the store without an answer.
func (d *deployment) dropCalls(o *jobfleet.Daemon, lasts time.Duration, ops ...string) {
	end := time.Now().Add(lasts)
	d.in.SetHook(func(daemon, op string) jobfleet.Failure {
		if daemon == o.Name && time.Now().Before(end) && slices.Contains(ops, op) {
			return jobfleet.RequestLost
		}
		return jobfleet.NoFailure
	})
}

// TestCountWhileTheOwnerIsInTrouble: a daemon that is no longer the owner, or that has
// not heard of all jobs, gives no count.
func TestCountWhileTheOwnerIsInTrouble(t *testing.T) {
	for _, f := range ownerFaults {
		t.Run(f.name, func(t *testing.T) {
			simulate(t, func(d *deployment) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				time.Sleep(3 * time.Second) // lists of the live daemons
				go d.pollCounts(ctx)
				o := d.in.Owner()
				require.NotNil(t, o)
				f.strike(d, o, 12*time.Second)
				for i := range waitingJobs {
					j := batchJob(i)
					j.Steps[0].Need.CPUMilli = 9000 // no worker has so much
					d.submit(ordersPrefix, j)
					time.Sleep(200 * time.Millisecond)
				}
				time.Sleep(10 * time.Second)
				assert.Empty(t, d.in.Checker.Violations())
			})
		})
	}
}

// TestCountWhileDaemonsAreStoppedInTurn: each owner is stopped a moment after it has
// heard of its workers, which are slow to answer.
func TestCountWhileDaemonsAreStoppedInTurn(t *testing.T) {
	for seed := range uint64(rollingStopSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			simulate(t, func(d *deployment) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				time.Sleep(3 * time.Second) // lists of the live daemons
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

// rollSeeds is how many such days are played.
const rollingStopSeeds = 12

// slowWorkers lets orders to workers take up to slowest, by seed.
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

// stopInTurn stops the owner time and again and starts it anew.
func (d *deployment) stopOwnersInTurn(ctx context.Context) {
	for ctx.Err() == nil {
		if o := d.in.Owner(); o != nil {
			d.in.Stop(o.Name)
			restartLater(d, o.Name)
		}
		time.Sleep(1500 * time.Millisecond)
	}
}
