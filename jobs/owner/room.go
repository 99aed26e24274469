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
	full    placement.Full
}

// roomOf returns the workers of the service that new tasks may go to.
func (c *Core) roomOf(service string, now time.Time) *roomView {
	list := c.roster.of(service, c.workers)
	v := &roomView{workers: make([]*worker, 0, len(list)), views: make([]placement.Worker, 0, len(list))}
	for _, w := range list {
		if !w.usable(now) {
			continue
		}
		w.view, w.viewAt = v, len(v.workers)
		v.workers = append(v.workers, w)
		v.views = append(v.views, placement.Worker{
			Room: w.Room, Free: w.free(), Rack: w.Rack, Labels: w.Labels,
			Fillers: w.fillers, Serving: w.serving, Lasting: w.lasting,
			Suspect: w.ends.failures(now) >= failuresToAvoid,
		})
	}
	return v
}

// indexOf returns the place of a worker in the view; ok is false if it is not
// there.
func (v *roomView) indexOf(w *worker) (i int, ok bool) { return w.viewAt, w.view == v }

// roster keeps the workers in the order of their ids: all, and by service. It is
// made anew after a change of the workers.
type roster struct {
	stale     bool
	all       []*worker
	byService map[string][]*worker
}

// renew makes the roster anew if it is stale.
func (r *roster) renew(workers map[WorkerID]*worker) {
	if !r.stale && len(r.all) == len(workers) {
		return
	}
	r.stale = false
	r.all = slices.Collect(maps.Values(workers))
	slices.SortFunc(r.all, func(a, b *worker) int { return strings.Compare(string(a.Worker), string(b.Worker)) })
	r.byService = map[string][]*worker{}
	for _, w := range r.all {
		r.byService[w.Service] = append(r.byService[w.Service], w)
	}
}

// of returns the workers of a service.
func (r *roster) of(service string, workers map[WorkerID]*worker) []*worker {
	r.renew(workers)
	return r.byService[service]
}

// everyWorker returns all workers in the order of their ids.
func (c *Core) everyWorker() []*worker {
	c.roster.renew(c.workers)
	return c.roster.all
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
			if i, ok := v.indexOf(r.worker); ok {
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

// addRun adds a run to its task and its worker.
func (t *task) addRun(r *run) {
	if len(t.runs) == 0 && !t.done {
		t.step.idle--
	}
	t.runs = append(t.runs, r)
	r.worker.addRun(r)
}

// dropRun is the inverse of addRun; a run that was dropped before is left alone.
func (t *task) dropRun(r *run) {
	r.worker.dropRun(r)
	i := slices.Index(t.runs, r)
	if i < 0 {
		return
	}
	t.runs = slices.Delete(t.runs, i, i+1)
	if len(t.runs) == 0 && !t.done {
		t.step.idle++
	}
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
