package jobload

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/owner"
)

// Times of the fleet, as the users' pages give them.
const (
	moveTime        = 1500 * time.Millisecond
	maintenanceTime = 2 * time.Second
	rackBack        = 4 * time.Second
	orderTime       = 2 * time.Millisecond // of a call to a worker or to the instances' manager
	// rackSize is how many instances share a rack.
	rackSize = 4
)

// instance is one instance and the worker that runs on it now.
type instance struct {
	owner.Instance
	up    *worker // nil while it is away, or spare
	lives int
}

// worker is one life of a worker.
type worker struct {
	reg    owner.Registration
	on     *instance
	token  uint64
	active map[job.TaskID]*execution
	order  []job.TaskID // of active, as they were started
	ends   []owner.RunEnd
	number uint64
	latest map[job.TaskID]uint64
	dead   bool
	hold   *pendingHold
	lease  int64 // end of what runs here, on its clock in ms
	used   bool  // something ran here
}

// pendingHold is a hold that waits for an end.
type pendingHold struct{ answer func(owner.HoldAnswer) }

type execution struct {
	run     uint64
	began   time.Time
	takes   time.Duration
	cores   float64
	stopped bool
}

// rise begins a life of the instance in its pool.
func (s *sim) rise(i *instance) {
	i.lives++
	i.State = owner.InstanceUp
	i.Worker = ""
	if s.spare(i.Pool) {
		return
	}
	id := owner.WorkerID(fmt.Sprintf("%s.%d", i.ID, i.lives))
	i.Worker = id
	i.up = &worker{
		reg:    owner.Registration{Worker: id, Service: i.Pool, Addr: string(id), Rack: i.Rack, Capacity: s.scenario.Room},
		on:     i,
		active: map[job.TaskID]*execution{}, latest: map[job.TaskID]uint64{},
	}
	s.workers[id] = i.up
}

// fall ends what runs on the instance. back is when it rises again.
func (s *sim) fall(i *instance, state owner.InstanceState, back time.Duration) {
	i.State = state
	if w := i.up; w != nil {
		w.dead = true
		i.up = nil
		for t, e := range w.active {
			s.throw(e)
			s.running[t]--
		}
	}
	s.engine.after(back, func() { s.rise(i) })
}

// throw accounts for work that was in vain.
func (s *sim) throw(e *execution) {
	e.stopped = true
	s.result.WastedCoreSeconds += e.cores * s.engine.now.Sub(e.began).Seconds()
}

func (s *sim) spare(pool string) bool { return pool == sparePool }

// start is a worker's reaction to an order to start a task.
func (s *sim) start(o owner.Start) owner.Answer {
	w := s.workers[o.Worker]
	a := owner.Answer{Outcome: owner.Taken, ClockMs: s.clock()}
	switch {
	case w == nil || w.dead:
		return owner.Answer{Outcome: owner.Unanswered}
	case o.Token < w.token:
		a.Outcome = owner.Fenced
		return a
	case w.active[o.Task] != nil && w.active[o.Task].run == o.Run:
		return a // it is there already
	case w.active[o.Task] != nil || o.Run <= w.latest[o.Task]:
		a.Outcome = owner.RunTooOld
		return a
	case o.LeaseUntilMs != 0 && o.LeaseUntilMs < s.clock():
		a.Outcome = owner.LeaseOver
		return a
	}
	w.token = o.Token
	s.renew(w, o.LeaseUntilMs)
	if s.done[o.Task] || s.running[o.Task] > 0 {
		s.result.DuplicateStarts++
	}
	s.running[o.Task]++
	step := &s.jobs[o.Task.Job].spec.Steps[o.Task.Step]
	e := &execution{run: o.Run, began: s.engine.now, takes: s.takes(o.Task), cores: float64(step.Need.CPUMilli) / 1000}
	w.active[o.Task] = e
	w.used = true
	w.order = append(w.order, o.Task)
	s.result.Starts++
	s.engine.after(e.takes, func() {
		if !e.stopped && !w.dead {
			s.end(w, o.Task, e, owner.EndDone)
		}
	})
	return a
}

// end lists an end, and answers a hold that waits for one.
func (s *sim) end(w *worker, t job.TaskID, e *execution, kind owner.EndKind) {
	e.stopped = true
	s.running[t]--
	s.done[t] = s.done[t] || kind == owner.EndDone
	delete(w.active, t)
	w.order = slices.DeleteFunc(w.order, func(o job.TaskID) bool { return o == t })
	w.latest[t] = max(w.latest[t], e.run)
	w.number++
	w.ends = append(w.ends, owner.RunEnd{Seq: w.number, Task: t, Run: e.run, Kind: kind})
	if w.hold != nil {
		s.answerHold(w, w.hold)
	}
}

func (s *sim) stop(o owner.Stop) owner.Answer {
	w := s.workers[o.Worker]
	if w == nil || w.dead {
		return owner.Answer{Outcome: owner.Unanswered}
	}
	w.latest[o.Task] = max(w.latest[o.Task], o.Run)
	if e := w.active[o.Task]; e != nil && e.run <= o.Run {
		s.throw(e)
		s.end(w, o.Task, e, owner.EndStopped)
	}
	return owner.Answer{Outcome: owner.Taken, ClockMs: s.clock()}
}

