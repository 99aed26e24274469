package jobfaults

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/ledger"
	"github.com/postmount/postmount/jobs/owner"
	"github.com/postmount/postmount/standin/jobfleet"
)

// settled returns the stored start times of settled incarnations by worker.
func (d *deployment) settled() map[owner.WorkerID]int64 {
	out := map[owner.WorkerID]int64{}
	for shard := range owner.SettledShards {
		value := d.in.Store.Value(ledger.SettledKey(shard))
		if len(value) == 0 {
			continue
		}
		startedMs := map[owner.WorkerID]int64{}
		require.NoError(d.t, json.Unmarshal(value, &startedMs))
		maps.Copy(out, startedMs)
	}
	return out
}

// killOwner kills the owner and waits for the next one.
func (d *deployment) killOwner() {
	first := d.in.Owner()
	require.NotNil(d.t, first)
	d.in.Kill(first.Name)
	for d.in.Owner() == nil {
		time.Sleep(50 * time.Millisecond)
	}
}

// The leases of a restarted worker in these tests: the longest that a worker accepts, on a slow clock, and the time
// until the record of it is in the store.
const (
	longestLease    = 10400 * time.Millisecond
	settledRecorded = 2500 * time.Millisecond
)

// poolsSettle is the time after which no instance of an idle deployment moves between pools.
const poolsSettle = 30 * time.Second

// workerOf returns the ID of the instance's worker.
func (d *deployment) workerOf(id owner.InstanceID) owner.WorkerID {
	noFailure := func(string, string) jobfleet.Failure { return jobfleet.NoFailure }
	list, err := d.in.Fleet.Client("test", &jobfleet.Gate{}, noFailure).Instances(d.t.Context())
	require.NoError(d.t, err)
	for _, i := range list {
		if i.ID == id {
			return i.Worker
		}
	}
	d.t.Fatalf("no instance %s", id)
	return ""
}

// TestSettledIncarnationsAreRecorded: each owner stores which incarnations are settled, and the next owner goes on
// with the record.
func TestSettledIncarnationsAreRecorded(t *testing.T) {
	simulate(t, func(d *deployment) {
		time.Sleep(poolsSettle)
		restart := func(id owner.InstanceID) (worker owner.WorkerID, at int64) {
			d.in.Fleet.Restart(id, 400*time.Millisecond)
			return d.workerOf(id), time.Now().UnixMilli()
		}
		first := d.settled()
		for n := range 8 {
			assert.Contains(t, first, d.workerOf(owner.InstanceID(fmt.Sprintf("i%d", n))))
		}
		restarted, at := restart("i0")
		time.Sleep(settledRecorded + time.Second)
		second := d.settled()
		assert.NotContains(t, second, restarted, "the new incarnation is not settled")
		d.killOwner()
		assert.Equal(t, second, d.settled())
		time.Sleep(longestLease + settledRecorded)
		third := d.settled()
		assert.Greater(t, third[restarted], at)
		other := d.workerOf("i1")
		assert.Equal(t, first[other], third[other])
		restarted, at = restart("i1")
		time.Sleep(longestLease + 2*settledRecorded)
		assert.Greater(t, d.settled()[restarted], at)
	})
}

// addInstance adds an instance to the pool of orders.
func (d *deployment) addInstance(id owner.InstanceID) {
	d.in.Fleet.Add(id, "orders", string(id), job.Resources{CPUMilli: 8000, MemMB: 16000})
}

// simulateOneWorker runs f on a deployment with one instance, i0 of orders.
func simulateOneWorker(t *testing.T, wrap func(owner.WorkerClient) owner.WorkerClient, f func(d *deployment)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		d := &deployment{t: t, in: jobfleet.NewInstallation(ctx, daemonLogger(t)), queuePrefix: map[job.ID]string{}, accepted: map[job.ID]bool{}}
		d.caller = d.in.Caller()
		d.in.WrapWorkers = wrap
		d.addInstance("i0")
		c := catalog(1)
		c.Queues, c.Services = c.Queues[:1], c.Services[:1]
		d.in.Configure(c)
		for _, n := range daemonNames[:3] {
			d.in.Start(n)
		}
		time.Sleep(2 * time.Second)
		f(d)
		cancel()
		for _, dm := range d.in.Daemons() {
			d.in.Kill(dm.Name)
		}
		time.Sleep(20 * time.Second) // calls and timers of the stand-ins end
	})
}

// lateHolds is a worker client whose next hold reaches the worker late, also as its next incarnation. Later holds
// are lost until none are.
type lateHolds struct {
	owner.WorkerClient
	state *atomic.Int32
}

