package owner

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/job"
)

// loseRackWith lets a rack of four workers go down at once with the given number of tasks at work, of some jobs, and returns
// the bytes that the owner has allocated for that.
func loseRackWith(t *testing.T, tasks, jobs int) (allocated uint64) {
	r := newRig(t, 1)
	var ids []WorkerID
	for i := range 4 {
		id := fmt.Sprint("w", i)
		r.regs = append(r.regs, Registration{Worker: WorkerID(id), Service: "s", Addr: id, Rack: "r", Capacity: job.Resources{CPUMilli: 32_000, MemMB: 131_072}})
		r.inst = append(r.inst, Instance{ID: InstanceID("i-" + id), Pool: "s", State: InstanceUp, Worker: WorkerID(id), Rack: "r"})
		ids = append(ids, WorkerID(id))
	}
	r.publishLists()
	for _, id := range ids {
		r.answerHold(id, nil)
	}
	for n := range jobs {
		j := simpleJob(n+1, tasks/jobs)
		j.Steps[0].Need = job.Resources{CPUMilli: 10, MemMB: 8}
		r.submitAll(j)
	}
	for started := 0; started < tasks; {
		started += len(r.confirmStarts())
		r.tick(25 * time.Millisecond)
		for _, id := range ids {
			var active []ActiveRun
			for task, run := range r.core.workers[id].runs {
				active = append(active, ActiveRun{Task: task, Run: run.number, Percent: 10})
			}
			r.answerHold(id, active)
		}
	}
	for i := range r.inst {
		r.inst[i].State = InstanceDown
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	r.core.OnInstances(r.inst, r.now)
	runtime.ReadMemStats(&after)
	unconfirmed := 0
	for _, list := range r.core.unconfirmedCrashes {
		unconfirmed += len(list)
	}
	require.Equal(t, tasks, unconfirmed)
	return after.TotalAlloc - before.TotalAlloc
}

// TestLossOfWorkersWithManyRuns guards against an owner that stands still when workers with thousands of runs are lost: for
// each of them it sorted all and listed all others.
func TestLossOfWorkersWithManyRuns(t *testing.T) {
	for _, jobs := range []int{1, 4} {
		small, large := loseRackWith(t, 1000, jobs), loseRackWith(t, 4000, jobs)
		t.Logf("%d jobs: %d bytes for 1,000 runs, %d for 4,000", jobs, small, large)
		assert.Less(t, large, 6*small, "four times as many runs")
	}
}

// TestSuspectsOfALoss checks which tasks count as other suspects: not those that fail together with the task, and for one
// that was lost at its start only those that were, too.
func TestSuspectsOfALoss(t *testing.T) {
	r := newRig(t, 1)
	r.answerHold(r.worker("w"), nil)
	lasting := simpleJob(3, 2)
	lasting.Steps[0].LongRunning = true
	r.submitAll(simpleJob(1, 2), simpleJob(2, 1), lasting)
	r.confirmStarts()
	w := r.core.workers["w"]
	r.now = r.now.Add(time.Second)
	w.beginContactLoss(r.now)
	w.contactLoss.lastAnswerAt = r.now
	runOf := func(n, index int) *run { return w.runs[job.TaskID{Job: simpleJob(n, 1).ID, Index: index}] }
	atStart := runOf(2, 0)
	atStart.phase = starting
	s := newLossSuspects(w)
	require.Len(t, s.all.tasks, 5)
	require.Len(t, s.atStart.tasks, 1)
	assert.False(t, s.includeOthersThan(atStart), "it alone was starting")
	assert.True(t, s.includeOthersThan(runOf(1, 0)))
	assert.True(t, s.includeOthersThan(runOf(3, 0)), "the other task of its job goes on without it")
	assert.True(t, s.asLikelyAs(runOf(1, 0)).includeOpenBeside(runOf(1, 0).task))
	for n := 2; n <= 3; n++ {
		for i := range r.core.jobs[simpleJob(n, 1).ID].steps[0].tasks {
			runOf(n, i).task.done = true
		}
	}
	assert.False(t, s.asLikelyAs(runOf(1, 0)).includeOpenBeside(runOf(1, 0).task), "all others are done")
	alone := newRig(t, 1)
	alone.answerHold(alone.worker("w"), nil)
	alone.submit(1, 3)
	alone.confirmStarts()
	for _, run := range alone.core.workers["w"].runs {
		assert.False(t, newLossSuspects(alone.core.workers["w"]).includeOthersThan(run), "all fail together")
	}
}
