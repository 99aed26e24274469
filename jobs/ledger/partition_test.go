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
	var c partitionDetector
	call := func(took time.Duration, note func(began, now time.Time)) {
		began := now
		now = now.Add(took)
		note(began, now)
		now = now.Add(50 * time.Millisecond)
	}
	for range 5 {
		call(600*time.Millisecond, c.directFailed)
	}
	assert.Zero(t, c.duration(now), "the store may be down")
	call(300*time.Millisecond, c.relaySucceeded)
	call(150*time.Millisecond, c.directFailed)
	assert.Zero(t, c.duration(now), "the store is slow for all daemons")
	call(3*time.Millisecond, c.relaySucceeded)
	assert.Zero(t, c.duration(now), "the store may just have recovered")
	call(150*time.Millisecond, c.directFailed)
	assert.Greater(t, c.duration(now), 3*time.Second)
	call(2*time.Millisecond, c.directFailed)
	assert.Zero(t, c.duration(now), "an immediate refusal is an answer")
}
