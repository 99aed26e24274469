package owner

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/postmount/postmount/jobs/job"
)

// Limits of the platform for workers.
const (
	simMaxLease    = 10 * time.Second
	simMaxStopTime = 900 * time.Millisecond
	// simFirstClockMs is the clock of an incarnation when it begins to answer.
	simFirstClockMs = 1000
)

// simWorker is a worker that restarts under its ID.
type simWorker struct {
	id            WorkerID
	service       string
	joined        bool            // it is registered and on the instance list
	draining      bool            // as it is registered
	inc           *simIncarnation // nil: it is restarting
	cutUntil      time.Time       // calls and answers are lost until then
	storeCutUntil time.Time       // it does not reach the store until then
	registered    bool            // its registration is in the store
	startedMs     int64           // start time of the newest incarnation
	registeredMs  int64           // start time in the registration, which may be that of a past incarnation
}

// simIncarnation is one incarnation of a worker, as the platform's protocol describes it.
type simIncarnation struct {
	sim        *restartSim
	worker     *simWorker
	startedMs  int64
	bornAt     time.Time
	bornClock  int64   // its clock at bornAt, in ms
	speed      float64 // of its clock
	capacity   int     // most runs at a time; 0: it starts whatever it is told to
	token      uint64  // highest fencing token seen
	leaseEndMs int64
	expiries   int // lease ends set, so that an earlier one is not applied
	runs       []*simRun
	ends       []*simEnd // not forgotten
	lastSeq    uint64
	closedRuns map[job.TaskID]uint64 // highest run that was stopped or has ended, by task
	waiting    []*simWait
}

// simRun is a run on an incarnation.
type simRun struct {
	task      job.TaskID
	number    uint64
	inc       *simIncarnation
	startedAt time.Time
	duration  time.Duration
	ended     bool
	// misdirected: the start was sent to another incarnation of the worker.
	misdirected bool
}

// simEnd is the end of a run as its incarnation lists it.
type simEnd struct {
	RunEnd
	at     time.Time
	noted  time.Time // when it was taken note of; zero: it was not
	lapsed bool      // the lease expired before it was taken note of
}

// simWait is a hold that waits for the end of a run.
type simWait struct {
	hold   Hold
	answer func(HoldAnswer)
	over   bool
}

func (i *simIncarnation) clockMs() int64 {
	return i.bornClock + int64(float64(i.sim.now.Sub(i.bornAt).Milliseconds())*i.speed)
}

// after does something after d unless the incarnation has ended by then.
func (i *simIncarnation) after(d time.Duration, do func()) {
	i.sim.after(d, func() {
		if i.worker.inc == i {
			do()
		}
	})
}

// admit applies an order's fencing token and reports whether the order may be carried out.
func (i *simIncarnation) admit(token uint64) bool {
	if token < i.token {
		return false
	}
	i.token = token
	return true
}

// extendLease applies the lease end of an order.
func (i *simIncarnation) extendLease(leaseEndMs int64) {
	until := min(leaseEndMs, i.clockMs()+simMaxLease.Milliseconds())
	if until <= i.leaseEndMs {
		return
	}
	i.leaseEndMs = until
	i.expiries++
	n := i.expiries
	left := time.Duration(float64(until-i.clockMs())/i.speed*float64(time.Millisecond)) + time.Millisecond
	i.after(left, func() {
		if i.expiries == n {
			i.expireLease()
		}
	})
}

func (i *simIncarnation) expireLease() {
	for _, e := range i.ends {
		e.lapsed = true
	}
	for len(i.runs) > 0 {
		i.runs[0].end(EndLeaseExpired)
	}
}

func (i *simIncarnation) start(o Start) Outcome {
	known := slices.ContainsFunc(i.runs, func(r *simRun) bool { return r.task == o.Task && r.number == o.Run })
	switch {
	case !i.admit(o.Token):
		return Fenced
	case o.LeaseUntilMs <= i.clockMs():
		return LeaseExpired
	}
	i.extendLease(o.LeaseUntilMs)
	switch {
	case known:
		return Accepted
	case o.Run <= i.closedRuns[o.Task]:
		return RunTooOld
	case i.capacity > 0 && len(i.runs) >= i.capacity:
		return NoCapacity
	}
	r := &simRun{task: o.Task, number: o.Run, inc: i, startedAt: i.sim.now, duration: i.sim.durationOf(o.Task), misdirected: o.StartedMs != i.startedMs}
	i.runs = append(i.runs, r)
	i.sim.judge.started(r)
	what := "worker starts"
	if r.misdirected {
		what = "worker starts, by an order for another incarnation"
	}
	i.sim.log(what, r)
	kind := EndDone
	if i.sim.rnd.Float64() < i.sim.failing || i.sim.stored[o.Task.Job].Job.Steps[o.Task.Step].LongRunning {
		kind = EndFailed
	}
	i.after(r.duration, func() { r.end(kind) })
	return Accepted
}

