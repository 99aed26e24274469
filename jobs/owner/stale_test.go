package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestPendingHoldProvesNoStall: only an answered hold proves that a task makes no progress.
func TestPendingHoldProvesNoStall(t *testing.T) {
	r := newRig(t, 1)
	a := r.worker("a")
	r.answerHold(a, nil)
	r.submit(1, 1)
	start := r.confirmStarts()
	require.Len(t, start, 1)
	active := []ActiveRun{{Task: start[0].Task, Run: start[0].Run, Percent: 10}}
	r.answerHold(a, active)
	r.tick(900 * time.Millisecond)
	r.answerHold(a, active) // sent 0.9 s ago; the next hold is pending now
	r.tick(stallTimeout)
	assert.Empty(t, r.out.Stops)
	r.answerHold(a, active)
	r.tick(100 * time.Millisecond)
	assert.Len(t, r.out.Stops, 1, "the answer to a hold sent 0.9 s later shows no progress")
}

// TestMaintenanceNeedsFreshRunLists: an owner that was suspended must not rely on run lists from
// before the suspension.
func TestMaintenanceNeedsFreshRunLists(t *testing.T) {
	r := newRig(t, 1)
	a, b := r.worker("a"), r.worker("b")
	r.answerHold(a, nil)
	r.answerHold(b, nil)
	j := simpleJob(1, 2)
	j.Steps[0].LongRunning = true
	j.Steps[0].MaxPerWorker = 1
	j.Steps[0].MayMiss = 1
	r.core.Submit(j, r.now)
	r.core.React(r.now)
	r.collectEffects()
	starts := r.confirmStarts()
	require.Len(t, starts, 2)
	runs := map[WorkerID][]ActiveRun{}
	for _, s := range starts {
		runs[s.Worker] = []ActiveRun{{Task: s.Task, Run: s.Run, Percent: 100}}
	}
	r.answerHold(a, runs[a])
	r.answerHold(b, runs[b])
	r.tick(100 * time.Millisecond)

	r.now = r.now.Add(4 * time.Second) // suspended
	r.core.OnInstances(r.inst, r.now)
	r.core.OnWave(WaveRequest{Wave: 1, Instances: []InstanceID{"i-a"}, Within: time.Minute, MaxDown: 1}, nil, false, r.now)
	r.tick(100 * time.Millisecond)
	assert.Empty(t, r.out.InstanceOrders, "it is not known whether b still serves")
	r.answerHold(a, runs[a])
	r.answerHold(b, runs[b])
	r.tick(100 * time.Millisecond)
	r.answerHold(a, runs[a])
	r.answerHold(b, runs[b])
	r.tick(100 * time.Millisecond)
	assert.Len(t, r.out.InstanceOrders, 1)
}

// TestDelayedOwnerRenewsLeases: if the owner's own timer was late, answers may wait to be
// read, so it renews the leases of workers that seem silent for a while.
func TestDelayedOwnerRenewsLeases(t *testing.T) {
	for _, delayed := range []bool{false, true} {
		r := newRig(t, 1)
		a := r.worker("a")
		r.answerHold(a, nil)
		r.submit(1, 1)
		require.Len(t, r.confirmStarts(), 1)
		r.tick(time.Second)
		r.out.Holds = nil
		if delayed {
			r.core.ReportTimerDelay(time.Second, r.now)
		}
		r.failHold(a)
		r.tick(holdRetryPause)
		require.Len(t, r.out.Holds, 1)
		renewed := r.out.Holds[0].LeaseUntilMs > r.clockMs()+(rigLease-500*time.Millisecond).Milliseconds()
		assert.Equal(t, delayed, renewed)
	}
}

// TestMaintenanceWaitsForTheWorkersAnswer: a new owner does not regard a worker as idle that
// has not answered it yet.
func TestMaintenanceWaitsForTheWorkersAnswer(t *testing.T) {
	j := simpleJob(1, 1)
	j.Steps[0].LongRunning = true
	r := newRig(t, 2, StoredJob{Job: j})
	r.core.opt.TaskLease = 6 * time.Second // longer than instance orders pause after a change of owner
	a, b := r.worker("a"), r.worker("b")
	r.answerHold(b, nil)
	r.core.OnWave(WaveRequest{Wave: 1, Instances: []InstanceID{"i-a"}, Within: time.Minute, MaxDown: 1}, nil, false, r.now)
	for range 64 { // 4.8 s: orders are allowed again, but leases of the previous owner may still be valid
		r.failHold(a)
		r.tick(75 * time.Millisecond)
		r.core.OnInstances(r.inst, r.now)
		r.answerHold(b, nil)
	}
	assert.Empty(t, r.out.InstanceOrders, "the worker may run a task of the previous owner")
	for range 24 { // 6.6 s
		r.failHold(a)
		r.tick(75 * time.Millisecond)
		r.core.OnInstances(r.inst, r.now)
		r.answerHold(b, nil)
	}
	assert.Len(t, r.out.InstanceOrders, 1, "every lease has expired")
}
