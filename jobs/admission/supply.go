package admission

import "time"

// Supply is the capacity of a pool, now and as far as it is known to change.
type Supply struct {
	Cores     float64   // of the instances that take tasks now
	FreeCores float64   // part of Cores that no task uses
	Arrivals  []Arrival // ordered by In
	// ArrivalRate is the work that arrives, in core-seconds per second; 0: not known.
	ArrivalRate float64
	// MeanTask is the mean duration of the tasks that wait, weighted by their cores.
	MeanTask time.Duration
}

// Arrival is an instance that joins the pool.
type Arrival struct {
	In    time.Duration // from now
	Cores float64
}

// isOverloaded reports whether more work arrives than the pool can start, also with all instances
// on their way.
func (s *Supply) isOverloaded() bool {
	cores := s.Cores
	for _, a := range s.Arrivals {
		cores += a.Cores
	}
	return s.ArrivalRate > usableShare*cores
}

// usableShare is the fraction of a pool's cores that tasks of mixed sizes can use, as in
// jobs/capacity.
const usableShare = 0.9

// maxWait bounds estimated waits. No job is on time after a longer wait, and nothing is known
// about the supply at that time.
const maxWait = 30 * time.Second

// WaitFor returns after which time the pool has started the given work in core-seconds, at most
// maxWait.
//
// A busy core starts as much work per second as it completes, one core-second. The ends of the
// tasks on it are spread over MeanTask, so that a free core can start half a mean task more.
func (s *Supply) WaitFor(work float64) time.Duration {
	head := s.MeanTask.Seconds() / 2
	cores := usableShare * s.Cores
	left := work - usableShare*s.FreeCores*head
	var at time.Duration
	for _, a := range s.Arrivals {
		if left <= 0 {
			break
		}
		next := min(max(a.In, at), maxWait)
		started := cores * (next - at).Seconds()
		if started >= left {
			break
		}
		left -= started + usableShare*a.Cores*head
		cores += usableShare * a.Cores
		at = next
	}
	switch {
	case left <= 0:
		return at
	case left >= cores*(maxWait-at).Seconds():
		return maxWait
	}
	return at + time.Duration(left/cores*float64(time.Second))
}

// freeWithin returns the cores that are free now or on which a task ends within d. The ends of the
// tasks are spread over MeanTask; if that is not known, only the free cores count.
func (s *Supply) freeWithin(d time.Duration) float64 {
	if s.MeanTask <= 0 {
		return s.FreeCores
	}
	busy := max(0, usableShare*s.Cores-s.FreeCores)
	return s.FreeCores + busy*min(1, d.Seconds()/s.MeanTask.Seconds())
}
