package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/job"
)

// setIncarnation registers a worker with a start time.
func (r *rig) setIncarnation(id WorkerID, startedMs int64) Target {
	for n := range r.regs {
		if r.regs[n].Worker == id {
			r.regs[n].StartedMs = startedMs
		}
	}
	r.publishLists()
	return Target{Worker: id, StartedMs: startedMs}
}

// answerHoldAs answers a hold of target with the run list of the incarnation started at startedMs.
func (r *rig) answerHoldAs(target Target, startedMs int64, active []ActiveRun, ends ...RunEnd) {
	r.core.OnHoldAnswer(target, HoldAnswer{Answer: Answer{Outcome: Accepted, ClockMs: r.clockMs()}, StartedMs: startedMs, Active: active, Ends: ends}, r.now)
	r.core.React(r.now)
	r.collectEffects()
}

// TestNewIncarnationStartsCountersOver: the numbers of run ends and the clock of a new incarnation
// start over. Tasks that ran on the past one are started again once the new one has sent its run
// list.
func TestNewIncarnationStartsCountersOver(t *testing.T) {
	r := newRig(t, 1)
	a := r.worker("a")
	first := r.setIncarnation(a, 500)
	r.answerHoldAs(first, 500, nil)
	j := r.submit(1, 1)
	starts := r.confirmStarts()
	require.Len(t, starts, 1)
	r.answerHoldAs(first, 500, nil, RunEnd{Seq: 90, Task: starts[0].Task, Run: starts[0].Run, Kind: EndFailed})
	r.tick(100 * time.Millisecond)
	starts = r.confirmStarts()
	require.Len(t, starts, 1, "the task failed and is retried")

	r.tick(100 * time.Millisecond)
	second := r.setIncarnation(a, 700)
	r.tick(100 * time.Millisecond)
	assert.Empty(t, r.out.Starts, "the new incarnation has not listed its runs yet")
	r.answerHoldAs(second, 700, nil)
	r.tick(maxAttributionTime)
	starts = r.confirmStarts()
	require.Len(t, starts, 1, "the run ended with the past incarnation")
	assert.Equal(t, int64(700), starts[0].StartedMs)
	r.answerHoldAs(second, 700, nil, RunEnd{Seq: 1, Task: starts[0].Task, Run: starts[0].Run, Kind: EndDone})
	assert.Equal(t, job.Completed, r.core.jobs[j.ID].state, "an end with a lower number than the last one of the past incarnation counts")
}

// TestLateMessagesOfPastIncarnationAreIgnored: late answers to holds and starts, and late
// registrations, change nothing.
func TestLateMessagesOfPastIncarnationAreIgnored(t *testing.T) {
	r := newRig(t, 1)
	a := r.worker("a")
	first := r.setIncarnation(a, 500)
	r.answerHoldAs(first, 500, nil)
	second := r.setIncarnation(a, 700)
	r.answerHoldAs(second, 700, nil)
	r.submit(1, 1)
	starts := r.confirmStarts()
	require.Len(t, starts, 1)
	running := []ActiveRun{{Task: starts[0].Task, Run: starts[0].Run, Percent: 10}}
	r.answerHoldAs(second, 700, running)

	clock := r.core.workers[a].lease.clockMs
	r.answerHoldAs(first, 500, nil, RunEnd{Seq: 3, Task: starts[0].Task, Run: starts[0].Run, Kind: EndDone})
	r.answerHoldAs(second, 500, nil)
	r.core.OnStartAnswer(Start{Target: first, Task: starts[0].Task, Run: starts[0].Run}, Answer{Outcome: Accepted, ClockMs: 9 * rigClockMs}, r.now)
	r.setIncarnation(a, 500)
	r.tick(time.Second)
	w := r.core.workers[a]
	assert.Equal(t, int64(700), w.StartedMs)
	assert.Equal(t, clock, w.lease.clockMs)
	assert.Len(t, w.runs, 1)
	assert.Empty(t, r.out.Starts)
}

