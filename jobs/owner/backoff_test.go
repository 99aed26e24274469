package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/job"
)

// These tests guard against retries without backoff. Without it, a long-running task that fails
// immediately is restarted without a pause, a task that makes no progress on any worker is
// restarted every two seconds and each of its workers is avoided, a start that every worker rejects
// as invalid is sent every second, and a worker without capacity is tried ten times a second.

// answerStarts answers all collected starts, and returns them.
func (r *rig) answerStarts(a Answer) []Start {
	out := r.out.Starts
	r.out.Starts = nil
	a.ClockMs = r.clockMs()
	for _, s := range out {
		r.core.OnStartAnswer(s, a, r.now)
	}
	r.core.React(r.now)
	r.collectEffects()
	return out
}

// TestRepeatedFailuresBackOff simulates a minute of each failure.
func TestRepeatedFailuresBackOff(t *testing.T) {
	t.Run("a long-running task that fails at once", func(t *testing.T) {
		r := newRig(t, 1)
		r.addWorkers("w0", "w1", "w2")
		j := simpleJob(1, 1)
		j.Steps[0].LongRunning = true
		r.core.Submit(j, r.now)
		ends := map[WorkerID]uint64{}
		last, longest := r.now, time.Duration(0)
		starts := 0
		for range 60 * 40 {
			r.tick(25 * time.Millisecond)
			for _, s := range r.answerStarts(Answer{Outcome: Accepted}) {
				starts++
				longest, last = max(longest, r.now.Sub(last)), r.now
				ends[s.Worker]++
				r.answerHold(s.Worker, nil, RunEnd{Seq: ends[s.Worker], Task: s.Task, Run: s.Run, Kind: EndFailed})
			}
		}
		assert.LessOrEqual(t, starts, 60, "starts in a minute")
		assert.LessOrEqual(t, longest, 2500*time.Millisecond, "it has to be restarted within 3 s")
	})
	t.Run("a task that makes no progress on any worker", func(t *testing.T) {
		r := newRig(t, 1)
		r.addWorkers("w0", "w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8")
		r.submit(1, 1)
		running, stops, avoided := r.confirmStarts(), 0, 0
		ends := map[WorkerID]uint64{}
		for range 600 {
			r.answerHolds(100*time.Millisecond, running)
			for _, s := range r.out.Stops {
				stops++
				ends[s.Worker]++
				running = nil
				r.answerHold(s.Worker, nil, RunEnd{Seq: ends[s.Worker], Task: s.Task, Run: s.Run, Kind: EndStopped})
			}
			r.out.Stops = nil
			running = append(running, r.confirmStarts()...)
			for _, d := range r.core.TakeDecisions() {
				if d.Event == "worker-avoided" {
					avoided++
				}
			}
		}
		assert.Len(t, running, 1)
		assert.LessOrEqual(t, stops, 6, "stops in a minute")
		assert.LessOrEqual(t, avoided, 3, "the workers are not at fault")
	})
	t.Run("a start that every worker refuses as invalid", func(t *testing.T) {
		r := newRig(t, 1)
		r.addWorkers("w0", "w1", "w2")
		r.submit(1, 1)
		n := 0
		for range 600 {
			r.answerHolds(100*time.Millisecond, nil)
			n += len(r.answerStarts(Answer{Outcome: Invalid}))
		}
		assert.LessOrEqual(t, n, 12, "starts in a minute")
	})
	t.Run("rejected tickets", func(t *testing.T) {
		r := newRig(t, 1)
		r.core.catalog.Queues[0].Advisor = &job.AdvisorTiming{TicketValidity: 2 * time.Second}
		r.addWorkers("w0", "w1", "w2")
		r.submit(1, 1)
		n := 0
		for range 600 {
			r.answerHolds(100*time.Millisecond, nil)
			queries := r.out.AdviceQueries
			r.out.AdviceQueries = nil
			for _, q := range queries {
				a := Advice{}
				for _, w := range q.Workers {
					a.Permits = append(a.Permits, Permit{w, "t"})
				}
				r.core.OnAdvice(q, a, r.now)
			}
			r.core.React(r.now)
			r.collectEffects()
			n += len(r.answerStarts(Answer{Outcome: InvalidTicket}))
		}
		assert.Positive(t, n)
		assert.LessOrEqual(t, n, 80, "starts in a minute")
	})
	t.Run("a worker that refuses starts for lack of capacity", func(t *testing.T) {
		r := newRig(t, 1)
		r.addWorkers("w0")
		j := r.submit(1, 1)
		n := 0
		for range 600 {
			r.answerHolds(100*time.Millisecond, nil)
			n += len(r.answerStarts(Answer{Outcome: NoCapacity}))
		}
		assert.LessOrEqual(t, n, 70, "starts in a minute")
		r.answerHolds(2*time.Second, nil)
		require.Len(t, r.confirmStarts(), 1, "accepted once there is capacity")
		assert.Equal(t, job.Running, mustState(t, r, j))
	})
}

func mustState(t *testing.T, r *rig, j *job.Job) job.State {
	s, known := r.core.State(j.ID)
	require.True(t, known)
	return s
}
