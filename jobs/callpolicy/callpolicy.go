// Package callpolicy adapts the timeouts and the number of attempts of calls to workers to the
// outcomes of earlier calls. An unanswered call has one of two causes, which need opposite
// reactions. On a congested link or CPU all answers are slow: longer timeouts help, and retries
// add load. If single calls are lost, as with a switch that drops one in twenty, the others are
// answered within milliseconds: a call that has not been answered by then never will be and should
// be retried soon.
package callpolicy

import "time"

// Parameters of loss detection.
const (
	// decay is the weight of the previous value in the moving average of the loss rate, which
	// covers about the last 60 calls: at most half a second's calls in the smallest fleet.
	decay = 1 - 1.0/64
	// fastDecay is the same for the moving average that detects a link on which hardly any call
	// is answered, over about the last 20 calls.
	fastDecay = 1 - 1.0/20
	// A link becomes lossy when its loss rate reaches LossyAbove, and stays so until the rate is
	// below LossyUntilBelow. The rate stays below both if one worker in a hundred dies without
	// notice.
	LossyAbove      = 0.05
	LossyUntilBelow = 0.005
	// linkDownAbove is the loss rate from which the link counts as down instead of lossy.
	linkDownAbove = 0.5
	// fastLatency is the mean latency of answered calls below which answers are fast. On a saturated
	// link or CPU, the calls that are still answered are slow.
	fastLatency = LossyTimeout / 2
	// latencyDecay is the weight of the previous mean latency: about the last 20 answers count.
	latencyDecay = 0.95
)

// Parameters of calls on a lossy link.
const (
	// LossyTimeout is the timeout of a call: thirty times the usual answer latency, and more than
	// the 100 ms for which a throttled CPU may stall.
	LossyTimeout = 120 * time.Millisecond
	// LossyAttempts is how many times a call is sent. If one in five calls is lost, one in
	// 15,000 loses all attempts. Together they take no longer than two usual timeouts.
	LossyAttempts = 6
)

// Policy selects how timeouts and attempts are determined.
type Policy string

// The policies. All but Adaptive are baselines for measurements.
const (
	Adaptive Policy = "adaptive" // depends on the outcomes of calls
	Patient  Policy = "patient"  // treats all unanswered calls as slow
	Short    Policy = "short"    // treats all unanswered calls as lost, unless the link is down
)

// LossDetector detects from the outcomes of calls whether single calls are lost. Its zero value
// is ready for use with the policy Adaptive.
type LossDetector struct {
	Policy                 Policy
	lossRate, fastLossRate float64 // moving averages, 0 to 1
	lossy                  bool
	latency                time.Duration // mean of answered calls; 0: not measured
}

// RecordAnswer records a call that was answered.
func (d *LossDetector) RecordAnswer() {
	d.recordLink(0)
	d.recordRate(0)
}

// RecordLatency records the latency of an answered call; 0 is ignored.
func (d *LossDetector) RecordLatency(latency time.Duration) {
	switch {
	case latency <= 0:
	case d.latency == 0:
		d.latency = latency
	default:
		d.latency = time.Duration(latencyDecay*float64(d.latency) + (1-latencyDecay)*float64(latency))
	}
}

// answersFast reports whether the calls that are answered are answered fast.
func (d *LossDetector) answersFast() bool { return d.latency > 0 && d.latency < fastLatency }

// RecordLoss records an unanswered call to a worker that answered the previous one.
func (d *LossDetector) RecordLoss() {
	d.recordLink(1)
	d.recordRate(1)
}

// RecordSingleLoss is RecordLoss for a call that was lost while later ones were answered fast, which
// shows that the link is not down. Timeouts of calls that were sent together come together, so that
// at a loss rate of 40% the last 20 calls are all lost several times a second.
func (d *LossDetector) RecordSingleLoss() { d.recordRate(1) }

// RecordRepeatedLoss records a further unanswered call to the same worker. As the worker itself may
// be down, the call counts only for detecting that the link is down.
func (d *LossDetector) RecordRepeatedLoss() { d.recordLink(1) }

func (d *LossDetector) recordLink(lost float64) {
	d.fastLossRate = fastDecay*d.fastLossRate + (1-fastDecay)*lost
}

func (d *LossDetector) recordRate(lost float64) {
	d.lossRate = decay*d.lossRate + (1-decay)*lost
	switch {
	case d.lossRate >= LossyAbove:
		d.lossy = true
	case d.lossRate < LossyUntilBelow:
		d.lossy = false
	}
}

// Lossy reports whether single calls are lost while most are answered.
func (d *LossDetector) Lossy() bool {
	switch d.Policy {
	case Patient:
		return false
	case Short:
		return d.fastLossRate < linkDownAbove
	}
	return d.lossy && d.fastLossRate < linkDownAbove && (d.latency == 0 || d.answersFast())
}

// Timeout returns the timeout of a call: usual, or at most LossyTimeout on a lossy link.
func (d *LossDetector) Timeout(usual time.Duration) time.Duration {
	if d.Lossy() {
		return min(usual, LossyTimeout)
	}
	return usual
}

// WorkerTimeout returns the timeout of a call to a worker: its retransmission timeout, from
// LossyTimeout to usual, as long as answers are fast. Otherwise it is that of Timeout.
func (d *LossDetector) WorkerTimeout(w *WorkerCalls, usual time.Duration) time.Duration {
	adaptive := d.Policy != Patient && d.Policy != Short
	if !adaptive || !w.Known() || !d.answersFast() {
		return d.Timeout(usual)
	}
	return w.Timeout(min(usual, LossyTimeout), usual)
}

// Attempts returns how many times to send an unanswered call: usual, or at least LossyAttempts
// on a lossy link.
func (d *LossDetector) Attempts(usual int) int {
	if d.Lossy() {
		return max(usual, LossyAttempts)
	}
	return usual
}
