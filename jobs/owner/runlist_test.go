package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/job"
)

// answerTruncatedHold answers the worker's hold with a list that lacks ends.
func (r *rig) answerTruncatedHold(id WorkerID, active []ActiveRun, ends ...RunEnd) {
	r.core.OnHoldAnswer(Target{Worker: id}, HoldAnswer{Answer: Answer{Outcome: Accepted, ClockMs: r.clockMs()}, Active: active, Ends: ends, EndsTruncated: true}, r.now)
	r.core.React(r.now)
	r.collectEffects()
}

// doneEnds returns the ends of the runs, all done, numbered from first on.
func doneEnds(first uint64, runs []Start) []RunEnd {
	var out []RunEnd
	for n, s := range runs {
		out = append(out, RunEnd{Seq: first + uint64(n), Task: s.Task, Run: s.Run, Kind: EndDone})
	}
	return out
}

// TestRunBeyondATruncatedListOfEndsIsNotStartedAgain guards against tasks that run twice: more runs of a worker have
// ended than it lists at a time, and the owner takes those beyond the list for lost.
func TestRunBeyondATruncatedListOfEndsIsNotStartedAgain(t *testing.T) {
	r := newRig(t, 1)
	a := r.worker("a")
	r.answerHold(a, nil)
	j := r.submit(1, 8)
	starts := r.confirmStarts()
	require.Len(t, starts, 8)
	r.tick(100 * time.Millisecond)
	r.answerTruncatedHold(a, nil, doneEnds(1, starts[:5])...)
	for range 10 { // the store is down, so that nothing is acknowledged
		r.tick(400 * time.Millisecond)
		r.answerTruncatedHold(a, nil, doneEnds(1, starts[:5])...)
	}
	require.Empty(t, r.out.Starts, "the other runs have ended, too, and it is not known how")
	assert.Empty(t, r.out.Stops)

	other := r.submit(2, 8)
	require.Len(t, startsOf(r.out.Starts, other), 8, "the ended runs hold no resources")
	second := r.confirmStarts()
	r.commit()
	r.tick(25 * time.Millisecond)
	require.EqualValues(t, 5, r.out.Holds[len(r.out.Holds)-1].AckThrough)
	var active []ActiveRun
	for _, s := range second {
		active = append(active, ActiveRun{Task: s.Task, Run: s.Run})
	}
	r.answerHold(a, active, doneEnds(6, starts[5:])...)
	r.commit()
	state, _ := r.core.State(j.ID)
	assert.Equal(t, job.Completed, state)
	assert.Empty(t, r.out.Starts)
	assert.Equal(t, job.Resources{CPUMilli: 8000, MemMB: 800}, r.core.workers[a].allocated, "the resources are counted once")
}

// TestRunMissingFromACompleteListIsStartedAgain: a run of which no complete list shows the end is lost.
func TestRunMissingFromACompleteListIsStartedAgain(t *testing.T) {
	r := newRig(t, 1)
	a := r.worker("a")
	r.answerHold(a, nil)
	j := r.submit(1, 2)
	starts := r.confirmStarts()
	r.tick(100 * time.Millisecond)
	r.answerTruncatedHold(a, nil, doneEnds(1, starts[:1])...)
	r.tick(400 * time.Millisecond)
	require.Empty(t, r.out.Starts)
	r.answerHold(a, nil)
	r.tick(100 * time.Millisecond)
	again := startsOf(r.confirmStarts(), j)
	require.Len(t, again, 1)
	assert.Equal(t, starts[1].Task, again[0].Task)
	assert.Equal(t, job.Resources{CPUMilli: 1000, MemMB: 100}, r.core.workers[a].allocated)
}

// TestUnansweredStartIsNotJudgedByATruncatedList guards against a task that runs twice: the start of a run was not
// answered, and the run's end is beyond the list.
func TestUnansweredStartIsNotJudgedByATruncatedList(t *testing.T) {
	r := newRig(t, 1)
	a := r.worker("a")
	r.answerHold(a, nil)
	r.submit(1, 2)
	starts := r.out.Starts
	require.Len(t, starts, 2)
	r.out.Starts = nil
	for range maxStartSends {
		r.core.OnStartAnswer(starts[0], Answer{Outcome: Unanswered}, r.now)
	}
	r.core.OnStartAnswer(starts[1], Answer{Outcome: Accepted, ClockMs: r.clockMs()}, r.now)
	r.collectEffects()
	r.out.Starts = nil
	r.tick(100 * time.Millisecond)
	for range 5 {
		r.answerTruncatedHold(a, nil, doneEnds(1, starts[1:])...)
		r.tick(400 * time.Millisecond)
	}
	assert.Empty(t, r.out.Stops, "the run may have ended as done")
	assert.Empty(t, r.out.Starts)
	r.answerHold(a, nil, doneEnds(2, starts[:1])...)
	r.commit()
	assert.Zero(t, r.core.DirtyJobs())
	assert.Empty(t, r.out.Starts)
}

