package placement

import (
	"sort"

	"github.com/postmount/postmount/jobs/job"
)

// Occupant is a run that may be stopped for a more urgent task.
type Occupant struct {
	Need     job.Resources
	LostWork float64 // core-seconds of work that are lost with it
}

// Preemption says which occupants to stop so that a request fits.
type Preemption struct {
	Worker    int   // index of the worker
	Occupants []int // indices of its occupants
}

// Preempt returns the cheapest way to make room for the request: the worker on
// which the least work is lost. occupants[i] are those of workers[i] that may be
// stopped. ok is false if no worker would have room even without them.
func Preempt(workers []Worker, occupants [][]Occupant, r Request) (best Preemption, ok bool) {
	var least float64
	for i := range workers {
		victims, lost, fit := cheapestVictims(workers[i], occupants[i], &r)
		if !fit || ok && lost >= least {
			continue
		}
		best, least, ok = Preemption{Worker: i, Occupants: victims}, lost, true
	}
	return best, ok
}

// cheapestVictims chooses occupants of one worker: those with the least loss for each
// core first, and then none that turns out not to be needed.
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

// dropUnneeded takes out occupants without which the request fits all the same,
// the dearest first.
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

func lossPerCore(o Occupant) float64 {
	return o.LostWork / float64(max(1, o.Need.CPUMilli))
}
