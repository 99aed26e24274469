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

// TestRepeatsAreAShareOfFirstSends: repeats are a share of the first sends of about the last second,
// also if they come together, and a tenth of that while answers are slow.
func TestRepeatsAreAShareOfFirstSends(t *testing.T) {
	for congested, share := range map[bool]float64{false: repeatShare, true: congestedRepeatShare} {
		var b RepeatBudget
		taken := 0
		take := func(now time.Time) {
			for b.Take(congested, now) {
				taken++
			}
		}
		now := time.Unix(1000, 0)
		take(now)
		assert.Equal(t, minRepeats, taken)
		const sends, seconds = 1000, 20
		taken = 0
		for i := range sends * seconds {
			now = now.Add(time.Second / sends)
			b.RecordFirstSend(now)
			if i%(sends/2) == 0 {
				take(now)
			}
		}
		most := seconds * (minRepeats + share*sends)
		assert.LessOrEqual(t, float64(taken), most, "congested: %v", congested)
		assert.GreaterOrEqual(t, float64(taken), 0.7*most, "congested: %v", congested)
		taken = 0
		take(now.Add(time.Minute))
		assert.Equal(t, minRepeats, taken, "nothing is saved up")
	}
}
