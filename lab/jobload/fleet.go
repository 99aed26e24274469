package jobload

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/owner"
)

// Times of the fleet, as in the users' documentation.
const (
	moveTime        = 1500 * time.Millisecond
	maintenanceTime = 2 * time.Second
	rackDowntime    = 4 * time.Second
	callTime        = 2 * time.Millisecond // of a call to a worker or the instance manager
	// rackSize is the number of instances in a rack.
	rackSize = 4
)

// instance is an instance and the worker that runs on it now.
type instance struct {
	owner.Instance
	worker      *worker // nil while the instance is down or spare
	workerCount int
}

// worker is a worker process, from its start to its end.
type worker struct {
	reg          owner.Registration
	on           *instance
	token        uint64
	active       map[job.TaskID]*execution
	startOrder   []job.TaskID // keys of active in the order of their start
	ends         []owner.RunEnd
	lastSeq      uint64
	lastEndedRun map[job.TaskID]uint64
	dead         bool
	hold         *pendingHold
	leaseEndMs   int64 // end of the task lease, in ms on the worker's clock
	ranTask      bool  // a task has run here
}

// pendingHold is a hold (see owner.Hold) that waits for the end of a task.
type pendingHold struct{ answer func(owner.HoldAnswer) }

type execution struct {
	run      uint64
	began    time.Time
	duration time.Duration
	cores    float64
	stopped  bool
}

// startWorker brings the instance up in its pool, with a new worker unless the pool is the spare one.
func (s *sim) startWorker(i *instance) {
	i.workerCount++
	i.State = owner.InstanceUp
	i.Worker = ""
	if s.isSpare(i.Pool) {
		return
	}
	id := owner.WorkerID(fmt.Sprintf("%s.%d", i.ID, i.workerCount))
	i.Worker = id
	i.worker = &worker{
		reg:    owner.Registration{Worker: id, Service: i.Pool, Addr: string(id), Rack: i.Rack, Capacity: s.scenario.Capacity},
		on:     i,
		active: map[job.TaskID]*execution{}, lastEndedRun: map[job.TaskID]uint64{},
	}
	s.workers[id] = i.worker
}

// endWorker ends the instance's worker and its tasks; the instance comes up again after the
// duration back.
func (s *sim) endWorker(i *instance, state owner.InstanceState, back time.Duration) {
	i.State = state
	if w := i.worker; w != nil {
		w.dead = true
		i.worker = nil
		for t, e := range w.active {
			s.countWasted(e)
			s.running[t]--
		}
	}
	s.engine.after(back, func() { s.startWorker(i) })
}

// countWasted marks a run as stopped and adds its work so far to the wasted work.
func (s *sim) countWasted(e *execution) {
	e.stopped = true
	s.result.WastedCoreSeconds += e.cores * s.engine.now.Sub(e.began).Seconds()
}

func (s *sim) isSpare(pool string) bool { return pool == sparePool }

// start applies a start order at a worker and returns its answer.
func (s *sim) start(o owner.Start) owner.Answer {
	w := s.workers[o.Worker]
	a := owner.Answer{Outcome: owner.Accepted, ClockMs: s.clockMs()}
	switch {
	case w == nil || w.dead:
		return owner.Answer{Outcome: owner.Unanswered}
	case o.Token < w.token:
		a.Outcome = owner.Fenced
		return a
	case w.active[o.Task] != nil && w.active[o.Task].run == o.Run:
		return a // a repeated order
	case w.active[o.Task] != nil || o.Run <= w.lastEndedRun[o.Task]:
		a.Outcome = owner.RunTooOld
		return a
	case o.LeaseUntilMs != 0 && o.LeaseUntilMs < s.clockMs():
		a.Outcome = owner.LeaseExpired
		return a
	}
	w.token = o.Token
	s.renewLease(w, o.LeaseUntilMs)
	if s.done[o.Task] || s.running[o.Task] > 0 {
		s.result.DuplicateStarts++
	}
	s.running[o.Task]++
	step := &s.jobs[o.Task.Job].spec.Steps[o.Task.Step]
	e := &execution{run: o.Run, began: s.engine.now, duration: s.taskDuration(o.Task), cores: float64(step.Need.CPUMilli) / 1000}
	w.active[o.Task] = e
	w.ranTask = true
	w.startOrder = append(w.startOrder, o.Task)
	s.result.Starts++
	s.engine.after(e.duration, func() {
		if !e.stopped && !w.dead {
			s.endRun(w, o.Task, e, owner.EndDone)
		}
	})
	return a
}

