package health

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/postmount/postmount/requests/fleet"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func fail(c *OutlierDetector, id fleet.InstanceID, total int) (ejected bool) {
	for range DefaultOptions.ConsecutiveFailures {
		ejected = c.RecordFailure(t0, id, total)
	}
	return ejected
}

func TestProbesEjectedWorkerWithBackoff(t *testing.T) {
	c := New(DefaultOptions)
	assert.True(t, fail(c, "w", 4))
	usable, _ := c.Usable(t0, "w")
	assert.False(t, usable)
	at := t0.Add(DefaultOptions.InitialProbeInterval)
	usable, probe := c.Usable(at, "w")
	assert.True(t, usable && probe)
	c.RecordSent(at, "w")
	usable, _ = c.Usable(at, "w")
	assert.False(t, usable, "one probe at a time")
	c.RecordFailure(at, "w", 4)
	usable, _ = c.Usable(at.Add(DefaultOptions.InitialProbeInterval), "w")
	assert.False(t, usable, "the interval has doubled")
	assert.True(t, c.RecordSuccess("w"))
	usable, probe = c.Usable(at, "w")
	assert.True(t, usable && !probe)
}

func TestKeepsMinimumShareUsable(t *testing.T) {
	c := New(DefaultOptions)
	for i := range 10 {
		fail(c, fleet.InstanceID(fmt.Sprint("w", i)), 10)
	}
	assert.Equal(t, 5, c.Ejected())
}

// TestLatencyCountsUnansweredRequest: a worker that is new or was slow has no
// recent average. Until its first answer, the time for which a request has gone
// unanswered counts as its latency, so that it isn't sent more.
func TestLatencyCountsUnansweredRequest(t *testing.T) {
	c := New(DefaultOptions)
	assert.Zero(t, c.Latency(t0, "w"))
	c.RecordSent(t0, "w")
	assert.Equal(t, 50*time.Millisecond, c.Latency(t0.Add(50*time.Millisecond), "w"))
	answered := t0.Add(500 * time.Millisecond)
	c.ObserveLatency(answered, "w", 500*time.Millisecond)
	assert.Equal(t, 500*time.Millisecond, c.Latency(answered, "w"))
	later := answered.Add(latencyMaxAge + time.Millisecond)
	assert.Zero(t, c.Latency(later, "w"), "the average has expired, so the worker is tried again")
	c.RecordSent(later, "w")
	assert.Equal(t, time.Second, c.Latency(later.Add(time.Second), "w"))
}
