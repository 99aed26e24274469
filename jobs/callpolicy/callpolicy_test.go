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
	return simulateLosses(d, rnd, n, share, d.RecordLoss)
}

func simulateLosses(d *LossDetector, rnd *rand.Rand, n int, share float64, recordLoss func()) (lossy int) {
	for range n {
		if rnd.Float64() < share {
			recordLoss()
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
// lossy at 0.2%, nor at 90% or more, where it counts as down, nor if answers are slow. If later calls are known to
// be answered, it is lossy at 40% too. The bounds hold for each seed.
func TestLossIsDistinguishedFromCongestion(t *testing.T) {
	const seeds, calls = 100, 10000
	const fast, slow = 4 * time.Millisecond, 300 * time.Millisecond
	for i, c := range []struct {
		share       float64
		latency     time.Duration // of answered calls; 0: not measured
		least, most int
		single      bool // later calls are known to be answered
	}{
		{share: 0},
		{share: 0.002, most: 100},
		{share: 0.055, least: 8500, most: calls},
		{share: 0.2, least: 9700, most: calls},
		{share: 0.9, most: 300},
		{share: 1, most: 60},
		{share: 0.002, latency: fast, most: 100},
		{share: 0.2, latency: fast, least: 9700, most: calls},
		{share: 0.4, latency: fast, least: 9900, most: calls, single: true},
		{share: 0.9, latency: fast, most: 300},
		{share: 1, latency: fast, most: 60},
		{share: 0.2, latency: slow},
		{share: 0.4, latency: slow, single: true},
	} {
		least, most := calls, 0
		for seed := range uint64(seeds) {
			var d LossDetector
			d.RecordLatency(c.latency)
			record := d.RecordLoss
			if c.single {
				record = d.RecordSingleLoss
			}
			lossy := simulateLosses(&d, rand.New(rand.NewPCG(seed, uint64(i))), calls, c.share, record)
			least, most = min(least, lossy), max(most, lossy)
		}
		assert.GreaterOrEqual(t, least, c.least, "case %d", i)
		assert.LessOrEqual(t, most, c.most, "case %d", i)
	}
}

// TestLossesThatComeTogether: 24 of 60 calls that were sent together are lost. Their timeouts come
// after all answers, and don't make the link seem down, as later calls were answered.
func TestLossesThatComeTogether(t *testing.T) {
	var d LossDetector
	d.RecordLatency(4 * time.Millisecond)
	for burst := range 100 {
		for range 36 {
			d.RecordAnswer()
		}
		for range 24 {
			d.RecordSingleLoss()
			assert.True(t, d.Lossy() || burst == 0, "burst %d", burst)
		}
	}
	for range 60 {
		d.RecordLoss()
	}
	assert.False(t, d.Lossy(), "no call is answered any more")
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
