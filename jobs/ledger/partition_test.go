package ledger

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestACutIsToldFromAnOutage: others have to be served promptly while this daemon is not.
func TestACutIsToldFromAnOutage(t *testing.T) {
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
	assert.Zero(t, c.duration(now), "the store may be away")
	call(300*time.Millisecond, c.relaySucceeded)
	call(150*time.Millisecond, c.directFailed)
	assert.Zero(t, c.duration(now), "it is slow for all")
	call(3*time.Millisecond, c.relaySucceeded)
	assert.Zero(t, c.duration(now), "it may just be back")
	call(150*time.Millisecond, c.directFailed)
	assert.Greater(t, c.duration(now), 3*time.Second)
	call(2*time.Millisecond, c.directFailed)
	assert.Zero(t, c.duration(now), "it was turned away, which is an answer")
}
