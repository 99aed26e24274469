package health

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/postmount/postmount/requests/fleet"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func fail(d *OutlierDetector, id fleet.InstanceID, total int) (ejected bool) {
	for range DefaultOptions.ConsecutiveFailures {
		ejected = d.RecordFailure(t0, id, total)
	}
	return ejected
}

func TestProbesEjectedWorkerWithBackoff(t *testing.T) {
	d := New(DefaultOptions)
	assert.True(t, fail(d, "w", 4))
	usable, _ := d.Usable(t0, "w")
	assert.False(t, usable)
	at := t0.Add(DefaultOptions.InitialProbeInterval)
	usable, probe := d.Usable(at, "w")
	assert.True(t, usable && probe)
	d.RecordSent(at, "w")
	usable, _ = d.Usable(at, "w")
	assert.False(t, usable, "one probe at a time")
	d.RecordFailure(at, "w", 4)
	usable, _ = d.Usable(at.Add(DefaultOptions.InitialProbeInterval), "w")
	assert.False(t, usable, "the interval has doubled")
	assert.True(t, d.RecordSuccess("w"))
	usable, probe = d.Usable(at, "w")
	assert.True(t, usable && !probe)
}

func TestKeepsMinimumShareUsable(t *testing.T) {
	d := New(DefaultOptions)
	for i := range 10 {
		fail(d, fleet.InstanceID(fmt.Sprint("w", i)), 10)
	}
	assert.Equal(t, 5, d.Ejected())
}

// TestLatencyCountsUnansweredRequest: a worker that is new or was slow has no
// recent average. Until its first answer, the time for which a request has gone
// unanswered counts as its latency, so that it isn't sent more requests.
func TestLatencyCountsUnansweredRequest(t *testing.T) {
	d := New(DefaultOptions)
	assert.Zero(t, d.Latency(t0, "w"))
	d.RecordSent(t0, "w")
	assert.Equal(t, 50*time.Millisecond, d.Latency(t0.Add(50*time.Millisecond), "w"))
	answered := t0.Add(500 * time.Millisecond)
	d.ObserveLatency(answered, "w", 500*time.Millisecond)
	assert.Equal(t, 500*time.Millisecond, d.Latency(answered, "w"))
	later := answered.Add(latencyMaxAge + time.Millisecond)
	assert.Zero(t, d.Latency(later, "w"), "the average has expired, so the worker is tried again")
	d.RecordSent(later, "w")
	assert.Equal(t, time.Second, d.Latency(later.Add(time.Second), "w"))
}
