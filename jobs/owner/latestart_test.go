package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/job"
)

// takeStops returns the stops ordered for the task so far and discards all stops.
func (r *rig) takeStops(id job.TaskID) []Stop {
	var out []Stop
	for _, s := range r.out.Stops {
		if s.Task == id {
			out = append(out, s)
		}
	}
	r.out.Stops = nil
	return out
}

// unansweredStart submits a job whose start and its retry go unanswered. The worker may still
// receive the order later.
func (r *rig) unansweredStart(n int) (*job.Job, Start) {
	j := r.submit(n, 1)
	first := r.out.Starts
	require.Len(r.t, first, 1)
	r.out.Starts = nil
	r.core.OnStartAnswer(first[0], Answer{Outcome: Unanswered}, r.now)
	r.collectEffects()
	require.Len(r.t, r.out.Starts, 1, "the start is retried with the same run number")
	r.out.Starts = nil
	return j, first[0]
}

// TestLateStartOfCancelledJobIsStopped: a job is cancelled while the start of its task is in
// flight, and the worker executes the start seconds later.
func TestLateStartOfCancelledJobIsStopped(t *testing.T) {
	r := newRig(t, 1)
	a := r.worker("a")
	r.answerHold(a, nil)
	j, start := r.unansweredStart(1)
	r.core.Cancel(j.ID, r.now)
	r.collectEffects()
	require.NotEmpty(t, r.takeStops(start.Task), "the run is stopped at once, whether it has started or not")
	for range 6 { // neither start nor stop arrives; the worker answers holds
		r.tick(500 * time.Millisecond)
		r.answerHold(a, nil)
	}
	r.takeStops(start.Task)
	r.tick(time.Second)
	assert.NotEmpty(t, r.takeStops(start.Task), "an unanswered stop is sent again")

	r.answerHold(a, []ActiveRun{{Task: start.Task, Run: start.Run}}) // the start arrived late
	r.tick(time.Second)
	require.NotEmpty(t, r.takeStops(start.Task))
	stop := Stop{Target: start.Target, Task: start.Task, Run: start.Run}
	r.core.OnStopAnswer(stop, Answer{Outcome: Accepted, ClockMs: r.clockMs()}, r.now)
	r.answerHold(a, nil, RunEnd{Seq: 1, Task: start.Task, Run: start.Run, Kind: EndStopped})
	r.tick(2 * time.Second)
	assert.Empty(t, r.takeStops(start.Task), "no stop after the run has ended")
}

// TestLateStartAfterAnsweredStopIsStopped: the run's stop was answered and the run dropped, but
// the worker lists it later.
func TestLateStartAfterAnsweredStopIsStopped(t *testing.T) {
	r := newRig(t, 1)
	a := r.worker("a")
	r.answerHold(a, nil)
	j, start := r.unansweredStart(1)
	r.core.Cancel(j.ID, r.now)
	r.collectEffects()
	r.core.OnStopAnswer(Stop{Target: start.Target, Task: start.Task, Run: start.Run}, Answer{Outcome: Accepted, ClockMs: r.clockMs()}, r.now)
	for range 4 {
		r.tick(500 * time.Millisecond)
		r.answerHold(a, nil)
	}
	r.takeStops(start.Task)
	for range 3 { // a stop each time it is listed
		r.answerHold(a, []ActiveRun{{Task: start.Task, Run: start.Run}})
		assert.NotEmpty(t, r.takeStops(start.Task))
		r.tick(600 * time.Millisecond)
	}
}

// TestLateStartByPreviousOwnerIsStopped: a start of the previous owner reaches the worker before
// it has heard of the new owner, which knows the job as cancelled or ended. The worker then
// lists the run to the new owner.
func TestLateStartByPreviousOwnerIsStopped(t *testing.T) {
	for name, loaded := range map[string]StoredJob{
		"cancelled":          {Job: simpleJob(1, 1), Cancelled: true},
		"stored as ended":    {Job: simpleJob(1, 1), Progress: &job.Progress{State: job.Cancelled}},
		"of another service": {Job: &job.Job{ID: simpleJob(1, 1).ID, Queue: "removed", Service: "removed", Steps: simpleJob(1, 1).Steps}, Cancelled: true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 2, loaded)
			a := r.worker("a")
			task := job.TaskID{Job: loaded.Job.ID}
			r.answerHold(a, nil) // nothing runs yet
			r.tick(2 * time.Second)
			r.answerHold(a, []ActiveRun{{Task: task, Run: runsPerTerm + 1}})
			require.NotEmpty(t, r.takeStops(task))
			r.tick(time.Second)
			assert.NotEmpty(t, r.takeStops(task), "sent again until it is answered")
		})
	}
}

// TestCancellationAcrossTakeover: a start of the previous owner arrives late, and the
// cancellation reaches the new owner only after the worker has listed the run.
func TestCancellationAcrossTakeover(t *testing.T) {
	r := newRig(t, 2, StoredJob{Job: simpleJob(1, 1)})
	a := r.worker("a")
	task := job.TaskID{Job: simpleJob(1, 1).ID}
	r.answerHold(a, []ActiveRun{{Task: task, Run: runsPerTerm + 1}})
	require.Empty(t, r.takeStops(task), "the run is adopted")
	r.core.Cancel(task.Job, r.now)
	r.collectEffects()
	require.NotEmpty(t, r.takeStops(task))

	// The job is not known yet, so its run is unknown too; it is stopped once the cancelled
	// job becomes known.
	b := r.worker("b")
	late := job.TaskID{Job: simpleJob(2, 1).ID}
	r.answerHold(b, []ActiveRun{{Task: late, Run: runsPerTerm + 2}})
	r.core.Cancel(late.Job, r.now)
	r.core.Submit(simpleJob(2, 1), r.now)
	r.answerHold(b, []ActiveRun{{Task: late, Run: runsPerTerm + 2}})
	assert.NotEmpty(t, r.takeStops(late))
}
