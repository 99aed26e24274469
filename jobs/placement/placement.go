// Package placement chooses workers for tasks. It is pure: the same workers
// and request give the same choice.
package placement

import (
	"slices"

	"github.com/postmount/postmount/jobs/job"
)

// Worker is what a choice looks at.
type Worker struct {
	Room    job.Resources // of the whole worker
	Free    job.Resources
	Rack    string
	Labels  []string
	Suspect bool // failed or stalled of late; used only if nothing else fits
	Mine    int  // tasks of the same step and occurrence on it
	Fillers int  // tasks on it that use what others leave
	Serving int  // long-running tasks on it that have a latency target
}

// Request is what a task needs.
type Request struct {
	Need          job.Resources // 0 thousandths of a core for a filler
	Filler        bool
	Serving       bool
	RequiredLabel string
	PreferredRack string
	MaxPerWorker  int
}

// Weights of a choice. They are in shares of a worker's processors, so that
// one whole free worker outweighs them only where it should.
const (
	// rackBonus prefers the rack of the task's data, where it takes half the
	// time: any worker there that fits goes before any elsewhere.
	rackBonus = 2.0
	// suspectMalus puts suspect workers behind all others.
	suspectMalus = 8.0
	// sharingMalus keeps fillers and serving tasks apart where there is a
	// choice: one of the other kind weighs as a quarter of the worker.
	sharingMalus = 0.25
)

// Possible reports whether the worker could ever take the request.
func Possible(w *Worker, r *Request) bool {
	return w.Room.Fits(r.Need) && hasLabel(w, r)
}

func hasLabel(w *Worker, r *Request) bool {
	return r.RequiredLabel == "" || slices.Contains(w.Labels, r.RequiredLabel)
}

// fits reports whether the worker can take the request now.
func fits(w *Worker, r *Request) bool {
	if !w.Free.Fits(r.Need) || !hasLabel(w, r) {
		return false
	}
	return r.MaxPerWorker == 0 || w.Mine < r.MaxPerWorker
}

// score is higher for a better worker: the emptiest one, on the rack of the
// data, that was not bad of late.
func score(w *Worker, r *Request) float64 {
	s := 0.0
	if w.Room.CPUMilli > 0 {
		s = float64(w.Free.CPUMilli-r.Need.CPUMilli) / float64(w.Room.CPUMilli)
	}
	if r.PreferredRack != "" && w.Rack == r.PreferredRack {
		s += rackBonus
	}
	if w.Suspect {
		s -= suspectMalus
	}
	if r.Filler {
		s -= sharingMalus * float64(w.Serving+w.Fillers)
	}
	if r.Serving {
		s -= sharingMalus * float64(w.Fillers)
	}
	return s
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

// Take accounts for the request on the worker.
func Take(w *Worker, r *Request) {
	w.Free = w.Free.Sub(r.Need)
	w.Mine++
	if r.Filler {
		w.Fillers++
	}
	if r.Serving {
		w.Serving++
	}
}

// ChooseGang returns workers for n tasks that work only together, nil if they
// do not all fit. sameRack keeps them on one rack if there is one with room.
func ChooseGang(workers []Worker, r Request, n int, sameRack bool) []int {
	if !sameRack {
		return chooseAll(slices.Clone(workers), r, n, "")
	}
	for _, rack := range racks(workers) {
		if out := chooseAll(slices.Clone(workers), r, n, rack); out != nil {
			return out
		}
	}
	return chooseAll(slices.Clone(workers), r, n, "")
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

// chooseAll changes workers.
func chooseAll(workers []Worker, r Request, n int, rack string) []int {
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
		Take(&workers[i], &r)
		out = append(out, i)
	}
	return out
}
