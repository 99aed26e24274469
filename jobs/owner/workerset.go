package owner

import (
	"cmp"
	"slices"
)

// workerSet is a set of workers by their ids.
type workerSet map[WorkerID]*worker

// put adds the worker to the set or takes it out.
func (s workerSet) put(w *worker, in bool) {
	if in {
		s[w.Worker] = w
	} else {
		delete(s, w.Worker)
	}
}

// sorted returns the workers in the order of their ids.
func (s workerSet) sorted() []*worker {
	out := make([]*worker, 0, len(s))
	for _, w := range s {
		out = append(out, w)
	}
	slices.SortFunc(out, byID)
	return out
}

func byID(a, b *worker) int { return cmp.Compare(a.Worker, b.Worker) }

// serviceWorkers keeps the workers of each service in the order of their ids.
type serviceWorkers map[string][]*worker

func (r serviceWorkers) find(w *worker) (at int, found bool) {
	return slices.BinarySearchFunc(r[w.Service], w, byID)
}

func (r serviceWorkers) add(w *worker) {
	if at, found := r.find(w); !found {
		r[w.Service] = slices.Insert(r[w.Service], at, w)
	}
}

// remove is the inverse of add; it has to come before a change of the worker's service.
func (r serviceWorkers) remove(w *worker) {
	if at, found := r.find(w); found {
		r[w.Service] = slices.Delete(r[w.Service], at, at+1)
	}
}
