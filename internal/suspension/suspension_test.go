package suspension

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestMeterWithoutSuspension: without suspension both clocks advance alike, and the total never
// decreases.
func TestMeterWithoutSuspension(t *testing.T) {
	m, err := NewMeter()
	require.NoError(t, err)
	last := time.Duration(0)
	for range 1000 {
		now := m.Suspended()
		require.GreaterOrEqual(t, now, last)
		last = now
	}
	assert.Less(t, last, time.Minute, "unless this machine was suspended during the test")
}

// TestAMeterCountsSuspension: of two clocks that are read at the same moment, the total is exactly
// the time that only the boot clock counted.
func TestAMeterCountsSuspension(t *testing.T) {
	now := reading{boot: time.Hour, monotonic: time.Now()}
	m, err := newMeter(func() (reading, error) { return now, nil })
	require.NoError(t, err)
	pass := func(running, suspended time.Duration) {
		now.boot += running + suspended
		now.monotonic = now.monotonic.Add(running)
	}
	pass(3*time.Second, 0)
	assert.Zero(t, m.Suspended())
	pass(time.Second, 5*time.Second)
	assert.Equal(t, 5*time.Second, m.Suspended())
	pass(time.Hour, 0)
	assert.Equal(t, 5*time.Second, m.Suspended())
	pass(0, time.Nanosecond)
	assert.Equal(t, 5*time.Second+time.Nanosecond, m.Suspended())
}

// TestTheSystemsClocksAreMeasured simulates a suspension of 5 s by moving the start on the boot
// clock of the system. The reads of the two clocks are no further apart than the time around them.
func TestTheSystemsClocksAreMeasured(t *testing.T) {
	began := time.Now()
	m, err := NewMeter()
	require.NoError(t, err)
	creation := time.Since(began)
	m.start.boot -= 5 * time.Second
	called := time.Now()
	suspended := m.Suspended()
	call := time.Since(called)
	assert.GreaterOrEqual(t, suspended, 5*time.Second-call)
	assert.LessOrEqual(t, suspended, 5*time.Second+creation)
}
