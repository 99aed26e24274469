package capacity

import "time"

// Windows over which the arrival rate is estimated.
const (
	// minArrivals is the minimum number of recent arrivals that a rate is computed from. With
	// five, a burst of 35 jobs per second is detected within a sixth of a second.
	minArrivals = 5
	// instancesPerArrival is the number of instances of a pool for which its window grows by one
	// arrival. An estimate from n arrivals has a relative error of about 1.5/sqrt(n), which
	// causes needless moves. As the window grows with the pool, these increase only with the
	// square root of its size. The window covers the same time in a fleet of any size, since
	// the number of arrivals grows with the fleet.
	instancesPerArrival = 8
	// maxArrivals limits the window; an estimate from this many has an error of about 5%.
	maxArrivals = 1024
	// meanWorkWindow is the number of recent jobs over which the mean work per job is taken.
	// The mean changes less than the arrival frequency, and few jobs have most of the work.
	meanWorkWindow = 64
)

// RateEstimator estimates how much work arrives per second, from the most recent arrivals. Its
// zero value is ready for use.
type RateEstimator struct {
	arrivals []arrival // ring buffer once it has maxArrivals entries
	next     int       // index of the oldest entry of a full ring, which is overwritten next
}

type arrival struct {
	at   time.Time
	work float64 // core-seconds
}

// Add records work in core-seconds that arrived at the given time.
func (r *RateEstimator) Add(work float64, at time.Time) {
	if len(r.arrivals) < maxArrivals {
		r.arrivals = append(r.arrivals, arrival{at, work})
		return
	}
	r.arrivals[r.next] = arrival{at, work}
	r.next = (r.next + 1) % maxArrivals
}

// WorkPerSecond returns the core-seconds that arrive per second for a pool with this many
// instances, 0 until there were minArrivals arrivals.
func (r *RateEstimator) WorkPerSecond(instances int, now time.Time) float64 {
	if len(r.arrivals) < minArrivals {
		return 0
	}
	n := min(len(r.arrivals), minArrivals+instances/instancesPerArrival)
	first := r.nthNewest(n - 1).at
	if !now.After(first) {
		return 0
	}
	return float64(n) * r.MeanWork() / now.Sub(first).Seconds()
}

// nthNewest returns the k-th most recent arrival, starting at 0.
func (r *RateEstimator) nthNewest(k int) *arrival {
	return &r.arrivals[(r.next+len(r.arrivals)-1-k)%len(r.arrivals)]
}

// MeanWork returns the mean work of the most recent jobs in core-seconds, 0 if there were none.
func (r *RateEstimator) MeanWork() float64 {
	n := min(len(r.arrivals), meanWorkWindow)
	if n == 0 {
		return 0
	}
	sum := 0.0
	for k := range n {
		sum += r.nthNewest(k).work
	}
	return sum / float64(n)
}
