package owner

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/postmount/postmount/jobs/job"
)

// Timing of the daemon around the core, as in package node, and of the simulated faults.
const (
	simTick           = 25 * time.Millisecond
	simListInterval   = 400 * time.Millisecond // between reads of the registrations
	simInstancesEvery = 700 * time.Millisecond
	simCommitInterval = 50 * time.Millisecond
	simCommitTime     = 4 * time.Millisecond
	simRestartTime    = 600 * time.Millisecond
	simElectionTime   = 2 * time.Second // from the end of an owner until the next one has begun
	simMaxLateness    = 12 * time.Second
	simLossShare      = 0.25                    // of calls, and of answers
	simLapseTime      = 1500 * time.Millisecond // from a worker's last report until its registration is removed
	// simMaxExpectedStart is how late a start may be at most so that it reaches no incarnation after the one whose
	// run list settles it: two restarts are simRestartTime apart at least.
	simMaxExpectedStart = 2 * simRestartTime
)

// restartSim simulates, in virtual time, owners that follow each other, the store, the network and
// workers that restart under their IDs. The owners are real Cores. All that happens is determined by
// the seed, but for the order of the owner's log lines of one moment.
type restartSim struct {
	rnd       *rand.Rand
	startedAt time.Time
	now       time.Time
	events    simEvents
	workers   []*simWorker
	judge     *twiceJudge

	core *Core // nil: there is no owner at present
	term uint64

	lossUntil      time.Time // calls and answers are lost at random until then
	storeAwayUntil time.Time
	stored         map[job.ID]*StoredJob
	order          []job.ID // of submission
	highestTerm    uint64   // highest term that was used or reserved

	// lateness returns when after its sending a call is carried out that did not arrive; 0: never.
	lateness     func() time.Duration
	queueAt      string           // service of the queue; "": it is removed
	maxLateStart time.Duration    // starts that would be carried out later are lost
	losesStart   func(Start) bool // reports whether a start gets lost; nil: only those that lateness or the network loses
	capacity     int              // of the workers
	failing      float64          // share of the runs that fail
	shuffleWaits bool             // holds that wait for an end are answered in any order
	maxRegLag    time.Duration    // longest time until a restarted worker's registration is renewed
	onHold       func(Hold)       // called when a worker carries out a hold; nil: nothing
	durations    map[job.ID]time.Duration
	lines        []simLine
}

// simLine is a line of the log, formatted only if a rule is broken.
type simLine struct {
	at       time.Time
	what     string
	run      *simRun
	lease    int64 // lease end and clock of the run's incarnation, in ms
	clock    int64
	decision *Decision
}

type simEvent struct {
	at  time.Time
	seq int
	do  func()
}

// simEvents is a heap of events by time, then by the order in which they were added.
type simEvents struct {
	list []simEvent
	last int
}

