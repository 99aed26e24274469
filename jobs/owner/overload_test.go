package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// These tests guard against an overloaded owner that considers healthy workers silent. With a fifth
// of a core, answers wait for the owner's CPU for longer than its timeout: 97 of 100 holds seem
// unanswered, although its timer is only 0.4 s late. If each worker is considered separately, the
// owner lets leases expire and restarts tasks that workers have reported as done in answers that it
// has not read.

// overloadedRig returns a rig with one free worker, followed by n full ones.
func overloadedRig(t *testing.T, n int) (*rig, []WorkerID) {
	r := newRig(t, 1)
	var all []WorkerID
	for i := range n {
		w := r.worker(fmt.Sprint("w", i))
		r.answerHold(w, nil)
		all = append(all, w)
	}
	r.submit(1, 8*n) // fills all workers
	require.Len(t, r.confirmStarts(), 8*n)
	free := r.worker("free")
	r.answerHold(free, nil)
	return r, append([]WorkerID{free}, all...)
}

// failHoldsExcept simulates a time in which all workers but the first few seem silent.
func (r *rig) failHoldsExcept(d time.Duration, workers []WorkerID, answering int) {
	for range d / (100 * time.Millisecond) {
		for i, w := range workers {
			switch {
			case !r.core.workers[w].holdInFlight:
			case i < answering:
				r.answerHold(w, r.runsOn(w))
			default:
				r.failHold(w)
			}
		}
		r.tick(100 * time.Millisecond)
	}
}

// runsOn lists the runs that the worker should have.
func (r *rig) runsOn(id WorkerID) []ActiveRun {
	var out []ActiveRun
	w := r.core.workers[id]
	for _, run := range runsByNumber(w) {
		out = append(out, ActiveRun{Task: run.task.id(), Run: run.number, Percent: min(99, int(r.now.Sub(run.firstSentAt).Milliseconds()/200))})
	}
	return out
}

func TestAnOverloadedOwner(t *testing.T) {
	t.Run("keeps leases", overloadedOwnerKeepsLeases)
	t.Run("does not start inherited tasks", overloadedOwnerKeepsInheritedTasks)
	t.Run("recovers", overloadedOwnerRecovers)
}

// overloadedOwnerKeepsLeases: if most workers seem silent at the same time, the owner cannot keep
// up with their answers. It renews the leases, and starts no task again.
func overloadedOwnerKeepsLeases(t *testing.T) {
	const workers = 20
	r, all := overloadedRig(t, workers)
	r.failHoldsExcept(8*time.Second, all, 1)
	assert.Empty(t, r.out.Starts, "tasks that may be running are not started again")
	renewed := map[WorkerID]bool{}
	for _, h := range r.out.Holds {
		if h.LeaseUntilMs > r.clockMs()+(rigLease/2).Milliseconds() {
			renewed[h.Worker] = true
		}
	}
	assert.Len(t, renewed, 1+workers, "each hold renews the lease")

	r.now = r.now.Add(2 * rigLease) // the owner gets no CPU
	r.tick(0)
	assert.Empty(t, r.out.Starts, "the passing of time alone proves nothing")
}

// overloadedOwnerKeepsInheritedTasks: a new owner that gets hardly any answers does not start
// inherited tasks when the previous owner's leases have expired, as answers that it has not
// read may report them as done.
func overloadedOwnerKeepsInheritedTasks(t *testing.T) {
	r := newRig(t, 2, StoredJob{Job: simpleJob(1, 1)})
	var all []WorkerID
	for i := range 20 {
		all = append(all, r.worker(fmt.Sprint("w", i)))
	}
	r.failHoldsExcept(2*rigLease, all, 1)
	assert.Empty(t, r.out.Starts)
	r.failHoldsExcept(time.Second, all, len(all))
	r.tick(time.Second)
	assert.Len(t, r.out.Starts, 1, "started once the workers have answered")
}

