package owner

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/job"
)

// The start window limits the starts that are ordered and have no outcome yet. Without it, urgent
// starts wait behind a thousand others in the daemon's first-in-first-out call queue, of which a
// daemon with little CPU sends 80 a second. A long-running task that a wave had moved was
// restarted only after 9.6 s although there was capacity; the promised time is 6 s.

// TestUrgentStartsDoNotQueueBehindOthers: only as many starts are ordered as can be sent, so
// that a long-running task is started before tasks that were ready long before it.
func TestUrgentStartsDoNotQueueBehindOthers(t *testing.T) {
	const window, workers, rounds = 16, 40, 3
	r := newRig(t, 1)
	r.core.startWindow = newStartWindow(window)
	for i := range workers {
		r.answerHold(r.worker(fmt.Sprintf("w%02d", i)), nil)
	}
	for n := range 20 {
		r.submit(1+n, 8)
	}
	assert.Len(t, r.out.Starts, window, "no more starts than fit into the window")
	longRunning := simpleJob(100, 8)
	longRunning.Steps[0].LongRunning = true
	r.core.Submit(longRunning, r.now)
	started := map[job.ID]int{}
	for range rounds {
		for _, s := range r.confirmStarts() {
			started[s.Task.Job]++
		}
		r.core.React(r.now)
		r.collectEffects()
	}
	assert.Equal(t, 8, started[longRunning.ID], "the long-running tasks are started next")
}

// TestAllWorkIsStarted: tasks that do not fit into the window are started as answers come,
// even if some starts are refused or were never sent.
func TestAllWorkIsStarted(t *testing.T) {
	const window, jobs, width = 4, 12, 8
	r := newRig(t, 1)
	r.core.startWindow = newStartWindow(window)
	var all []WorkerID
	for i := range 20 {
		w := r.worker(fmt.Sprintf("w%02d", i))
		r.answerHold(w, nil)
		all = append(all, w)
	}
	for n := range jobs {
		r.submit(1+n, width)
	}
	started := map[job.TaskID]bool{}
	for n := 0; n < 400 && len(started) < jobs*width; n++ {
		out := r.out.Starts
		r.out.Starts = nil
		for i, s := range out {
			a := Answer{Outcome: Accepted, ClockMs: r.clockMs()}
			switch {
			case n%5 == 1 && i == 0:
				a = Answer{Outcome: NotSent}
			case n%5 == 2 && i == 0:
				a = Answer{Outcome: NoCapacity, ClockMs: r.clockMs()}
			default:
				started[s.Task] = true
			}
			r.core.OnStartAnswer(s, a, r.now)
		}
		r.core.React(r.now)
		r.collectEffects()
		for _, w := range all {
			if r.core.workers[w].holdInFlight {
				active := slices.DeleteFunc(r.runsOn(w), func(a ActiveRun) bool { return !started[a.Task] })
				r.answerHold(w, active)
			}
		}
		r.tick(25 * time.Millisecond)
		require.LessOrEqual(t, len(r.out.Starts), window)
	}
	assert.Len(t, started, jobs*width)
}

// TestDemandCountsWhileTheStartWindowIsFull: tasks without capacity count as demand of their pool
// also while the start window is full. Otherwise no instance is moved to a full pool, and its
// tasks wait: two long-running tasks waited for 9.7 s.
func TestDemandCountsWhileTheStartWindowIsFull(t *testing.T) {
	r := newRig(t, 1)
	a := r.worker("a")
	r.answerHold(a, nil)
	r.submit(1, 8) // fills the worker
	require.Len(t, r.confirmStarts(), 8)
	r.core.startWindow = newStartWindow(1)
	r.core.startWindow.add(r.now)
	longRunning := simpleJob(2, 3)
	longRunning.Steps[0].LongRunning = true
	r.core.Submit(longRunning, r.now)
	r.core.React(r.now)
	assert.InDelta(t, 3, r.core.pool("s").waitingCores, 0.01, "cores")
}

// TestUnreachableWorkersDoNotBlockStarts: starts that a rack without power does not answer
// occupy the window for maxOutstandingAge, not until they time out.
func TestUnreachableWorkersDoNotBlockStarts(t *testing.T) {
	const window = 4
	r := newRig(t, 1)
	r.core.startWindow = newStartWindow(window)
	for i := range 10 {
		r.answerHold(r.worker(fmt.Sprintf("w%02d", i)), nil)
	}
	r.submit(1, 8)
	require.Len(t, r.out.Starts, window)
	r.tick(2 * maxOutstandingAge)
	assert.GreaterOrEqual(t, len(r.out.Starts), 2*window)
}

// TestExpectedLateness: with 160 tasks to start and 40 answers a second, a job with as much
// work as the others waits for four seconds, and one with less work is started immediately. The
// wait does not make a job late that has enough slack, is due later or runs until cancelled.
func TestExpectedLateness(t *testing.T) {
	const window, jobs, width, estimate = 4, 20, 8, time.Second
	r := newRig(t, 1)
	r.core.startWindow = newStartWindow(window)
	for i := range 40 {
		r.answerHold(r.worker(fmt.Sprintf("w%02d", i)), nil)
	}
	small := simpleJob(900, width)
	small.Steps[0].Estimate = estimate
	assert.Zero(t, r.core.ExpectedLateness(small, r.now), "no tasks are waiting")
	for n := range jobs {
		j := simpleJob(1+n, width)
		j.AcceptedAt = r.now
		j.Steps[0].Estimate = 10 * time.Second
		r.core.Submit(j, r.now)
	}
	r.core.React(r.now)
	r.collectEffects()
	answer := func() {
		out := r.out.Starts
		r.out.Starts = nil
		for _, s := range out[:min(1, len(out))] { // one per 25 ms
			r.core.OnStartAnswer(s, Answer{Outcome: Accepted, ClockMs: r.clockMs()}, r.now)
		}
		r.out.Starts = append(r.out.Starts, out[min(1, len(out)):]...)
		r.core.React(r.now)
		r.collectEffects()
		r.tick(25 * time.Millisecond)
	}
	for range 60 {
		answer()
	}
	r.out.Holds = nil
	assert.True(t, r.core.IsBacklogged(r.now))
	assert.Zero(t, r.core.ExpectedLateness(small, r.now), "it has less work than the others")

	large := simpleJob(901, width)
	large.Steps[0].Estimate = 10 * estimate
	large.Steps[0].Count = 2 * width
	wait := float64(jobs*width-60) / 40
	spare := 2*10.0 + 1 - 10 // factor and offset of the queue's objective, less the critical path
	assert.Zero(t, r.core.ExpectedLateness(large, r.now), "%.1f s to spare for a wait of %.1f s", spare, wait)

	r.core.catalog.Queues[0].ObjectiveFactor = 1
	assert.InDelta(t, wait-1, r.core.ExpectedLateness(large, r.now).Seconds(), 0.3*wait)
	longRunning, timed := *large, *large
	longRunning.Steps = []job.Step{{Count: 8, LongRunning: true}}
	timed.Repeat, timed.StartAt = 1, r.now.Add(time.Hour)
	assert.Zero(t, r.core.ExpectedLateness(&longRunning, r.now))
	assert.Zero(t, r.core.ExpectedLateness(&timed, r.now))
	for range jobs * width {
		answer()
	}
	assert.Zero(t, r.core.ExpectedLateness(large, r.now), "all tasks are started")
}