// TestIncarnationWithEarlierStartTime: the worker's system clock was set back, so that its new
// incarnation has the earlier start time.
func TestIncarnationWithEarlierStartTime(t *testing.T) {
	r := newRig(t, 1)
	a := r.worker("a")
	first := r.setIncarnation(a, 500)
	r.answerHoldAs(first, 500, nil)
	r.submit(1, 1)
	require.Len(t, r.confirmStarts(), 1)
	r.tick(100 * time.Millisecond)
	r.answerHoldAs(first, 300, nil) // the run list arrives before the registration
	assert.Equal(t, int64(300), r.core.workers[a].StartedMs)
	r.setIncarnation(a, 500) // registration of the past incarnation
	assert.Equal(t, int64(300), r.core.workers[a].StartedMs)
	second := r.setIncarnation(a, 300)
	r.tick(tokenRetryPause)
	r.answerHoldAs(second, 300, nil)
	r.tick(maxAttributionTime)
	assert.Len(t, r.confirmStarts(), 1)
}

// TestCrashCountsAfterARestart: tasks that may have crashed the worker's past incarnation remain
// suspects when the worker answers again after a restart.
func TestCrashCountsAfterARestart(t *testing.T) {
	r := newRig(t, 1)
	r.addWorkers("b", "c", "d")
	a := r.worker("a")
	r.answerHoldAs(r.setIncarnation(a, 500), 500, nil)
	for _, id := range []WorkerID{"b", "c", "d"} {
		r.core.workers[id].avoidUntil = r.now.Add(time.Hour)
		r.core.markWorkerChanged(r.core.workers[id])
	}
	j := r.submit(1, 1)
	starts := r.confirmStarts()
	require.Len(t, starts, 1)
	require.Equal(t, a, starts[0].Worker)
	r.failConnection(a)
	r.answerHoldAs(r.setIncarnation(a, 700), 700, nil)
	r.answerHolds(time.Second, nil, a)
	task := r.core.jobs[j.ID].steps[0].tasks[0]
	assert.Equal(t, 1, task.crashes.Confirmed())
}

// TestInstanceListLagsBehindARestart: the list shows an instance as down that has been
// restarted since.
func TestInstanceListLagsBehindARestart(t *testing.T) {
	r := newRig(t, 1)
	a := r.worker("a")
	r.answerHoldAs(r.setIncarnation(a, 500), 500, nil)
	second := r.setIncarnation(a, 700)
	r.answerHoldAs(second, 700, nil)
	r.submit(1, 1)
	require.Len(t, r.confirmStarts(), 1)
	r.inst[0].State = InstanceDown
	r.publishLists()
	assert.False(t, r.core.workers[a].ended)
	assert.Len(t, r.core.workers[a].runs, 1)
}

// TestNewIncarnationThatNeverAnswers: a run that may have been started there counts as ended
// after the longest lease that a worker grants, from the latest time at which it may have been started.
func TestNewIncarnationThatNeverAnswers(t *testing.T) {
	r := newRig(t, 1)
	r.core.opt.MaxWorkerLease = 2 * rigLease
	a, b := r.worker("a"), r.worker("b")
	first := r.setIncarnation(a, 500)
	r.answerHoldAs(first, 500, nil)
	r.submit(1, 1)
	require.Len(t, r.confirmStarts(), 1)
	second := r.setIncarnation(a, 700)
	r.answerHold(b, nil)
	wait := func(d time.Duration) {
		for range d / (100 * time.Millisecond) {
			r.core.OnHoldAnswer(second, HoldAnswer{Answer: Answer{Outcome: Unanswered}}, r.now)
			r.answerHold(b, nil)
			r.tick(100 * time.Millisecond)
		}
	}
	wait(maxOrderDelay + 2*rigLease)
	assert.Empty(t, r.out.Starts)
	wait(time.Second)
	assert.Len(t, r.confirmStarts(), 1)
}

