package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/job"
)

// takeStops returns the orders to stop the task so far and forgets them.
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

// unansweredStart submits a job and lets both tries of its start go unanswered; the
// worker carries the order out when the test says so.
func (r *rig) unansweredStart(n int) (*job.Job, Start) {
	j := r.submit(n, 1)
	first := r.out.Starts
	require.Len(r.t, first, 1)
	r.out.Starts = nil
	r.core.OnStarted(first[0], Answer{Outcome: Unanswered}, r.now)
	r.collectEffects()
	require.Len(r.t, r.out.Starts, 1, "it is sent again with the same run")
	r.out.Starts = nil
	return j, first[0]
}

// TestLateStartOfCancelledJobIsStopped: the job is cancelled while the order for its
// task is on its way; the worker carries it out seconds later.
func TestLateStartOfCancelledJobIsStopped(t *testing.T) {
	r := newRig(t, 1)
	a := r.worker("a")
	r.answerHold(a, nil)
	j, start := r.unansweredStart(1)
	r.core.Cancel(j.ID, r.now)
	r.collectEffects()
	require.NotEmpty(t, r.takeStops(start.Task), "the run is fenced off at once, whether it began or not")
	for range 6 { // neither order arrives; the worker answers holds
		r.tick(500 * time.Millisecond)
		r.answerHold(a, nil)
	}
	r.takeStops(start.Task)
	r.tick(time.Second)
	assert.NotEmpty(t, r.takeStops(start.Task), "a stop that was not answered is sent until it is")

	r.answerHold(a, []ActiveRun{{Task: start.Task, Run: start.Run}}) // the start came late
	r.tick(time.Second)
	require.NotEmpty(t, r.takeStops(start.Task))
	stop := Stop{Target: start.Target, Task: start.Task, Run: start.Run}
	r.core.OnStopped(stop, Answer{Outcome: Taken, ClockMs: r.clockMs()}, r.now)
	r.answerHold(a, nil, RunEnd{Seq: 1, Task: start.Task, Run: start.Run, Kind: EndStopped})
	r.tick(2 * time.Second)
	assert.Empty(t, r.takeStops(start.Task), "it is gone")
}

// TestLateStartAfterAnsweredStopIsStopped: the run was given up for certain, its stop was
// answered, and all the same the worker lists it later.
func TestLateStartAfterAnsweredStopIsStopped(t *testing.T) {
	r := newRig(t, 1)
	a := r.worker("a")
	r.answerHold(a, nil)
	j, start := r.unansweredStart(1)
	r.core.Cancel(j.ID, r.now)
	r.collectEffects()
	r.core.OnStopped(Stop{Target: start.Target, Task: start.Task, Run: start.Run}, Answer{Outcome: Taken, ClockMs: r.clockMs()}, r.now)
	for range 4 {
		r.tick(500 * time.Millisecond)
		r.answerHold(a, nil)
	}
	r.takeStops(start.Task)
	for range 3 { // as often as it is listed
		r.answerHold(a, []ActiveRun{{Task: start.Task, Run: start.Run}})
		assert.NotEmpty(t, r.takeStops(start.Task))
		r.tick(600 * time.Millisecond)
	}
}

// TestLateStartByPreviousOwnerIsStopped: the owner that sent the order is gone, the next
// one knows the job as cancelled, and the worker, which has not heard of the new owner
// when the order arrives, lists the run to it.
func TestLateStartByPreviousOwnerIsStopped(t *testing.T) {
	for name, loaded := range map[string]Loaded{
		"cancelled":          {Job: simpleJob(1, 1), Cancelled: true},
		"recorded as ended":  {Job: simpleJob(1, 1), Progress: &job.Progress{State: job.Cancelled}},
		"of another service": {Job: &job.Job{ID: simpleJob(1, 1).ID, Queue: "removed", Service: "removed", Steps: simpleJob(1, 1).Steps}, Cancelled: true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 2, loaded)
			a := r.worker("a")
			task := job.TaskID{Job: loaded.Job.ID}
			r.answerHold(a, nil) // nothing runs there yet
			r.tick(2 * time.Second)
			r.answerHold(a, []ActiveRun{{Task: task, Run: runsPerTerm + 1}})
			require.NotEmpty(t, r.takeStops(task))
			r.tick(time.Second)
			assert.NotEmpty(t, r.takeStops(task), "until it is answered")
		})
	}
}

// TestCancellationAcrossTakeover: the order is late, its sender removed, and the
// cancellation reaches the new owner only after the worker has listed the run.
func TestCancellationAcrossTakeover(t *testing.T) {
	r := newRig(t, 2, Loaded{Job: simpleJob(1, 1)})
	a := r.worker("a")
	task := job.TaskID{Job: simpleJob(1, 1).ID}
	r.answerHold(a, []ActiveRun{{Task: task, Run: runsPerTerm + 1}})
	require.Empty(t, r.takeStops(task), "it is adopted")
	r.core.Cancel(task.Job, r.now)
	r.collectEffects()
	require.NotEmpty(t, r.takeStops(task))

	// The job itself is not known yet: its run is a stranger's, and stopped as soon as
	// the cancelled job is heard of.
	b := r.worker("b")
	late := job.TaskID{Job: simpleJob(2, 1).ID}
	r.answerHold(b, []ActiveRun{{Task: late, Run: runsPerTerm + 2}})
	r.core.Cancel(late.Job, r.now)
	r.core.Submit(simpleJob(2, 1), r.now)
	r.answerHold(b, []ActiveRun{{Task: late, Run: runsPerTerm + 2}})
	assert.NotEmpty(t, r.takeStops(late))
}
