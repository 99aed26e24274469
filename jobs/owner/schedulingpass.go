package owner

import (
	"fmt"
	"slices"
	"time"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/placement"
)

// schedulingPass is one placement of a service's waiting tasks.
type schedulingPass struct {
	core        *Core
	service     string
	pool        *poolState
	now         time.Time
	entries     []queueEntry // in the order in which they get room
	unplaceable placement.RejectedNeeds

	placedEntries int         // claims that are placed
	view          *workerView // all usable workers; nil: they were not needed so far
	viewStep      *stepState  // the step of which view has the counts
}

// placeLongRunning places long-running tasks, which come first in the order.
func (p *schedulingPass) placeLongRunning() {
	n := 0
	for n < len(p.entries) && p.entries[n].band == bandLongRunning {
		n++
	}
	for _, cl := range p.entries[:n] {
		p.placeJob(cl.job)
	}
	p.placedEntries = n
}

// placeRemaining places all that placeLasting left.
func (p *schedulingPass) placeRemaining() {
	for _, cl := range p.entries[p.placedEntries:] {
		if p.startsDeferred() {
			break
		}
		p.placeJob(cl.job)
	}
	if p.pool.waitingCores == 0 && !p.startsDeferred() {
		p.placeLateCopies(p.entries)
	}
	p.pool.updateWaitingSince(p.now)
}

// placeJob places the tasks of a job that can start.
func (p *schedulingPass) placeJob(j *jobState) {
	for _, s := range j.steps {
		if s.ready() {
			p.placeStep(s)
		}
	}
}

// startsDeferred reports whether no more starts are ordered until answers have come.
func (p *schedulingPass) startsDeferred() bool { return p.core.startWindow.deferred[p.service] }

// deferStarts reports whether no further start may be ordered, and takes note of it.
func (p *schedulingPass) deferStarts() bool {
	if !p.core.startWindow.isFull() {
		return false
	}
	p.core.startWindow.deferred[p.service] = true
	p.core.changedServices[p.service] = true
	return true
}

// workersFor returns all usable workers, with what runs there of the step.
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

// startRun starts the task on the worker, and takes its room.
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

// placementRequest returns what a task of the step needs.
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

// placeStep starts the step's waiting tasks one by one, as long as there is room and starts
// may be ordered. Tasks without room are counted as such also if none may.
func (p *schedulingPass) placeStep(s *stepState) {
	if s.spec.Gang {
		p.placeGang(s)
		return
	}
	if s.spec.Speculative {
		defer p.placeCopies(s, urgentCopy)
	}
	var choice *workerSelector
	for _, t := range s.tasks {
		if !t.needsPlacement(p.now) || t.awaitsLossDecision(p.core, p.now) {
			continue
		}
		if !p.withinTenantLimit(s, 1) {
			return
		}
		if choice == nil {
			choice = p.newWorkerSelector(s)
		}
		if t.suspicion() != job.CrashRiskNone {
			p.placeSuspect(t, choice, t.excludedAfterFailure(p.now))
			if p.startsDeferred() {
				return
			}
			continue
		}
		if p.unplaceable.Covers(&choice.req) && !s.recentlyPreempted(p.now) {
			p.onNoCapacity(s, &choice.req)
			return
		}
		w := choice.pick(t.hasFailedOn)
		if w == nil && t.awaitsOtherWorker(&p.pool.free, &choice.req, p.now) {
			p.pool.addWaiting(s, 1)
			t.addTime(CauseFailedThereBefore, s.readySince(), p.now)
			continue
		}
		if w == nil && len(t.failedOn) > 0 {
			w = choice.pick(excludeNone)
		}
		if w == nil {
			p.onNoCapacity(s, &choice.req)
			return
		}
		if p.deferStarts() {
			return
		}
		choice.start(t, w)
		s.waitingSince = time.Time{}
	}
}

// onNoCapacity takes note of a step of which no further task finds room.
func (p *schedulingPass) onNoCapacity(s *stepState, req *placement.Request) {
	possible := p.pool.free.couldFit(req) || p.pool.supply.couldFitAtFullSize(req.Need)
	if possible {
		p.pool.addWaiting(s, countUnplaced(s, p.now))
		p.unplaceable.Add(req)
		p.preempt(s, req)
	}
	p.logWaiting(s, possible)
	s.addWaitTime(p.core.waitCause(p.service), p.now)
	p.requestAdvice(s)
}

