package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/callpolicy"
)

// These tests guard against an owner that takes lost orders for a sign of its own link being full:
// when 40% of the orders went unanswered for 8 s, it sent 130 to 230 starts a second instead of 1,700.

const fastAnswer = 4 * time.Millisecond

// answerStartsFast answers all starts sent so far fast, except for those for which lost returns true,
// which are returned. These are still unanswered.
func (r *rig) answerStartsFast(lost func(i int) bool) (left []Start) {
	starts := r.out.Starts
	r.out.Starts = nil
	r.now = r.now.Add(fastAnswer)
	for i, s := range starts {
		if lost(i) {
			left = append(left, s)
			continue
		}
		r.core.OnStartAnswer(s, Answer{Outcome: Accepted, ClockMs: r.clockMs(), Latency: fastAnswer}, r.now)
	}
	r.core.React(r.now)
	r.collectEffects()
	return left
}

// timeOut lets the starts go unanswered.
func (r *rig) timeOut(starts []Start) {
	for _, s := range starts {
		r.core.OnStartAnswer(s, Answer{Outcome: Unanswered}, r.now)
	}
	r.core.React(r.now)
	r.collectEffects()
}

func noneLost(int) bool { return false }

// fleetOf returns a rig with n workers that answer, whose round trips are known.
func fleetOf(t *testing.T, n int) *rig {
	r := newRig(t, 1)
	r.core.startWindow = newStartWindow(100)
	for i := range n {
		r.answerHold(r.worker(fmt.Sprintf("w%02d", i)), nil)
	}
	r.submit(1, 4*n)
	require.Empty(t, r.answerStartsFast(noneLost))
	return r
}

// TestLostStartsDoNotShrinkTheWindow: 40% of the starts that are sent together are lost. Their
// timeouts come together, after the answers of all others.
func TestLostStartsDoNotShrinkTheWindow(t *testing.T) {
	r := fleetOf(t, 20)
	r.submit(2, 60)
	first := true
	for len(r.out.Starts) > 0 {
		lost := r.answerStartsFast(func(i int) bool { return i%5 < 2 && first })
		first = false
		for _, s := range lost {
			assert.Equal(t, callpolicy.LossyTimeout, s.Timeout)
		}
		r.tick(callpolicy.LossyTimeout / 2)
		r.submit(3, 1) // shows that other calls are answered
		r.answerStartsFast(noneLost)
		r.tick(callpolicy.LossyTimeout / 2)
		r.timeOut(lost)
		assert.True(t, r.core.callLossDetector.Lossy())
	}
	s := r.core.Stats(r.now)
	assert.EqualValues(t, 24, s.Unanswered)
	assert.EqualValues(t, 24, s.Repeated)
	assert.EqualValues(t, 24, s.SettledByAnswer)
	assert.InDelta(t, 100, r.core.startWindow.limit, 0.01)
	assert.False(t, r.core.isStarved(r.now))
}

// TestRepeatsOnAFullLink: no start is answered any more, as on a full link. Only some of the
// starts are repeated; the outcome of the others is left to the workers' run lists.
func TestRepeatsOnAFullLink(t *testing.T) {
	r := fleetOf(t, 40)
	r.submit(2, 100)
	lost := r.answerStartsFast(func(int) bool { return true })
	require.Len(t, lost, 100)
	r.tick(OrderTimeout)
	r.timeOut(lost)
	s := r.core.Stats(r.now)
	assert.NotZero(t, s.RepeatsDenied)
	assert.Less(t, s.Repeated, int64(60), "24, a tenth of the first sends, and those from before answers counted as slow")
	assert.EqualValues(t, 100, s.Repeated+s.RepeatsDenied)
	abandoned := 0
	for _, w := range r.core.workers {
		if w.hasUnansweredStart() {
			abandoned++
			assert.Zero(t, r.core.holdWait(w))
		}
	}
	assert.NotZero(t, abandoned)
}

