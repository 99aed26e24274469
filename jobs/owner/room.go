package owner

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/placement"
)

// roomView is the workers of a service as placement sees them.
type roomView struct {
	workers []*worker
	views   []placement.Worker
	index   map[*worker]int
	full    placement.Full
}

// roomOf returns the workers of the service that new tasks may go to.
func (c *Core) roomOf(service string, now time.Time) *roomView {
	v := &roomView{index: map[*worker]int{}}
	for _, w := range c.workers {
		if w.Service == service && w.usable(now) {
			v.workers = append(v.workers, w)
		}
	}
	slices.SortFunc(v.workers, func(a, b *worker) int { return strings.Compare(string(a.Worker), string(b.Worker)) })
	v.views = make([]placement.Worker, len(v.workers))
	for i, w := range v.workers {
		v.index[w] = i
		v.views[i] = placement.Worker{
			Room: w.Room, Free: w.free(), Rack: w.Rack, Labels: w.Labels,
			Fillers: w.fillers, Serving: w.serving, Lasting: w.lasting,
			Suspect: w.ends.failures(now) >= failuresToAvoid,
		}
	}
	return v
}

// possible reports whether any worker of the service could take the request if
// it were empty.
func (v *roomView) possible(req *placement.Request) bool {
	for i := range v.views {
		if placement.Possible(&v.views[i], req) {
			return true
		}
	}
	return len(v.views) == 0
}

// countOf sets how many tasks of the step run on each worker, and bars those
// that it may not run on.
func (v *roomView) countOf(s *stepState, now time.Time) {
	needsPermits := s.needsPermits()
	for i, w := range v.workers {
		v.views[i].Mine = 0
		v.views[i].Barred = needsPermits && !s.permitted(w, now) || w.keptFromOthers(s, now)
	}
	for _, t := range s.tasks {
		for _, r := range t.runs {
			if i, ok := v.index[r.worker]; ok {
				v.views[i].Mine++
			}
		}
	}
}

// elsewherePatience is how long a task that failed waits for room on another
// worker than those on which it did: attempts are few, and a bad worker fails all.
// Most tasks end within it.
const elsewherePatience = time.Second

// elsewhere returns the views with the workers barred on which the task failed.
func (v *roomView) elsewhere(t *task) []placement.Worker {
	if len(t.failedOn) == 0 {
		return v.views
	}
	out := slices.Clone(v.views)
	for i, w := range v.workers {
		if slices.Contains(t.failedOn, w.Worker) {
			out[i].Barred = true
		}
	}
	return out
}

// awaitsOther reports whether the task failed a moment ago, and there are workers
// that could take it and on which it did not. Tickets last for a short time, so
// that tasks that need one do not wait.
func (t *task) awaitsOther(v *roomView, req *placement.Request, now time.Time) bool {
	if len(t.failedOn) == 0 || req.Permits || now.Sub(t.failedAt) > elsewherePatience {
		return false
	}
	for i, w := range v.workers {
		if !slices.Contains(t.failedOn, w.Worker) && placement.Possible(&v.views[i], req) {
			return true
		}
	}
	return false
}

// sortedRuns returns the runs on the worker in the order of their starts.
func sortedRuns(w *worker) []*run {
	out := slices.Collect(maps.Values(w.runs))
	slices.SortFunc(out, func(a, b *run) int { return cmp.Compare(a.number, b.number) })
	return out
}

// addRun accounts for a run on the worker.
func (w *worker) addRun(r *run) {
	id := r.task.id()
	if old := w.runs[id]; old != nil {
		w.account(old, -1)
	}
	w.runs[id] = r
	w.account(r, 1)
}

// dropRun is the inverse of addRun.
func (w *worker) dropRun(r *run) {
	id := r.task.id()
	if w.runs[id] != r {
		return
	}
	delete(w.runs, id)
	w.account(r, -1)
}

// account adds n times what the run occupies.
func (w *worker) account(r *run, n int) {
	spec := r.task.step.spec
	need := spec.Occupies()
	w.used = w.used.Add(job.Resources{CPUMilli: n * need.CPUMilli, MemMB: n * need.MemMB, GPU: n * need.GPU})
	if spec.Filler {
		w.fillers += n
	}
	if spec.LatencyTarget > 0 {
		w.serving += n
	}
	if spec.LongRunning {
		w.lasting += n
		w.lastingCPU += n * need.CPUMilli
	}
}

// free returns the room that no run occupies, as far as is known.
func (w *worker) free() job.Resources { return w.Room.Sub(w.used) }
