package owner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/placement"
)

// workerView is the workers of a service as placement sees them.
type workerView struct {
	workers []*worker
	views   []placement.Worker
}

// newWorkerView returns the workers of the service that new tasks may go to. It costs the size
// of the service: tasks that end by themselves are placed by the index instead.
func (c *Core) newWorkerView(service string, now time.Time) *workerView {
	list := c.workersByService[service]
	v := &workerView{workers: make([]*worker, 0, len(list)), views: make([]placement.Worker, 0, len(list))}
	for _, w := range list {
		if !c.isUsable(w, now) {
			continue
		}
		w.workerView, w.workerViewIndex = v, len(v.workers)
		v.workers = append(v.workers, w)
		v.views = append(v.views, w.placementView(now))
	}
	return v
}

// indexOf returns the place of a worker in the view; ok is false if it is not
// there.
func (v *workerView) indexOf(w *worker) (i int, ok bool) { return w.workerViewIndex, w.workerView == v }

// countStepTasks sets how many tasks of the step run on each worker, and bars those
// that it may not run on.
func (v *workerView) countStepTasks(s *stepState, now time.Time) {
	needsPermits := s.needsPermits()
	for i, w := range v.workers {
		v.views[i].SameStep = 0
		v.views[i].Excluded = needsPermits && !s.hasValidTicket(w, now) || w.isReservedForOther(s, now)
	}
	for _, t := range s.tasks {
		for _, r := range t.runs {
			if i, ok := v.indexOf(r.worker); ok {
				v.views[i].SameStep++
			}
		}
	}
}

// otherWorkerWait is how long a task that failed waits for room on another
// worker than those on which it did: attempts are few, and a bad worker fails all.
// Most tasks end within it.
const otherWorkerWait = time.Second

// awaitsOtherWorker reports whether the task failed a moment ago, and there are workers
// that could take it and on which it did not. Tickets last for a short time, so
// that tasks that need one do not wait.
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

func (t *task) hasFailedOn(w *worker) bool { return slices.Contains(t.failedOn, w.Worker) }

// runsByNumber returns the runs on the worker in the order of their starts.
func runsByNumber(w *worker) []*run {
	out := slices.Collect(maps.Values(w.runs))
	slices.SortFunc(out, func(a, b *run) int { return cmp.Compare(a.number, b.number) })
	return out
}

// addRun adds a run to its task and its worker.
func (t *task) addRun(r *run) {
	if len(t.runs) == 0 && !t.done {
		t.step.withoutRun--
	}
	t.runs = append(t.runs, r)
	r.worker.addRun(r)
}

// removeRun is the inverse of addRun; a run that was dropped before is left alone.
func (t *task) removeRun(r *run) (dropped bool) {
	r.worker.removeRun(r)
	i := slices.Index(t.runs, r)
	if i < 0 {
		return false
	}
	t.runs = slices.Delete(t.runs, i, i+1)
	if len(t.runs) == 0 && !t.done {
		t.step.withoutRun++
	}
	return true
}

// addRun accounts for a run on the worker.
func (w *worker) addRun(r *run) {
	id := r.task.id()
	if old := w.runs[id]; old != nil {
		w.addUsage(old, -1)
	}
	w.runs[id] = r
	w.addUsage(r, 1)
}

// removeRun is the inverse of addRun.
func (w *worker) removeRun(r *run) {
	id := r.task.id()
	if w.runs[id] != r {
		return
	}
	delete(w.runs, id)
	w.addUsage(r, -1)
}

// addUsage adds n times what the run occupies.
func (w *worker) addUsage(r *run, n int) {
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

// free returns the room that no run occupies, as far as is known.
func (w *worker) free() job.Resources { return w.Capacity.Sub(w.allocated) }
