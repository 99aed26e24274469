package owner

import "time"

// backoff is the delay between consecutive failed attempts: it doubles each time, up to max.
type backoff struct{ initial, max time.Duration }

// delay returns the delay after the given number of consecutive failures.
func (b backoff) delay(failures int) time.Duration {
	d := b.initial
	for range failures - 1 {
		if d *= 2; d >= b.max {
			return b.max
		}
	}
	return d
}

// Backoffs of operations that may fail every time.
var (
	// longRunningBackoff is for a long-running task that fails. It serves users, so it has to be
	// restarted within 3 s.
	longRunningBackoff = backoff{failureBackoff, 2 * time.Second}
	// invalidOrderBackoff is for a start that a worker rejected as invalid, since every other
	// worker will reject it too.
	invalidOrderBackoff = backoff{time.Second, 30 * time.Second}
	// capacityBackoff is for a worker that refuses a start for lack of capacity. After the first
	// delay the owner knows which runs have ended there. Further refusals mean that the worker
	// has less capacity than it has registered.
	capacityBackoff = backoff{100 * time.Millisecond, 1600 * time.Millisecond}
	// ticketBackoff is for a step whose tickets are rejected repeatedly.
	ticketBackoff = backoff{adviceRetryDelay, 3 * time.Second}
)

// ticketRejectionsBeforeBackoff is how many consecutive tickets of a step may be rejected without
// a delay: two of them may just have been too old.
const ticketRejectionsBeforeBackoff = 2
