package owner

import (
	"fmt"
	"slices"
	"time"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/placement"
)

// placing is one placement of a service's waiting tasks.
type placing struct {
	core    *Core
	service string
	pool    *poolState
	now     time.Time
	claims  []claim // in the order in which they get room
	full    placement.Full

	placed  int        // claims that are placed
	view    *roomView  // all usable workers; nil: they were not needed so far
	counted *stepState // the step of which view has the counts
}

// placeLasting places long-running tasks, which come first in the order.
func (p *placing) placeLasting() {
	n := 0
	for n < len(p.claims) && p.claims[n].band == bandLasting {
		n++
	}
	for _, cl := range p.claims[:n] {
		p.placeJob(cl.job)
	}
	p.placed = n
}

// placeOthers places all that placeLasting left.
func (p *placing) placeOthers() {
	for _, cl := range p.claims[p.placed:] {
		if p.heldBack() {
			break
		}
		p.placeJob(cl.job)
	}
	if p.pool.waiting == 0 && !p.heldBack() {
		p.placeLateCopies(p.claims)
	}
	p.pool.settle(p.now)
}

// placeJob places the tasks of a job that can start.
func (p *placing) placeJob(j *jobState) {
	for _, s := range j.steps {
		if s.ready() {
			p.placeStep(s)
		}
	}
}

// heldBack reports whether no more starts are ordered until answers have come.
func (p *placing) heldBack() bool { return p.core.line.held[p.service] }

// holdBack reports whether no further start may be ordered, and takes note of it.
func (p *placing) holdBack() bool {
	if !p.core.line.isFull() {
		return false
	}
	p.core.line.held[p.service] = true
	p.core.changed[p.service] = true
	return true
}

// room returns all usable workers, with what runs there of the step.
func (p *placing) room(s *stepState) *roomView {
	if p.view == nil {
		p.view = p.core.roomOf(p.service, p.now)
	}
	if p.counted != s {
		p.view.countOf(s, p.now)
		p.counted = s
	}
	return p.view
}

// start starts the task on the worker, and takes its room.
func (p *placing) start(t *task, w *worker, req *placement.Request, number uint64) {
	p.core.start(t, w, number, p.now)
	p.core.reindex(w, p.now)
	if p.view == nil {
		return
	}
	if i, ok := p.view.indexOf(w); ok {
		placement.Take(&p.view.views[i], req)
	}
	if p.counted != t.step {
		p.counted = nil
	}
}

// requestOf returns what a task of the step needs.
func requestOf(s *stepState) placement.Request {
	return placement.Request{
		Need:          s.spec.Occupies(),
		Filler:        s.spec.Filler,
		Serving:       s.spec.LatencyTarget > 0,
		RequiredLabel: s.spec.RequiredLabel,
		PreferredRack: s.spec.PreferredRack,
		MaxPerWorker:  s.spec.MaxPerWorker,
		Lasting:       s.spec.LongRunning,
		Spread:        s.spec.MayMiss,
		Permits:       s.needsPermits(),
	}
}

// placeStep starts the step's waiting tasks one by one, as long as there is room and starts
// may be ordered. Tasks without room are counted as such also if none may.
func (p *placing) placeStep(s *stepState) {
	if s.spec.Gang {
		p.placeGang(s)
		return
	}
	if s.spec.Speculative {
		defer p.placeCopies(s, urgentCopy)
	}
	var choice *stepChoice
	for _, t := range s.tasks {
		if !t.waits(p.now) || t.awaitsVerdict(p.core, p.now) {
			continue
		}
		if !p.withinLimit(s, 1) {
			return
		}
		if choice == nil {
			choice = p.choiceFor(s)
		}
		if t.suspicion() != job.Unsuspected {
			p.placeSuspect(t, choice, t.barredSince(p.now))
			if p.heldBack() {
				return
			}
			continue
		}
		if p.full.Covers(&choice.req) && !s.preemptedLately(p.now) {
			p.noRoom(s, &choice.req)
			return
		}
		w := choice.best(t.failedOnWorker)
		if w == nil && t.awaitsOther(&p.pool.free, &choice.req, p.now) {
			p.pool.wait(s, 1)
			t.note(CauseElsewhere, s.readySince(), p.now)
			continue
		}
		if w == nil && len(t.failedOn) > 0 {
			w = choice.best(nobody)
		}
		if w == nil {
			p.noRoom(s, &choice.req)
			return
		}
		if p.holdBack() {
			return
		}
		choice.start(t, w)
		s.waitingSince = time.Time{}
	}
}

