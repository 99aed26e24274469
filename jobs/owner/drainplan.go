package owner

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/postmount/postmount/jobs/placement"
)

// drainPlan decides which workers maintenance may reserve. A reserved worker gets no new tasks, so the
// long-running tasks that have to leave reserved workers need places on others. The plan adds up the
// reserved workers of all waves: if they were all down together, every task beyond the disruption budgets
// must have a place.
type drainPlan struct {
	core    *Core
	now     time.Time
	leaving map[*stepState]int // long-running tasks on reserved workers that were not ordered down yet
}

func (c *Core) newDrainPlan(now time.Time) *drainPlan {
	p := &drainPlan{core: c, now: now, leaving: map[*stepState]int{}}
	for _, w := range c.maintenanceWorkers {
		if !w.endOrdered {
			p.add(w)
		}
	}
	return p
}

// add adds a reserved worker.
func (p *drainPlan) add(w *worker) {
	for s, n := range longRunningOn(w) {
		p.leaving[s] += n
	}
}

// drainBlock says why a worker cannot be reserved.
type drainBlock struct {
	step   *stepState // whose tasks block it
	reason string
	// cpuMilli is what the tasks without a place need; 0: no place was looked for.
	cpuMilli int
}

// allows returns nil if w may be reserved beside the workers that already are, else what blocks it. w need
// not have any runs: as long as it is up it may be the place for tasks of other workers.
func (p *drainPlan) allows(w *worker) *drainBlock {
	if b := p.budgetBlock(w); b != nil {
		return b
	}
	leaving := longRunningOn(w)
	affected := map[string]bool{w.Service: true} // services in which places are needed or taken away
	for s := range leaving {
		affected[s.job.service] = true
	}
	for s, n := range p.leaving {
		if affected[s.job.service] || leaving[s] > 0 {
			leaving[s] += n
		}
	}
	var needs []placeNeed
	for s, n := range leaving {
		if places := n + s.withoutRun - s.spec.MayMiss; places > 0 {
			needs = append(needs, placeNeed{s, places})
		}
	}
	return p.core.findPlaces(needs, w, p.now)
}

// budgetBlock returns what the disruption budgets alone say against a reservation of w. Tasks that do not run
// use a budget up. So do those that are unavailable or leave other workers, if no other runs have to end on w
// first: its reservation would only keep it from tasks meanwhile.
func (p *drainPlan) budgetBlock(w *worker) *drainBlock {
	ordinary := len(w.runs) > w.longRunningRuns
	for s, n := range longRunningOn(w) {
		if s.withoutRun >= s.spec.MayMiss {
			return &drainBlock{step: s, reason: fmt.Sprintf("%d of its tasks do not run, %d may be unavailable", s.withoutRun, s.spec.MayMiss)}
		}
		if ordinary {
			continue
		}
		others := p.leaving[s] + unavailableElsewhere(s, w, p.now)
		if others+n > s.spec.MayMiss && (others > 0 || n <= s.spec.MayMiss) {
			return &drainBlock{step: s, reason: fmt.Sprintf("%d of its tasks are unavailable or leave other workers, %d may be unavailable", others, s.spec.MayMiss)}
		}
	}
	return nil
}

// placeNeed is a number of tasks of a step that need a place.
type placeNeed struct {
	step  *stepState
	tasks int
}

// compareNeeds orders the steps with the largest tasks first, as these fit on the fewest workers.
func compareNeeds(a, b placeNeed) int {
	return cmp.Or(
		cmp.Compare(b.step.spec.Need.CPUMilli, a.step.spec.Need.CPUMilli),
		cmp.Compare(a.step.job.spec.ID, b.step.job.spec.ID),
		cmp.Compare(a.step.occurrence, b.step.occurrence),
		cmp.Compare(a.step.index, b.step.index),
	)
}

// findPlaces returns nil if all the tasks have places at the same time on usable workers other than
// without. Runs that a long-running task may preempt leave their room to it, so that load does not keep a
// worker from being drained.
func (c *Core) findPlaces(needs []placeNeed, without *worker, now time.Time) *drainBlock {
	slices.SortFunc(needs, compareNeeds)
	views := map[string]*drainView{}
	for _, need := range needs {
		s := need.step
		v := views[s.job.service]
		if v == nil {
			v = &drainView{workerView: c.newWorkerView(s.job.service, now)}
			views[s.job.service] = v
		}
		v.countStepTasks(s, now)
		if i, ok := v.indexOf(without); ok {
			v.views[i].Excluded = true
		}
		if missing := v.place(need); missing > 0 {
			if s.needsPermits() {
				c.queryAdvisor(s, v.workerView, now)
			}
			reason := fmt.Sprintf("%d of its tasks have no place on another worker", missing)
			return &drainBlock{step: s, reason: reason, cpuMilli: missing * s.spec.ReservedResources().CPUMilli}
		}
	}
	return nil
}

// drainView is a view of a service's usable workers with the tasks placed so far.
type drainView struct {
	*workerView
	preempted bool // the room of preemptible runs counts as free
}

// place places the tasks and returns how many have no place.
func (v *drainView) place(need placeNeed) (missing int) {
	req := placementRequest(need.step)
	for n := range need.tasks {
		i := placement.Choose(v.views, req)
		if i < 0 && !v.preempted {
			v.countPreemptibleAsFree(need.step)
			i = placement.Choose(v.views, req)
		}
		if i < 0 {
			return need.tasks - n
		}
		placement.Assign(&v.views[i], &req)
	}
	return 0
}

func (v *drainView) countPreemptibleAsFree(s *stepState) {
	v.preempted = true
	for i, w := range v.workers {
		for _, r := range w.runs {
			if r.preemptibleBy(s) {
				v.views[i].Free = v.views[i].Free.Add(r.task.step.spec.ReservedResources())
			}
		}
	}
}
