package placement

import (
	"sort"

	"github.com/postmount/postmount/jobs/job"
)

// Occupant is a run that may be stopped for the request.
type Occupant struct {
	Need     job.Resources
	LostWork float64 // core-seconds of work lost by stopping it
}

// Preemption lists the occupants of a worker to stop so that a request fits.
type Preemption struct {
	Worker    int   // index of the worker
	Occupants []int // indices into the worker's occupants
}

// Preempt returns the preemption that loses the least work. occupants[i] are the runs on
// workers[i] that may be stopped. ok is false if the request fits on no worker even without
// them.
func Preempt(workers []Worker, occupants [][]Occupant, r Request) (best Preemption, ok bool) {
	var leastLost float64
	for i := range workers {
		victims, lost, fit := cheapestVictims(workers[i], occupants[i], &r)
		if !fit || ok && lost >= leastLost {
			continue
		}
		best, leastLost, ok = Preemption{Worker: i, Occupants: victims}, lost, true
	}
	return best, ok
}

// cheapestVictims chooses occupants of one worker in the order of lost work per core until
// the request fits, and drops those that turn out to be unnecessary.
func cheapestVictims(w Worker, occupants []Occupant, r *Request) (victims []int, lost float64, fit bool) {
	order := make([]int, len(occupants))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(a, b int) bool {
		return lossPerCore(occupants[order[a]]) < lossPerCore(occupants[order[b]])
	})
	for _, i := range order {
		if fits(&w, r) {
			break
		}
		w.Free = w.Free.Add(occupants[i].Need)
		victims = append(victims, i)
	}
	if !fits(&w, r) {
		return nil, 0, false
	}
	victims = dropUnneeded(w, occupants, victims, r)
	for _, i := range victims {
		lost += occupants[i].LostWork
	}
	return victims, lost, true
}

// dropUnneeded removes victims that the request doesn't need, those with the most lost work
// per core first.
func dropUnneeded(w Worker, occupants []Occupant, victims []int, r *Request) []int {
	for n := len(victims) - 1; n >= 0; n-- {
		without := w
		without.Free = w.Free.Sub(occupants[victims[n]].Need)
		if fits(&without, r) {
			w = without
			victims = append(victims[:n:n], victims[n+1:]...)
		}
	}
	return victims
}

// lossPerCore returns the lost work per thousandth of a core.
func lossPerCore(o Occupant) float64 {
	return o.LostWork / float64(max(1, o.Need.CPUMilli))
}
