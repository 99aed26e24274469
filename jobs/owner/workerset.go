package owner

import (
	"cmp"
	"slices"
)

// workerSet is a set of workers by ID.
type workerSet map[WorkerID]*worker

// put adds the worker to the set, or removes it.
func (s workerSet) put(w *worker, in bool) {
	if in {
		s[w.Worker] = w
	} else {
		delete(s, w.Worker)
	}
}

// sorted returns the workers sorted by ID.
func (s workerSet) sorted() []*worker {
	out := make([]*worker, 0, len(s))
	for _, w := range s {
		out = append(out, w)
	}
	slices.SortFunc(out, byID)
	return out
}

func byID(a, b *worker) int { return cmp.Compare(a.Worker, b.Worker) }

// serviceWorkers holds the workers of each service, sorted by ID.
type serviceWorkers map[string][]*worker

func (r serviceWorkers) find(w *worker) (index int, found bool) {
	return slices.BinarySearchFunc(r[w.Service], w, byID)
}

func (r serviceWorkers) add(w *worker) {
	if at, found := r.find(w); !found {
		r[w.Service] = slices.Insert(r[w.Service], at, w)
	}
}

// remove is the inverse of add. It has to be called before the worker's service changes.
func (r serviceWorkers) remove(w *worker) {
	if at, found := r.find(w); found {
		r[w.Service] = slices.Delete(r[w.Service], at, at+1)
	}
}