// TestIncarnationNamesRoundTrip: incarnations named in job records are parsed back.
func TestIncarnationNamesRoundTrip(t *testing.T) {
	for _, l := range []incarnation{{"w", 0}, {"w", 1791938426002}, {"a@b", 0}, {"a@b", 7}} {
		assert.Equal(t, l, parseIncarnation(l.String()))
	}
}

// lastHold returns the latest hold of the worker.
func (r *rig) lastHold(id WorkerID) Hold {
	for i := len(r.out.Holds) - 1; i >= 0; i-- {
		if r.out.Holds[i].Worker == id {
			return r.out.Holds[i]
		}
	}
	r.t.Fatalf("no hold of %s", id)
	return Hold{}
}

// answerLastHold answers the worker's latest hold as the incarnation started at startedMs.
func (r *rig) answerLastHold(id WorkerID, startedMs int64, active []ActiveRun, ends ...RunEnd) {
	r.answerHoldAs(r.lastHold(id).Target, startedMs, active, ends...)
}

// TestIncarnationsHaveTheirOwnFencingTokens guards against tasks that run twice: a worker that had
// restarted under its ID executed orders that were meant for its past incarnation.
func TestIncarnationsHaveTheirOwnFencingTokens(t *testing.T) {
	r := newRig(t, 3)
	a := r.worker("a")
	r.setIncarnation(a, 500)
	token := r.lastHold(a).Token
	assert.EqualValues(t, 3, token)
	for _, startedMs := range []int64{500, 700, 600} {
		r.answerLastHold(a, startedMs, nil)
		r.tick(tokenRetryPause)
		hold := r.lastHold(a)
		assert.Equal(t, startedMs, hold.StartedMs)
		if startedMs != 500 {
			assert.Greater(t, hold.Token, token)
		}
		token = hold.Token
	}
	next, _ := r.core.TermToReserve()
	assert.Less(t, token, next, "the next owner has a higher token")
}

// TestNoOrdersWithoutAReservedToken: a worker's new incarnation gets no orders until a fencing token of
// its own is reserved in the store, above which the next owner begins.
func TestNoOrdersWithoutAReservedToken(t *testing.T) {
	r := newRig(t, 3)
	a := r.worker("a")
	r.setIncarnation(a, 500)
	r.answerLastHold(a, 500, nil)
	r.out.Holds = nil
	r.core.startIncarnation(r.core.workers[a], 700, "it restarted", r.now)
	holds := func() []Hold {
		r.core.Tick(r.now)
		return r.core.TakeEffects().Holds
	}
	assert.Empty(t, holds())
	term, needed := r.core.TermToReserve()
	require.True(t, needed)
	r.core.OnTermReserved(term)
	r.now = r.now.Add(tokenRetryPause)
	sent := holds()
	require.Len(t, sent, 1)
	assert.Equal(t, term, sent[0].Token)
}

// TestRemovedWorkerKeepsItsFencingToken: a worker that was removed and registers again, as the same
// incarnation or as the next one, is not called with a lower token than before.
func TestRemovedWorkerKeepsItsFencingToken(t *testing.T) {
	for name, row := range map[string]struct {
		startedMs int64
		raised    uint64
	}{
		"same incarnation": {startedMs: 700},
		"next incarnation": {startedMs: 900, raised: 1},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 3)
			a := r.worker("a")
			r.setIncarnation(a, 500)
			r.answerLastHold(a, 500, nil)
			r.answerLastHold(a, 700, nil)
			r.tick(tokenRetryPause)
			token := r.lastHold(a).Token
			r.core.removeWorker(a, r.now)
			r.out.Holds = nil
			r.setIncarnation(a, 500)
			assert.Empty(t, r.out.Holds, "the registration is outdated")
			r.setIncarnation(a, row.startedMs)
			r.tick(tokenRetryPause)
			hold := r.lastHold(a)
			assert.Equal(t, row.startedMs, hold.StartedMs)
			assert.Equal(t, token+row.raised, hold.Token)
		})
	}
}