// noRoom takes note of a step of which no further task finds room.
func (p *placing) noRoom(s *stepState, req *placement.Request) {
	possible := p.pool.free.possible(req) || p.pool.supply.couldTake(req.Need)
	if possible {
		p.pool.wait(s, countWaiting(s, p.now))
		p.full.Add(req)
		p.preempt(s, req)
	}
	p.noteWaiting(s, possible)
	s.noteWaits(p.core.waitCause(p.service), p.now)
	p.ask(s)
}

// ask asks the advisor about workers if the step needs that.
func (p *placing) ask(s *stepState) {
	if s.needsPermits() {
		p.core.ask(s, p.room(s), p.now)
	}
}

// noteWaiting says once for each job why a task of it was not placed.
func (p *placing) noteWaiting(s *stepState, possible bool) {
	j := s.job
	if j.waitLogged {
		return
	}
	j.waitLogged = true
	why := "no room"
	if !possible {
		why = "no worker can ever take it"
	}
	need := s.spec.Occupies()
	p.core.note(Decision{Event: "job-waits", Job: j.spec.ID, Reason: fmt.Sprintf("%s: step %d needs %d thousandths of a core and %d MB, %d workers are usable",
		why, s.index, need.CPUMilli, need.MemMB, p.pool.free.size())})
}

// countWaiting returns how many tasks of the step could start now.
func countWaiting(s *stepState, now time.Time) int {
	n := 0
	for _, t := range s.tasks {
		if t.waits(now) {
			n++
		}
	}
	return n
}

// placeGang starts all tasks of a gang under one run number, or none.
func (p *placing) placeGang(s *stepState) {
	for _, t := range s.tasks {
		if !t.waits(p.now) || t.awaitsVerdict(p.core, p.now) {
			return
		}
	}
	if !p.withinLimit(s, len(s.tasks)) {
		return
	}
	req := requestOf(s)
	room := p.room(s)
	views := room.views
	if s.suspicion() != job.Unsuspected {
		views = p.quarantineViews(s, room)
	}
	chosen := placement.ChooseGang(views, req, len(s.tasks), s.spec.SameRack)
	if chosen == nil {
		p.pool.wait(s, len(s.tasks))
		s.noteWaits(p.core.waitCause(p.service), p.now)
		p.ask(s)
		return
	}
	if p.holdBack() {
		return
	}
	number := p.core.nextRun()
	for n, i := range chosen {
		p.start(s.tasks[n], room.workers[i], &req, number)
	}
}

// stepChoice chooses workers for the tasks of one step.
type stepChoice struct {
	p    *placing
	step *stepState
	req  placement.Request
	mine map[*worker]int // tasks of the step by worker; kept if only so many may be on one
}

// choiceFor returns the choice for the step's tasks, of which some may run already.
func (p *placing) choiceFor(s *stepState) *stepChoice {
	ch := &stepChoice{p: p, step: s, req: requestOf(s)}
	if ch.req.MaxPerWorker > 0 {
		ch.mine = map[*worker]int{}
		for _, t := range s.tasks {
			for _, r := range t.runs {
				ch.mine[r.worker]++
			}
		}
	}
	return ch
}

// best returns the best worker that is not barred, nil if none has room.
func (ch *stepChoice) best(barred func(*worker) bool) *worker {
	if ch.req.Lasting || ch.req.Filler || ch.req.Serving {
		return ch.bestOfAll(barred)
	}
	s, now := ch.step, ch.p.now
	permits := s.needsPermits()
	allowed := func(w *worker) bool {
		return !barred(w) && !w.keptFromOthers(s, now) && (!permits || s.permitted(w, now))
	}
	return ch.p.pool.free.choose(&ch.req, allowed, ch.mine, now)
}

// bestOfAll looks at each worker of the service: what is best for tasks that share it
// with others over a long time depends on more than its room.
func (ch *stepChoice) bestOfAll(barred func(*worker) bool) *worker {
	room := ch.p.room(ch.step)
	views := room.views
	if slices.ContainsFunc(room.workers, barred) {
		views = slices.Clone(views)
		for i, w := range room.workers {
			views[i].Barred = views[i].Barred || barred(w)
		}
	}
	if i := placement.Choose(views, ch.req); i >= 0 {
		return room.workers[i]
	}
	return nil
}

// start starts the task on the worker.
func (ch *stepChoice) start(t *task, w *worker) {
	ch.p.start(t, w, &ch.req, ch.p.core.nextRun())
	if ch.mine != nil {
		ch.mine[w]++
	}
}

func nobody(*worker) bool { return false }
