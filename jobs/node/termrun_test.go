package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/postmount/postmount/jobs/owner"
)

// TestQueuedEventsGetTheirOwnTime: an event is not given a time at which it had not come
// yet. Seen: an owner with a fifth of a core gave a worker's answer a time 235 ms before
// it was received. How: events that wait share the time at which the first of them was
// taken, and others come while these are worked off. Cause: the end of a worker's lease
// is reckoned from that time, so that the lease counts as over sooner than it is, by more
// than the slack of 150 ms; its tasks may start elsewhere while they run. Proved by a log
// of each answer with the times at which it was received and which it was given.
func TestQueuedEventsGetTheirOwnTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		run := &termRun{n: &Node{clock: &fakeClock{}}, events: make(chan event, eventQueueLen), ctx: t.Context()}
		appliedAt := make(chan time.Time, 1)
		var arrived time.Time
		slow := func(*owner.Core, time.Time) { time.Sleep(time.Second) } // waits for the processor
		run.enqueue(slow)
		run.enqueue(slow)
		go func() {
			time.Sleep(500 * time.Millisecond)
			arrived = time.Now()
			run.enqueue(func(_ *owner.Core, now time.Time) { appliedAt <- now })
		}()
		run.applyQueued()
		assert.False(t, (<-appliedAt).Before(arrived))
	})
}

// TestAbandonedQueryIsSkipped: an owner that is short of processor time
// answered questions after those who asked had given up, and asked again. A count goes over
// all open jobs, so that the work grew as the owner fell behind.
func TestAbandonedQueryIsSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		run := &termRun{n: &Node{clock: &fakeClock{}}, events: make(chan event, 1), ctx: ctx}
		answered := 0
		question := func(*owner.Core) int { answered++; return 1 }
		began := time.Now()
		for range 2 { // the second finds the queue full
			_, ok := queryCore(run, question)
			assert.False(t, ok)
		}
		assert.Equal(t, 2*peerTimeout, time.Since(began))
		run.applyQueued()
		assert.Zero(t, answered)
	})
}
