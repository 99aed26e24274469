package owner

import (
	"fmt"
	"slices"
	"time"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/placement"
)

// schedulingPass places the waiting tasks of one service.
type schedulingPass struct {
	core        *Core
	service     string
	pool        *poolState
	now         time.Time
	entries     []queueEntry // in placement order
	unplaceable placement.UnplaceableNeeds

	placedEntries int         // entries handled by placeLongRunning
	view          *workerView // all usable workers; nil until needed
	viewStep      *stepState  // step that view's counts are for
	avoided       []*worker   // see avoidedWorkers
	avoidedListed bool        // avoided is set
}

// placeLongRunning places long-running tasks, which come first in the order.
func (p *schedulingPass) placeLongRunning() {
	n := 0
	for n < len(p.entries) && p.entries[n].band == bandLongRunning {
		n++
	}
	for _, e := range p.entries[:n] {
		p.placeJob(e.job)
	}
	p.placedEntries = n
}

// placeRemaining places the tasks of the remaining entries. Speculative copies of slow tasks are
// placed last, and only if no task waits for capacity.
func (p *schedulingPass) placeRemaining() {
	for _, e := range p.entries[p.placedEntries:] {
		if p.startsDeferred() {
			break
		}
		p.placeJob(e.job)
	}
	if p.pool.waitingCores == 0 && !p.startsDeferred() {
		p.placeLateCopies(p.entries)
	}
	p.pool.updateWaitingSince(p.now)
}

// placeJob places the waiting tasks of the job's ready steps.
func (p *schedulingPass) placeJob(j *jobState) {
	for _, s := range j.steps {
		if s.ready() && p.core.mayStart(s, p.now) {
			p.placeStep(s)
		}
	}
}

// startsDeferred reports whether the service's starts wait until the start window has headroom.
func (p *schedulingPass) startsDeferred() bool { return p.core.startWindow.deferred[p.service] }

// deferStarts reports whether no run may be started now: the start window is full, or no run number is left. If so,
// it defers the service's starts, so that the service is scheduled again once there are.
func (p *schedulingPass) deferStarts() bool {
	if !p.core.startWindow.isFull() && !p.core.runs.isUsedUp() {
		return false
	}
	p.core.startWindow.deferred[p.service] = true
	p.core.changedServices[p.service] = true
	return true
}

// workersFor returns all usable workers, with the step's runs counted on each.
func (p *schedulingPass) workersFor(s *stepState) *workerView {
	if p.view == nil {
		p.view = p.core.newWorkerView(p.service, p.now)
	}
	if p.viewStep != s {
		p.view.countStepTasks(s, p.now)
		p.viewStep = s
	}
	return p.view
}

// startRun starts the task on the worker and updates the index and the view.
func (p *schedulingPass) startRun(t *task, w *worker, req *placement.Request, number uint64) {
	p.core.startRun(t, w, number, p.now)
	p.core.reindex(w, p.now)
	if p.view == nil {
		return
	}
	if i, ok := p.view.indexOf(w); ok {
		placement.Assign(&p.view.views[i], req)
	}
	if p.viewStep != t.step {
		p.viewStep = nil
	}
}

// placementRequest returns the requirements of a task of the step.
func placementRequest(s *stepState) placement.Request {
	return placement.Request{
		Need:                  s.spec.ReservedResources(),
		Filler:                s.spec.Filler,
		Serving:               s.spec.LatencyTarget > 0,
		RequiredLabel:         s.spec.RequiredLabel,
		PreferredRack:         s.spec.PreferredRack,
		MaxPerWorker:          s.spec.MaxPerWorker,
		LongRunning:           s.spec.LongRunning,
		PreferredMaxPerWorker: s.spec.MayMiss,
		Restricted:            s.needsPermits(),
	}
}

