package owner

import "time"

// backoff are those between tries that fail one after the other: each is twice as long as the
// one before, up to the longest.
type backoff struct{ initial, max time.Duration }

// delay returns the pause delay so many tries that failed.
func (p backoff) delay(failed int) time.Duration {
	d := p.initial
	for range failed - 1 {
		if d *= 2; d >= p.max {
			return p.max
		}
	}
	return d
}

// Pauses of what may fail each time it is tried.
var (
	// longRunningBackoff are for a long-running task that fails: it has to be tried again within
	// three seconds, as it serves users.
	longRunningBackoff = backoff{failureBackoff, 2 * time.Second}
	// invalidOrderBackoff are for an order that a worker calls invalid, as all of them will.
	invalidOrderBackoff = backoff{time.Second, 30 * time.Second}
	// capacityBackoff are for a worker that refuses for want of room: its ends are known by the
	// first one, and more than that means that it has less room than it says.
	capacityBackoff = backoff{100 * time.Millisecond, 1600 * time.Millisecond}
	// ticketBackoff are for a step of which tickets are refused: two may have been too old.
	ticketBackoff = backoff{adviceRetryDelay, 3 * time.Second}
)

// ticketRejectionsBeforeBackoff is how many tickets of a step may be refused on end before pauses begin.
const ticketRejectionsBeforeBackoff = 2