// endRun records the end of a run and answers the worker's pending hold.
func (s *sim) endRun(w *worker, t job.TaskID, e *execution, kind owner.EndKind) {
	e.stopped = true
	s.running[t]--
	s.done[t] = s.done[t] || kind == owner.EndDone
	delete(w.active, t)
	w.startOrder = slices.DeleteFunc(w.startOrder, func(o job.TaskID) bool { return o == t })
	w.lastEndedRun[t] = max(w.lastEndedRun[t], e.run)
	w.lastSeq++
	w.ends = append(w.ends, owner.RunEnd{Seq: w.lastSeq, Task: t, Run: e.run, Kind: kind})
	if w.hold != nil {
		s.answerHold(w, w.hold)
	}
}

// stop applies a stop order at a worker and returns its answer.
func (s *sim) stop(o owner.Stop) owner.Answer {
	w := s.workers[o.Worker]
	if w == nil || w.dead {
		return owner.Answer{Outcome: owner.Unanswered}
	}
	w.lastEndedRun[o.Task] = max(w.lastEndedRun[o.Task], o.Run)
	if e := w.active[o.Task]; e != nil && e.run <= o.Run {
		s.countWasted(e)
		s.endRun(w, o.Task, e, owner.EndStopped)
	}
	return owner.Answer{Outcome: owner.Accepted, ClockMs: s.clockMs()}
}

// beginHold carries out a hold for an owner whose work takes no time.
func (s *sim) beginHold(o owner.Hold) {
	term := s.term
	deliverAnswer := func(held owner.HoldAnswer) {
		s.deliver(HoldAnswered, term, func(c *owner.Core) { c.OnHoldAnswer(o.Target, held, s.engine.now) })
	}
	if w := s.workers[o.Worker]; w == nil || w.dead {
		s.engine.after(o.Wait+owner.OrderTimeout, func() { deliverAnswer(owner.HoldAnswer{Answer: owner.Answer{Outcome: owner.Unanswered}}) })
		return
	}
	if s.drawCallLoss() {
		s.engine.after(o.Wait+o.Timeout, func() { deliverAnswer(owner.HoldAnswer{Answer: owner.Answer{Outcome: owner.Unanswered}}) })
		return
	}
	s.receiveHold(o, func(held owner.HoldAnswer) {
		if held.Outcome == owner.Unanswered {
			deliverAnswer(held)
			return
		}
		s.engine.after(callTime, func() { deliverAnswer(held) })
	})
}

// receiveHold applies a hold at a worker, which answers when a run or the wait has ended. A
// worker that has ended does not answer.
func (s *sim) receiveHold(o owner.Hold, answer func(owner.HoldAnswer)) {
	w := s.workers[o.Worker]
	if w == nil || w.dead {
		return
	}
	w.token = max(w.token, o.Token)
	s.renewLease(w, o.LeaseUntilMs)
	w.ends = slices.DeleteFunc(w.ends, func(e owner.RunEnd) bool { return e.Seq <= o.AckThrough })
	h := &pendingHold{answer: answer}
	w.hold = h
	wait := o.Wait
	if len(w.ends) > 0 {
		wait = 0
	}
	s.engine.after(wait, func() { s.answerHold(w, h) })
}

// maxListedEnds is the largest number of ended runs in an answer to a hold, as on the platform.
const maxListedEnds = 500

// answerHold answers a hold, unless it has been answered or replaced.
func (s *sim) answerHold(w *worker, h *pendingHold) {
	if w.hold != h {
		return
	}
	w.hold = nil
	if w.dead {
		h.answer(owner.HoldAnswer{Answer: owner.Answer{Outcome: owner.Unanswered}})
		return
	}
	held := owner.HoldAnswer{Answer: owner.Answer{Outcome: owner.Accepted, ClockMs: s.clockMs()}, Ends: slices.Clone(w.ends[:min(len(w.ends), maxListedEnds)]), EndsTruncated: len(w.ends) > maxListedEnds}
	for _, t := range w.startOrder {
		e := w.active[t]
		percent := min(99, int(100*s.engine.now.Sub(e.began)/e.duration))
		held.Active = append(held.Active, owner.ActiveRun{Task: t, Run: e.run, Percent: percent})
	}
	h.answer(held)
}

