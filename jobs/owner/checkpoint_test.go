package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
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
