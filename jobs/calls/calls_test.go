package calls

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// simulate records n calls of which a random share is lost, and returns after how many of them
// the link counted as lossy.
func simulate(o *LossDetector, rnd *rand.Rand, n int, share float64) (lossy int) {
	for range n {
		if rnd.Float64() < share {
			o.Lost()
		} else {
			o.Answered()
		}
		if o.Lossy() {
			lossy++
		}
	}
	return lossy
}

const usual = 400 * time.Millisecond

// TestLossIsToldFromAFullLink: a link is lossy at a loss rate of a twentieth or a fifth, and not
// at 0.2 % or if hardly any call is answered.
func TestLossIsToldFromAFullLink(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	for share, want := range map[float64]struct{ least, most int }{
		0: {0, 0}, 0.002: {0, 100}, 0.055: {8500, 10000}, 0.2: {9700, 10000}, 0.9: {0, 300}, 1: {0, 60},
	} {
		var o LossDetector
		lossy := simulate(&o, rnd, 10000, share)
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
	var o LossDetector
	assert.Equal(t, usual, o.Timeout(usual))
	assert.Equal(t, 2, o.Attempts(2))
	simulate(&o, rand.New(rand.NewPCG(1, 2)), 500, 0.1)
	assert.Equal(t, LossyTimeout, o.Timeout(usual))
	assert.Equal(t, 50*time.Millisecond, o.Timeout(50*time.Millisecond))
	assert.Equal(t, LossyAttempts, o.Attempts(2))
	for range 500 {
		o.Answered()
	}
	assert.Equal(t, usual, o.Timeout(usual), "the loss has ended")
}