// TestRepeatedStartIsSettled: a start is repeated under the same run number until it is answered, and
// counted and logged as settled.
func TestRepeatedStartIsSettled(t *testing.T) {
	r := fleetOf(t, 20)
	for range 10 {
		r.core.callLossDetector.RecordSingleLoss() // single calls are lost
	}
	require.True(t, r.core.callLossDetector.Lossy())
	r.submit(2, 2)
	lost := r.answerStartsFast(func(i int) bool { return i == 0 })
	require.Len(t, lost, 1)
	for n := range callpolicy.LossyAttempts - 1 {
		r.submit(10+n, 1) // shows that other calls are answered
		r.answerStartsFast(noneLost)
		r.tick(callpolicy.LossyTimeout)
		r.timeOut(lost)
		require.Len(t, r.out.Starts, 1, "repeat %d", n+1)
		assert.Equal(t, lost[0].Run, r.out.Starts[0].Run)
		lost, r.out.Starts = r.out.Starts, nil
	}
	r.core.TakeDecisions()
	r.core.OnStartAnswer(lost[0], Answer{Outcome: Accepted, ClockMs: r.clockMs(), Latency: fastAnswer}, r.now)
	s := r.core.Stats(r.now)
	assert.EqualValues(t, 1, s.Unanswered)
	assert.EqualValues(t, callpolicy.LossyAttempts-1, s.Repeated)
	assert.EqualValues(t, 1, s.SettledByAnswer)
	assert.Equal(t, callpolicy.LossyTimeout, s.MinCallTimeout)
	settled := 0
	for _, d := range r.core.TakeDecisions() {
		if d.Event == "start-settled" {
			settled++
			assert.Contains(t, d.Reason, "by answer after ")
		}
	}
	assert.Equal(t, 1, settled)
}

// TestLossyWorkerGetsTasksLast: a worker that loses most of its calls gets tasks only if no other has
// capacity.
func TestLossyWorkerGetsTasksLast(t *testing.T) {
	r := newRig(t, 1)
	a, b := r.worker("a"), r.worker("b")
	r.answerHold(a, nil)
	r.answerHold(b, nil)
	for range 20 {
		r.core.recordCallOutcome(r.core.workers[a], Answer{Outcome: Unanswered}, r.now, r.now)
		for range 5 {
			r.core.recordCallOutcome(r.core.workers[b], Answer{Outcome: Accepted}, r.now, r.now)
		}
	}
	r.submit(1, 10)
	require.Len(t, r.out.Starts, 10)
	for i, s := range r.out.Starts {
		want := b
		if i >= 8 { // b is full
			want = a
		}
		assert.Equal(t, want, s.Worker, "start %d", i)
	}
}

// TestSilenceIsToleratedOnALossyLink: two lost holds in a row don't keep tasks from a worker while
// single calls are lost; they do otherwise. Its leases are not renewed meanwhile.
func TestSilenceIsToleratedOnALossyLink(t *testing.T) {
	for _, lossy := range []bool{true, false} {
		r := newRig(t, 1)
		a := r.worker("a")
		r.answerHold(a, nil)
		if lossy {
			for range 100 {
				r.core.callLossDetector.RecordAnswer()
				r.core.callLossDetector.RecordSingleLoss()
			}
			require.True(t, r.core.callLossDetector.Lossy())
		}
		for range 2 {
			r.tick(100 * time.Millisecond)
			r.failHold(a)
		}
		granted := r.core.workers[a].lease.grantedUntilMs
		r.submit(1, 1)
		if !lossy {
			assert.Empty(t, r.out.Starts)
			continue
		}
		require.Len(t, r.out.Starts, 1)
		assert.Equal(t, granted, r.out.Starts[0].LeaseUntilMs)
		r.tick(toleratedSilence)
		r.failHold(a)
		r.out.Starts = nil
		r.submit(2, 1)
		assert.Empty(t, r.out.Starts, "it has been silent for too long")
	}
}

// TestToleratedSilenceEnds: a worker whose start went unanswered while its hold is in flight gets no
// more tasks once the tolerated silence is over, without any further event.
func TestToleratedSilenceEnds(t *testing.T) {
	r := newRig(t, 1)
	a := r.worker("a")
	r.answerHold(a, nil)
	r.core.callLossDetector.RecordLatency(fastAnswer)
	for range 10 {
		r.core.callLossDetector.RecordSingleLoss()
	}
	require.True(t, r.core.callLossDetector.Lossy())
	r.tick(25 * time.Millisecond)
	r.submit(1, 1)
	require.Len(t, r.out.Starts, 1)
	r.now = r.now.Add(callpolicy.LossyTimeout)
	r.timeOut(r.out.Starts)
	r.out.Starts = nil
	require.True(t, r.core.isUsable(r.core.workers[a], r.now))
	assert.Equal(t, 1, r.core.pool("s").free.size())
	r.tick(toleratedSilence + 25*time.Millisecond)
	r.out.Starts = nil
	r.submit(2, 1)
	assert.Empty(t, r.out.Starts)
}
