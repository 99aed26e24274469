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

// TestAMeterCountsSuspension simulates a suspension of 5 s by moving the start on the boot clock.
func TestAMeterCountsSuspension(t *testing.T) {
	m, err := NewMeter()
	require.NoError(t, err)
	m.bootStart -= 5 * time.Second
	assert.GreaterOrEqual(t, m.Suspended(), 5*time.Second)
}
