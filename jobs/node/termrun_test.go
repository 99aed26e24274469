package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/postmount/postmount/jobs/owner"
)

// TestQueuedEventsGetTheirOwnTime: an event must not be applied with a time before its arrival. The
// end of a worker's lease is computed from that time, so the lease would count as expired too early,
// and its tasks could start elsewhere while they still run. When queued events shared the time at
// which the first of them was taken, an owner with 0.2 cores dated a worker's answer 235 ms too
// early, more than the margin of 150 ms.
func TestQueuedEventsGetTheirOwnTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		run := &termRun{n: &Node{clock: &fakeClock{}}, events: make(chan event, eventQueueLen), ctx: t.Context()}
		appliedAt := make(chan time.Time, 1)
		var arrived time.Time
		slow := func(*owner.Core, time.Time) { time.Sleep(time.Second) } // waits for the CPU
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

// TestAbandonedQueryIsSkipped: an owner must not answer queries whose callers have given up and
// ask again. A count goes over all open jobs, so an owner short of CPU would get more work the
// further it falls behind.
func TestAbandonedQueryIsSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		run := &termRun{n: &Node{clock: &fakeClock{}}, events: make(chan event, 1), ctx: ctx}
		answered := 0
		query := func(*owner.Core) int { answered++; return 1 }
		began := time.Now()
		for range 2 { // the queue is full for the second
			_, ok := queryCore(run, query)
			assert.False(t, ok)
		}
		assert.Equal(t, 2*peerTimeout, time.Since(began))
		run.applyQueued()
		assert.Zero(t, answered)
	})
}
