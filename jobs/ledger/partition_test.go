package ledger

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestPartitionDetector checks that a partition is reported only if other daemons are served
// promptly while this one is not.
func TestPartitionDetector(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	var d partitionDetector
	call := func(took time.Duration, record func(began, now time.Time)) {
		began := now
		now = now.Add(took)
		record(began, now)
		now = now.Add(50 * time.Millisecond)
	}
	for range 5 {
		call(600*time.Millisecond, d.directFailed)
	}
	assert.Zero(t, d.duration(now), "the store may be down")
	call(300*time.Millisecond, d.relaySucceeded)
	call(150*time.Millisecond, d.directFailed)
	assert.Zero(t, d.duration(now), "the store is slow for all daemons")
	call(3*time.Millisecond, d.relaySucceeded)
	assert.Zero(t, d.duration(now), "the store may just have recovered")
	call(150*time.Millisecond, d.directFailed)
	assert.Greater(t, d.duration(now), 3*time.Second)
	call(2*time.Millisecond, d.directFailed)
	assert.Zero(t, d.duration(now), "an immediate refusal is an answer")
}
