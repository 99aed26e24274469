package owner

import "time"

// Bounds of a worker's clock and of leases on it.
const (
	// maxClockSlowdown is by how much a worker's clock may be slow, with room:
	// the platform's page says 2%.
	maxClockSlowdown = 0.02
	// leaseMargin is added to the computed end of a lease: stopping what runs
	// takes the worker a moment.
	leaseMargin = 150 * time.Millisecond
)

// workerLease tells what is known of a worker's clock, and until when the
// orders that were sent let its tasks run.
type workerLease struct {
	known          bool
	clockMs        int64     // of the worker in ms, when it wrote its newest answer
	clockReadAt    time.Time // when that answer was received
	grantedUntilMs int64     // latest end of lease sent in any order, on the worker's clock
}

// observeClock takes the clock from an answer received at now.
func (l *workerLease) observeClock(clock int64, now time.Time) {
	if clock == 0 || l.known && clock < l.clockMs {
		return
	}
	l.known, l.clockMs, l.clockReadAt = true, clock, now
}

// grant returns the end of a lease of length d from now, and remembers it. The
// worker's clock is at least what it was plus the time since, so that the
// lease may be a little shorter than d, never over before it was sent.
func (l *workerLease) grant(d time.Duration, now time.Time) int64 {
	if !l.known {
		return 0
	}
	until := l.clockMs + now.Sub(l.clockReadAt).Milliseconds() + d.Milliseconds()
	l.grantedUntilMs = max(l.grantedUntilMs, until)
	return until
}

// expired reports whether every lease that was sent has ended for certain.
func (l *workerLease) expired(now time.Time) bool {
	if !l.known {
		return false
	}
	left := time.Duration(l.grantedUntilMs-l.clockMs) * time.Millisecond
	end := l.clockReadAt.Add(time.Duration(float64(left) / (1 - maxClockSlowdown))).Add(leaseMargin)
	return now.After(end)
}
