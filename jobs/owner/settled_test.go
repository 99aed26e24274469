package owner

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/postmount/postmount/jobs/job"
)

// newTakeoverRig returns the second owner of a job with one task, and its workers a and b, which started at 700.
// Workers accept leases of 10 s. b answers.
func newTakeoverRig(t *testing.T, settled map[WorkerID]int64) (r *rig, a, b WorkerID) {
	r = newRig(t, 2, StoredJob{Job: simpleJob(1, 1)})
	r.core.opt.MaxWorkerLease = 10 * time.Second
	r.core.opt.Settled = settled
	r.core.loadSettled(settled)
	for _, id := range []WorkerID{"a", "b"} {
		r.regs = append(r.regs, Registration{Worker: id, Service: "s", Addr: string(id), StartedMs: 700, Capacity: job.Resources{CPUMilli: 8000, MemMB: 8000}})
		r.inst = append(r.inst, Instance{ID: InstanceID("i-" + id), Pool: "s", State: InstanceUp, Worker: id})
	}
	r.publishLists()
	r.answerLastHold("b", 700, nil)
	return r, "a", "b"
}

// waitSilent lets the time pass while b answers its holds and a does not.
func (r *rig) waitSilent(a, b WorkerID, until time.Time) {
	for r.now.Before(until) {
		if w := r.core.workers[a]; w != nil {
			r.core.OnHoldAnswer(r.core.target(w), HoldAnswer{Answer: Answer{Outcome: Unanswered}}, r.now)
		}
		r.answerLastHold(b, 700, nil)
		r.tick(100 * time.Millisecond)
	}
}

// TestTakeoverCountsLeasesOfUnsettledIncarnations guards against tasks that run twice: a worker had restarted
// shortly before the owner was lost, so that its lease was longer than the next owner expected.
func TestTakeoverCountsLeasesOfUnsettledIncarnations(t *testing.T) {
	const settledWait, answeredWait, silentWait = 4300 * time.Millisecond, 10300 * time.Millisecond, 26600 * time.Millisecond
	recorded := map[WorkerID]int64{"a": 700, "b": 700}
	restarted := map[WorkerID]int64{"a": 500, "b": 700}
	for name, row := range map[string]struct {
		settled map[WorkerID]int64
		answers bool
		wait    time.Duration // how long a may have run the task
	}{
		"restarted, answers once":    {restarted, true, answeredWait},
		"restarted, never answers":   {restarted, false, silentWait},
		"not recorded, answers once": {map[WorkerID]int64{"b": 700}, true, answeredWait},
		"no record":                  {nil, false, silentWait},
		"settled, answers once":      {recorded, true, settledWait},
		"settled, never answers":     {recorded, false, settledWait},
	} {
		t.Run(name, func(t *testing.T) {
			r, a, b := newTakeoverRig(t, row.settled)
			began := r.now
			if row.answers {
				r.answerLastHold(a, 700, []ActiveRun{{Task: job.TaskID{Job: simpleJob(1, 1).ID}, Run: runsPerTerm + 1}})
			}
			r.waitSilent(a, b, began.Add(row.wait-200*time.Millisecond))
			assert.Empty(t, r.out.Starts, "a may still run the task")
			r.waitSilent(a, b, began.Add(row.wait+300*time.Millisecond))
			assert.Len(t, r.confirmStarts(), 1)
		})
	}
}

// TestUnregisteredWorkersAtATakeover: the start time of a worker that is not registered is not known, so that it
// counts as settled if any of its incarnations was.
func TestUnregisteredWorkersAtATakeover(t *testing.T) {
	for name, row := range map[string]struct {
		settled map[WorkerID]int64
		wait    time.Duration
	}{
		"recorded":     {map[WorkerID]int64{"b": 700, "x": 500}, 4300 * time.Millisecond},
		"not recorded": {map[WorkerID]int64{"b": 700}, 26600 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			r, a, b := newTakeoverRig(t, row.settled)
			r.inst[0].Worker = "x"
			r.publishLists()
			r.answerLastHold(a, 700, nil)
			began := r.core.startedAt
			r.waitSilent("x", b, began.Add(row.wait-200*time.Millisecond))
			assert.Empty(t, r.out.Starts)
			r.waitSilent("x", b, began.Add(row.wait+300*time.Millisecond))
			assert.Len(t, r.confirmStarts(), 1)
		})
	}
}