// placeStep starts the step's waiting tasks one by one until capacity or the start window
// is exhausted. Tasks without capacity count as waiting even while the window is full.
func (p *schedulingPass) placeStep(s *stepState) {
	if s.spec.Gang {
		p.placeGang(s)
		return
	}
	if s.spec.Speculative {
		defer p.placeCopies(s, urgentCopy)
	}
	var sel *workerSelector
	for i := range s.spec.Count {
		untouched := i >= len(s.tasks)
		t := s.task(i)
		if !t.needsPlacement(p.now) || t.awaitsEvidence(p.core, p.now) || t.awaitsList(p.core, p.now) || !p.core.lossProven(t) {
			if untouched {
				return // nor may the other untouched tasks be started
			}
			continue
		}
		if !p.withinTenantLimit(s, 1) {
			return
		}
		if sel == nil {
			sel = p.newWorkerSelector(s)
		}
		if t.crashRisk() != job.CrashRiskNone {
			p.placeIsolated(t, sel, t.excludedAfterFailure(p.now))
			if p.startsDeferred() {
				return
			}
			if len(t.runs) == 0 {
				p.useAvoidedWorker(s, &sel.req)
				if untouched {
					p.pool.addWaiting(s, s.untouched()) // as t, with which they share the risk
					return
				}
			}
			continue
		}
		if p.unplaceable.Covers(&sel.req) && !s.recentlyPreempted(p.now) {
			p.onNoCapacity(s, &sel.req)
			return
		}
		kept := t.isKeptForWorker(p.now)
		w := sel.pick(t, func(w *worker) bool {
			return kept && w.Worker != t.outstandingStart.worker || p.core.prefersOthers(t, w)
		})
		if w == nil && kept {
			continue
		}
		if w == nil && (t.awaitsOtherWorker(&p.pool.free, &sel.req, p.now) || t.awaitsWorkerAfterStall(p.now)) {
			p.pool.addWaiting(s, 1)
			t.addTime(CauseFailedThereBefore, s.readySince(), p.now)
			p.requestAdvice(s)
			continue
		}
		if w == nil && len(t.failedOn)+len(t.stalledOn)+len(t.crashes) > 0 {
			w = sel.pick(t, excludeNone)
		}
		if w == nil {
			p.onNoCapacity(s, &sel.req)
			return
		}
		if p.deferStarts() {
			return
		}
		sel.start(t, w)
		s.waitingSince = time.Time{}
	}
}

// onNoCapacity handles a step whose remaining tasks fit on no worker now: it counts them as
// demand for capacity, tries preemption and logs the wait. Tasks that are too large for every
// worker do not count as demand.
func (p *schedulingPass) onNoCapacity(s *stepState, req *placement.Request) {
	possible := p.pool.free.couldFit(req) || p.pool.supply.couldFitAtFullSize(req.Need)
	if possible {
		p.pool.addWaiting(s, countUnplaced(s, p.now))
		p.unplaceable.Add(req)
		p.preempt(s, req)
	}
	p.useAvoidedWorker(s, req)
	p.logWaiting(s, possible)
	s.addWaitTime(p.core.waitCause(p.service), p.now)
	p.requestAdvice(s)
}

// requestAdvice queries the advisor if the step needs permits.
func (p *schedulingPass) requestAdvice(s *stepState) {
	if s.needsPermits() {
		p.core.queryAdvisor(s, p.workersFor(s), p.now)
	}
}

// logWaiting logs once per job why one of its tasks could not be placed.
func (p *schedulingPass) logWaiting(s *stepState, possible bool) {
	j := s.job
	if j.waitLogged {
		return
	}
	j.waitLogged = true
	why := "insufficient capacity"
	if !possible {
		why = "no worker could ever fit it"
	}
	need := s.spec.ReservedResources()
	p.core.logDecision(Decision{Event: "job-waits", Job: j.spec.ID, Reason: fmt.Sprintf("%s: step %d needs %d millicores and %d MB, %d workers are usable",
		why, s.index, need.CPUMilli, need.MemMB, p.pool.free.size())})
}

// countUnplaced returns how many tasks of the step need placement.
func countUnplaced(s *stepState, now time.Time) int {
	n := s.untouched()
	for _, t := range s.tasks {
		if t.needsPlacement(now) {
			n++
		}
	}
	return n
}

