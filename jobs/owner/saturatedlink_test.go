package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// These tests guard against an owner that takes its own saturated network link for worker
// failures. On a saturated link of 2 Mbit/s holds time out, and 30 to 45% of 132 workers seem
// silent at a time. These are too few for detectOverload, so the owner let 476 leases expire: more
// long-running tasks ended than their disruption budgets allow, and other tasks were started twice.

// saturatedLinkLatency is the latency of an order over a saturated link.
const saturatedLinkLatency = 300 * time.Millisecond

// startedSlowly confirms all starts sent so far with the latency of a saturated link.
func (r *rig) startedSlowly() []Start {
	out := r.out.Starts
	r.out.Starts = nil
	for _, s := range out {
		r.core.OnStartAnswer(s, Answer{Outcome: Accepted, ClockMs: r.clockMs(), Latency: saturatedLinkLatency}, r.now)
	}
	r.collectEffects()
	return out
}

// TestSaturatedLinkIsNotWorkerSilence checks that, while answers are slow and a third of the
// workers is silent, the leases of these are renewed and their tasks are not started again.
func TestSaturatedLinkIsNotWorkerSilence(t *testing.T) {
	const workers, silent = 30, 10
	r := newRig(t, 1)
	var all []WorkerID
	for i := range workers {
		w := r.worker(fmt.Sprintf("w%02d", i))
		r.answerHold(w, nil)
		all = append(all, w)
	}
	first := r.submit(1, 7*workers)
	require.Len(t, r.startedSlowly(), 7*workers)
	r.out.Holds = nil
	for n := range 60 { // 6 s
		for i, w := range all {
			switch {
			case !r.core.workers[w].holdInFlight:
			case i < silent:
				r.failHold(w)
			default:
				r.answerHold(w, r.runsOn(w))
			}
		}
		if n%5 == 0 { // short jobs run on the other workers
			r.submit(2+n, 1)
			for _, s := range r.startedSlowly() {
				require.NotEqual(t, first.ID, s.Task.Job, "tasks that may still run are not started again")
			}
		}
		r.tick(100 * time.Millisecond)
	}
	renewed := map[WorkerID]bool{}
	for _, h := range r.out.Holds {
		if h.LeaseUntilMs > r.clockMs()+(rigLease/2).Milliseconds() {
			renewed[h.Worker] = true
		}
	}
	for _, w := range all[:silent] {
		assert.True(t, renewed[w], "the lease of %s is renewed", w)
	}
}

// TestUnansweredStartsIndicateSaturatedLink checks that unanswered starts indicate a saturated
// link, too. If no answer arrives for some seconds, no slow answer shows that the link is saturated.
// Once the link was free again, holds did not renew the leases of workers that seemed silent,
// and up to 54 leases expired.
func TestUnansweredStartsIndicateSaturatedLink(t *testing.T) {
	const workers, silent = 30, 12
	r := newRig(t, 1)
	var all []WorkerID
	for i := range workers {
		w := r.worker(fmt.Sprintf("w%02d", i))
		r.answerHold(w, nil)
		all = append(all, w)
	}
	first := r.submit(1, 7*workers)
	require.Len(t, r.confirmStarts(), 7*workers)
	r.submit(2, 24) // in flight when the link becomes saturated
	lost := r.out.Starts
	r.out.Starts = nil
	r.tick(OrderTimeout)
	for _, s := range lost {
		r.core.OnStartAnswer(s, Answer{Outcome: Unanswered}, r.now)
	}
	for _, w := range all[:silent] {
		if r.core.workers[w].holdInFlight {
			r.failHold(w)
		}
	}
	r.out = Effects{}
	r.tick(holdRetryPause + 50*time.Millisecond)
	renewed := map[WorkerID]bool{}
	for _, h := range r.out.Holds {
		renewed[h.Worker] = h.LeaseUntilMs > r.clockMs()+(rigLease-holdRetryPause).Milliseconds()
	}
	for _, w := range all[:silent] {
		assert.True(t, renewed[w], "the lease of %s is renewed", w)
	}
	for _, s := range r.out.Starts {
		assert.NotEqual(t, first.ID, s.Task.Job)
	}
}

// TestSilenceOnFreeLinkEndsLeases checks that a silent worker's leases expire if other answers
// arrive without delay.
func TestSilenceOnFreeLinkEndsLeases(t *testing.T) {
	r := newRig(t, 1)
	a, b := r.worker("a"), r.worker("b")
	r.answerHold(a, nil)
	r.answerHold(b, nil)
	r.submit(1, 16)
	require.Len(t, r.confirmStarts(), 16)
	for range 80 { // 8 s
		if r.core.workers[a].holdInFlight {
			r.failHold(a)
		}
		if r.core.workers[b].holdInFlight {
			r.answerHold(b, r.runsOn(b))
		}
		r.tick(100 * time.Millisecond)
	}
	assert.Empty(t, r.core.workers[a].runs, "the lease has expired")
}