func (i *simIncarnation) stop(o Stop) Outcome {
	if !i.admit(o.Token) {
		return Fenced
	}
	i.closedRuns[o.Task] = max(i.closedRuns[o.Task], o.Run)
	for _, r := range i.runs {
		if r.task == o.Task && r.number == o.Run {
			i.after(time.Duration(i.sim.rnd.Int64N(int64(simMaxStopTime))), func() { r.end(EndStopped) })
		}
	}
	return Accepted
}

// end ends the run, unless it has ended, and wakes the holds that wait for this.
func (r *simRun) end(kind EndKind) {
	if r.ended {
		return
	}
	r.ended = true
	i := r.inc
	i.runs = slices.DeleteFunc(i.runs, func(o *simRun) bool { return o == r })
	i.closedRuns[r.task] = max(i.closedRuns[r.task], r.number)
	i.lastSeq++
	e := &simEnd{RunEnd: RunEnd{Seq: i.lastSeq, Task: r.task, Run: r.number, Kind: kind}, at: i.sim.now, lapsed: i.leaseEndMs <= i.clockMs()}
	i.ends = append(i.ends, e)
	i.sim.judge.ended(r, e)
	i.sim.log("worker: run is "+kind.String(), r)
	waiting := slices.Clone(i.waiting)
	if i.sim.shuffleWaits {
		i.sim.rnd.Shuffle(len(waiting), func(a, b int) { waiting[a], waiting[b] = waiting[b], waiting[a] })
	}
	for _, w := range waiting {
		if len(i.ends) > 0 {
			i.endWait(w)
		}
	}
}

// forget drops the ends that a hold acknowledges, which takes note of them.
func (i *simIncarnation) forget(through uint64) {
	for len(i.ends) > 0 && i.ends[0].Seq <= through {
		i.ends[0].noted = i.sim.now
		i.ends = i.ends[1:]
	}
}

// hold carries out a hold. Its acknowledgement applies when it arrives, and again when its wait ends.
func (i *simIncarnation) hold(h Hold, answer func(HoldAnswer)) {
	if !i.admit(h.Token) {
		answer(HoldAnswer{Answer: Answer{Outcome: Fenced, ClockMs: i.clockMs()}})
		return
	}
	i.extendLease(h.LeaseUntilMs)
	if i.sim.onHold != nil {
		i.sim.onHold(h)
	}
	w := &simWait{hold: h, answer: answer}
	i.forget(h.AckThrough)
	if len(i.ends) > 0 || h.Wait == 0 {
		i.endWait(w)
		return
	}
	i.waiting = append(i.waiting, w)
	i.after(h.Wait, func() { i.endWait(w) })
}

func (i *simIncarnation) endWait(w *simWait) {
	if w.over {
		return
	}
	w.over = true
	i.waiting = slices.DeleteFunc(i.waiting, func(o *simWait) bool { return o == w })
	i.forget(w.hold.AckThrough)
	a := HoldAnswer{Answer: Answer{Outcome: Accepted, ClockMs: i.clockMs()}, StartedMs: i.startedMs}
	for _, r := range i.runs {
		percent := int(100 * i.sim.now.Sub(r.startedAt) / r.duration)
		a.Active = append(a.Active, ActiveRun{Task: r.task, Run: r.number, Percent: min(99, percent)})
	}
	for _, e := range i.ends {
		a.Ends = append(a.Ends, e.RunEnd)
	}
	w.answer(a)
}

// isReachable reports whether calls reach the worker and answers come back.
func (w *simWorker) isReachable(now time.Time) bool { return w.inc != nil && !now.Before(w.cutUntil) }

// begin begins an incarnation.
func (w *simWorker) begin(s *restartSim, clockMs int64) {
	w.startedMs++
	if !s.now.Equal(s.startedAt) {
		w.startedMs = s.now.UnixMilli()
	}
	w.inc = &simIncarnation{sim: s, worker: w, startedMs: w.startedMs, bornAt: s.now, bornClock: clockMs,
		speed: 1 - maxClockSlowdown*s.rnd.Float64(), capacity: s.capacity, closedRuns: map[job.TaskID]uint64{}}
}

// crash ends the worker's incarnation with all its runs.
func (w *simWorker) crash(s *restartSim) {
	if w.inc == nil {
		return
	}
	for _, r := range w.inc.runs {
		r.ended = true
		s.judge.killed(r)
		s.log("worker restarts: run is lost", r)
	}
	w.inc = nil
}

func newSimRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }
