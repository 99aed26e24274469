package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/job"
)

// TestRunsBeyondATermAreAdopted guards against tasks that run twice: the next owner took runs of a term with more than
// runsPerTerm starts for its own, stopped them, and started their tasks again beside them.
func TestRunsBeyondATermAreAdopted(t *testing.T) {
	r := newRig(t, 1)
	w := r.worker("w")
	r.answerHold(w, nil)
	r.core.runs.last += runsPerTerm // a million starts later
	j := r.submit(1, 1)
	r.tick(25 * time.Millisecond)
	require.Empty(t, r.out.Starts, "no run number is left")
	reserved, needed := r.core.TermToReserve()
	require.True(t, needed)
	require.EqualValues(t, 2, reserved)
	r.core.OnTermReserved(reserved)
	r.tick(25 * time.Millisecond)
	starts := r.confirmStarts()
	require.Len(t, starts, 1)
	_, needed = r.core.TermToReserve()
	assert.False(t, needed)

	next := newRig(t, reserved+1, StoredJob{Job: j})
	next.answerHold(next.worker("w"), []ActiveRun{{Task: starts[0].Task, Run: starts[0].Run, Percent: 50}})
	next.answerHold(next.worker("v"), nil)
	next.tick(200 * time.Millisecond)
	assert.Empty(t, next.out.Stops)
	assert.Empty(t, next.out.Starts)
	next.submit(2, 1)
	second := next.confirmStarts()
	require.Len(t, second, 1)
	assert.Greater(t, second[0].Run, starts[0].Run, "run numbers rise from one owner to the next")
}

// TestEveryRunHasANumberOfItsTerms starts tasks up to the end of the range: each number is used once, also for gangs and
// copies, and none is of the next owner's range.
func TestEveryRunHasANumberOfItsTerms(t *testing.T) {
	r := newRig(t, 1)
	w := r.worker("w")
	r.answerHold(w, nil)
	r.core.runs.last += runsPerTerm - 3
	plain := r.submit(1, 2)
	gang := simpleJob(2, 2)
	gang.Steps[0].Gang = true
	r.core.Submit(gang, r.now)
	r.tick(25 * time.Millisecond)
	r.submit(3, 2)
	r.tick(time.Second)
	numbers := map[uint64]job.ID{}
	for _, s := range r.out.Starts {
		assert.LessOrEqual(t, s.Run, uint64(2*runsPerTerm))
		numbers[s.Run] = s.Task.Job
	}
	assert.Equal(t, map[uint64]job.ID{2*runsPerTerm - 2: plain.ID, 2*runsPerTerm - 1: plain.ID, 2 * runsPerTerm: gang.ID}, numbers)
}