// requestAdvice asks the advisor about workers if the step needs that.
func (p *schedulingPass) requestAdvice(s *stepState) {
	if s.needsPermits() {
		p.core.queryAdvisor(s, p.workersFor(s), p.now)
	}
}

// logWaiting says once for each job why a task of it was not placed.
func (p *schedulingPass) logWaiting(s *stepState, possible bool) {
	j := s.job
	if j.waitLogged {
		return
	}
	j.waitLogged = true
	why := "no room"
	if !possible {
		why = "no worker can ever take it"
	}
	need := s.spec.ReservedResources()
	p.core.note(Decision{Event: "job-waits", Job: j.spec.ID, Reason: fmt.Sprintf("%s: step %d needs %d thousandths of a core and %d MB, %d workers are usable",
		why, s.index, need.CPUMilli, need.MemMB, p.pool.free.size())})
}

// countUnplaced returns how many tasks of the step could start now.
func countUnplaced(s *stepState, now time.Time) int {
	n := 0
	for _, t := range s.tasks {
		if t.needsPlacement(now) {
			n++
		}
	}
	return n
}

// placeGang starts all tasks of a gang under one run number, or none.
func (p *schedulingPass) placeGang(s *stepState) {
	for _, t := range s.tasks {
		if !t.needsPlacement(p.now) || t.awaitsLossDecision(p.core, p.now) {
			return
		}
	}
	if !p.withinTenantLimit(s, len(s.tasks)) {
		return
	}
	req := placementRequest(s)
	room := p.workersFor(s)
	views := room.views
	if s.suspicion() != job.CrashRiskNone {
		views = p.isolationViews(s, room)
	}
	chosen := placement.ChooseGang(views, req, len(s.tasks), s.spec.SameRack)
	if chosen == nil {
		p.pool.addWaiting(s, len(s.tasks))
		s.addWaitTime(p.core.waitCause(p.service), p.now)
		p.requestAdvice(s)
		return
	}
	if p.deferStarts() {
		return
	}
	number := p.core.nextRunNumber()
	for n, i := range chosen {
		p.startRun(s.tasks[n], room.workers[i], &req, number)
	}
}

// workerSelector chooses workers for the tasks of one step.
type workerSelector struct {
	p         *schedulingPass
	step      *stepState
	req       placement.Request
	stepTasks map[*worker]int // tasks of the step by worker; kept if only so many may be on one
}

// newWorkerSelector returns the choice for the step's tasks, of which some may run already.
func (p *schedulingPass) newWorkerSelector(s *stepState) *workerSelector {
	ch := &workerSelector{p: p, step: s, req: placementRequest(s)}
	if ch.req.MaxPerWorker > 0 {
		ch.stepTasks = map[*worker]int{}
		for _, t := range s.tasks {
			for _, r := range t.runs {
				ch.stepTasks[r.worker]++
			}
		}
	}
	return ch
}

// pick returns the pick worker that is not barred, nil if none has room.
func (ch *workerSelector) pick(barred func(*worker) bool) *worker {
	if ch.req.LongRunning || ch.req.Filler || ch.req.Serving {
		return ch.pickByScan(barred)
	}
	s, now := ch.step, ch.p.now
	permits := s.needsPermits()
	allowed := func(w *worker) bool {
		return !barred(w) && !w.isReservedForOther(s, now) && (!permits || s.hasValidTicket(w, now))
	}
	return ch.p.pool.free.choose(&ch.req, allowed, ch.stepTasks, now)
}

// pickByScan looks at each worker of the service: what is best for tasks that share it
// with others over a long time depends on more than its room.
func (ch *workerSelector) pickByScan(barred func(*worker) bool) *worker {
	room := ch.p.workersFor(ch.step)
	views := room.views
	if slices.ContainsFunc(room.workers, barred) {
		views = slices.Clone(views)
		for i, w := range room.workers {
			views[i].Excluded = views[i].Excluded || barred(w)
		}
	}
	if i := placement.Choose(views, ch.req); i >= 0 {
		return room.workers[i]
	}
	return nil
}

// start starts the task on the worker.
func (ch *workerSelector) start(t *task, w *worker) {
	ch.p.startRun(t, w, &ch.req, ch.p.core.nextRunNumber())
	if ch.stepTasks != nil {
		ch.stepTasks[w]++
	}
}

func excludeNone(*worker) bool { return false }
