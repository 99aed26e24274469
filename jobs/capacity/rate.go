package capacity

import "time"

// Figures of the rate of arrivals.
const (
	// minArrivals is how many of the newest arrivals a rate is taken over at least: a turn of
	// traffic of 35 jobs a second shows within a sixth of a second.
	minArrivals = 5
	// instancesPerArrival widens that with the pool: one arrival more for so many instances. An
	// estimate from n arrivals is off by a share of about 1.5 over the root of n, which is instances
	// moved in vain; widened, they grow with the root of the pool alone, and the window is as long
	// whatever the size of the fleet, as arrivals grow with it.
	instancesPerArrival = 8
	// maxArrivals bounds the widening: an estimate from so many is off by a twentieth.
	maxArrivals = 1024
	// meanWorkWindow is over how many of the newest jobs the mean of their work is taken: it changes less
	// than how often they come, and few of them have most of the work.
	meanWorkWindow = 64
)

// Rate estimates how much work arrives a second from the newest arrivals. The
// zero value has seen none.
type Rate struct {
	newest []arrival // a ring once it is full
	next   int       // where the oldest of a full ring is, and the next one goes
}

type arrival struct {
	at   time.Time
	work float64 // core-seconds
}

// Add takes note of work in core-seconds that arrived at now.
func (r *Rate) Add(work float64, now time.Time) {
	if len(r.newest) < maxArrivals {
		r.newest = append(r.newest, arrival{now, work})
		return
	}
	r.newest[r.next] = arrival{now, work}
	r.next = (r.next + 1) % maxArrivals
}

// WorkPerSecond returns the core-seconds that arrive a second for a pool of so many instances. Until
// there are enough arrivals there is too little to tell, and it is 0.
func (r *Rate) WorkPerSecond(instances int, now time.Time) float64 {
	if len(r.newest) < minArrivals {
		return 0
	}
	n := min(len(r.newest), minArrivals+instances/instancesPerArrival)
	first := r.nthNewest(n - 1).at
	if !now.After(first) {
		return 0
	}
	return float64(n) * r.meanWork() / now.Sub(first).Seconds()
}

// nthNewest returns the k-th newest arrival, counted from 0.
func (r *Rate) nthNewest(k int) *arrival {
	return &r.newest[(r.next+len(r.newest)-1-k)%len(r.newest)]
}

// meanWork returns how much work the newest jobs had on average.
func (r *Rate) meanWork() float64 {
	n := min(len(r.newest), meanWorkWindow)
	sum := 0.0
	for k := range n {
		sum += r.nthNewest(k).work
	}
	return sum / float64(n)
}
