package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/job"
)

// TestJobIsPendingUntilATaskIsKnownToHaveStarted: a job counts as pending, and is shown as queued,
// until a worker reports that a task of it has started. When sending the start order counted as
// the start, a daemon reported 0 pending jobs of a queue while 8 had waited for over 5 s.
func TestJobIsPendingUntilATaskIsKnownToHaveStarted(t *testing.T) {
	answer := func(o Outcome) func(r *rig, s Start) {
		return func(r *rig, s Start) {
			r.core.OnStartAnswer(s, Answer{Outcome: o, ClockMs: r.clockMs()}, r.now)
			r.collectEffects()
		}
	}
	for _, c := range []struct {
		name string
		then func(r *rig, s Start) // outcome of the start order
	}{
		{"the start order is in transit", func(*rig, Start) {}},
		{"the start order is not answered", answer(Unanswered)},
		{"the worker has no free capacity", answer(NoCapacity)},
		{"the worker is unhealthy", answer(Unhealthy)},
		{"the worker's lease has expired", answer(LeaseExpired)},
		{"the run number is too old", answer(RunTooOld)},
		{"the ticket is invalid", answer(InvalidTicket)},
		{"the order is invalid", answer(Invalid)},
		{"another incarnation answers", answer(OtherIncarnation)},
		{"the worker has seen a newer owner", answer(Fenced)},
		{"the instance list shows that the worker ended", func(r *rig, _ Start) {
			r.inst[0].State = InstanceDown
			r.publishLists()
		}},
		{"no answer comes until the worker's leases have expired", func(r *rig, s Start) {
			for range 60 {
				r.failHold(s.Worker)
				r.tick(100 * time.Millisecond)
			}
		}},
		{"the worker reports that nothing runs", func(r *rig, s Start) {
			r.core.OnStartAnswer(s, Answer{Outcome: Unanswered}, r.now)
			r.collectEffects()
			r.tick(time.Second)
			r.answerHold(s.Worker, nil)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, 1)
			r.answerHold(r.worker("a"), nil)
			j := r.submit(1, 1)
			require.Len(t, r.out.Starts, 1)
			c.then(r, r.out.Starts[0])
			assert.Equal(t, 1, r.core.PendingJobs("q"))
			state, known := r.core.State(j.ID)
			assert.True(t, known)
			assert.Equal(t, job.Queued, state)
		})
	}
	t.Run("only some members of a gang have started", testGangIsPendingUntilAllMembersStart)
}

// TestJobIsRunningOnceAWorkerReportsAStartedTask: each way of reporting it counts.
func TestJobIsRunningOnceAWorkerReportsAStartedTask(t *testing.T) {
	for _, c := range []struct {
		name string
		then func(r *rig, s Start)
	}{
		{"it accepts the start order", func(r *rig, s Start) {
			r.core.OnStartAnswer(s, Answer{Outcome: Accepted, ClockMs: r.clockMs()}, r.now)
		}},
		{"it lists the run", func(r *rig, s Start) { r.answerHold(s.Worker, []ActiveRun{{Task: s.Task, Run: s.Run}}) }},
		{"it lists the failed run as ended", func(r *rig, s Start) {
			r.answerHold(s.Worker, nil, RunEnd{Seq: 1, Task: s.Task, Run: s.Run, Kind: EndFailed})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, 1)
			r.answerHold(r.worker("a"), nil)
			j := r.submit(1, 2)
			require.Len(t, r.out.Starts, 2)
			c.then(r, r.out.Starts[0])
			assert.Zero(t, r.core.PendingJobs("q"))
			state, _ := r.core.State(j.ID)
			assert.Equal(t, job.Running, state)
		})
	}
}

// TestInheritedJobIsPendingUntilARunIsReported: tasks that the previous owner ordered aren't
// known to have started either.
func TestInheritedJobIsPendingUntilARunIsReported(t *testing.T) {
	j := simpleJob(1, 1)
	r := newRig(t, 2, StoredJob{Job: j})
	a := r.worker("a")
	assert.Equal(t, 1, r.core.PendingJobs("q"))
	r.answerHold(a, []ActiveRun{{Task: job.TaskID{Job: j.ID}, Run: runsPerTerm + 1}})
	assert.Zero(t, r.core.PendingJobs("q"))
}

// testGangIsPendingUntilAllMembersStart: the tasks of a gang start only once all are there.
func testGangIsPendingUntilAllMembersStart(t *testing.T) {
	r := newRig(t, 1)
	r.answerHold(r.worker("a"), nil)
	j := simpleJob(1, 2)
	j.Steps[0].Gang = true
	r.core.Submit(j, r.now)
	r.core.React(r.now)
	r.collectEffects()
	require.Len(t, r.out.Starts, 2)
	first, second := r.out.Starts[0], r.out.Starts[1]
	r.core.OnStartAnswer(first, Answer{Outcome: Accepted, ClockMs: r.clockMs()}, r.now)
	assert.Equal(t, 1, r.core.PendingJobs("q"), "the first member waits for the second")
	r.answerHold(first.Worker, nil, RunEnd{Seq: 1, Task: first.Task, Run: first.Run, Kind: EndGangIncomplete})
	assert.Equal(t, 1, r.core.PendingJobs("q"), "the first member gave up waiting")
	r.core.OnStartAnswer(second, Answer{Outcome: Accepted, ClockMs: r.clockMs()}, r.now)
	assert.Equal(t, 1, r.core.PendingJobs("q"), "the second member started too late")
}
