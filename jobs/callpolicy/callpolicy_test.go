package callpolicy

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// simulate records n calls of which a random share is lost, and returns how many times the link
// counted as lossy after a call.
func simulate(d *LossDetector, rnd *rand.Rand, n int, share float64) (lossy int) {
	for range n {
		if rnd.Float64() < share {
			d.RecordLoss()
		} else {
			d.RecordAnswer()
		}
		if d.Lossy() {
			lossy++
		}
	}
	return lossy
}

const usual = 400 * time.Millisecond

// TestLossIsDistinguishedFromCongestion: a link is lossy at a loss rate of 5.5% or 20%. It is not
// lossy at 0.2%, nor at 90% or more, where it counts as down.
func TestLossIsDistinguishedFromCongestion(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	for share, want := range map[float64]struct{ least, most int }{
		0: {0, 0}, 0.002: {0, 100}, 0.055: {8500, 10000}, 0.2: {9700, 10000}, 0.9: {0, 300}, 1: {0, 60},
	} {
		var d LossDetector
		lossy := simulate(&d, rnd, 10000, share)
		assert.GreaterOrEqual(t, lossy, want.least, "share %v", share)
		assert.LessOrEqual(t, lossy, want.most, "share %v", share)
	}
}

func TestFixedPolicies(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	patient, short := LossDetector{Policy: Patient}, LossDetector{Policy: Short}
	assert.Zero(t, simulate(&patient, rnd, 1000, 0.2))
	assert.Equal(t, 1000, simulate(&short, rnd, 1000, 0))
	assert.LessOrEqual(t, simulate(&short, rnd, 1000, 1), 13)
}

func TestTimeoutAndAttempts(t *testing.T) {
	var d LossDetector
	assert.Equal(t, usual, d.Timeout(usual))
	assert.Equal(t, 2, d.Attempts(2))
	simulate(&d, rand.New(rand.NewPCG(1, 2)), 500, 0.1)
	assert.Equal(t, LossyTimeout, d.Timeout(usual))
	assert.Equal(t, 50*time.Millisecond, d.Timeout(50*time.Millisecond))
	assert.Equal(t, LossyAttempts, d.Attempts(2))
	for range 500 {
		d.RecordAnswer()
	}
	assert.Equal(t, usual, d.Timeout(usual), "the loss has ended")
}