// TestRunOfUnknownJobBeyondATruncatedList guards against a task that runs twice: a worker has listed a run of a job
// that is not known yet, and then its end is beyond the list.
func TestRunOfUnknownJobBeyondATruncatedList(t *testing.T) {
	r := newRig(t, 2)
	a := r.worker("a")
	j := simpleJob(1, 1)
	listed := ActiveRun{Task: job.TaskID{Job: j.ID}, Run: runsPerTerm + 1}
	r.answerHold(a, []ActiveRun{listed})
	r.tick(25 * time.Millisecond)
	r.answerTruncatedHold(a, nil)
	r.tick(25 * time.Millisecond)
	r.submit(1, 1)
	r.tick(100 * time.Millisecond)
	require.Empty(t, r.confirmStarts(), "the run may have ended as done")
	r.answerHold(a, nil, RunEnd{Seq: 501, Task: listed.Task, Run: listed.Run, Kind: EndDone})
	r.tick(100 * time.Millisecond)
	assert.Empty(t, r.confirmStarts())
}

// TestTakeoverWaitsForCompleteListsOfEnds guards against tasks that run twice after a change of owner: a worker has
// answered the new owner, but has not listed all ends of earlier runs.
func TestTakeoverWaitsForCompleteListsOfEnds(t *testing.T) {
	inherited := func(t *testing.T) (*rig, WorkerID, WorkerID) {
		r := newRig(t, 2, StoredJob{Job: simpleJob(1, 2)})
		a, b := r.worker("a"), r.worker("b")
		r.answerHold(b, nil)
		r.answerTruncatedHold(a, nil, RunEnd{Seq: 1, Task: job.TaskID{Job: simpleJob(1, 1).ID}, Run: runsPerTerm + 1, Kind: EndDone})
		for range 20 { // longer than the leases of the earlier owner
			r.tick(400 * time.Millisecond)
			r.answerHold(b, nil)
			r.answerTruncatedHold(a, nil, RunEnd{Seq: 1, Task: job.TaskID{Job: simpleJob(1, 1).ID}, Run: runsPerTerm + 1, Kind: EndDone})
		}
		require.Empty(t, r.confirmStarts(), "the second task may be done")
		return r, a, b
	}
	t.Run("until the list is complete", func(t *testing.T) {
		r, a, _ := inherited(t)
		r.commit()
		r.answerHold(a, nil, RunEnd{Seq: 2, Task: job.TaskID{Job: simpleJob(1, 1).ID, Index: 1}, Run: runsPerTerm + 2, Kind: EndDone})
		r.tick(100 * time.Millisecond)
		assert.Empty(t, r.confirmStarts())
		r.commit()
		state, _ := r.core.State(simpleJob(1, 1).ID)
		assert.Equal(t, job.Completed, state)
	})
	t.Run("until the worker has ended", func(t *testing.T) {
		r, _, _ := inherited(t)
		r.inst[0].State = InstanceDown
		r.publishLists()
		r.tick(time.Second)
		starts := r.confirmStarts()
		require.Len(t, starts, 1)
		assert.Equal(t, 1, starts[0].Task.Index)
	})
	t.Run("until the worker's lease has expired", func(t *testing.T) {
		r, a, b := inherited(t)
		silent := func(d time.Duration) {
			for end := r.now.Add(d); r.now.Before(end); {
				r.failHold(a)
				r.tick(100 * time.Millisecond)
				r.answerHold(b, nil)
			}
		}
		silent(rigLease - time.Second)
		require.Empty(t, r.confirmStarts(), "this owner has renewed the lease")
		silent(2 * time.Second)
		assert.Len(t, r.confirmStarts(), 1)
	})
	t.Run("and its instance is not idle", func(t *testing.T) {
		r, _, _ := inherited(t)
		assert.Equal(t, 1, len(r.core.pool("s").supply.idle))
	})
}
