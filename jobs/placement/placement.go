// Package placement chooses workers for tasks. The choice depends only on the workers and the
// request.
package placement

import (
	"slices"

	"github.com/postmount/postmount/jobs/job"
)

// Worker is a candidate for placement.
type Worker struct {
	Capacity     job.Resources // total of the worker
	Free         job.Resources
	Rack         string
	Labels       []string
	SecondChoice bool // tasks failed on it recently, or it is slow after its start; used only if nothing else fits
	SameStep     int  // tasks on it of the request's step and occurrence
	Fillers      int  // filler tasks on it, which use idle cores only
	Serving      int  // long-running tasks on it that have a latency target
	LongRunning  int  // long-running tasks on it
	Excluded     bool // not permitted for the request
	// MaintenanceDue means that a maintenance wave will take the worker down soon.
	MaintenanceDue bool
}

// Request is a task to be placed.
type Request struct {
	Need          job.Resources // CPUMilli is 0 for a filler
	Filler        bool
	Serving       bool
	RequiredLabel string
	PreferredRack string
	MaxPerWorker  int
	LongRunning   bool
	Restricted    bool // only workers that are not Excluded are permitted
	// PreferredMaxPerWorker is how many tasks of the step a worker may run and still be taken
	// down for maintenance; 0: no limit. Other workers are preferred to one that would exceed it.
	PreferredMaxPerWorker int
}

// Weights of the terms of a score. The fraction of free cores is between 0 and 1, so a weight
// above 1 outweighs it.
const (
	// rackBonus is for workers on the preferred rack, which holds the task's data: there the task
	// takes half the time.
	rackBonus = 2.0
	// secondChoicePenalty ranks workers of second choice behind all others.
	secondChoicePenalty = 8.0
	// sharingPenalty keeps fillers away from serving tasks and from each other if possible.
	// Each such task on a worker counts as much as a quarter of its cores.
	sharingPenalty = 0.25
	// spreadPenalty is for workers that would exceed PreferredMaxPerWorker.
	spreadPenalty = 4.0
	// maintenancePenalty is for workers that a wave will take down: a long-running task would have to
	// move again. It outweighs spreadPenalty with longRunningBonus.
	maintenancePenalty = 6.0
	// longRunningBonus is for workers that have long-running tasks already. It concentrates these
	// tasks, so that other instances become idle and can be moved.
	longRunningBonus = 1.0
)

// Feasible reports whether the worker could take the request if nothing ran on it.
func Feasible(w *Worker, r *Request) bool {
	return w.Capacity.Fits(r.Need) && hasLabel(w, r)
}

func hasLabel(w *Worker, r *Request) bool {
	return r.RequiredLabel == "" || slices.Contains(w.Labels, r.RequiredLabel)
}

// fits reports whether the worker can take the request now.
func fits(w *Worker, r *Request) bool {
	if w.Excluded || !w.Free.Fits(r.Need) || !hasLabel(w, r) {
		return false
	}
	return r.MaxPerWorker == 0 || w.SameStep < r.MaxPerWorker
}

// score rates a worker that fits; higher is better. Tasks that end on their own go to the fullest
// worker, so that others stay free for large tasks and for moves. Long-running tasks go to workers
// that have some already, but are spread by step so that each worker can be taken down for
// maintenance.
func score(w *Worker, r *Request) float64 {
	freeShare := 0.0
	if w.Capacity.CPUMilli > 0 {
		freeShare = float64(w.Free.CPUMilli-r.Need.CPUMilli) / float64(w.Capacity.CPUMilli)
	}
	s := -freeShare
	if r.LongRunning {
		s = freeShare
		if w.LongRunning > 0 {
			s += longRunningBonus
		}
		if r.PreferredMaxPerWorker > 0 && w.SameStep >= r.PreferredMaxPerWorker {
			s -= spreadPenalty
		}
		if w.MaintenanceDue {
			s -= maintenancePenalty
		}
	}
	if r.PreferredRack != "" && w.Rack == r.PreferredRack {
		s += rackBonus
	}
	if w.SecondChoice {
		s -= secondChoicePenalty
	}
	if r.Filler {
		s -= sharingPenalty * float64(w.Serving+w.Fillers)
	}
	if r.Serving {
		s -= sharingPenalty * float64(w.Fillers)
	}
	return s
}

// UnplaceableNeeds holds the needs of requests that fit on no worker. A request that needs at
// least as much of every resource doesn't fit either, until capacity is freed.
type UnplaceableNeeds struct{ needs []job.Resources }

// Add records a request that fits on no worker. A request with further conditions is not
// recorded, since one with the same needs but without the conditions may fit.
func (u *UnplaceableNeeds) Add(r *Request) {
	if r.RequiredLabel != "" || r.MaxPerWorker != 0 || r.Restricted || u.Covers(r) {
		return
	}
	u.needs = append(u.needs, r.Need)
}

// Covers reports whether the recorded needs show that the request fits on no worker. If false,
// it may or may not fit.
func (u *UnplaceableNeeds) Covers(r *Request) bool {
	return slices.ContainsFunc(u.needs, func(need job.Resources) bool { return r.Need.Fits(need) })
}

// Choose returns the index of the best worker (the first one if several score the same), and -1 if
// none fits.
func Choose(workers []Worker, r Request) int {
	best := -1
	var bestScore float64
	for i := range workers {
		w := &workers[i]
		if !fits(w, &r) {
			continue
		}
		if s := score(w, &r); best < 0 || s > bestScore {
			best, bestScore = i, s
		}
	}
	return best
}

// Assign updates the worker for a task of the request placed on it.
func Assign(w *Worker, r *Request) {
	w.Free = w.Free.Sub(r.Need)
	w.SameStep++
	if r.Filler {
		w.Fillers++
	}
	if r.Serving {
		w.Serving++
	}
	if r.LongRunning {
		w.LongRunning++
	}
}

// ChooseGang returns the indices of workers for n tasks that must run at the same time, nil if
// they don't all fit. With sameRack they are placed on one rack if one has enough capacity,
// else on several. The workers are not changed.
func ChooseGang(workers []Worker, r Request, n int, sameRack bool) []int {
	if !sameRack {
		return assignAll(slices.Clone(workers), r, n, "")
	}
	for _, rack := range racks(workers) {
		if out := assignAll(slices.Clone(workers), r, n, rack); out != nil {
			return out
		}
	}
	return assignAll(slices.Clone(workers), r, n, "")
}

// racks returns the distinct racks in the order of their first workers.
func racks(workers []Worker) []string {
	var out []string
	for i := range workers {
		if !slices.Contains(out, workers[i].Rack) {
			out = append(out, workers[i].Rack)
		}
	}
	return out
}

// assignAll places n tasks, on workers of the given rack only unless it is "". It returns
// nil if they don't all fit, and changes workers.
func assignAll(workers []Worker, r Request, n int, rack string) []int {
	if rack != "" {
		for i := range workers {
			if workers[i].Rack != rack {
				workers[i].Free = job.Resources{CPUMilli: -1}
			}
		}
	}
	var out []int
	for range n {
		i := Choose(workers, r)
		if i < 0 {
			return nil
		}
		Assign(&workers[i], &r)
		out = append(out, i)
	}
	return out
}