// renewLease extends the worker's task lease to a time in ms on its clock and never shortens it.
// Leases are simulated only if the owner's work takes time, because none can expire otherwise.
func (s *sim) renewLease(w *worker, until int64) {
	if s.daemonSim == nil || until <= w.leaseEndMs {
		return
	}
	w.leaseEndMs = until
	s.engine.after(time.Duration(until-s.clockMs())*time.Millisecond, func() {
		if w.leaseEndMs > until || w.dead {
			return
		}
		for _, t := range slices.Clone(w.startOrder) {
			s.result.ExpiredTasks++
			s.countWasted(w.active[t])
			s.endRun(w, t, w.active[t], owner.EndLeaseExpired)
		}
	})
}

// applyInstanceOrder applies an order to move or maintain an instance.
func (s *sim) applyInstanceOrder(o owner.InstanceOrder) owner.DutyOutcome {
	i := s.instances[o.Instance]
	if i == nil {
		return owner.DutyInvalid
	}
	if i.State != owner.InstanceUp {
		return owner.DutyRefused
	}
	if o.Wave != 0 {
		s.endWorker(i, owner.InstanceInMaintenance, maintenanceTime)
		return owner.DutyDone
	}
	if i.Pool == o.Pool {
		return owner.DutyDone
	}
	s.result.Moves++
	if i.worker != nil && i.workerCount > 1 && !i.worker.ranTask {
		s.result.UnusedMoves++
	}
	i.Pool = o.Pool
	s.accountInstanceTime(i)
	s.endWorker(i, owner.InstanceMoving, moveTime)
	return owner.DutyDone
}

// accountInstanceTime ends the instance's current period in a pool other than the spare one and adds
// it to the result. It starts a new period if the instance's pool isn't the spare one.
func (s *sim) accountInstanceTime(i *instance) {
	if from, inUse := s.inUseSince[i.ID]; inUse && !s.instanceTimeEnded {
		s.result.InstanceSeconds += s.engine.now.Sub(from).Seconds()
	}
	delete(s.inUseSince, i.ID)
	if !s.isSpare(i.Pool) {
		s.inUseSince[i.ID] = s.engine.now
	}
}

// listFleet returns the instances and registrations, ordered by instance ID.
func (s *sim) listFleet() (inst []owner.Instance, regs []owner.Registration) {
	for _, id := range s.ids {
		i := s.instances[id]
		inst = append(inst, i.Instance)
		if i.worker != nil {
			regs = append(regs, i.worker.reg)
		}
	}
	return inst, regs
}

// addInstances adds n instances to a pool.
func (s *sim) addInstances(pool string, n int) {
	for k := range n {
		id := owner.InstanceID(fmt.Sprintf("%s-%03d", pool, k))
		i := &instance{Instance: owner.Instance{ID: id, Pool: pool, Rack: fmt.Sprintf("%s-r%d", pool, k/rackSize)}}
		s.instances[id] = i
		s.ids = append(s.ids, id)
		s.startWorker(i)
		s.accountInstanceTime(i)
	}
	slices.SortFunc(s.ids, func(a, b owner.InstanceID) int { return strings.Compare(string(a), string(b)) })
}

// clockStartMs is the time on the workers' clocks at the start of virtual time, in ms.
const clockStartMs = 1000

func (s *sim) clockMs() int64 { return clockStartMs + s.engine.elapsed().Milliseconds() }

// A lost call is carried out after lostCallMinDelay plus a random time up to lostCallDelaySpread.
const (
	lostCallMinDelay    = 2 * time.Second
	lostCallDelaySpread = 10 * time.Second
)

// drawCallLoss draws at random whether a call to a worker is lost.
func (s *sim) drawCallLoss() bool { return s.callLoss > 0 && s.rand.Float64() < s.callLoss }

// answerOrLose carries out an order immediately or, if the call is lost, later and without an answer.
func (s *sim) answerOrLose(do func() owner.Answer) owner.Answer {
	if !s.drawCallLoss() {
		a := do()
		a.Latency = callTime
		return a
	}
	s.engine.after(lostCallMinDelay+time.Duration(s.rand.Int64N(int64(lostCallDelaySpread))), func() { do() })
	return owner.Answer{Outcome: owner.Unanswered}
}
