package owner

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/job"
)

// TestOversizedWorkerDoesNotSizeItsPool guards against one registration with far too large a capacity
// that makes its whole pool count as oversupplied: all demand would seem to fit on one instance, so that
// no instance is moved to the pool, and the others are moved away.
func TestOversizedWorkerDoesNotSizeItsPool(t *testing.T) {
	r := newRig(t, 1)
	for _, id := range []string{"a", "b", "c", "d"} {
		r.worker(id)
	}
	for i := range r.inst {
		r.inst[i].Capacity = job.Resources{CPUMilli: 8000, MemMB: 8000}
	}
	r.regs[0].Capacity = job.Resources{CPUMilli: job.MaxAmount, MemMB: job.MaxAmount}
	require.NoError(t, r.regs[0].Validate())
	r.publishLists()
	for _, id := range []WorkerID{"a", "b", "c", "d"} {
		r.answerHold(id, nil)
	}
	pools, _ := r.core.poolSnapshots(r.now)
	require.Equal(t, "s", pools[0].Name)
	assert.InDelta(t, 8, pools[0].CoresPerInstance, 0.01)
}

// TestOversizedWorkerGetsNoTasks guards against one registration with far too large a capacity that
// attracts all tasks that wait. Its runs go on, and it gets tasks again once it is corrected.
func TestOversizedWorkerGetsNoTasks(t *testing.T) {
	for _, listedFirst := range []bool{true, false} {
		r := newRig(t, 1)
		a, b := r.worker("a"), r.worker("b")
		full := job.Resources{CPUMilli: 8000, MemMB: 8000}
		r.inst[1].Capacity = full
		if listedFirst {
			r.inst[0].Capacity = full
		}
		r.publishLists()
		r.answerHold(a, nil)
		r.answerHold(b, nil)
		r.submit(1, 4)
		running := map[WorkerID][]ActiveRun{}
		for _, s := range r.confirmStarts() {
			running[s.Worker] = append(running[s.Worker], ActiveRun{Task: s.Task, Run: s.Run})
		}
		require.NotEmpty(t, running[a])
		r.regs[0].Capacity = job.Resources{CPUMilli: job.MaxAmount, MemMB: job.MaxAmount}
		r.inst[0].Capacity = full
		r.publishLists()
		r.submit(2, 100)
		for _, s := range r.confirmStarts() {
			require.Equal(t, b, s.Worker)
			running[b] = append(running[b], ActiveRun{Task: s.Task, Run: s.Run})
		}
		for range 100 {
			r.answerHold(a, running[a])
			r.answerHold(b, running[b])
			r.tick(100 * time.Millisecond)
		}
		require.Empty(t, r.out.Starts, "its runs go on, and nothing of it is started elsewhere")
		assert.Equal(t, []string{"worker-oversized"}, r.sizeEvents(a))
		r.regs[0].Capacity = full
		r.publishLists()
		r.tick(100 * time.Millisecond)
		require.NotEmpty(t, r.confirmStarts())
		assert.Equal(t, []string{"worker-size-corrected"}, r.sizeEvents(a))
	}
}

// sizeEvents returns the events since the last call that say whether the worker is oversized.
func (r *rig) sizeEvents(id WorkerID) (out []string) {
	for _, d := range r.core.TakeDecisions() {
		if d.Worker == id && (d.Event == "worker-oversized" || d.Event == "worker-size-corrected") {
			out = append(out, d.Event)
		}
	}
	return out
}

// TestOddStartTimeInAnEntry guards against a worker that is lost for good because one entry named
// another start time: its answers, and its later entries, would count as those of an incarnation that
// has ended, and its runs would lapse.
func TestOddStartTimeInAnEntry(t *testing.T) {
	for _, odd := range []int64{math.MaxInt64, 1, 501} {
		t.Run(fmt.Sprint(odd), func(t *testing.T) {
			r := newRig(t, 1)
			a, b := r.worker("a"), r.worker("b")
			r.regs[1].Draining = true // tasks go to a
			good := r.setIncarnation(a, 500)
			r.answerHoldAs(good, 500, nil)
			r.answerHold(b, nil)
			r.submit(1, 1)
			starts := r.confirmStarts()
			require.Len(t, starts, 1)
			require.Equal(t, a, starts[0].Worker)
			running := []ActiveRun{{Task: starts[0].Task, Run: starts[0].Run}}
			r.answerHoldAs(good, 500, running)
			r.regs[1].Draining = false
			r.tick(time.Second)

			r.setIncarnation(a, odd)
			require.Equal(t, odd, r.core.workers[a].StartedMs)
			for range 100 {
				r.answerHoldAs(r.core.target(r.core.workers[a]), 500, running)
				r.answerHold(b, nil)
				r.tick(100 * time.Millisecond)
			}
			require.Empty(t, r.out.Starts, "the task runs on")
			assert.Equal(t, int64(500), r.core.workers[a].StartedMs)
			assert.Len(t, r.core.workers[a].runs, 1)
			r.setIncarnation(a, odd) // the entry is read again
			assert.Equal(t, int64(500), r.core.workers[a].StartedMs)
			assert.False(t, r.core.isUsable(r.core.workers[a], r.now), "until its next entry it gets no new tasks")
			r.setIncarnation(a, 500)
			assert.True(t, r.core.isUsable(r.core.workers[a], r.now))
			r.regs[0].Draining = true
			r.publishLists()
			assert.True(t, r.core.workers[a].Draining)
		})
	}
}