// States of lateHolds.
const (
	holdsArrive int32 = iota
	nextHoldIsLate
	holdsAreLost
)

// lateHoldDelay is how late the late hold reaches the worker.
const lateHoldDelay = 2500 * time.Millisecond

func (w lateHolds) Hold(ctx context.Context, o owner.Hold) owner.HoldAnswer {
	if w.state.Load() == holdsArrive {
		return w.WorkerClient.Hold(ctx, o)
	}
	if w.state.CompareAndSwap(nextHoldIsLate, holdsAreLost) {
		time.AfterFunc(lateHoldDelay, func() {
			late, cancel := context.WithTimeout(context.WithoutCancel(ctx), 5*time.Second)
			defer cancel()
			w.WorkerClient.Hold(late, o)
		})
	}
	<-ctx.Done()
	return owner.HoldAnswer{Answer: owner.Answer{Outcome: owner.Unanswered, Err: ctx.Err()}}
}

// TestOwnerLostAfterAWorkerRestarted guards against tasks that run twice: the worker restarted shortly before the
// owner was killed, and the lease that it had taken from an order for its past incarnation was not known to the
// next owner, which took its tasks for lost.
func TestOwnerLostAfterAWorkerRestarted(t *testing.T) {
	for _, pause := range []time.Duration{0, 200 * time.Millisecond, 500 * time.Millisecond, time.Second} {
		t.Run(fmt.Sprintf("%s after the start", pause), func(t *testing.T) {
			var holds atomic.Int32
			late := func(w owner.WorkerClient) owner.WorkerClient { return lateHolds{w, &holds} }
			simulateOneWorker(t, late, func(d *deployment) {
				time.Sleep(20 * time.Second)
				holds.Store(nextHoldIsLate)
				for holds.Load() == nextHoldIsLate {
					time.Sleep(10 * time.Millisecond)
				}
				time.Sleep(lateHoldDelay - 600*time.Millisecond)
				d.in.Fleet.Restart("i0", 300*time.Millisecond)
				time.Sleep(700 * time.Millisecond)
				holds.Store(holdsArrive)
				for n := range 2 {
					j := batchJob(n)
					j.Steps[0].Estimate = 12 * time.Second
					d.submit(ordersPrefix, j)
				}
				for began := time.Now(); d.in.Checker.Starts() < 6 && time.Since(began) < 5*time.Second; {
					time.Sleep(10 * time.Millisecond)
				}
				assert.Equal(t, 6, d.in.Checker.Starts())
				d.addInstance("i1")
				time.Sleep(pause)
				d.in.Fleet.Isolate("i0", 14*time.Second)
				d.killOwner()
				d.awaitCompletion(60 * time.Second)
			})
		})
	}
}

// TestTakeoverFromSettledWorkers: the tasks of a silent worker that is settled wait no longer than for the leases
// that owners grant, after each of two changes of owner.
func TestTakeoverFromSettledWorkers(t *testing.T) {
	simulateOneWorker(t, nil, func(d *deployment) {
		time.Sleep(settledRecorded)
		for range 2 {
			d.killOwner()
			time.Sleep(settledRecorded)
		}
		for n := range 2 {
			j := batchJob(n)
			j.Steps[0].Estimate = 4 * time.Second
			d.submit(ordersPrefix, j)
		}
		time.Sleep(time.Second)
		assert.Equal(t, 6, d.in.Checker.Starts())
		d.addInstance("i1")
		d.in.Fleet.Isolate("i0", 30*time.Second)
		d.in.Start("d4")
		d.killOwner()
		d.awaitCompletion(16 * time.Second)
	})
}

// TestTransactionsOfTheSettledRecord: the record is not written in a calm minute, and a restart costs at most two
// transactions: for the end of the past incarnation, and when the new one is settled.
func TestTransactionsOfTheSettledRecord(t *testing.T) {
	simulate(t, func(d *deployment) {
		time.Sleep(poolsSettle)
		before := d.in.Store.Calls("commit")
		time.Sleep(time.Minute)
		assert.Zero(t, d.in.Store.Calls("commit")-before)
		d.in.Fleet.Restart("i0", 400*time.Millisecond)
		time.Sleep(time.Minute)
		after := d.in.Store.Calls("commit") - before
		assert.Positive(t, after)
		t.Logf("%d transactions in the minute of a restart", after)
		assert.LessOrEqual(t, after, 2+1, "and one that reserves a fencing token")
	})
}
