// Package calls tells by the outcomes of calls to workers how long to wait for the next
// answer. Two patterns look alike for one call and want opposite things. On a full link, or a
// full processor, all answers are slow: waiting longer helps, and repeating makes it worse.
// Where single calls are lost, as with a switch that drops one in twenty, the others take some
// milliseconds: what has not been answered by then never is, and is best sent again soon.
package calls

import "time"

// Figures of the judgement.
const (
	// kept is the share of what is known that each outcome leaves: the last sixty or so
	// count, at the most half a second's on the smallest fleet.
	kept = 1 - 1.0/64
	// keptFast is the same for the question whether anything is answered at all: the last
	// twenty.
	keptFast = 1 - 1.0/20
	// LossyAbove is the share of lost calls from which on calls count as lost on their way, and
	// LossyUntil that below which they do not any more: one worker of a hundred that ends
	// without notice is below both.
	LossyAbove      = 0.03
	LossyUntilBelow = 0.005
	// mostLost is the share from which on it is the way itself that does not serve.
	mostLost = 0.5
)

// Figures of waiting while calls are lost.
const (
	// LossyTimeout is how long an answer is waited for: thirty times what one takes, and more than
	// the tenth of a second for which a processor with an allowance may stand still.
	LossyTimeout = 120 * time.Millisecond
	// LossyAttempts is how often a call is sent then. Of those that are lost once in five, one of
	// 15,000 is lost so often; together they take no longer than two patient ones.
	LossyAttempts = 6
)

// Policy says how long answers are waited for.
type Policy string

// The policies. All but Adaptive are baselines that measurements compare with.
const (
	Adaptive Policy = "adaptive" // by what becomes of the calls
	Patient  Policy = "patient"  // as if all that is not answered was slow
	Short    Policy = "short"    // as if it was lost, unless hardly anything is answered
)

// LossDetector sums up the outcomes of calls. Its zero value has seen none, and is adaptive.
type LossDetector struct {
	Policy         Policy
	lost, lostFast float64 // shares
	lossy          bool
}

// Answered takes note of a call that was answered.
func (o *LossDetector) Answered() { o.note(0, true) }

// Lost takes note of a call without an answer to a worker that answered the one before.
func (o *LossDetector) Lost() { o.note(1, true) }

// LostRepeatedly takes note of one more to a worker that has not answered since. It may be the
// worker that is silent, so that it counts only for whether anything is answered at all.
func (o *LossDetector) LostRepeatedly() { o.note(1, false) }

func (o *LossDetector) note(lost float64, onItsWay bool) {
	o.lostFast = keptFast*o.lostFast + (1-keptFast)*lost
	if !onItsWay {
		return
	}
	o.lost = kept*o.lost + (1-kept)*lost
	switch {
	case o.lost >= LossyAbove:
		o.lossy = true
	case o.lost < LossyUntilBelow:
		o.lossy = false
	}
}

// Lossy reports whether calls are lost one by one, while most are answered.
func (o *LossDetector) Lossy() bool {
	switch o.Policy {
	case Patient:
		return false
	case Short:
		return o.lostFast < mostLost
	}
	return o.lossy && o.lostFast < mostLost
}

// Timeout returns how long to wait for an answer, usual being what is waited for else.
func (o *LossDetector) Timeout(usual time.Duration) time.Duration {
	if o.Lossy() {
		return min(usual, LossyTimeout)
	}
	return usual
}

// Attempts returns how often to send a call that is not answered, likewise.
func (o *LossDetector) Attempts(usual int) int {
	if o.Lossy() {
		return max(usual, LossyAttempts)
	}
	return usual
}
