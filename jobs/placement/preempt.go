package placement

import (
	"sort"

	"github.com/postmount/postmount/jobs/job"
)

// PreemptibleRun is a run that may be stopped for the request.
type PreemptibleRun struct {
	Need     job.Resources
	LostWork float64 // core-seconds of work lost by stopping it
}

// Preemption lists the runs of a worker to stop so that a request fits.
type Preemption struct {
	Worker  int   // index of the worker
	Victims []int // indices into the worker's preemptible runs
}

// Preempt returns the preemption that loses the least work; preemptible[i] are the runs on
// workers[i] that may be stopped. ok is false if the request fits on no worker even after
// stopping all of them.
func Preempt(workers []Worker, preemptible [][]PreemptibleRun, r Request) (best Preemption, ok bool) {
	var leastLost float64
	for i := range workers {
		victims, lost, fit := cheapestVictims(workers[i], preemptible[i], &r)
		if !fit || ok && lost >= leastLost {
			continue
		}
		best, leastLost, ok = Preemption{Worker: i, Victims: victims}, lost, true
	}
	return best, ok
}

// cheapestVictims selects preemptible runs of one worker in ascending order of lost work per
// core until the request fits, then drops those that turn out to be unnecessary. fit is false
// if the request doesn't fit even after stopping all of them.
func cheapestVictims(w Worker, preemptible []PreemptibleRun, r *Request) (victims []int, lost float64, fit bool) {
	order := make([]int, len(preemptible))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(a, b int) bool {
		return lostWorkPerMillicore(preemptible[order[a]]) < lostWorkPerMillicore(preemptible[order[b]])
	})
	for _, i := range order {
		if fits(&w, r) {
			break
		}
		w.Free = w.Free.Add(preemptible[i].Need)
		victims = append(victims, i)
	}
	if !fits(&w, r) {
		return nil, 0, false
	}
	victims = dropUnneeded(w, preemptible, victims, r)
	for _, i := range victims {
		lost += preemptible[i].LostWork
	}
	return victims, lost, true
}

// dropUnneeded removes victims that need not be stopped for the request to fit, those with the
// most lost work per core first.
func dropUnneeded(w Worker, preemptible []PreemptibleRun, victims []int, r *Request) []int {
	for n := len(victims) - 1; n >= 0; n-- {
		without := w
		without.Free = w.Free.Sub(preemptible[victims[n]].Need)
		if fits(&without, r) {
			w = without
			victims = append(victims[:n:n], victims[n+1:]...)
		}
	}
	return victims
}

// lostWorkPerMillicore returns the work lost by stopping a run, in core-seconds per millicore freed.
func lostWorkPerMillicore(o PreemptibleRun) float64 {
	return o.LostWork / float64(max(1, o.Need.CPUMilli))
}
