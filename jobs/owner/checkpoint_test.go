package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/job"
)

// TestCheckpointsResume: a stopped task resumes from its checkpoint, also on another
// worker and under another owner.
func TestCheckpointsResume(t *testing.T) {
	r := newRig(t, 1)
	a := r.worker("a")
	r.answerHold(a, nil)
	j := simpleJob(1, 1)
	j.Steps[0].Checkpoints = true
	r.core.Submit(j, r.now)
	r.core.React(r.now)
	r.collectEffects()
	first := r.confirmStarts()
	require.Len(t, first, 1)
	assert.Empty(t, first[0].Checkpoint)

	r.answerHold(a, nil, RunEnd{Seq: 1, Task: first[0].Task, Run: first[0].Run, Kind: EndStopped, Checkpoint: "half"})
	r.tick(100 * time.Millisecond)
	second := r.confirmStarts()
	require.Len(t, second, 1)
	assert.Equal(t, "half", second[0].Checkpoint)

	records := r.core.PendingRecords(10)
	require.Len(t, records, 1)
	next := newRig(t, 2, StoredJob{Job: j, Progress: &records[0].Progress})
	b := next.worker("b")
	next.answerHold(b, nil)
	next.tick(100 * time.Millisecond)
	third := next.confirmStarts()
	require.Len(t, third, 1)
	assert.Equal(t, "half", third[0].Checkpoint)
	assert.Greater(t, third[0].Run, second[0].Run)
}

// TestGangResumesFromOneCheckpoint guards against members of a gang that resume from different checkpoints: their workers
// were lost after each had reported one of its own, or a start was sent again after a late report.
func TestGangResumesFromOneCheckpoint(t *testing.T) {
	gang := simpleJob(1, 2)
	gang.Steps[0].Need.CPUMilli = 5000 // one on each worker
	gang.Steps[0].Gang, gang.Steps[0].Checkpoints = true, true

	t.Run("all workers lost", func(t *testing.T) {
		r := newRig(t, 1)
		a, b := r.worker("a"), r.worker("b")
		r.answerHold(a, nil)
		r.answerHold(b, nil)
		r.core.Submit(gang, r.now)
		r.core.React(r.now)
		r.collectEffects()
		first := r.confirmStarts()
		require.Len(t, first, 2)
		for i, checkpoint := range []string{"0001", "0002"} {
			r.answerHold(first[i].Worker, []ActiveRun{{Task: first[i].Task, Run: first[i].Run, Percent: 30, Checkpoint: checkpoint}})
		}
		for _, w := range []WorkerID{a, b} {
			r.core.OnHoldAnswer(Target{Worker: w}, HoldAnswer{Answer: Answer{Outcome: OtherIncarnation}}, r.now)
		}
		r.regs, r.inst = nil, nil
		r.worker("c")
		r.worker("d")
		r.answerHolds(8*time.Second, nil)
		second := r.confirmStarts()
		require.NotEmpty(t, second)
		for _, s := range second {
			assert.Equal(t, "0002", s.Checkpoint, s.Task)
		}
	})

	t.Run("start sent again", func(t *testing.T) {
		r := newRig(t, 2, StoredJob{Job: gang, Progress: &job.Progress{State: job.Running, Steps: []job.StepProgress{{Checkpoint: map[int]string{1: "0001"}}}}})
		a, b := r.worker("a"), r.worker("b")
		r.answerHold(a, nil)
		r.answerHold(b, nil)
		r.tick(100 * time.Millisecond)
		first := r.out.Starts
		require.Len(t, first, 2)
		r.core.jobs[gang.ID].steps[0].tasks[0].setCheckpoint("0002")
		r.core.OnStartAnswer(first[0], Answer{Outcome: Unanswered}, r.now)
		r.tick(25 * time.Millisecond)
		require.Len(t, r.out.Starts, 3, "the start is sent again")
		for _, s := range r.out.Starts {
			assert.Equal(t, "0001", s.Checkpoint, s.Task)
		}
	})
}
