package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/job"
)

// fullWorker returns a rig with one worker of 8 cores, filled by eight tasks of a job in the
// given queue, and the worker's run list.
func fullWorker(t *testing.T, queue string) (*rig, WorkerID, []ActiveRun) {
	r := newRig(t, 1)
	r.core.catalog.Queues = append(r.core.catalog.Queues,
		job.Queue{Name: "batch", Service: "s", Priority: 2, MaxAttempts: 2, ObjectiveFactor: 2, ObjectiveOffset: time.Second})
	a := r.worker("a")
	r.answerHold(a, nil)
	j := simpleJob(1, 8)
	j.Queue = queue
	r.core.Submit(j, r.now)
	r.core.React(r.now)
	r.collectEffects()
	var active []ActiveRun
	for _, s := range r.confirmStarts() {
		active = append(active, ActiveRun{Task: s.Task, Run: s.Run, Percent: 10})
	}
	require.Len(t, active, 8)
	return r, a, active
}

// advance advances the time while the worker answers holds and its tasks make progress.
func (r *rig) advance(d time.Duration, id WorkerID, active []ActiveRun) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.tick(100 * time.Millisecond)
		for i := range active {
			active[i].Percent = min(99, active[i].Percent+1)
		}
		r.answerHold(id, active)
	}
}

// withoutTask returns the run list without the runs of the task.
func withoutTask(active []ActiveRun, task job.TaskID) []ActiveRun {
	var out []ActiveRun
	for _, x := range active {
		if x.Task != task {
			out = append(out, x)
		}
	}
	return out
}

// TestLongRunningTaskPreemptsOneTask checks that a long-running task on a full worker preempts
// exactly one task that ends by itself, and that no other waiting task gets the capacity.
func TestLongRunningTaskPreemptsOneTask(t *testing.T) {
	r, a, active := fullWorker(t, "q")
	longRunning := simpleJob(2, 1)
	longRunning.Steps[0].LongRunning = true
	r.core.Submit(longRunning, r.now)
	r.core.Submit(simpleJob(3, 1), r.now)
	r.advance(preemptDelayLongRunning/2, a, active)
	require.Empty(t, r.out.Stops, "no preemption before preemptDelayLongRunning")
	r.advance(preemptDelayLongRunning, a, active)
	require.Len(t, r.out.Stops, 1, "one task is enough")
	stop := r.out.Stops[0]
	r.core.OnStopAnswer(stop, Answer{Outcome: Accepted, ClockMs: r.clockMs()}, r.now)
	r.answerHold(a, withoutTask(active, stop.Task), RunEnd{Seq: 1, Task: stop.Task, Run: stop.Run, Kind: EndStopped})
	r.tick(minScheduleInterval)
	starts := r.confirmStarts()
	require.Len(t, starts, 1)
	assert.Equal(t, longRunning.ID, starts[0].Task.Job)
}

// TestHigherPriorityPreemptsLower checks that as many tasks of lower priority are stopped as the
// task needs.
func TestHigherPriorityPreemptsLower(t *testing.T) {
	r, a, active := fullWorker(t, "batch")
	urgent := simpleJob(2, 1)
	urgent.Steps[0].Need.CPUMilli = 2000
	urgent.AcceptedAt = r.now
	r.core.Submit(urgent, r.now)
	r.advance(2*preemptDelay, a, active)
	require.Len(t, r.out.Stops, 2, "two tasks of one core each are stopped for a task of two cores")
}

func TestEqualPriorityIsNotPreempted(t *testing.T) {
	r, a, active := fullWorker(t, "q")
	equal := simpleJob(2, 1)
	equal.AcceptedAt = r.now
	r.core.Submit(equal, r.now)
	r.advance(5*preemptDelay, a, active)
	assert.Empty(t, r.out.Stops)
}