// beginHold carries out a hold whose way takes no time to speak of.
func (s *sim) beginHold(o owner.Hold) {
	term := s.term
	tell := func(held owner.HoldAnswer) {
		s.tell(HoldAnswered, term, func(c *owner.Core) { c.OnHoldAnswer(o.Target, held, s.engine.now) })
	}
	if w := s.workers[o.Worker]; w == nil || w.dead {
		s.engine.after(o.Wait+owner.OrderTimeout, func() { tell(owner.HoldAnswer{Answer: owner.Answer{Outcome: owner.Unanswered}}) })
		return
	}
	if s.loses() {
		s.engine.after(o.Wait+o.Timeout, func() { tell(owner.HoldAnswer{Answer: owner.Answer{Outcome: owner.Unanswered}}) })
		return
	}
	if s.loses() {
		s.engine.after(o.Wait+o.Timeout, func() { tell(owner.HoldAnswer{Answer: owner.Answer{Outcome: owner.Unanswered}}) })
		return
	}
	s.receiveHold(o, func(held owner.HoldAnswer) {
		if held.Outcome == owner.Unanswered {
			tell(held)
			return
		}
		s.engine.after(orderTime, func() { tell(held) })
	})
}

// receiveHold lets a worker have a hold, which it answers at an end or when its wait is
// over. A worker that is gone does not answer.
func (s *sim) receiveHold(o owner.Hold, answer func(owner.HoldAnswer)) {
	w := s.workers[o.Worker]
	if w == nil || w.dead {
		return
	}
	w.token = max(w.token, o.Token)
	s.renew(w, o.LeaseUntilMs)
	w.ends = slices.DeleteFunc(w.ends, func(e owner.RunEnd) bool { return e.Seq <= o.AckThrough })
	h := &pendingHold{answer: answer}
	w.hold = h
	wait := o.Wait
	if len(w.ends) > 0 {
		wait = 0
	}
	s.engine.after(wait, func() { s.answerHold(w, h) })
}

func (s *sim) answerHold(w *worker, h *pendingHold) {
	if w.hold != h {
		return
	}
	w.hold = nil
	if w.dead {
		h.answer(owner.HoldAnswer{Answer: owner.Answer{Outcome: owner.Unanswered}})
		return
	}
	held := owner.HoldAnswer{Answer: owner.Answer{Outcome: owner.Taken, ClockMs: s.clock()}, Ends: slices.Clone(w.ends)}
	for _, t := range w.order {
		e := w.active[t]
		percent := min(99, int(100*s.engine.now.Sub(e.began)/e.takes))
		held.Active = append(held.Active, owner.ActiveRun{Task: t, Run: e.run, Percent: percent})
	}
	h.answer(held)
}

// renew lets what runs on the worker live until a time on its clock, never for less than
// before. Leases end only if the owner's work takes time: otherwise none can.
func (s *sim) renew(w *worker, until int64) {
	if s.shell == nil || until <= w.lease {
		return
	}
	w.lease = until
	s.engine.after(time.Duration(until-s.clock())*time.Millisecond, func() {
		if w.lease > until || w.dead {
			return
		}
		for _, t := range slices.Clone(w.order) {
			s.result.ExpiredTasks++
			s.throw(w.active[t])
			s.end(w, t, w.active[t], owner.EndLapsed)
		}
	})
}

// order carries out an order for an instance.
func (s *sim) order(o owner.InstanceOrder) owner.DutyOutcome {
	i := s.instances[o.Instance]
	if i == nil {
		return owner.DutyInvalid
	}
	if i.State != owner.InstanceUp {
		return owner.DutyRefused
	}
	if o.Wave != 0 {
		s.fall(i, owner.InstanceInMaintenance, maintenanceTime)
		return owner.DutyDone
	}
	if i.Pool == o.Pool {
		return owner.DutyDone
	}
	s.result.Moves++
	if i.up != nil && i.lives > 1 && !i.up.used {
		s.result.UnusedMoves++
	}
	i.Pool = o.Pool
	s.bill(i)
	s.fall(i, owner.InstanceMoving, moveTime)
	return owner.DutyDone
}

// bill counts the time that the instance was in a pool that is paid for, and goes on
// counting if its present one is.
func (s *sim) bill(i *instance) {
	if from, paid := s.paidSince[i.ID]; paid && !s.billed {
		s.result.InstanceSeconds += s.engine.now.Sub(from).Seconds()
	}
	delete(s.paidSince, i.ID)
	if !s.spare(i.Pool) {
		s.paidSince[i.ID] = s.engine.now
	}
}

// lists returns the instances and the registrations in the order of their ids.
func (s *sim) lists() (inst []owner.Instance, regs []owner.Registration) {
	for _, id := range s.ids {
		i := s.instances[id]
		inst = append(inst, i.Instance)
		if i.up != nil {
			regs = append(regs, i.up.reg)
		}
	}
	return inst, regs
}

func (s *sim) addInstances(pool string, n int) {
	for k := range n {
		id := owner.InstanceID(fmt.Sprintf("%s-%03d", pool, k))
		i := &instance{Instance: owner.Instance{ID: id, Pool: pool, Rack: fmt.Sprintf("%s-r%d", pool, k/rackSize)}}
		s.instances[id] = i
		s.ids = append(s.ids, id)
		s.rise(i)
		s.bill(i)
	}
	slices.SortFunc(s.ids, func(a, b owner.InstanceID) int { return strings.Compare(string(a), string(b)) })
}

func (s *sim) clock() int64 { return 1000 + s.engine.elapsed().Milliseconds() }

// Calls that are lost are carried out between lateFrom and lateFrom+lateSpread afterwards.
const (
	lateFrom   = 2 * time.Second
	lateSpread = 10 * time.Second
)

// loses draws whether a call to a worker goes without an answer.
func (s *sim) loses() bool { return s.lost > 0 && s.rand.Float64() < s.lost }

// unlessLost carries an order out, or lets it be carried out late and unheard.
func (s *sim) unlessLost(do func() owner.Answer) owner.Answer {
	if !s.loses() {
		return do()
	}
	s.engine.after(lateFrom+time.Duration(s.rand.Int64N(int64(lateSpread))), func() { do() })
	return owner.Answer{Outcome: owner.Unanswered}
}
