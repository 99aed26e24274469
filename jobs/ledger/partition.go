package ledger

import "time"

// Figures of a direct way that is cut.
const (
	// minUnansweredTime is how long a call that failed has to have taken to count as one without an
	// answer: a store that turns a daemon away says so at once.
	minUnansweredTime = 100 * time.Millisecond
	// minUnansweredCalls is how many of them in a row show a cut: one may be an answer that was lost.
	minUnansweredCalls = 2
	// maxPromptRelay is how long a call by another daemon may take to show that the store serves it
	// better: longer than the store and the way there take, and less than the store takes if it is
	// slow.
	maxPromptRelay = 100 * time.Millisecond
)

// partitionDetector tells a daemon's own way to the store that is cut from a store that is away. The zero
// value is a way that works.
type partitionDetector struct {
	firstFailure     time.Time // when the first of the silent calls began
	unanswered       int       // direct ones without an answer since one had any
	relayAnswered    time.Time // when a call by another daemon was first answered promptly since; zero: none was
	failedAfterRelay bool      // a direct call that began after that had no answer
}

// directFailed takes note of a direct call that directFailed.
func (c *partitionDetector) directFailed(began, now time.Time) {
	if now.Sub(began) < minUnansweredTime {
		*c = partitionDetector{} // it was answered, in its way
		return
	}
	if c.unanswered == 0 {
		c.firstFailure = began
	}
	c.unanswered++
	c.failedAfterRelay = c.failedAfterRelay || !c.relayAnswered.IsZero() && began.After(c.relayAnswered)
}

// relaySucceeded takes note of a call that another daemon has made.
func (c *partitionDetector) relaySucceeded(began, now time.Time) {
	if c.unanswered > 0 && c.relayAnswered.IsZero() && now.Sub(began) <= maxPromptRelay {
		c.relayAnswered = now
	}
}

func (c *partitionDetector) duration(now time.Time) time.Duration {
	if c.unanswered < minUnansweredCalls || !c.failedAfterRelay {
		return 0
	}
	return now.Sub(c.firstFailure)
}