// placeGang starts all tasks of a gang under one run number, or none of them.
func (p *schedulingPass) placeGang(s *stepState) {
	for _, t := range s.tasks {
		if !t.needsPlacement(p.now) || t.awaitsEvidence(p.core, p.now) || t.awaitsList(p.core, p.now) || !p.core.lossProven(t) {
			return
		}
	}
	if !p.withinTenantLimit(s, s.spec.Count) {
		return
	}
	req := placementRequest(s)
	view := p.workersFor(s).startingAt(s.tieBreak())
	views := view.views
	if s.crashRisk() != job.CrashRiskNone {
		views = p.isolationViews(s, view)
	}
	chosen := placement.ChooseGang(s.withoutStalled(view, views), req, s.spec.Count, s.spec.SameRack)
	if chosen == nil && !s.awaitsWorkerAfterStall(p.now) {
		chosen = placement.ChooseGang(views, req, s.spec.Count, s.spec.SameRack)
	}
	if chosen == nil {
		p.pool.addWaiting(s, s.spec.Count)
		p.useAvoidedWorker(s, &req)
		s.addWaitTime(p.core.waitCause(p.service), p.now)
		p.requestAdvice(s)
		return
	}
	if p.deferStarts() {
		return
	}
	s.waitingSince = time.Time{}
	s.unifyCheckpoints()
	number := p.core.runs.next()
	for n, i := range chosen {
		p.startRun(s.task(n), view.workers[i], &req, number)
	}
}

// unifyCheckpoints gives all members of the gang the checkpoint of one. Records of earlier versions may have different
// ones.
func (s *stepState) unifyCheckpoints() {
	for _, t := range s.tasks {
		if t.checkpoint != "" {
			s.setCheckpoints(t.checkpoint)
			return
		}
	}
}

// withoutStalled returns a copy of the views that excludes the workers on which the step's gang made no
// progress.
func (s *stepState) withoutStalled(view *workerView, views []placement.Worker) []placement.Worker {
	out := slices.Clone(views)
	for i, w := range view.workers {
		out[i].Excluded = out[i].Excluded || s.hasStalledOn(w)
	}
	return out
}

// workerSelector selects workers for the tasks of one step.
type workerSelector struct {
	pass      *schedulingPass
	step      *stepState
	req       placement.Request
	stepTasks map[*worker]int // tasks of the step per worker; nil unless MaxPerWorker is set
}

// newWorkerSelector returns a selector that counts the step's existing runs.
func (p *schedulingPass) newWorkerSelector(s *stepState) *workerSelector {
	sel := &workerSelector{pass: p, step: s, req: placementRequest(s)}
	if sel.req.MaxPerWorker > 0 {
		sel.stepTasks = map[*worker]int{}
		for _, t := range s.tasks {
			for _, r := range t.runs {
				sel.stepTasks[r.worker]++
			}
		}
	}
	return sel
}

// pick returns the best worker for the task that is not excluded; nil if none has capacity.
func (sel *workerSelector) pick(t *task, excluded func(*worker) bool) *worker {
	if sel.req.LongRunning || sel.req.Filler || sel.req.Serving {
		return sel.pickByScan(t.tieBreak(), excluded)
	}
	s, now := sel.step, sel.pass.now
	permits := s.needsPermits()
	allowed := func(w *worker) bool {
		return !excluded(w) && !w.isKeptForOther(s, now) && (!permits || s.hasValidTicket(w, now))
	}
	return sel.pass.pool.free.choose(&sel.req, allowed, sel.stepTasks, t.tieBreak(), now)
}

// pickByScan examines every worker of the service. It is for tasks that share a worker with
// others for a long time: these are scored by the other tasks on the worker as well, and the
// free index orders workers by free capacity only.
func (sel *workerSelector) pickByScan(first tieBreak, excluded func(*worker) bool) *worker {
	view := sel.pass.workersFor(sel.step).startingAt(first)
	views := view.views
	if slices.ContainsFunc(view.workers, excluded) {
		views = slices.Clone(views)
		for i, w := range view.workers {
			views[i].Excluded = views[i].Excluded || excluded(w)
		}
	}
	if i := placement.Choose(views, sel.req); i >= 0 {
		return view.workers[i]
	}
	return nil
}

// start starts the task on the worker under a new run number.
func (sel *workerSelector) start(t *task, w *worker) {
	sel.pass.startRun(t, w, &sel.req, sel.pass.core.runs.next())
	if sel.stepTasks != nil {
		sel.stepTasks[w]++
	}
}

func excludeNone(*worker) bool { return false }
