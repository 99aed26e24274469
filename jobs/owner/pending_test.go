package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/job"
)

// TestAJobWaitsUntilATaskIsKnownToHaveStarted.
//
// Seen: a daemon in touch said that 0 jobs of a queue waited while 8 had for over 5 s,
// with nearly all of their service's room free. How: a start was sent for each job and
// counted as its beginning. Cause: the count, and the state shown, followed from the
// order and not from what the worker said. Proof: each case below gives 0 and "running"
// without any task that has run.
func TestAJobWaitsUntilATaskIsKnownToHaveStarted(t *testing.T) {
	answer := func(o Outcome) func(r *rig, s Start) {
		return func(r *rig, s Start) {
			r.core.OnStarted(s, Answer{Outcome: o, ClockMs: r.clockMs()}, r.now)
			r.collectEffects()
		}
	}
	for _, c := range []struct {
		name string
		then func(r *rig, s Start) // what becomes of the start
	}{
		{"it is on its way", func(*rig, Start) {}},
		{"it is not answered", answer(Unanswered)},
		{"there is no room", answer(NoRoom)},
		{"the worker is unhealthy", answer(Unhealthy)},
		{"its lease is over", answer(LeaseOver)},
		{"its run is too old", answer(RunTooOld)},
		{"its ticket is bad", answer(BadTicket)},
		{"it is invalid", answer(Invalid)},
		{"another life answers", answer(OtherBoot)},
		{"the worker is fenced off", answer(Fenced)},
		{"the instance list shows the end of the worker's life", func(r *rig, _ Start) {
			r.inst[0].State = InstanceDown
			r.publishLists()
		}},
		{"no answer comes, and the worker's leases end", func(r *rig, s Start) {
			for range 60 {
				r.failHold(s.Worker)
				r.tick(100 * time.Millisecond)
			}
		}},
		{"the worker says that it runs nothing", func(r *rig, s Start) {
			r.core.OnStarted(s, Answer{Outcome: Unanswered}, r.now)
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
	t.Run("only some members of a gang are there", aGangWaitsForAllItsMembers)
}

// TestAJobNoLongerWaitsOnceAWorkerSaysThatATaskStarted, whichever way it says so.
func TestAJobNoLongerWaitsOnceAWorkerSaysThatATaskStarted(t *testing.T) {
	for _, c := range []struct {
		name string
		then func(r *rig, s Start)
	}{
		{"it takes the start", func(r *rig, s Start) {
			r.core.OnStarted(s, Answer{Outcome: Taken, ClockMs: r.clockMs()}, r.now)
		}},
		{"it lists the run", func(r *rig, s Start) { r.answerHold(s.Worker, []ActiveRun{{Task: s.Task, Run: s.Run}}) }},
		{"it lists the end of a run that failed", func(r *rig, s Start) {
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

// TestAnInheritedJobWaitsUntilARunOfItIsHeardOf: what the owner before ordered is not
// known to have begun either.
func TestAnInheritedJobWaitsUntilARunOfItIsHeardOf(t *testing.T) {
	j := simpleJob(1, 1)
	r := newRig(t, 2, Loaded{Job: j})
	a := r.worker("a")
	assert.Equal(t, 1, r.core.PendingJobs("q"))
	r.answerHold(a, []ActiveRun{{Task: job.TaskID{Job: j.ID}, Run: runsPerTerm + 1}})
	assert.Zero(t, r.core.PendingJobs("q"))
}

// aGangWaitsForAllItsMembers: its tasks start only once all of them are there.
func aGangWaitsForAllItsMembers(t *testing.T) {
	r := newRig(t, 1)
	r.answerHold(r.worker("a"), nil)
	j := simpleJob(1, 2)
	j.Steps[0].Gang = true
	r.core.Submit(j, r.now)
	r.core.React(r.now)
	r.collectEffects()
	require.Len(t, r.out.Starts, 2)
	first, second := r.out.Starts[0], r.out.Starts[1]
	r.core.OnStarted(first, Answer{Outcome: Taken, ClockMs: r.clockMs()}, r.now)
	assert.Equal(t, 1, r.core.PendingJobs("q"), "one member waits for the other")
	r.answerHold(first.Worker, nil, RunEnd{Seq: 1, Task: first.Task, Run: first.Run, Kind: EndGangIncomplete})
	assert.Equal(t, 1, r.core.PendingJobs("q"), "it waited in vain")
	r.core.OnStarted(second, Answer{Outcome: Taken, ClockMs: r.clockMs()}, r.now)
	assert.Equal(t, 1, r.core.PendingJobs("q"), "the other one came too late")
}
