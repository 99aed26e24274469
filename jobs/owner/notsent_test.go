package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Starts that wait too long in the owner's call queue are dropped with outcome NotSent. Otherwise
// they could arrive too late: with a fifth of a core, starts reached workers 3.9 s after these
// had begun to drain.

// TestAStartThatWasNotSent: its task is placed again, as the run cannot have started.
func TestAStartThatWasNotSent(t *testing.T) {
	r := newRig(t, 1)
	a, b := r.worker("a"), r.worker("b")
	r.answerHold(a, nil)
	r.answerHold(b, nil)
	r.submit(1, 1)
	require.Len(t, r.out.Starts, 1)
	first := r.out.Starts[0]
	r.out.Starts = nil
	for i := range r.regs {
		r.regs[i].Draining = r.regs[i].Worker == first.Worker
	}
	r.publishLists()
	r.core.OnStartAnswer(first, Answer{Outcome: NotSent}, r.now)
	r.tick(25 * time.Millisecond)
	assert.Empty(t, r.takeStops(first.Task))
	require.Len(t, r.out.Starts, 1)
	assert.NotEqual(t, first.Worker, r.out.Starts[0].Worker)
	assert.Greater(t, r.out.Starts[0].Run, first.Run)
	assert.Equal(t, 1, r.core.PendingJobs("q"))
}

// TestASecondStartThatWasNotSent: the first start may have arrived, which the worker's run
// list shows.
func TestASecondStartThatWasNotSent(t *testing.T) {
	r := newRig(t, 1)
	a := r.worker("a")
	r.answerHold(a, nil)
	_, start := r.unansweredStart(1)
	r.tick(OrderTimeout)
	r.core.OnStartAnswer(start, Answer{Outcome: NotSent}, r.now)
	r.tick(25 * time.Millisecond)
	r.answerHold(a, []ActiveRun{{Task: start.Task, Run: start.Run, Percent: 10}}) // answer to a hold sent before
	r.tick(25 * time.Millisecond)
	r.answerHold(a, []ActiveRun{{Task: start.Task, Run: start.Run, Percent: 20}})
	assert.Empty(t, r.takeStops(start.Task), "the run is working")
	assert.Empty(t, r.out.Starts)
	assert.Zero(t, r.core.PendingJobs("q"))
}
