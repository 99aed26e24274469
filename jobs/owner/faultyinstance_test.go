package owner

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/job"
)

// onlyRoom is a rig of three workers, two of which are full with a long job. The third has room.
type onlyRoom struct {
	*rig
	others  []Start // of the long job
	job     *job.Job
	running []Start // of job
	starts  int     // of job
	crashes int
	percent int // of all runs
}

func newOnlyRoom(t *testing.T) *onlyRoom {
	r := &onlyRoom{rig: newRig(t, 1)}
	r.addWorkers("w0", "w1", "w2")
	full := simpleJob(99, 2)
	full.Steps[0].Need.CPUMilli, full.Steps[0].Estimate = 8000, 10*time.Minute
	r.others = r.startJob(full, 2)
	r.job = simpleJob(1, 1)
	r.job.Steps[0].Estimate = 10 * time.Second
	r.running = r.startJob(r.job, 1)
	r.starts = 1
	return r
}

// run advances the time by d. All workers but except answer.
func (r *onlyRoom) run(d time.Duration, except ...WorkerID) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.tick(100 * time.Millisecond)
		r.percent = (r.percent + 1) % 99 // all runs make progress
		for _, g := range r.regs {
			var list []ActiveRun
			for _, s := range append(r.running, r.others...) {
				if s.Worker == g.Worker {
					list = append(list, ActiveRun{Task: s.Task, Run: s.Run, Percent: r.percent})
				}
			}
			if !slices.Contains(except, g.Worker) {
				r.answerHold(g.Worker, list)
			}
		}
		again := startsOf(r.confirmStarts(), r.job)
		r.starts += len(again)
		r.running = append(r.running, again...)
	}
}

// crash ends the worker of the job's run. Its instance has the next one 0.5 s later.
func (r *onlyRoom) crash() {
	r.crashes++
	lost := r.running[0].Worker
	r.running = nil
	r.failConnection(lost)
	r.run(500*time.Millisecond, lost)
	r.restartAs(lost, fmt.Sprintf("again %d", r.crashes))
}

// crashRepeatedly crashes the worker n times, each time after a run of the given length.
func (r *onlyRoom) crashRepeatedly(n int, after time.Duration) {
	for range n {
		for end := r.now.Add(time.Minute); len(r.running) == 0; {
			require.True(r.t, r.now.Before(end), "it is not started again within a minute")
			r.run(100 * time.Millisecond)
		}
		r.run(after)
		r.crash()
	}
}

// TestInstanceThatCrashesRepeatedlyUnderATask guards against a job that is shown as failed because one faulty instance, the
// only one with room, crashed three times under it.
func TestInstanceThatCrashesRepeatedlyUnderATask(t *testing.T) {
	for _, after := range []time.Duration{100 * time.Millisecond, time.Second, 2 * time.Second} {
		t.Run("after "+after.String(), func(t *testing.T) {
			r := newOnlyRoom(t)
			r.crashRepeatedly(3, after)
			r.run(5 * time.Second)
			assert.Empty(t, decisionsOn(r.core.TakeDecisions(), "task-given-up", r.job.ID))
			assert.Equal(t, 4, r.starts)
			assert.Len(t, r.running, 1, "it runs once the instance is sound")
		})
	}
}

// TestTaskThatCrashesTheOnlyInstanceWaits guards against a task that crashes the only instance with room without end:
// another crash there proves nothing.
func TestTaskThatCrashesTheOnlyInstanceWaits(t *testing.T) {
	r := newOnlyRoom(t)
	for began := r.now; r.now.Sub(began) < 2*time.Minute; {
		r.crashRepeatedly(1, 100*time.Millisecond)
	}
	assert.LessOrEqual(t, r.crashes, crashesBeforeDecisiveTrial+int(2*time.Minute/maxTrialWait)+1)
	assert.Empty(t, decisionsOn(r.core.TakeDecisions(), "task-given-up", r.job.ID))
}

// TestTaskIsTriedOnAnotherInstance: a task that crashed an instance is tried on another one as soon as that has room, and
// given up by crashes on both.
func TestTaskIsTriedOnAnotherInstance(t *testing.T) {
	r := newOnlyRoom(t)
	r.crashRepeatedly(3, 100*time.Millisecond)
	r.addWorkers("w3")
	r.crashRepeatedly(1, 100*time.Millisecond)
	r.run(time.Second)
	assert.Equal(t, 1, r.core.jobs[r.job.ID].steps[0].tasks[0].crashes.OnInstance("i-w3"))
	assert.Equal(t, job.Failed, r.core.jobs[r.job.ID].state)
	assert.Equal(t, 4, r.starts)
}

// TestInstanceOfACrashIsStored guards against a next owner that counts crashes of one instance as those of several.
func TestInstanceOfACrashIsStored(t *testing.T) {
	r := newOnlyRoom(t)
	r.crashRepeatedly(3, 100*time.Millisecond)
	p := r.core.jobs[r.job.ID].progress()
	next := newRig(t, 2, StoredJob{Job: r.job, Progress: &p})
	assert.Equal(t, 1, next.core.jobs[r.job.ID].steps[0].tasks[0].crashes.AloneOnInstances())
	assert.NotEqual(t, job.Failed, next.core.jobs[r.job.ID].state)
}
