package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/job"
)

// doneJob runs a job of one task until its end is stored, and returns it and its start.
func doneJob(t *testing.T, r *rig, w WorkerID) (*job.Job, Start) {
	r.answerHold(w, nil)
	j := r.submit(1, 1)
	starts := r.confirmStarts()
	require.Len(t, starts, 1)
	r.answerHold(w, nil, RunEnd{Seq: 1, Task: starts[0].Task, Run: starts[0].Run, Kind: EndDone})
	r.core.OnCommitted(r.core.PendingRecords(10), r.now)
	return j, starts[0]
}

// TestStoredJobDropsItsSteps: only the state of a job is kept once its end is stored.
func TestStoredJobDropsItsSteps(t *testing.T) {
	r := newRig(t, 1)
	j, _ := doneJob(t, r, r.worker("a"))
	state, known := r.core.State(j.ID)
	assert.True(t, known)
	assert.Equal(t, job.Completed, state)
	assert.Nil(t, r.core.jobs[j.ID].steps)
	r.core.Submit(j, r.now)
	r.tick(100 * time.Millisecond)
	assert.Empty(t, r.out.Starts, "a caller's repeated submission does not run it again")
}

// TestEndedJobKeepsItsTenant guards against the state of a job that is shown to callers of other tenants once the job
// has ended.
func TestEndedJobKeepsItsTenant(t *testing.T) {
	r := newRig(t, 1)
	w := r.worker("a")
	r.answerHold(w, nil)
	j := simpleJob(1, 1)
	j.Tenant = "acme"
	r.core.Submit(j, r.now)
	r.core.React(r.now)
	r.collectEffects()
	assert.Equal(t, "acme", r.core.TenantOf(j.ID))
	s := r.confirmStarts()
	require.Len(t, s, 1)
	r.answerHold(w, nil, RunEnd{Seq: 1, Task: s[0].Task, Run: s[0].Run, Kind: EndDone})
	records := r.core.PendingRecords(10)
	r.core.OnCommitted(records, r.now)
	require.Nil(t, r.core.jobs[j.ID].steps)
	assert.Equal(t, "acme", r.core.TenantOf(j.ID), "after its end")

	next := newRig(t, 2, StoredJob{Job: j, Progress: &records[0].Progress})
	assert.Equal(t, "acme", next.core.TenantOf(j.ID), "after a change of owner")
	next.tick(2 * rigLease)
	require.Empty(t, next.core.jobs[j.ID].spec.Steps)
	assert.Equal(t, "acme", next.core.TenantOf(j.ID), "after its steps were freed")
}

// TestLateRunOfAStoredJobIsStopped: a run that started late is stopped even when the job's
// steps have been dropped, and its end is acknowledged.
func TestLateRunOfAStoredJobIsStopped(t *testing.T) {
	r := newRig(t, 1)
	a := r.worker("a")
	_, s := doneJob(t, r, a)
	r.tick(100 * time.Millisecond)
	r.out = Effects{}
	r.answerHold(a, []ActiveRun{{Task: s.Task, Run: s.Run + 1}})
	require.Len(t, r.out.Stops, 1)
	assert.Equal(t, s.Run+1, r.out.Stops[0].Run)
	r.answerHold(a, nil, RunEnd{Seq: 2, Task: s.Task, Run: s.Run + 1, Kind: EndStopped})
	r.tick(100 * time.Millisecond)
	assert.EqualValues(t, 2, r.core.workers[a].lastAckedEnd)
}

// TestCancelledJobKeepsItsStepsUntilRunsEnd: the steps of a cancelled job are kept until its
// runs have ended, as the runs hold their resources until then.
func TestCancelledJobKeepsItsStepsUntilRunsEnd(t *testing.T) {
	r := newRig(t, 1)
	a := r.worker("a")
	r.answerHold(a, nil)
	j := r.submit(1, 8)
	starts := r.confirmStarts()
	require.Len(t, starts, 8)
	r.core.Cancel(j.ID, r.now)
	r.core.OnCommitted(r.core.PendingRecords(10), r.now)
	require.NotNil(t, r.core.jobs[j.ID].steps)
	r.submit(2, 1)
	assert.Empty(t, r.out.Starts, "the stopped runs still hold their resources")
	var ends []RunEnd
	for i, s := range starts {
		ends = append(ends, RunEnd{Seq: uint64(i + 1), Task: s.Task, Run: s.Run, Kind: EndStopped})
	}
	r.answerHold(a, nil, ends...)
	assert.Nil(t, r.core.jobs[j.ID].steps)
	r.tick(100 * time.Millisecond)
	assert.Len(t, r.out.Starts, 1)
}
