package owner

import (
	"slices"
	"time"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/placement"
)

// capacityClass is the usable workers of a service that have the same room: what one of them
// can ever take the others can, too, labels aside.
type capacityClass struct {
	room   job.Resources
	byFree []*worker // by free thousandths of a core, then by id
}

// freeIndex is the usable workers of a service in an order in which the best one for a
// task that ends by itself comes early: a choice looks at a few workers, whatever the
// size of the service. At 3,000 workers it takes 0.5 µs in place of 34.
type freeIndex struct{ classes []*capacityClass }

// compareFree orders workers by free processors as they are in the index, then by id.
func compareFree(a, b *worker) int {
	if a.indexedFreeCPUMilli != b.indexedFreeCPUMilli {
		return a.indexedFreeCPUMilli - b.indexedFreeCPUMilli
	}
	return byID(a, b)
}

func (x *freeIndex) classOf(room job.Resources) *capacityClass {
	for _, k := range x.classes {
		if k.room == room {
			return k
		}
	}
	k := &capacityClass{room: room}
	x.classes = append(x.classes, k)
	return k
}

// size returns how many workers are usable.
func (x *freeIndex) size() int {
	n := 0
	for _, k := range x.classes {
		n += len(k.byFree)
	}
	return n
}

func (x *freeIndex) add(w *worker) {
	w.capacityClass = x.classOf(w.Capacity)
	w.indexedFreeCPUMilli = w.free().CPUMilli
	at, _ := slices.BinarySearchFunc(w.capacityClass.byFree, w, compareFree)
	w.capacityClass.byFree = slices.Insert(w.capacityClass.byFree, at, w)
}

// removeFromIndex takes the worker out of the index that it is in, if any.
func (w *worker) removeFromIndex() {
	if w.capacityClass == nil {
		return
	}
	if at, found := slices.BinarySearchFunc(w.capacityClass.byFree, w, compareFree); found {
		w.capacityClass.byFree = slices.Delete(w.capacityClass.byFree, at, at+1)
	}
	w.capacityClass = nil
}

// couldFit reports whether any worker could take the request if it were empty; true if
// none is usable.
func (x *freeIndex) couldFit(req *placement.Request) bool {
	for _, k := range x.classes {
		if len(k.byFree) == 0 || !k.room.Fits(req.Need) {
			continue
		}
		if req.RequiredLabel == "" || slices.ContainsFunc(k.byFree, func(w *worker) bool { return slices.Contains(w.Labels, req.RequiredLabel) }) {
			return true
		}
	}
	return x.size() == 0
}

// choose returns the best worker for a task that ends by itself, nil if none has room.
// allowed says which workers may have it, and mine how many tasks of its step are there.
// The result is that of placement.Choose over all workers.
func (x *freeIndex) choose(req *placement.Request, allowed func(*worker) bool, mine map[*worker]int, now time.Time) *worker {
	var best []*worker
	for _, k := range x.classes {
		if k.room.Fits(req.Need) {
			best = k.candidates(best, req, allowed, mine, now)
		}
	}
	switch len(best) {
	case 0:
		return nil
	case 1:
		return best[0]
	}
	slices.SortFunc(best, byID)
	views := make([]placement.Worker, len(best))
	for i, w := range best {
		views[i] = w.placementView(now)
	}
	return best[placement.Choose(views, *req)]
}

// candidates appends the workers of the class of which one is its best: the fullest with
// room, and the fullest of those that are not suspect or on the preferred rack.
func (k *capacityClass) candidates(out []*worker, req *placement.Request, allowed func(*worker) bool, mine map[*worker]int, now time.Time) []*worker {
	from, _ := slices.BinarySearchFunc(k.byFree, req.Need.CPUMilli, func(w *worker, need int) int {
		if w.indexedFreeCPUMilli < need {
			return -1
		}
		return 1
	})
	var found [2][2]bool // by suspect, by rack
	for _, w := range k.byFree[from:] {
		if !w.free().Fits(req.Need) || !allowed(w) ||
			req.MaxPerWorker > 0 && mine[w] >= req.MaxPerWorker ||
			req.RequiredLabel != "" && !slices.Contains(w.Labels, req.RequiredLabel) {
			continue
		}
		suspect := w.hasRecentFailures(now)
		near := req.PreferredRack == "" || w.Rack == req.PreferredRack
		if seen := &found[boolIndex(suspect)][boolIndex(near)]; !*seen {
			*seen = true
			out = append(out, w)
		}
		if !suspect && near {
			break
		}
	}
	return out
}

func boolIndex(holds bool) int {
	if holds {
		return 1
	}
	return 0
}

// hasRecentFailures reports whether several of the worker's newest tasks failed.
func (w *worker) hasRecentFailures(now time.Time) bool {
	return w.recentEnds.failures(now) >= minFailuresToAvoid
}

// placementView returns the worker as placement sees it.
func (w *worker) placementView(now time.Time) placement.Worker {
	return placement.Worker{
		Capacity: w.Capacity, Free: w.free(), Rack: w.Rack, Labels: w.Labels,
		Fillers: w.fillerRuns, Serving: w.servingRuns, LongRunning: w.longRunningRuns, Unreliable: w.hasRecentFailures(now),
	}
}

// markWorkerChanged says that something of the worker may have changed that placement sees.
func (c *Core) markWorkerChanged(w *worker) {
	if !w.indexStale {
		w.indexStale = true
		c.staleIndexWorkers = append(c.staleIndexWorkers, w)
	}
}

// updateIndexes brings the indexes up to date with the workers that were touched, and with
// those that were put aside until now.
func (c *Core) updateIndexes(now time.Time) {
	for _, w := range c.avoidedDue.popAllDue(now) {
		c.markWorkerChanged(w)
	}
	for _, w := range c.staleIndexWorkers {
		w.indexStale = false
		c.reindex(w, now)
		c.updateSupplyOfWorker(w)
	}
	clear(c.staleIndexWorkers)
	c.staleIndexWorkers = c.staleIndexWorkers[:0]
}

func (c *Core) reindex(w *worker, now time.Time) {
	c.colocatedWorkers.put(w, w.fillerRuns > 0 && w.servingRuns > 0 && !w.ended)
	usable := c.workers[w.Worker] == w && c.isUsable(w, now)
	if usable && w.capacityClass != nil && w.indexedService == w.Service && w.capacityClass.room == w.Capacity && w.indexedFreeCPUMilli == w.free().CPUMilli {
		return
	}
	w.removeFromIndex()
	if usable {
		w.indexedService = w.Service
		c.pool(w.Service).free.add(w)
	}
}

// avoidWorkerUntil keeps new tasks from the worker until a time, or for longer if it was to be so
// already.
func (c *Core) avoidWorkerUntil(w *worker, until time.Time) {
	w.avoidUntil = laterOf(w.avoidUntil, until)
	c.markWorkerChanged(w)
	c.avoidedDue.add(w.avoidUntil, w)
}