// TestUnsettledWorkerDelaysItsServiceOnly: the tasks of other services do not wait for its leases, nor do
// those of its own once it has answered.
func TestUnsettledWorkerDelaysItsServiceOnly(t *testing.T) {
	r, a, b := newTakeoverRig(t, map[WorkerID]int64{"b": 700, "silent": 700})
	r.core.catalog.Services = append(r.core.catalog.Services, job.Service{Name: "other"})
	r.inst = append(r.inst, Instance{ID: "i-silent", Pool: "s", State: InstanceUp, Worker: "silent"})
	r.inst = append(r.inst, Instance{ID: "i-other", Pool: "other", State: InstanceUp, Worker: "restarted"})
	r.publishLists()
	r.waitSilent(a, b, r.core.startedAt.Add(6*time.Second))
	assert.Empty(t, r.out.Starts, "a is not settled")
	r.answerLastHold(a, 700, nil)
	r.tick(25 * time.Millisecond)
	assert.Len(t, r.confirmStarts(), 1, "the silent worker is settled, and the other service has another pool")
}

// TestLongRunningTasksWaitForUnsettledWorkers: long-running tasks may start before the takeover is complete, but
// not while an unsettled worker may run them.
func TestLongRunningTasksWaitForUnsettledWorkers(t *testing.T) {
	for _, settled := range []bool{true, false} {
		r, a, b := newTakeoverRig(t, map[WorkerID]int64{"b": 700})
		if settled {
			r.core.opt.Settled["a"] = 700
		}
		for _, j := range r.core.jobs {
			j.spec.Steps[0].LongRunning = true
		}
		r.waitSilent(a, b, r.core.startedAt.Add(6*time.Second))
		if settled {
			assert.Len(t, r.out.Starts, 1)
		} else {
			assert.Empty(t, r.out.Starts)
		}
	}
}

// recordOf returns the record of settled incarnations as it would be stored.
func (r *rig) recordOf() map[WorkerID]int64 {
	out := map[WorkerID]int64{}
	for shard := range SettledShards {
		maps.Copy(out, r.core.TakeSettledShard(shard))
	}
	return out
}

// TestRecordOfSettledIncarnations: an incarnation is recorded when it is settled, a past one is removed at once,
// and a worker that is gone is left out.
func TestRecordOfSettledIncarnations(t *testing.T) {
	r := newRig(t, 1)
	r.core.opt.MaxWorkerLease = 10 * time.Second
	a := r.worker("a")
	r.setIncarnation(a, 500)
	assert.Empty(t, r.recordOf(), "it has not answered")
	r.answerLastHold(a, 500, nil)
	shard := SettledShard(a)
	assert.Equal(t, []int{shard}, r.core.ChangedSettledShards(r.now))
	assert.Empty(t, r.core.ChangedSettledShards(r.now.Add(-time.Millisecond)))
	assert.Equal(t, map[WorkerID]int64{a: 500}, r.recordOf(), "there are no orders of earlier owners or for past incarnations")
	assert.Empty(t, r.core.ChangedSettledShards(r.now))

	r.answerLastHold(a, 700, nil)
	assert.Equal(t, []int{shard}, r.core.ChangedSettledShards(r.now))
	assert.Empty(t, r.recordOf())
	r.tick(tokenRetryPause)
	r.answerLastHold(a, 700, nil)
	r.tick(r.core.longestWorkerLease() - 25*time.Millisecond)
	assert.Empty(t, r.core.ChangedSettledShards(r.now))
	r.tick(25 * time.Millisecond)
	assert.Equal(t, map[WorkerID]int64{a: 700}, r.recordOf())

	r.core.removeWorker(a, r.now)
	r.regs = nil
	r.publishLists()
	assert.Equal(t, map[WorkerID]int64{a: 700}, r.recordOf(), "the instance list shows it")
	r.inst[0].Worker = ""
	r.publishLists()
	assert.Empty(t, r.recordOf())
}

// TestNextOwnerSettlesIncarnations: an owner keeps the record of the earlier one, and adds incarnations of which
// it knows no past one only once they are settled, as the earlier owner may have known one.
func TestNextOwnerSettlesIncarnations(t *testing.T) {
	r, a, b := newTakeoverRig(t, map[WorkerID]int64{"b": 700})
	assert.Empty(t, r.core.ChangedSettledShards(r.now))
	assert.Equal(t, map[WorkerID]int64{b: 700}, r.recordOf())
	r.answerLastHold(a, 700, nil)
	r.tick(r.core.longestWorkerLease() - 25*time.Millisecond)
	assert.Empty(t, r.core.ChangedSettledShards(r.now))
	r.tick(25 * time.Millisecond)
	assert.Equal(t, []int{SettledShard(a)}, r.core.ChangedSettledShards(r.now))
	assert.Equal(t, map[WorkerID]int64{a: 700, b: 700}, r.recordOf())
}

// TestSettledShardsAreEven: the shards of a large fleet are of similar size.
func TestSettledShardsAreEven(t *testing.T) {
	const workers = 13000
	var count [SettledShards]int
	for n := range workers {
		count[SettledShard(WorkerID(fmt.Sprintf("i-%010x", n*7919)))]++
	}
	for shard, n := range count {
		assert.InDelta(t, workers/SettledShards, n, workers/SettledShards/4, "shard %d", shard)
	}
}
