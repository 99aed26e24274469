package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/ledger"
	"github.com/postmount/postmount/jobs/owner"
)

// answerAll registers workers 0 to n-1, which then answer the first owner for the first time.
func answerAll(c *owner.Core, n int, now time.Time) {
	var regs []owner.Registration
	for i := range n {
		regs = append(regs, owner.Registration{Worker: owner.WorkerID(fmt.Sprintf("w-%d", i)), Service: "s", StartedMs: 7})
	}
	c.SetRegistrations(regs, now)
	for _, r := range regs {
		c.OnHoldAnswer(owner.Target{Worker: r.Worker, StartedMs: 7}, owner.HoldAnswer{Answer: owner.Answer{Outcome: owner.Accepted, ClockMs: 1}, StartedMs: 7}, now)
	}
}

// TestSettledRecordIsWrittenWithOtherTransactions: changed shards wait for a transaction that is made anyway, a few
// in each and each at most once in settledInterval. Without one they are written after that time.
func TestSettledRecordIsWrittenWithOtherTransactions(t *testing.T) {
	_, r := newTestTerm(t, 1)
	now := time.Now()
	r.core = owner.New(owner.Options{Term: 1}, &job.Catalog{}, nil, now)
	take := func(at time.Time) []ledger.Put {
		before := len(r.pendingPuts)
		r.takeSettled(at)
		return r.pendingPuts[before:]
	}
	answerAll(r.core, 200, now)
	assert.Empty(t, take(now), "nothing else is to be written")
	assert.Empty(t, take(now.Add(settledInterval-time.Millisecond)))
	written := map[string]bool{}
	for n := 1; n <= owner.SettledShards/maxSettledPuts; n++ {
		for _, p := range take(now.Add(settledInterval)) {
			written[p.Key] = true
		}
		assert.Len(t, written, n*maxSettledPuts)
		r.pendingPuts = nil
	}
	assert.Len(t, written, owner.SettledShards)
	r.pendingPuts = []ledger.Put{{Key: "status/1"}}
	answerAll(r.core, 400, now.Add(settledInterval))
	assert.Empty(t, take(now.Add(2*settledInterval-time.Millisecond)), "all shards were just written")
	assert.Len(t, take(now.Add(2*settledInterval)), maxSettledPuts, "with another transaction")
	assert.NotContains(t, take(now.Add(2*settledInterval)), r.pendingPuts[1], "it is pending")
	r.takeAllSettled(now.Add(2 * settledInterval))
	assert.Empty(t, r.core.ChangedSettledShards(now.Add(time.Hour)))
}

// TestSettledShardBeyondTheLargestValueIsNotWritten: the store would reject the transaction.
func TestSettledShardBeyondTheLargestValueIsNotWritten(t *testing.T) {
	n, r := newTestTerm(t, 1)
	n.settings.MaxValueBytes = 50
	now := time.Now()
	r.core = owner.New(owner.Options{Term: 1}, &job.Catalog{}, nil, now)
	answerAll(r.core, 200, now)
	r.takeAllSettled(now)
	assert.Empty(t, r.pendingPuts)
	assert.Empty(t, r.core.ChangedSettledShards(now.Add(time.Hour)), "it is tried again after the next change")
}
