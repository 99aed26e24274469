package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// addProbes adds n probes that take factor times the usual duration. It returns the highest
// sustainedFactor after any of them.
func (s *slowdownDetector) addProbes(at *time.Time, n int, factor float64) float64 {
	highest := 0.0
	for range n {
		*at = at.Add(probeInterval)
		s.addProbe(time.Duration(factor*float64(40*time.Microsecond)), *at)
		highest = max(highest, s.sustainedFactor(*at))
	}
	return highest
}

// TestSustainedSlowdownIsDetected: short interruptions and a slightly slower instance do not count
// as a slowdown; a lasting one is detected within 500 ms.
func TestSustainedSlowdownIsDetected(t *testing.T) {
	s, at := &slowdownDetector{}, time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	assert.Equal(t, 1.0, s.addProbes(&at, 20, 0.3), "a process that has just started runs faster")
	assert.Equal(t, 1.0, s.addProbes(&at, 400, 1))
	for range 20 { // interruptions by other threads, and a slightly slower instance
		assert.Equal(t, 1.0, s.addProbes(&at, 2, 30))
		assert.Equal(t, 1.0, s.addProbes(&at, 4, 1.5))
	}
	assert.Equal(t, 1.0, s.addProbes(&at, 5, 5), "too short")
	assert.Equal(t, 1.0, s.addProbes(&at, 20, 1))
	began := at
	for s.sustainedFactor(at) == 1 {
		s.addProbes(&at, 1, 5)
	}
	assert.Less(t, at.Sub(began), 500*time.Millisecond)
	assert.Greater(t, s.addProbes(&at, 100, 5), 3.0, "the baseline does not follow within seconds")
	s.addProbes(&at, probeWindow, 1)
	assert.Equal(t, 1.0, s.sustainedFactor(at), "the slowdown is over")
}

// TestBaselineFollowsLastingChange: the baseline follows a CPU that becomes twice as slow
// permanently, as an idle one does under load, and one that stays several times slower.
func TestBaselineFollowsLastingChange(t *testing.T) {
	s, at := &slowdownDetector{}, time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	s.addProbes(&at, 40, 1)
	assert.Equal(t, 1.0, s.addProbes(&at, 300, 2))
	assert.Equal(t, 1.0, s.addProbes(&at, 200, 4), "twice as slow as the new baseline")
	s.addProbes(&at, maxBaselineSamples*int(time.Second/probeInterval)+2*probeWindow, 20)
	assert.Equal(t, 1.0, s.sustainedFactor(at), "after a minute the slow speed is the baseline")
}