// TestOddStartTimeIsCorrectedByTheNextEntry guards against a worker whose entries are ignored for good
// after one that named another start time, if its answers do not tell when it started.
func TestOddStartTimeIsCorrectedByTheNextEntry(t *testing.T) {
	r := newRig(t, 1)
	a := r.worker("a")
	r.setIncarnation(a, 500)
	r.answerHold(a, nil)
	r.submit(1, 1)
	starts := r.confirmStarts()
	require.Len(t, starts, 1)
	running := []ActiveRun{{Task: starts[0].Task, Run: starts[0].Run}}
	r.answerHold(a, running)
	r.setIncarnation(a, math.MaxInt64)
	r.answerHold(a, running)
	r.setIncarnation(a, 500)
	r.answerHold(a, running)
	r.regs[0].Draining = true
	r.publishLists()
	assert.True(t, r.core.workers[a].Draining)
	assert.Len(t, r.core.workers[a].runs, 1)
	assert.Empty(t, r.out.Starts)
}

// TestInstanceNamedTwiceInAWave guards against two orders for one instance. The platform refuses the
// second while the instance is down; it then no longer counted as down, and one more than the limit of
// the wave was taken down.
func TestInstanceNamedTwiceInAWave(t *testing.T) {
	r := newRig(t, 1)
	for _, id := range []string{"a", "b", "c", "d"} {
		r.worker(id)
	}
	for _, id := range []WorkerID{"a", "b", "c", "d"} {
		r.answerHold(id, nil)
	}
	r.core.SetStoreLease(true, r.now)
	r.core.OnWave(WaveRequest{Wave: 1, Instances: []InstanceID{"i-a", "i-a", "i-b", "i-c", "i-d", "i-a"}, Within: time.Minute, MaxDown: 2}, nil, false, r.now)
	down := map[InstanceID]bool{}
	for range 5 {
		r.publishLists()
		r.tick(200 * time.Millisecond)
		orders := r.out.InstanceOrders
		r.out.InstanceOrders = nil
		for _, o := range orders {
			outcome := DutyDone
			if down[o.Instance] {
				outcome = DutyRefused // busy
			}
			down[o.Instance] = true
			r.core.OnInstanceOrderAnswer(o, outcome, r.now)
		}
	}
	assert.Len(t, down, 2)
}

// TestLeaseOfLargestClock guards against the end of a lease that overflows at a clock that the decoder of
// answers still accepts.
func TestLeaseOfLargestClock(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, clock := range []int64{1, MaxWorkerClockMs} {
		var l workerLease
		l.observeClock(clock, now)
		l.grant(rigLease, now)
		assert.WithinDuration(t, now.Add(rigLease), l.expiry(), time.Second)
		l.observeClock(MaxWorkerClockMs, now)
		assert.True(t, l.expiry().Before(now.Add(2*rigLease)), "no overflow into the far future")
	}
}

// TestLateEntryOfAPastIncarnation guards against a task that runs twice because a late entry of a past
// incarnation takes the place of the present one, which has not answered yet: the incarnations change to
// and fro, and the task starts elsewhere once, after the longest delay of an order and the longest lease that a
// worker grants.
func TestLateEntryOfAPastIncarnation(t *testing.T) {
	r := newRig(t, 1)
	r.core.opt.MaxWorkerLease = 2 * rigLease
	a, b := r.worker("a"), r.worker("b")
	r.answerHoldAs(r.setIncarnation(a, 500), 500, nil)
	r.submit(1, 1)
	require.Len(t, r.confirmStarts(), 1)
	r.answerHold(b, nil)
	var onB []ActiveRun
	wait := func(d time.Duration) {
		for range d / (100 * time.Millisecond) {
			r.core.OnHoldAnswer(r.core.target(r.core.workers[a]), HoldAnswer{Answer: Answer{Outcome: Unanswered}}, r.now)
			r.answerHold(b, onB)
			r.tick(100 * time.Millisecond)
		}
	}
	for _, startedMs := range []int64{700, 500, 700} {
		r.setIncarnation(a, startedMs)
		assert.Equal(t, startedMs, r.core.workers[a].StartedMs)
		wait(500 * time.Millisecond)
	}
	wait(maxOrderDelay + 2*rigLease - 500*time.Millisecond)
	assert.Empty(t, r.out.Starts)
	wait(time.Second)
	again := r.confirmStarts()
	require.Len(t, again, 1)
	assert.Equal(t, b, again[0].Worker)
	onB = []ActiveRun{{Task: again[0].Task, Run: again[0].Run}}
	r.answerHoldAs(r.core.target(r.core.workers[a]), 700, nil)
	r.setIncarnation(a, 500)
	assert.Equal(t, int64(700), r.core.workers[a].StartedMs, "an entry does not replace what the worker has confirmed")
	wait(time.Second)
	assert.Empty(t, r.out.Starts)
}
