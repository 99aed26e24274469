package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/job"
)

// fullWorker returns a rig with one worker of 8 cores that a job's eight tasks
// fill, and the worker's list of them.
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

// advance lets time advance while the worker answers, and its tasks go on.
func (r *rig) advance(d time.Duration, id WorkerID, active []ActiveRun) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.tick(100 * time.Millisecond)
		for i := range active {
			active[i].Percent = min(99, active[i].Percent+1)
		}
		r.answerHold(id, active)
	}
}

func withoutTask(active []ActiveRun, task job.TaskID) []ActiveRun {
	var out []ActiveRun
	for _, x := range active {
		if x.Task != task {
			out = append(out, x)
		}
	}
	return out
}

// TestLongRunningTaskPreemptsOneTask: on a full worker it gets the room of one task
// that ends by itself, and no other waiting task takes that room meanwhile.
func TestLongRunningTaskPreemptsOneTask(t *testing.T) {
	r, a, active := fullWorker(t, "q")
	longRunning := simpleJob(2, 1)
	longRunning.Steps[0].LongRunning = true
	r.core.Submit(longRunning, r.now)
	r.core.Submit(simpleJob(3, 1), r.now)
	r.advance(preemptDelayLongRunning/2, a, active)
	require.Empty(t, r.out.Stops, "most get room sooner by themselves")
	r.advance(preemptDelayLongRunning, a, active)
	require.Len(t, r.out.Stops, 1, "one task is in the way")
	stop := r.out.Stops[0]
	r.core.OnStopped(stop, Answer{Outcome: Taken, ClockMs: r.clockMs()}, r.now)
	r.answerHold(a, withoutTask(active, stop.Task), RunEnd{Seq: 1, Task: stop.Task, Run: stop.Run, Kind: EndStopped})
	r.tick(minScheduleInterval)
	starts := r.confirmStarts()
	require.Len(t, starts, 1)
	assert.Equal(t, longRunning.ID, starts[0].Task.Job)
}

func TestHigherPriorityPreemptsLower(t *testing.T) {
	r, a, active := fullWorker(t, "batch")
	urgent := simpleJob(2, 1)
	urgent.Steps[0].Need.CPUMilli = 2000
	urgent.AcceptedAt = r.now
	r.core.Submit(urgent, r.now)
	r.advance(2*preemptDelay, a, active)
	require.Len(t, r.out.Stops, 2, "two tasks of a core each make room for two cores")
}

func TestEqualPriorityIsNotPreempted(t *testing.T) {
	r, a, active := fullWorker(t, "q")
	equal := simpleJob(2, 1)
	equal.AcceptedAt = r.now
	r.core.Submit(equal, r.now)
	r.advance(5*preemptDelay, a, active)
	assert.Empty(t, r.out.Stops)
}
