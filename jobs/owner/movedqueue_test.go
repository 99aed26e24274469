package owner

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/job"
)

var movedQueueSeeds = flag.Int("movedqueue.seeds", 100, "seeds of TestMovedQueuesAtRandom")

// planMovedQueue plans jobs, moves of their queue among three services, changes of owner and cuts of workers for d.
func (s *restartSim) planMovedQueue(d time.Duration) {
	between := func(low, high time.Duration) time.Duration { return low + time.Duration(s.rnd.Int64N(int64(high-low))) }
	s.failing, s.shuffleWaits = 0.3, true
	services := []string{"s", "t", "u"}
	for n, w := range s.workers {
		w.service = services[n]
	}
	for range 4 + s.rnd.IntN(6) {
		longRunning, tasks, lasts := s.rnd.Float64() < 0.6, 1+s.rnd.IntN(3), between(time.Second, 6*time.Second)
		s.at(between(0, d/2), func() {
			if s.queueAt == "" {
				return // it is refused
			}
			j := simpleJob(len(s.order)+1, tasks)
			j.Service = s.queueAt
			j.Steps[0].LongRunning = longRunning
			j.Steps[0].Need.CPUMilli = 100
			s.submitJob(j, lasts)
		})
	}
	for at := between(0, 2*time.Second); at < d; at += between(200*time.Millisecond, 4*time.Second) {
		to := append(services, "")[s.rnd.IntN(4)]
		s.at(at, func() { s.moveQueue(to) })
	}
	for at := between(time.Second, 4*time.Second); at < d; at += between(3*time.Second, 8*time.Second) {
		s.at(at, s.killOwner)
		for _, w := range s.workers {
			if s.rnd.Float64() < 0.4 {
				s.at(at+between(0, 2*time.Second), func() { s.cut(w, between(100*time.Millisecond, 8*time.Second)) })
			}
		}
	}
}

// TestMovedQueuesAtRandom guards against tasks that run twice after a change of owner, as the next one does not ask, or
// wait for, all services on whose workers they may run.
func TestMovedQueuesAtRandom(t *testing.T) {
	const d = 40 * time.Second
	for seed := range *movedQueueSeeds {
		t.Run(fmt.Sprint("seed ", seed+1), func(t *testing.T) {
			s := newRestartSim(uint64(seed + 1))
			s.planMovedQueue(d)
			s.runUntil(time.Hour, d)
			s.requireOnce(t)
		})
	}
}

// TestTaskThatLastsAfterItsQueueWasMovedAndTheOwnerKilled guards against tasks that last and run twice: their queue was
// removed and added again at another service, one of them failed and was started there, and the workers of the first service
// answer the next owner later than those of the other.
func TestTaskThatLastsAfterItsQueueWasMovedAndTheOwnerKilled(t *testing.T) {
	s := newRestartSim(1)
	s.workers[1].service, s.workers[2].service = "t", "t"
	j := simpleJob(1, 4)
	j.Steps[0].LongRunning = true
	s.at(time.Second, func() { s.submitJob(j, 60*time.Second) })
	s.at(2*time.Second, func() { s.moveQueue("") })
	s.at(5*time.Second, func() { s.moveQueue("t") })
	s.at(6*time.Second, func() { s.workers[0].inc.runs[0].end(EndFailed) })
	s.at(8*time.Second, s.killOwner)
	s.at(8100*time.Millisecond, func() { s.cut(s.workers[0], 2500*time.Millisecond) })
	s.runUntil(time.Hour, 20*time.Second)
	s.requireOnce(t)
	for n := range 4 {
		require.Len(t, s.judge.active[job.TaskID{Job: j.ID, Index: n}], 1)
	}
	assert.Len(t, s.workers[0].inc.runs, 3)
}
