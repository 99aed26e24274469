package callpolicy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const ms = time.Millisecond

func answered(n int, rtt time.Duration) *WorkerCalls {
	var w WorkerCalls
	for range n {
		w.RecordRoundTrip(rtt)
		w.RecordAnswer()
	}
	return &w
}

// TestTimeoutFollowsRoundTrip: the timeout is the mean and four deviations, within the bounds, and
// doubles with each unanswered call after the first while the worker answers nothing.
func TestTimeoutFollowsRoundTrip(t *testing.T) {
	assert.Equal(t, 120*ms, answered(100, 4*ms).Timeout(120*ms, usual))
	assert.Equal(t, 240*ms, answered(1, 80*ms).Timeout(120*ms, usual), "the first deviation is half of the round trip")
	assert.InDelta(t, float64(200*ms), float64(answered(100, 200*ms).Timeout(120*ms, usual)), float64(ms))
	assert.Equal(t, usual, answered(100, time.Second).Timeout(120*ms, usual))

	w := answered(100, 4*ms)
	var got []time.Duration
	for range 4 {
		w.RecordLoss(false)
		got = append(got, w.Timeout(120*ms, usual))
	}
	assert.Equal(t, []time.Duration{120 * ms, 240 * ms, usual, usual}, got)
	w.RecordAnswer()
	assert.Equal(t, 120*ms, w.Timeout(120*ms, usual))
	for range 4 {
		w.RecordLoss(true)
	}
	assert.Equal(t, 120*ms, w.Timeout(120*ms, usual), "the worker has answered since")
}

func TestWorkerTimeout(t *testing.T) {
	w := answered(10, 4*ms)
	var d LossDetector
	assert.Equal(t, usual, d.WorkerTimeout(w, usual), "the latency of the fleet is unknown")
	d.RecordLatency(4 * ms)
	assert.Equal(t, LossyTimeout, d.WorkerTimeout(w, usual))
	assert.Equal(t, 50*ms, d.WorkerTimeout(w, 50*ms))
	assert.Equal(t, usual, d.WorkerTimeout(&WorkerCalls{}, usual), "nothing is known of the worker")
	patient := LossDetector{Policy: Patient, latency: 4 * ms}
	assert.Equal(t, usual, patient.WorkerTimeout(w, usual))
	for range 60 {
		d.RecordLatency(300 * ms)
	}
	assert.Equal(t, usual, d.WorkerTimeout(w, usual), "the link is saturated")
}

func TestLosesMoreThan(t *testing.T) {
	var one, all WorkerCalls
	for i := range 200 {
		one.RecordLoss(true)
		if i%10 == 0 {
			all.RecordLoss(true)
		} else {
			all.RecordAnswer()
		}
	}
	assert.True(t, one.LosesMoreThan(&all))
	assert.False(t, all.LosesMoreThan(&all))
	assert.False(t, one.LosesMoreThan(&one), "all workers lose as many")
	for range 20 {
		one.RecordAnswer()
	}
	assert.False(t, one.LosesMoreThan(&all), "it answers again")
}

func TestFastAnswers(t *testing.T) {
	var f FastAnswers
	at := time.Unix(1000, 0)
	assert.False(t, f.Between(at, at.Add(usual)))
	f.Record(at.Add(57 * ms))
	assert.True(t, f.Between(at, at.Add(usual)))
	assert.True(t, f.Between(at.Add(56*ms), at.Add(57*ms)))
	assert.False(t, f.Between(at.Add(57*ms), at.Add(usual)), "not sent after it")
	assert.False(t, f.Between(at, at.Add(56*ms)))
	assert.False(t, f.Between(at.Add(fastAnswerSlots*fastAnswerSlot), at.Add(fastAnswerSlots*fastAnswerSlot+usual)), "the slot is that of an earlier time")
}

// TestRepeatsAreAShareOfFirstSends: once the saved repeats are used up, repeats are a share of the
// first sends, and a tenth of that while answers are slow.
func TestRepeatsAreAShareOfFirstSends(t *testing.T) {
	for congested, share := range map[bool]float64{false: repeatShare, true: congestedRepeatShare} {
		var b RepeatBudget
		taken := 0
		const sends = 1000
		for range sends {
			b.RecordFirstSend(congested)
			for b.Take() {
				taken++
			}
		}
		assert.InDelta(t, maxSavedRepeats+share*sends, taken, 2, "congested: %v", congested)
		for range 10 * sends {
			b.RecordFirstSend(congested)
		}
		for taken = 0; b.Take(); taken++ {
		}
		assert.Equal(t, maxSavedRepeats, taken, "no more are saved up")
	}
}