// TestRunListOfALateHoldIsNotUsed guards against tasks that run twice: the new incarnation answered a
// hold for the past one without a run whose first start was still on its way.
func TestRunListOfALateHoldIsNotUsed(t *testing.T) {
	r := newRig(t, 1)
	a := r.worker("a")
	first := r.setIncarnation(a, 500)
	r.answerHoldAs(first, 500, nil)
	r.submit(1, 1)
	require.Len(t, r.out.Starts, 1)
	start := r.out.Starts[0]
	r.core.OnStartAnswer(start, Answer{Outcome: Unanswered}, r.now)
	r.core.OnStartAnswer(start, Answer{Outcome: Accepted, ClockMs: r.clockMs()}, r.now) // the repeat
	r.collectEffects()
	r.out.Starts = nil
	r.tick(100 * time.Millisecond)
	r.answerHoldAs(first, 500, []ActiveRun{{Task: start.Task, Run: start.Run}})
	r.tick(100 * time.Millisecond)
	b := r.worker("b")
	r.answerHold(b, nil)

	r.answerHoldAs(first, 700, nil)
	r.tick(maxAttributionTime)
	assert.Empty(t, r.out.Starts, "the start may be executed until the new incarnation has executed an order of its own")
	r.answerLastHold(a, 700, []ActiveRun{{Task: start.Task, Run: start.Run, Percent: 5}})
	r.tick(time.Second)
	assert.Empty(t, r.out.Starts)
	assert.Len(t, r.core.workers[a].runs, 1)
}

// TestAcknowledgementsActOnArrival guards against tasks that run twice: a hold that waited at a restarted
// worker acknowledged run ends by the numbers of the past incarnation, so that they were never listed.
func TestAcknowledgementsActOnArrival(t *testing.T) {
	r := newRig(t, 1)
	a := r.worker("a")
	first := r.setIncarnation(a, 500)
	r.answerHoldAs(first, 500, nil)
	r.submit(1, 2)
	starts := r.confirmStarts()
	require.Len(t, starts, 2)
	running := []ActiveRun{{Task: starts[1].Task, Run: starts[1].Run}}
	r.answerHoldAs(first, 500, running, RunEnd{Seq: 1, Task: starts[0].Task, Run: starts[0].Run, Kind: EndDone})
	for _, rec := range r.core.PendingRecords(10) {
		r.core.OnCommitted([]Record{rec}, r.now)
	}
	r.tick(ackRetryPause)
	ack := r.lastHold(a)
	assert.EqualValues(t, 1, ack.AckThrough)
	assert.Zero(t, ack.Wait)
	r.answerHoldAs(ack.Target, 500, running)
	r.tick(0)
	next := r.lastHold(a)
	assert.Zero(t, next.AckThrough, "it was acknowledged")
	assert.Positive(t, next.Wait)
}

// TestLeaseOfThePastIncarnationCounts guards against tasks that run twice: a restarted worker had
// taken the end of its lease from an order for its past incarnation, on whose clock it lay much later.
func TestLeaseOfThePastIncarnationCounts(t *testing.T) {
	r := newRig(t, 1)
	r.core.opt.MaxWorkerLease = 10 * time.Second
	a := r.worker("a")
	first := r.setIncarnation(a, 500)
	r.answerHoldAs(first, 500, nil)
	r.answerHoldAs(first, 700, nil)
	r.tick(tokenRetryPause)
	r.answerLastHold(a, 700, nil)
	answeredAt := r.now
	r.setIncarnation(a, 700)
	r.submit(1, 1)
	starts := r.confirmStarts()
	require.Len(t, starts, 1)
	require.Equal(t, a, starts[0].Worker)
	r.answerLastHold(a, 700, []ActiveRun{{Task: starts[0].Task, Run: starts[0].Run}})
	b := r.worker("b")
	wait := func(until time.Time) {
		for r.now.Before(until) {
			r.core.OnHoldAnswer(r.lastHold(a).Target, HoldAnswer{Answer: Answer{Outcome: Unanswered}}, r.now)
			r.answerHold(b, nil)
			r.tick(100 * time.Millisecond)
		}
	}
	wait(answeredAt.Add(10 * time.Second))
	assert.Empty(t, r.out.Starts, "the worker may still run the task")
	wait(answeredAt.Add(11 * time.Second))
	assert.Len(t, r.confirmStarts(), 1)
}