// overloadedOwnerRecovers: once most workers answer again, the leases of those that stay
// silent expire, and so do those of a minority that falls silent without an overload.
func overloadedOwnerRecovers(t *testing.T) {
	const workers, silent = 20, 4
	for name, before := range map[string]time.Duration{"after an overload": 8 * time.Second, "without an overload": 0} {
		t.Run(name, func(t *testing.T) {
			r, all := overloadedRig(t, workers)
			r.failHoldsExcept(before, all, 1)
			r.failHoldsExcept(7*time.Second, all, 1+workers-silent)
			expired := 0
			for _, d := range r.core.TakeDecisions() {
				if d.Event == "leases-expired" {
					expired++
				}
			}
			assert.Equal(t, silent, expired)
		})
	}
}

// TestAnOverloadedOwnerThatMayBeReplaced: an owner that may have lost its store lease does not
// renew leases of silent workers, as a successor waits only for those granted before.
func TestAnOverloadedOwnerThatMayBeReplaced(t *testing.T) {
	r, all := overloadedRig(t, 20)
	r.core.SetStoreLease(false, r.now)
	grantedUntil := r.clockMs() + (rigLease + time.Second).Milliseconds()
	r.failHoldsExcept(time.Second, all, 1)
	r.out.Holds = nil
	r.failHoldsExcept(7*time.Second, all, 1)
	sent := 0
	for _, h := range r.out.Holds {
		if h.Worker != all[0] {
			sent++
			assert.LessOrEqual(t, h.LeaseUntilMs, grantedUntil, "not renewed")
		}
	}
	assert.Greater(t, sent, 20)
}

// TestLeftOverRegistrationsAreNotSilentWorkers guards against an idle owner that considers itself
// overloaded. Workers that were moved or maintained stay registered for some seconds, and a new
// owner sends holds to them, too. If these counted, 177 of 336 workers would seem silent just
// after a takeover.
func TestLeftOverRegistrationsAreNotSilentWorkers(t *testing.T) {
	const workers, leftOver = 8, 20
	r, all := overloadedRig(t, workers)
	for i := range leftOver {
		r.regs = append(r.regs, Registration{Worker: WorkerID(fmt.Sprint("over", i)), Service: "s", Addr: "over"})
		all = append(all, r.regs[len(r.regs)-1].Worker)
	}
	r.publishLists()
	r.failHoldsExcept(7*time.Second, all, workers) // one full worker and the left-over ones seem silent
	expired := 0
	for _, d := range r.core.TakeDecisions() {
		assert.NotEqual(t, "owner-overloaded", d.Event)
		if d.Event == "leases-expired" {
			expired++
		}
	}
	assert.Equal(t, 1, expired)
}

// TestLongRunningTasksOfAStarvedOwner: a starved new owner starts inherited long-running tasks once
// the leases have expired, since they are never done. Other tasks wait for the workers' answers,
// which may report them as done. When long-running tasks waited, too, some were down for 9 to
// 16 s after a change of owner.
func TestLongRunningTasksOfAStarvedOwner(t *testing.T) {
	longRunning, other := simpleJob(1, 1), simpleJob(2, 1)
	longRunning.Steps[0].LongRunning = true
	r := newRig(t, 2, StoredJob{Job: longRunning}, StoredJob{Job: other})
	r.worker("silent")
	r.answerHold(r.worker("a"), nil)
	for r.now.Sub(r.core.startedAt) <= r.core.maxLeaseDuration() {
		require.Empty(t, r.confirmStarts(), "after %s", r.now.Sub(r.core.startedAt))
		r.core.ReportTimerDelay(time.Second, r.now)
		r.answerHolds(100*time.Millisecond, nil, "silent")
	}
	r.core.ReportTimerDelay(time.Second, r.now)
	r.tick(100 * time.Millisecond)
	starts := r.confirmStarts()
	require.Len(t, starts, 1)
	assert.Equal(t, longRunning.ID, starts[0].Task.Job)
}
