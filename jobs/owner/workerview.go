package owner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/placement"
)

// workerView is a snapshot of a service's usable workers for the placement package.
type workerView struct {
	workers []*worker
	views   []placement.Worker
}

// newWorkerView returns a view of the service's usable workers. Its cost grows with the number of
// workers, so tasks that end on their own are placed by the free index instead.
func (c *Core) newWorkerView(service string, now time.Time) *workerView {
	list := c.workersByService[service]
	waves := c.openWaves()
	v := &workerView{workers: make([]*worker, 0, len(list)), views: make([]placement.Worker, 0, len(list))}
	for _, w := range list {
		if !c.isUsable(w, now) {
			continue
		}
		w.workerView, w.workerViewIndex = v, len(v.workers)
		v.workers = append(v.workers, w)
		view := w.placementView(now)
		view.MaintenanceDue = c.isMaintenanceDue(w, waves)
		v.views = append(v.views, view)
	}
	return v
}

// indexOf returns the worker's index in the view; ok is false if the view lacks it.
func (v *workerView) indexOf(w *worker) (i int, ok bool) { return w.workerViewIndex, w.workerView == v }

// countStepTasks counts the step's runs on each worker, and excludes the workers that the step
// may not use.
func (v *workerView) countStepTasks(s *stepState, now time.Time) {
	needsPermits := s.needsPermits()
	for i, w := range v.workers {
		v.views[i].SameStep = 0
		v.views[i].Excluded = needsPermits && !s.hasValidTicket(w, now) || w.isKeptForOther(s, now)
	}
	for _, t := range s.tasks {
		for _, r := range t.runs {
			if i, ok := v.indexOf(r.worker); ok {
				v.views[i].SameStep++
			}
		}
	}
}

// otherWorkerWait is how long a failed task waits for capacity on a worker where it has not
// failed: attempts are limited, and a faulty worker fails every task. Most tasks end within
// this time, which frees capacity.
const otherWorkerWait = time.Second

// awaitsOtherWorker reports whether the task failed recently and has to wait for another worker:
// some usable worker where it has not failed is large enough for it. Tasks that need a ticket
// do not wait, as tickets expire soon.
func (t *task) awaitsOtherWorker(free *freeIndex, req *placement.Request, now time.Time) bool {
	if len(t.failedOn) == 0 || req.Restricted || now.Sub(t.lastFailedAt) > otherWorkerWait {
		return false
	}
	for _, k := range free.classes {
		for _, w := range k.byFree {
			if !t.hasFailedOn(w) && placement.Feasible(&placement.Worker{Capacity: w.Capacity, Labels: w.Labels}, req) {
				return true
			}
		}
	}
	return false
}

// hasFailedOn reports whether the task failed on the worker in this term.
func (t *task) hasFailedOn(w *worker) bool { return slices.Contains(t.failedOn, w.Worker) }

// runsByNumber returns the worker's runs in the order of their starts.
func runsByNumber(w *worker) []*run {
	out := slices.Collect(maps.Values(w.runs))
	slices.SortFunc(out, func(a, b *run) int { return cmp.Compare(a.number, b.number) })
	return out
}

// addRun adds a run to the task and its worker.
func (t *task) addRun(r *run) {
	if len(t.runs) == 0 && !t.done {
		t.step.withoutRun--
	}
	t.runs = append(t.runs, r)
	t.step.runs++
	t.step.job.runs++
	r.worker.addRun(r)
}

// removeRun undoes addRun. It returns false if the task no longer has the run.
func (t *task) removeRun(r *run) (removed bool) {
	r.worker.removeRun(r)
	i := slices.Index(t.runs, r)
	if i < 0 {
		return false
	}
	t.runs = slices.Delete(t.runs, i, i+1)
	t.step.runs--
	t.step.job.runs--
	if len(t.runs) == 0 && !t.done {
		t.step.withoutRun++
	}
	return true
}

// addRun adds the run to the worker and its needs to the worker's usage.
func (w *worker) addRun(r *run) {
	id := r.task.id()
	if old := w.runs[id]; old != nil {
		w.addUsage(old, -1)
	}
	w.runs[id] = r
	w.addUsage(r, 1)
}

// removeRun undoes addRun.
func (w *worker) removeRun(r *run) {
	id := r.task.id()
	if w.runs[id] != r {
		return
	}
	delete(w.runs, id)
	w.addUsage(r, -1)
}

// addUsage adds n times the run's needs to the worker's usage; n is 1 or -1. A run that has ended has none.
func (w *worker) addUsage(r *run, n int) {
	if r.phase == ended {
		return
	}
	spec := r.task.step.spec
	need := spec.ReservedResources()
	w.allocated = w.allocated.Add(job.Resources{CPUMilli: n * need.CPUMilli, MemMB: n * need.MemMB, GPU: n * need.GPU})
	if spec.Filler {
		w.fillerRuns += n
	}
	if spec.LatencyTarget > 0 {
		w.servingRuns += n
	}
	if spec.LongRunning {
		w.longRunningRuns += n
		w.longRunningCPUMilli += n * need.CPUMilli
	}
}

// free returns the capacity that no known run occupies.
func (w *worker) free() job.Resources { return w.Capacity.Sub(w.allocated) }
