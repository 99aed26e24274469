package calls

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// play takes note of n calls of which a share is lost by chance, and returns for how many of
// them the way counted as lossy.
func play(o *LossDetector, rnd *rand.Rand, n int, share float64) (lossy int) {
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

// TestLossIsToldFromAFullLink: of calls lost one by one the fiftieth part is left alone, a
// twentieth and a fifth are repeated soon, and where hardly any is answered they are not.
func TestLossIsToldFromAFullLink(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	for share, want := range map[float64]struct{ least, most int }{
		0: {0, 0}, 0.002: {0, 100}, 0.055: {8500, 10000}, 0.2: {9700, 10000}, 0.9: {0, 300}, 1: {0, 60},
	} {
		var o LossDetector
		lossy := play(&o, rnd, 10000, share)
		assert.GreaterOrEqual(t, lossy, want.least, "share %v", share)
		assert.LessOrEqual(t, lossy, want.most, "share %v", share)
	}
}

func TestBaselines(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	patient, short := LossDetector{Policy: Patient}, LossDetector{Policy: Short}
	assert.Zero(t, play(&patient, rnd, 1000, 0.2))
	assert.Equal(t, 1000, play(&short, rnd, 1000, 0))
	assert.LessOrEqual(t, play(&short, rnd, 1000, 1), 13)
}

func TestWaiting(t *testing.T) {
	var o LossDetector
	assert.Equal(t, usual, o.Timeout(usual))
	assert.Equal(t, 2, o.Attempts(2))
	play(&o, rand.New(rand.NewPCG(1, 2)), 500, 0.1)
	assert.Equal(t, LossyTimeout, o.Timeout(usual))
	assert.Equal(t, 50*time.Millisecond, o.Timeout(50*time.Millisecond))
	assert.Equal(t, LossyAttempts, o.Attempts(2))
	for range 500 {
		o.Answered()
	}
	assert.Equal(t, usual, o.Timeout(usual), "it is over")
}
