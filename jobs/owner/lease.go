package owner

import "time"

// Bounds for the expiry of leases, which workers measure by their own clocks.
const (
	// maxClockSlowdown is the fraction by which a worker's clock may run slow. The platform
	// documents 2%.
	maxClockSlowdown = 0.02
	// leaseMargin is added to the computed end of a lease, as the worker takes some time to stop
	// its runs.
	leaseMargin = 150 * time.Millisecond
	// maxOrderDelay is how long after it was sent an order may be executed whose answer is missing. The
	// platform documents 12 s.
	maxOrderDelay = 12 * time.Second
)

// MaxWorkerClockMs is the highest valid reading of a worker's clock, in ms: 200 years. A time.Duration
// holds the difference of two times up to it.
const MaxWorkerClockMs = 200 * 365 * 24 * 60 * 60 * 1000

// workerLease tracks a worker's clock and the end of the leases that were sent to it.
type workerLease struct {
	known          bool      // the worker's clock is known
	clockMs        int64     // worker's clock in its last answer
	clockReadAt    time.Time // when that answer was received
	grantedUntilMs int64     // latest lease end sent in any order, on the worker's clock
	sentAt         time.Time // when the latest order with a lease end was sent
	firstRenewalAt time.Time // when a hold of this owner first renewed the lease; zero: none did
}

// observeClock takes the worker's clock from an answer received at now.
func (l *workerLease) observeClock(clockMs int64, now time.Time) {
	if clockMs == 0 || l.known && clockMs < l.clockMs {
		return
	}
	l.known, l.clockMs, l.clockReadAt = true, clockMs, now
}

// grant returns the end of a lease of length d from now, on the worker's clock, and
// records it. The worker's clock is at least its last reading plus the time since then, so
// the lease may be slightly shorter than d, but has never expired when it is sent.
func (l *workerLease) grant(d time.Duration, now time.Time) int64 {
	if !l.known {
		return 0
	}
	expiresAtMs := l.clockMs + now.Sub(l.clockReadAt).Milliseconds() + d.Milliseconds()
	l.grantedUntilMs = max(l.grantedUntilMs, expiresAtMs)
	return expiresAtMs
}

// expiry returns the time by which every lease that was sent has certainly expired. The worker's
// clock must be known.
func (l *workerLease) expiry() time.Time {
	left := time.Duration(l.grantedUntilMs-l.clockMs) * time.Millisecond
	return l.clockReadAt.Add(time.Duration(float64(left) / (1 - maxClockSlowdown))).Add(leaseMargin)
}
