package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// These tests guard against an owner that stops healthy tasks because their starts seem
// unanswered: the workers have carried the starts out, but the answers wait for the owner's CPU
// for longer than its timeout.

// failStarts lets all sends of the start go unanswered.
func (r *rig) failStarts(s Start) {
	for range maxStartSends {
		r.tick(OrderTimeout)
		r.core.OnStartAnswer(s, Answer{Outcome: Unanswered}, r.now)
		r.core.React(r.now)
		r.collectEffects()
	}
	r.out.Starts = nil
}

// startLongRunning submits a job with one long-running task and returns its start.
func (r *rig) startLongRunning() Start {
	j := simpleJob(1, 1)
	j.Steps[0].LongRunning = true
	r.core.Submit(j, r.now)
	r.core.React(r.now)
	r.collectEffects()
	require.Len(r.t, r.out.Starts, 1)
	s := r.out.Starts[0]
	r.out.Starts = nil
	return s
}

// TestAStartWithoutAnAnswer: the worker's next run list shows whether the run started.
func TestAStartWithoutAnAnswer(t *testing.T) {
	setUp := func(t *testing.T) (*rig, WorkerID, Start) {
		r := newRig(t, 1)
		a := r.worker("a")
		r.answerHold(a, nil)
		s := r.startLongRunning()
		r.failStarts(s)
		assert.Empty(t, r.takeStops(s.Task), "it is not known whether the run started")
		return r, a, s
	}
	t.Run("does not stop a working task", func(t *testing.T) {
		r, a, s := setUp(t)
		active := []ActiveRun{{Task: s.Task, Run: s.Run, Percent: 100}}
		for range 4 {
			r.answerHold(a, active)
			r.tick(500 * time.Millisecond)
		}
		assert.Empty(t, r.takeStops(s.Task), "the run is working")
		assert.Empty(t, r.out.Starts)
	})
	t.Run("is stopped if it has not arrived", func(t *testing.T) {
		r, a, s := setUp(t)
		r.answerHold(a, nil) // answer to a hold sent before, which proves nothing
		assert.Empty(t, r.takeStops(s.Task))
		r.tick(25 * time.Millisecond)
		r.answerHold(a, nil)
		stops := r.takeStops(s.Task)
		require.Len(t, stops, 1, "the start may still arrive")
		assert.Empty(t, r.out.Starts, "the task waits for the stop")
		r.core.OnStopAnswer(stops[0], Answer{Outcome: Accepted, ClockMs: r.clockMs()}, r.now)
		r.tick(25 * time.Millisecond)
		r.answerHold(a, nil) // answer to a hold sent before the stop was answered
		r.tick(25 * time.Millisecond)
		r.answerHold(a, nil)
		r.tick(200 * time.Millisecond)
		require.Len(t, r.out.Starts, 1)
		assert.Greater(t, r.out.Starts[0].Run, s.Run)
	})
	t.Run("is given up when the worker's lease expires", func(t *testing.T) {
		r, a, s := setUp(t)
		b := r.worker("b")
		r.answerHold(b, nil)
		for range 60 {
			r.failHold(a)
			r.tick(100 * time.Millisecond)
			r.answerHold(b, nil)
		}
		require.Len(t, r.out.Starts, 1, "the run cannot be active any more")
		assert.Equal(t, b, r.out.Starts[0].Worker)
		assert.Greater(t, r.out.Starts[0].Run, s.Run)
	})
}

// TestUnansweredStartIsCheckedAtOnce: an unanswered start is followed by a hold without Wait.
// With a Wait, a task whose start was lost was delayed by 3.7 s instead of 1.9 s.
func TestUnansweredStartIsCheckedAtOnce(t *testing.T) {
	r := newRig(t, 1)
	a := r.worker("a")
	r.answerHold(a, nil)
	s := r.startLongRunning()
	r.failStarts(s)
	r.out.Holds = nil
	r.answerHold(a, nil) // answer to a hold sent before
	require.Len(t, r.out.Holds, 1)
	assert.Zero(t, r.out.Holds[0].Wait)
	r.tick(25 * time.Millisecond)
	r.answerHold(a, []ActiveRun{{Task: s.Task, Run: s.Run, Percent: 100}})
	require.Len(t, r.out.Holds, 2)
	assert.NotZero(t, r.out.Holds[1].Wait, "the outcome of the start is known now")
}