// TestUnlistedRunOfASilentWorkerIsKept guards against tasks that run twice: a start was executed by a next
// incarnation that the owner had not heard of, with the longest lease, before the worker was cut off.
func TestUnlistedRunOfASilentWorkerIsKept(t *testing.T) {
	accepted, unanswered := Answer{Outcome: Accepted, ClockMs: rigClockMs}, Answer{Outcome: Unanswered}
	for name, answers := range map[string][]Answer{
		"accepted":                        {accepted},
		"unanswered":                      {unanswered},
		"listed, of two starts, one lost": {unanswered, accepted},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 1)
			r.core.opt.MaxWorkerLease = 10 * time.Second
			a := r.worker("a")
			first := r.setIncarnation(a, 500)
			r.answerHoldAs(first, 500, nil)
			listed, unlisted := r.submit(1, 1), r.submit(2, 1)
			require.Len(t, r.out.Starts, 2)
			starts := r.out.Starts
			r.out.Starts = nil
			r.core.OnStartAnswer(starts[0], Answer{Outcome: Accepted, ClockMs: rigClockMs}, r.now)
			r.answerHoldAs(first, 500, []ActiveRun{{Task: starts[0].Task, Run: starts[0].Run}})
			for _, a := range answers {
				r.core.OnStartAnswer(starts[1], a, r.now)
			}
			if len(answers) > 1 {
				r.answerHoldAs(first, 500, []ActiveRun{{Task: starts[0].Task, Run: starts[0].Run}, {Task: starts[1].Task, Run: starts[1].Run}})
			}
			r.collectEffects()
			sentAt := r.now
			r.out.Starts = nil
			b := r.worker("b")
			var onB []ActiveRun
			startedUntil := func(until time.Time) (out []job.ID) {
				for r.now.Before(until) {
					if r.core.workers[a].holdInFlight {
						r.core.OnHoldAnswer(r.lastHold(a).Target, HoldAnswer{Answer: Answer{Outcome: Unanswered}}, r.now)
					}
					r.answerHold(b, onB)
					r.tick(100 * time.Millisecond)
					for _, s := range r.confirmStarts() {
						out = append(out, s.Task.Job)
						onB = append(onB, ActiveRun{Task: s.Task, Run: s.Run})
					}
				}
				return out
			}
			assert.Equal(t, []job.ID{listed.ID}, startedUntil(sentAt.Add(rigLease+maxAttributionTime)))
			assert.Zero(t, r.lastHold(a).LeaseUntilMs, "a silent worker gets no lease")
			assert.Empty(t, startedUntil(sentAt.Add(maxOrderDelay+10*time.Second)))
			assert.Equal(t, []job.ID{unlisted.ID}, startedUntil(sentAt.Add(maxOrderDelay+12*time.Second)))
		})
	}
}

// TestNoStopWithoutAReservedToken guards against a healthy owner that ends its term: it sent a stop without
// a fencing token to a restarted worker, which had seen the past incarnation's token and refused it.
func TestNoStopWithoutAReservedToken(t *testing.T) {
	r := newRig(t, 1)
	a := r.worker("a")
	first := r.setIncarnation(a, 500)
	r.answerHoldAs(first, 500, nil)
	j := r.submit(1, 1)
	start := r.confirmStarts()[0]
	r.answerHoldAs(first, 500, []ActiveRun{{Task: start.Task, Run: start.Run, Percent: 10}})
	r.core.startIncarnation(r.core.workers[a], 700, "it restarted", r.now)
	r.core.Cancel(j.ID, r.now)
	stops := func(d time.Duration) (out []Stop) {
		for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(25 * time.Millisecond) {
			r.core.Tick(r.now)
			out = append(out, r.core.TakeEffects().Stops...)
		}
		return out
	}
	assert.Empty(t, stops(2*time.Second), "no token is reserved")
	r.reserveTokens()
	sent := stops(2 * time.Second)
	require.NotEmpty(t, sent)
	assert.Positive(t, sent[0].Token)
}

