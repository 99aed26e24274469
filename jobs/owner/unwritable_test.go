package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/job"
)

// TestUnwritableRecordLosesItsCheckpointsFirst: a job whose record is too large goes on without stored checkpoints, and
// fails only if that is not enough.
func TestUnwritableRecordLosesItsCheckpointsFirst(t *testing.T) {
	r := newRig(t, 1)
	w := r.worker("w")
	r.answerHold(w, nil)
	j := r.submit(1, 2)
	s := r.confirmStarts()
	require.Len(t, s, 2)
	r.answerHold(w, []ActiveRun{{Task: s[1].Task, Run: s[1].Run}}, RunEnd{Seq: 1, Task: s[0].Task, Run: s[0].Run, Kind: EndStopped, Checkpoint: "0123"})
	first := r.core.PendingRecords(10)
	require.Len(t, first, 1)
	require.True(t, first[0].Progress.HasCheckpoints())
	r.core.OnUnwritable(first[0], "too large", r.now)
	second := r.core.PendingRecords(10)
	require.Len(t, second, 1)
	assert.False(t, second[0].Progress.HasCheckpoints())
	state, _ := r.core.State(j.ID)
	assert.Equal(t, job.Running, state)
	r.tick(25 * time.Millisecond)
	require.Len(t, r.out.Starts, 1)
	assert.Equal(t, "0123", r.out.Starts[0].Checkpoint, "this owner still has it")

	r.core.OnUnwritable(first[0], "too large", r.now)
	state, _ = r.core.State(j.ID)
	assert.Equal(t, job.Running, state, "the first record says nothing of the second")
	r.core.OnUnwritable(second[0], "it has 9 bytes, the store accepts 8", r.now)
	third := r.core.PendingRecords(10)
	require.Len(t, third, 1)
	assert.Equal(t, job.Failed, third[0].Progress.State)
	assert.Equal(t, "record: it has 9 bytes, the store accepts 8", third[0].Progress.Cause)
	r.core.OnCommitted(third, r.now)
	assert.EqualValues(t, 1, r.core.workers[w].lastAckedEnd, "its ends do not hold up those of others")
}
