package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestPendingHoldProvesNoStall: that a task makes no progress is shown by
// answers, not by questions.
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
	r.answerHold(a, active) // it was sent 0.9 s ago; the next one is on its way
	r.tick(stallTimeout)
	assert.Empty(t, r.out.Stops)
	r.answerHold(a, active)
	r.tick(100 * time.Millisecond)
	assert.Len(t, r.out.Stops, 1, "an answer to a hold of 0.9 s later shows no progress")
}

// TestMaintenanceNeedsAFreshView: an owner that was frozen must not count on tasks
// that served before.
func TestMaintenanceNeedsAFreshView(t *testing.T) {
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

	r.now = r.now.Add(4 * time.Second) // frozen
	r.core.OnInstances(r.inst, r.now)
	r.core.OnWave(WaveRequest{Wave: 1, Instances: []InstanceID{"i-a"}, Within: time.Minute, MaxDown: 1}, nil, false, r.now)
	r.tick(100 * time.Millisecond)
	assert.Empty(t, r.out.InstanceOrders, "whether b still serves is not known")
	r.answerHold(a, runs[a])
	r.answerHold(b, runs[b])
	r.tick(100 * time.Millisecond)
	r.answerHold(a, runs[a])
	r.answerHold(b, runs[b])
	r.tick(100 * time.Millisecond)
	assert.Len(t, r.out.InstanceOrders, 1)
}

// TestDelayedOwnerRenewsLeases: if its own timer was late, answers may wait
// to be read; workers that seem silent get their leases renewed for a while.
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

// TestMaintenanceWaitsForTheWorkersAnswer: a new owner does not take a worker for
// idle that it has not heard of yet.
func TestMaintenanceWaitsForTheWorkersAnswer(t *testing.T) {
	j := simpleJob(1, 1)
	j.Steps[0].LongRunning = true
	r := newRig(t, 2, Loaded{Job: j})
	r.core.opt.TaskLease = 6 * time.Second // longer than the pause of the duty
	a, b := r.worker("a"), r.worker("b")
	r.answerHold(b, nil)
	r.core.OnWave(WaveRequest{Wave: 1, Instances: []InstanceID{"i-a"}, Within: time.Minute, MaxDown: 1}, nil, false, r.now)
	for range 64 { // 4.8 s: the duty may be done, and leases of the owner before may last
		r.failHold(a)
		r.tick(75 * time.Millisecond)
		r.core.OnInstances(r.inst, r.now)
		r.answerHold(b, nil)
	}
	assert.Empty(t, r.out.InstanceOrders, "it may run a task of the owner before")
	for range 24 { // 6.6 s
		r.failHold(a)
		r.tick(75 * time.Millisecond)
		r.core.OnInstances(r.inst, r.now)
		r.answerHold(b, nil)
	}
	assert.Len(t, r.out.InstanceOrders, 1, "every lease has ended")
}