// TestRunsOfAWorkerWithoutATokenAreReleased guards against tasks that are never started again: their worker
// restarted while the store was away, and no fencing token was reserved for its new incarnation.
func TestRunsOfAWorkerWithoutATokenAreReleased(t *testing.T) {
	r := newRig(t, 1)
	a := r.worker("a")
	first := r.setIncarnation(a, 500)
	r.answerHoldAs(first, 500, nil)
	r.submit(1, 1)
	start := r.confirmStarts()[0]
	r.answerHoldAs(first, 500, []ActiveRun{{Task: start.Task, Run: start.Run, Percent: 10}})
	b := r.worker("b")
	r.answerHold(b, nil)
	restartedAt := r.now
	r.core.startIncarnation(r.core.workers[a], 700, "it restarted", r.now)
	for r.now.Before(restartedAt.Add(maxOrderDelay + 2*rigLease)) {
		r.now = r.now.Add(100 * time.Millisecond)
		r.core.OnHoldAnswer(Target{Worker: b}, HoldAnswer{Answer: Answer{Outcome: Accepted, ClockMs: r.clockMs()}}, r.now)
		r.core.Tick(r.now)
		e := r.core.TakeEffects()
		if len(e.Starts) > 0 {
			assert.Equal(t, b, e.Starts[0].Worker)
			return
		}
	}
	t.Error("the task was not started again")
}

// BenchmarkRemovals removes a fleet of the size that postmount is designed for, all at once: the owner's loop must
// not stand still meanwhile.
func BenchmarkRemovals(b *testing.B) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	var regs []Registration
	for i := range 13_000 {
		regs = append(regs, Registration{Worker: WorkerID(fmt.Sprintf("w-%05d", i)), Service: "s", Addr: "a", StartedMs: 5})
	}
	for b.Loop() {
		b.StopTimer()
		c := New(Options{Term: 1, TaskLease: rigLease, StatusRetention: time.Minute}, nil, nil, now)
		c.SetRegistrations(regs, now)
		for _, w := range c.workers {
			w.ended, w.registered = true, false
			c.endedWorkers.put(w, true)
		}
		b.StartTimer()
		c.expireLeases(now)
	}
}

// TestNoAcknowledgementBesideAnUnlistedRun guards against tasks that run twice: a worker had restarted unnoticed and
// run a task to its end, which the next hold acknowledged by the number of an end of the past incarnation.
func TestNoAcknowledgementBesideAnUnlistedRun(t *testing.T) {
	r := newRig(t, 1)
	a := r.worker("a")
	first := r.setIncarnation(a, 500)
	r.answerHoldAs(first, 500, nil)
	r.submit(1, 1)
	starts := r.confirmStarts()
	require.Len(t, starts, 1)
	r.answerHoldAs(first, 500, nil, RunEnd{Seq: 1, Task: starts[0].Task, Run: starts[0].Run, Kind: EndDone})
	r.submit(2, 1)
	more := r.confirmStarts()
	require.Len(t, more, 1)
	for _, rec := range r.core.PendingRecords(10) {
		r.core.OnCommitted([]Record{rec}, r.now)
	}
	r.tick(ackRetryPause)
	hold := r.lastHold(a)
	assert.Zero(t, hold.AckThrough)
	assert.Zero(t, hold.Wait)
	r.answerHoldAs(hold.Target, 500, []ActiveRun{{Task: more[0].Task, Run: more[0].Run}})
	r.tick(0)
	assert.EqualValues(t, 1, r.lastHold(a).AckThrough)
}
