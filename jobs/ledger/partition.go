package ledger

import "time"

// Parameters of detecting a partition between this daemon and the store.
const (
	// minUnansweredTime is the minimum duration of a failed call that counts as unanswered. A
	// store that refuses a daemon's calls answers immediately.
	minUnansweredTime = 100 * time.Millisecond
	// minUnansweredCalls is how many consecutive unanswered calls indicate a partition. After a
	// single one, just its answer may have been lost.
	minUnansweredCalls = 2
	// maxPromptRelay is the maximum duration of a relayed call that proves that the store serves
	// the relaying daemon promptly: more than the store and the network take, less than a slow
	// store takes.
	maxPromptRelay = 100 * time.Millisecond
)

// partitionDetector distinguishes a partition between this daemon and the store from a store
// that is down or slow for all daemons. The zero value means no partition.
type partitionDetector struct {
	firstFailure     time.Time // start of the first of the unanswered calls
	unanswered       int       // consecutive direct calls without an answer
	relayAnswered    time.Time // first prompt answer to a relayed call since firstFailure; zero: none
	failedAfterRelay bool      // a direct call that began after relayAnswered was not answered
}

// directFailed records a failed direct call.
func (d *partitionDetector) directFailed(began, now time.Time) {
	if now.Sub(began) < minUnansweredTime {
		*d = partitionDetector{} // an immediate refusal is an answer
		return
	}
	if d.unanswered == 0 {
		d.firstFailure = began
	}
	d.unanswered++
	d.failedAfterRelay = d.failedAfterRelay || !d.relayAnswered.IsZero() && began.After(d.relayAnswered)
}

// relaySucceeded records an answered call through another daemon.
func (d *partitionDetector) relaySucceeded(began, now time.Time) {
	if d.unanswered > 0 && d.relayAnswered.IsZero() && now.Sub(began) <= maxPromptRelay {
		d.relayAnswered = now
	}
}

// duration returns how long the partition has lasted, 0 if there is none.
func (d *partitionDetector) duration(now time.Time) time.Duration {
	if d.unanswered < minUnansweredCalls || !d.failedAfterRelay {
		return 0
	}
	return now.Sub(d.firstFailure)
}