func (e *simEvents) Len() int { return len(e.list) }
func (e *simEvents) Less(a, b int) bool {
	return cmp.Or(e.list[a].at.Compare(e.list[b].at), cmp.Compare(e.list[a].seq, e.list[b].seq)) < 0
}
func (e *simEvents) Swap(a, b int) { e.list[a], e.list[b] = e.list[b], e.list[a] }
func (e *simEvents) Push(x any)    { e.list = append(e.list, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := e.list[len(e.list)-1]
	e.list[len(e.list)-1] = simEvent{}
	e.list = e.list[:len(e.list)-1]
	return last
}

// newRestartSim returns a simulation with three workers and an owner of the first term.
func newRestartSim(seed uint64) *restartSim {
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	s := &restartSim{rnd: newSimRand(seed), startedAt: start, now: start, judge: newTwiceJudge(), stored: map[job.ID]*StoredJob{}, durations: map[job.ID]time.Duration{}, maxRegLag: 3 * time.Second, maxLateStart: simMaxLateness, queueAt: "s"}
	s.lateness = func() time.Duration { return 0 }
	for n := range 3 {
		w := &simWorker{id: WorkerID(fmt.Sprint("w", n)), service: "s", joined: true, registered: true, startedMs: start.UnixMilli() - 60_000}
		w.begin(s, rigClockMs)
		w.registeredMs = w.startedMs
		s.workers = append(s.workers, w)
	}
	s.after(0, s.begin)
	s.every(simTick, func() { s.withCore(func(c *Core) { c.Tick(s.now) }) })
	s.every(simListInterval, s.publishRegistrations)
	s.every(simInstancesEvery, s.publishInstances)
	s.every(simCommitInterval, s.commit)
	return s
}

func (s *restartSim) after(d time.Duration, do func()) {
	s.events.last++
	heap.Push(&s.events, simEvent{s.now.Add(d), s.events.last, do})
}

// at does something at a time after the beginning of the simulation.
func (s *restartSim) at(d time.Duration, do func()) { s.after(s.startedAt.Add(d).Sub(s.now), do) }

func (s *restartSim) every(d time.Duration, do func()) {
	s.after(d, func() {
		do()
		s.every(d, do)
	})
}

// runUntil runs the simulation until a time after its beginning, or until all jobs have ended after quietFrom.
func (s *restartSim) runUntil(quietFrom, end time.Duration) {
	for len(s.events.list) > 0 && !s.events.list[0].at.After(s.startedAt.Add(end)) {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
		if s.now.After(s.startedAt.Add(quietFrom)) && s.allCompleted() {
			return
		}
	}
}

func (s *restartSim) allCompleted() bool { return len(s.incomplete()) == 0 }

// incomplete returns the jobs that are not stored as completed.
func (s *restartSim) incomplete() (out []string) {
	for _, id := range s.order {
		if p := s.stored[id].Progress; p == nil || p.State != job.Completed {
			state := job.Queued
			if p != nil {
				state = p.State
			}
			out = append(out, string(id)+" "+string(state))
		}
	}
	return out
}

// withCore passes an event to the owner, if there is one, and carries out its effects.
func (s *restartSim) withCore(event func(c *Core)) {
	if s.core == nil {
		return
	}
	event(s.core)
	s.core.React(s.now)
	for _, d := range s.core.TakeDecisions() {
		s.lines = append(s.lines, simLine{at: s.now, decision: &d})
	}
	s.send(s.core.TakeEffects())
}

// begin begins the next term.
func (s *restartSim) begin() {
	s.term = s.highestTerm + 1
	s.highestTerm = s.term
	opt := Options{Term: s.term, TaskLease: 4500 * time.Millisecond, MaxWorkerLease: simMaxLease, HoldWait: 900 * time.Millisecond,
		IdleHoldWait: 1800 * time.Millisecond, DutyHandover: 3 * time.Second, StatusRetention: 2 * time.Minute}
	var loaded []StoredJob
	for _, id := range s.order {
		loaded = append(loaded, *s.stored[id])
	}
	s.log(fmt.Sprintf("owner of term %d begins", s.term), nil)
	s.core = New(opt, s.catalog(), loaded, s.now)
	s.publishRegistrations()
	s.publishInstances()
}

// catalog returns the configuration in force.
func (s *restartSim) catalog() *job.Catalog {
	c := &job.Catalog{}
	for _, w := range s.workers {
		if c.Service(w.service) == nil {
			c.Services = append(c.Services, job.Service{Name: w.service})
		}
	}
	if s.queueAt != "" {
		c.Queues = []job.Queue{{Name: "q", Service: s.queueAt, MaxAttempts: 1000, ObjectiveFactor: 2, ObjectiveOffset: time.Second}}
	}
	return c
}

// moveQueue moves the queue to another service; "" removes it.
func (s *restartSim) moveQueue(service string) {
	s.log("queue is moved to service "+service, nil)
	s.queueAt = service
	s.withCore(func(c *Core) { c.Configure(s.catalog()) })
}

// killOwner ends the owner. Its calls stay in the network.
func (s *restartSim) killOwner() {
	if s.core == nil {
		return
	}
	s.log("owner is killed", nil)
	s.core = nil
	s.after(simElectionTime, s.begin)
}

// restart restarts a worker under its ID.
func (s *restartSim) restart(w *simWorker) {
	if w.inc == nil {
		return
	}
	s.log("worker "+string(w.id)+" restarts", nil)
	w.crash(s)
	s.after(simRestartTime, func() {
		w.begin(s, simFirstClockMs)
		s.log("worker "+string(w.id)+" is back", nil)
		s.after(time.Duration(s.rnd.Int64N(int64(s.maxRegLag)+1)), func() { s.register(w) })
	})
}

// register renews the worker's registration as soon as it reaches the store.
func (s *restartSim) register(w *simWorker) {
	if left := w.storeCutUntil.Sub(s.now); left > 0 {
		s.after(left, func() { s.register(w) })
		return
	}
	if w.inc == nil {
		return // its next incarnation registers itself
	}
	w.registeredMs, w.registered = w.startedMs, true
}

// cutFromStore cuts a worker off from the store as well, for as long as it is cut off from the owner. Its registration
// is removed.
func (s *restartSim) cutFromStore(w *simWorker) {
	w.storeCutUntil = w.cutUntil
	s.after(simLapseTime, func() {
		if !s.now.Before(w.storeCutUntil) {
			return
		}
		s.log("registration of worker "+string(w.id)+" is removed", nil)
		w.registered = false
		s.register(w)
	})
}

// cut cuts a worker off.
func (s *restartSim) cut(w *simWorker, d time.Duration) {
	s.log(fmt.Sprintf("worker %s is cut off for %s", w.id, d), nil)
	w.cutUntil = laterOf(w.cutUntil, s.now.Add(d))
}

func (s *restartSim) joinedWorkers() []*simWorker {
	return slices.DeleteFunc(slices.Clone(s.workers), func(w *simWorker) bool { return !w.joined })
}

func (s *restartSim) publishRegistrations() {
	var list []Registration
	for _, w := range s.joinedWorkers() {
		if !w.registered {
			continue
		}
		list = append(list, Registration{Worker: w.id, Service: w.service, Addr: string(w.id), StartedMs: w.registeredMs, Draining: w.draining, Capacity: job.Resources{CPUMilli: 4000, MemMB: 8000}})
	}
	s.withCore(func(c *Core) { c.SetRegistrations(list, s.now) })
}

func (s *restartSim) publishInstances() {
	var list []Instance
	for _, w := range s.joinedWorkers() {
		list = append(list, Instance{ID: InstanceID("i-" + string(w.id)), Pool: w.service, State: InstanceUp, Worker: w.id})
	}
	s.withCore(func(c *Core) { c.OnInstances(list, s.now) })
}

// submit hands in a job with tasks that take d each.
func (s *restartSim) submit(tasks int, d time.Duration) job.ID {
	return s.submitJob(simpleJob(len(s.order)+1, tasks), d)
}

// submitJob hands in a job whose tasks take d each.
func (s *restartSim) submitJob(j *job.Job, d time.Duration) job.ID {
	j.Steps[0].Estimate = d
	j.AcceptedAt = s.now
	s.durations[j.ID] = d
	s.stored[j.ID] = &StoredJob{Job: j}
	s.order = append(s.order, j.ID)
	s.withCore(func(c *Core) { c.Submit(j, s.now) })
	return j.ID
}

func (s *restartSim) durationOf(id job.TaskID) time.Duration { return s.durations[id.Job] }

// commit writes the owner's records to the store, and reserves the term that it needs.
func (s *restartSim) commit() {
	c := s.core
	if c == nil || s.now.Before(s.storeAwayUntil) {
		return
	}
	records := c.PendingRecords(30)
	term, needed := c.TermToReserve()
	s.after(simCommitTime, func() {
		for _, r := range records {
			p := r.Progress
			s.stored[r.Job.ID].Progress = &p
		}
		if needed {
			s.highestTerm = max(s.highestTerm, term)
		}
		if s.core != c {
			return
		}
		s.withCore(func(c *Core) {
			if needed {
				c.OnTermReserved(term)
			}
			c.OnCommitted(records, s.now)
		})
	})
}

func (s *restartSim) log(what string, r *simRun) {
	l := simLine{at: s.now, what: what, run: r}
	if r != nil {
		l.lease, l.clock = r.inc.leaseEndMs, r.inc.clockMs()
	}
	s.lines = append(s.lines, l)
}

// logOf returns the log without the lines about other tasks.
func (s *restartSim) logOf(task string) string {
	var b strings.Builder
	for _, l := range s.lines {
		at := l.at.Sub(s.startedAt).Seconds()
		switch {
		case l.decision != nil && (l.decision.Task == "" || l.decision.Task == task):
			fmt.Fprintf(&b, "%8.3f owner: %s %s %s run %d: %s\n", at, l.decision.Event, l.decision.Worker, l.decision.Task, l.decision.Run, l.decision.Reason)
		case l.decision == nil && l.run == nil:
			fmt.Fprintf(&b, "%8.3f %s\n", at, l.what)
		case l.decision == nil && l.run.task.String() == task:
			fmt.Fprintf(&b, "%8.3f %s: %s run %d on %s at clock %d, lease until %d\n", at, l.what, task, l.run.number, l.run.inc.worker.id, l.clock, l.lease)
		}
	}
	return b.String()
}
