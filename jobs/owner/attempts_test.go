package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestAFailedTaskGoesToAnotherWorker: attempts are few, and the fault may have been
// the worker's. If the others have no room the task waits for a while.
func TestAFailedTaskGoesToAnotherWorker(t *testing.T) {
	r := newRig(t, 1)
	bad, good := r.worker("a"), r.worker("b")
	r.held(bad, nil)
	j := r.submit(1, 1) // goes to a, the only one that was heard of
	first := r.started()
	require.Len(t, first, 1)
	require.Equal(t, bad, first[0].Worker)
	r.held(good, nil)
	full := simpleJob(2, 1)
	full.Steps[0].Need.CPUMilli = 8000
	r.core.Submit(full, r.now)
	r.core.React(r.now)
	r.take()
	filling := r.started()
	require.Len(t, filling, 1)
	require.Equal(t, good, filling[0].Worker)

	r.held(bad, nil, End{Number: 1, Task: first[0].Task, Run: first[0].Run, Kind: EndFailed})
	busy := []ActiveRun{{Task: filling[0].Task, Run: filling[0].Run, Percent: 50}}
	for range 5 {
		r.tick(100 * time.Millisecond)
		r.held(bad, nil)
		r.held(good, busy)
	}
	require.Empty(t, r.started(), "it would fail again on the same worker")
	r.held(good, nil, End{Number: 1, Task: filling[0].Task, Run: filling[0].Run, Kind: EndDone})
	r.tick(100 * time.Millisecond)
	again := r.started()
	require.Len(t, again, 1)
	assert.Equal(t, j.ID, again[0].Task.Job)
	assert.Equal(t, good, again[0].Worker)
}
