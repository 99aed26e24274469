// Package placement chooses workers for tasks. It is pure: the same workers
// and request give the same choice.
package placement

import (
	"slices"

	"github.com/postmount/postmount/jobs/job"
)

// Worker is what a choice looks at.
type Worker struct {
	Capacity    job.Resources // of the whole worker
	Free        job.Resources
	Rack        string
	Labels      []string
	Unreliable  bool // failed or stalled of late; used only if nothing else fits
	SameStep    int  // tasks of the same step and occurrence on it
	Fillers     int  // tasks on it that use what others leave
	Serving     int  // long-running tasks on it that have a latency target
	LongRunning int  // long-running tasks on it
	Excluded    bool // it may not take the request, for reasons of the caller's
}

// Request is what a task needs.
type Request struct {
	Need          job.Resources // 0 thousandths of a core for a filler
	Filler        bool
	Serving       bool
	RequiredLabel string
	PreferredRack string
	MaxPerWorker  int
	LongRunning   bool // a long-running task
	Restricted    bool // only some workers are permitted; the others are barred
	// PreferredMaxPerWorker is how many tasks of a step a worker should have at most, so that
	// maintenance may take it away; 0: any number.
	PreferredMaxPerWorker int
}

// Weights of a choice. They are in shares of a worker's processors, so that
// one whole free worker outweighs them only where it should.
const (
	// rackBonus prefers the rack of the task's data, where it takes half the
	// time: any worker there that fits goes before any elsewhere.
	rackBonus = 2.0
	// unreliablePenalty puts suspect workers behind all others.
	unreliablePenalty = 8.0
	// sharingPenalty keeps fillers and serving tasks apart where there is a
	// choice: one of the other kind weighs as a quarter of the worker.
	sharingPenalty = 0.25
	// spreadPenalty puts a long-running task on another worker while maintenance
	// could not take this one away any more.
	spreadPenalty = 4.0
	// longRunningBonus keeps long-running tasks of different steps together, so
	// that the other instances can be moved when they idle.
	longRunningBonus = 1.0
)

// Feasible reports whether the worker could ever take the request.
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

// score is higher for a better worker. Tasks that end go to the fullest worker
// that has room, so that the others stay free for wide tasks and for moves;
// long-running ones go where others are, but spread over what maintenance may
// take away at once.
func score(w *Worker, r *Request) float64 {
	left := 0.0
	if w.Capacity.CPUMilli > 0 {
		left = float64(w.Free.CPUMilli-r.Need.CPUMilli) / float64(w.Capacity.CPUMilli)
	}
	s := -left
	if r.LongRunning {
		s = left
		if w.LongRunning > 0 {
			s += longRunningBonus
		}
		if r.PreferredMaxPerWorker > 0 && w.SameStep >= r.PreferredMaxPerWorker {
			s -= spreadPenalty
		}
	}
	if r.PreferredRack != "" && w.Rack == r.PreferredRack {
		s += rackBonus
	}
	if w.Unreliable {
		s -= unreliablePenalty
	}
	if r.Filler {
		s -= sharingPenalty * float64(w.Serving+w.Fillers)
	}
	if r.Serving {
		s -= sharingPenalty * float64(w.Fillers)
	}
	return s
}

// RejectedNeeds holds requests that found no room. A request that needs as much as one of
// them finds none either, as long as no room is freed.
type RejectedNeeds struct{ needs []job.Resources }

// Add notes a request that found no room. Requests with further conditions are
// not noted: others may fit where they do not.
func (f *RejectedNeeds) Add(r *Request) {
	if r.RequiredLabel != "" || r.MaxPerWorker != 0 || r.Restricted || f.Covers(r) {
		return
	}
	f.needs = append(f.needs, r.Need)
}

// Covers reports whether the request certainly finds no room.
func (f *RejectedNeeds) Covers(r *Request) bool {
	return slices.ContainsFunc(f.needs, func(need job.Resources) bool { return r.Need.Fits(need) })
}

// Choose returns the index of the best worker, -1 if none fits.
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

// Assign accounts for the request on the worker.
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

// ChooseGang returns workers for n tasks that work only together, nil if they
// do not all fit. sameRack keeps them on one rack if there is one with room.
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

func racks(workers []Worker) []string {
	var out []string
	for i := range workers {
		if !slices.Contains(out, workers[i].Rack) {
			out = append(out, workers[i].Rack)
		}
	}
	return out
}

// assignAll changes workers.
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
