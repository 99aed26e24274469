package jobload

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/postmount/postmount/jobs/capacity"
	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/owner"
)

// Figures of a daemon and of callers. They are those of package node and of the
// users' pages.
const (
	tickEvery          = 25 * time.Millisecond
	commitEvery        = 40 * time.Millisecond
	storeTime          = 5 * time.Millisecond
	recordsPerCommit   = 28
	registrationsEvery = 400 * time.Millisecond
	expectingEvery     = 100 * time.Millisecond
	instancesEvery     = 700 * time.Millisecond
	taskLease          = 4500 * time.Millisecond
	holdWait           = 900 * time.Millisecond
	dutyHandover       = 3 * time.Second
	// lockLapse is how long after an owner's end the next one is elected: its lease
	// of 2 s, and the election. goneSeen is the same if its process is seen to be gone.
	lockLapse = 2100 * time.Millisecond
	goneSeen  = 100 * time.Millisecond
	// reelection is how long after the store's return an owner is elected.
	reelection = 180 * time.Millisecond
	// loadPerJob is what reading a job from the store takes a new owner.
	loadPerJob = 300 * time.Microsecond
	// rest is how long after the arrivals open jobs may still end.
	rest = 25 * time.Second

	stretch   = 1.6
	objective = 600 * time.Millisecond
	sparePool = "spare"
)

// tries are when a caller tries, counted from its first try: five times within the
// three seconds for which it waits.
var tries = []time.Duration{0, 1070 * time.Millisecond, 1840 * time.Millisecond, 2420 * time.Millisecond, 2870 * time.Millisecond}

// sim is a scenario being played.
type sim struct {
	scenario  Scenario
	engine    *engine
	rand      *rand.Rand
	catalog   *job.Catalog
	core      *owner.Core // nil while there is no owner
	term      uint64
	result    Result
	instances map[owner.InstanceID]*instance
	ids       []owner.InstanceID
	workers   map[owner.WorkerID]*worker
	paidSince map[owner.InstanceID]time.Time
	jobs      map[job.ID]*simJob
	stored    []*simJob // accepted, in this order
	progress  map[job.ID]job.Progress
	away      time.Time // until when the store is away
	commits   bool      // one is under way
	waves     int
	meter     Meter
	electedAt time.Time
	ordered   map[owner.InstanceID]time.Time // newest order for it
	lost      float64                        // share of the calls to workers that get no answer
	billed    bool                           // the arrivals are over
	shell     *shell                         // nil: the owner's work takes no time
	running   map[job.TaskID]int             // runs at work
	done      map[job.TaskID]bool
}

type simJob struct {
	spec  *job.Job
	takes [][]time.Duration // of each task of each step
	first time.Time         // first try
	ended bool
}

// Run plays a scenario to its end.
func Run(sc Scenario) Result {
	s := newSim(sc)
	s.begin()
	s.engine.after(sc.Length, s.billAll)
	for end := start.Add(sc.Length + rest); s.engine.next(end); {
		s.settle()
	}
	s.finish()
	s.result.Meter = s.meter
	return s.result
}

func newSim(sc Scenario) *sim {
	if sc.PoolPolicy == "" {
		sc.PoolPolicy = capacity.Demand
	}
	if sc.SchedulingPolicy == "" {
		sc.SchedulingPolicy = owner.SchedulePriority
	}
	s := &sim{
		scenario: sc, engine: newEngine(), rand: rand.New(rand.NewPCG(sc.Seed, 1)),
		instances: map[owner.InstanceID]*instance{}, workers: map[owner.WorkerID]*worker{},
		running: map[job.TaskID]int{}, done: map[job.TaskID]bool{},
		paidSince: map[owner.InstanceID]time.Time{}, ordered: map[owner.InstanceID]time.Time{}, jobs: map[job.ID]*simJob{}, progress: map[job.ID]job.Progress{},
	}
	s.result = Result{Causes: map[string]time.Duration{}, LateBySecond: map[int]int{}, JobsBySecond: map[int]int{}, LateByQueue: map[string]int{}}
	s.catalog = &job.Catalog{Services: []job.Service{{Name: sparePool, Spare: true}}}
	for _, q := range sc.Queues {
		s.catalog.Queues = append(s.catalog.Queues, job.Queue{Name: q.Name, Service: q.Name, Priority: q.Priority, MaxAttempts: 3, ObjectiveFactor: stretch, ObjectiveOffset: objective})
		s.catalog.Services = append(s.catalog.Services, job.Service{Name: q.Name, EnforcesCapacity: true})
		s.addInstances(q.Name, sc.Instances)
	}
	s.addInstances(sparePool, sc.Spare)
	if sc.Daemon != nil {
		s.shell = &shell{s: s, daemon: *sc.Daemon}
	}
	return s
}

func (s *sim) begin() {
	s.elect()
	s.every(tickEvery, s.tick)
	s.every(commitEvery, s.commit)
	s.list()
	s.register()
	for _, q := range s.scenario.Queues {
		s.arrive(q)
	}
	for _, t := range s.scenario.Faults {
		s.engine.after(t.At, func() { s.strike(t) })
	}
}

func (s *sim) every(d time.Duration, do func()) {
	s.engine.after(d, func() {
		do()
		s.every(d, do)
	})
}

// tell hands an event to the core if its term still goes on.
func (s *sim) tell(kind EventKind, term uint64, f func(*owner.Core)) {
	if s.core == nil || s.term != term {
		return
	}
	s.meter.measure(kind, func() { f(s.core) })
}

// elect begins a term. The new owner knows what the store holds.
func (s *sim) elect() {
	s.term++
	var loaded []owner.Loaded
	for _, j := range s.stored {
		l := owner.Loaded{Job: j.spec}
		if p, ok := s.progress[j.spec.ID]; ok {
			l.Progress = &p
		}
		loaded = append(loaded, l)
	}
	startsAtOnce := 0
	if s.shell != nil {
		startsAtOnce = s.shell.startsAtOnce()
	}
	s.core = owner.New(owner.Options{
		MaxOutstandingStarts: startsAtOnce,
		Term:                 s.term, TaskLease: taskLease, HoldWait: holdWait, StatusRetention: 2 * time.Minute,
		DutyHandover: dutyHandover, PriorOrders: s.orderedOfLate(), ElectedAt: s.electedAt,
		Weights: capacity.DefaultWeights, PoolPolicy: s.scenario.PoolPolicy, SchedulingPolicy: s.scenario.SchedulingPolicy, CallPolicy: s.scenario.CallPolicy,
	}, s.catalog, loaded, s.engine.now)
	s.commits = false
	s.listInstances()
	s.listWorkers()
}

// orderedOfLate returns the orders that the store tells the next owner of.
func (s *sim) orderedOfLate() []owner.RecentOrder {
	var out []owner.RecentOrder
	for _, id := range s.ids {
		if at, ok := s.ordered[id]; ok && s.engine.now.Sub(at) < 2*dutyHandover {
			out = append(out, owner.RecentOrder{Instance: id, Age: s.engine.now.Sub(at)})
		}
	}
	return out
}

// settle carries out what the core wants done after an event.
func (s *sim) settle() {
	if s.core == nil {
		return
	}
	s.meter.measure(Reaction, func() { s.core.React(s.engine.now) })
	e := s.core.TakeEffects()
	if s.scenario.OnEffects != nil {
		s.scenario.OnEffects(s.engine.now, e)
	}
	if s.shell != nil {
		s.charge(e)
		return
	}
	term := s.term
	for _, o := range e.Starts {
		s.engine.after(orderTime, func() {
			a := s.unlessLost(func() owner.Answer { return s.start(o) })
			s.reply(StartAnswered, a, o.Timeout, term, func(c *owner.Core) { c.OnStarted(o, a, s.engine.now) })
		})
	}
	for _, o := range e.Stops {
		s.engine.after(orderTime, func() {
			a := s.unlessLost(func() owner.Answer { return s.stop(o) })
			s.reply(StopAnswered, a, o.Timeout, term, func(c *owner.Core) { c.OnStopped(o, a, s.engine.now) })
		})
	}
	for _, o := range e.Holds {
		s.beginHold(o)
	}
	s.sendInstanceOrders(e.InstanceOrders)
	s.account()
}

// charge carries out effects on the owner's daemon.
func (s *sim) charge(e owner.Effects) {
	for _, o := range e.Starts {
		s.shell.start(o)
	}
	for _, o := range e.Stops {
		s.shell.stop(o)
	}
	for _, o := range e.Holds {
		s.shell.hold(o)
	}
	s.sendInstanceOrders(e.InstanceOrders)
	s.account()
}

func (s *sim) sendInstanceOrders(orders []owner.InstanceOrder) {
	term := s.term
	for _, o := range orders {
		s.ordered[o.Instance] = s.engine.now
		s.engine.after(storeTime+orderTime, func() {
			outcome := s.order(o)
			s.tell(ListRead, term, func(c *owner.Core) { c.OnInstanceOrder(o, outcome, s.engine.now) })
			if s.shell == nil {
				s.listInstances()
			}
		})
	}
}

// list reads the instance list from time to time.
func (s *sim) list() {
	pause := instancesEvery
	if s.shell != nil {
		pause = s.shell.instancesEvery(len(s.ids))
	}
	s.engine.after(pause, func() {
		s.read(listedBytes, func() {
			s.listInstances()
			s.list()
		})
	})
}

// read calls got once the owner has read a list of the fleet with entries of that length.
func (s *sim) read(entry int, got func()) {
	if s.shell == nil {
		got()
		return
	}
	s.shell.carry(&s.shell.down, entry*len(s.ids), got)
}

// reply hands on a worker's answer; that there is none shows after a timeout.
func (s *sim) reply(kind EventKind, a owner.Answer, timeout time.Duration, term uint64, f func(*owner.Core)) {
	wait := time.Duration(0)
	if a.Outcome == owner.Unanswered {
		wait = timeout
	}
	s.engine.after(wait, func() { s.tell(kind, term, f) })
}

// account sums up the lines on late jobs.
func (s *sim) account() {
	for _, d := range s.core.TakeDecisions() {
		if s.scenario.OnDecision != nil {
			s.scenario.OnDecision(s.engine.now, d)
		}
		if d.TimeBreakdown == nil {
			continue
		}
		for c, t := range d.TimeBreakdown.Spent {
			cause := owner.Cause(c)
			if cause == owner.CauseWork || t == 0 {
				continue
			}
			s.result.Causes[cause.String()] += t
			if cause == owner.CausePoolShort || cause == owner.CauseInstancesArriving || cause == owner.CauseMaintenance {
				s.result.CapacityWait += t
			}
		}
	}
}

func (s *sim) tick() {
	if s.core == nil {
		return
	}
	s.core.SetStoreLease(!s.storeAway(), s.engine.now)
	if s.shell != nil {
		s.shell.compute(tickCost, s.coreTick)
		return
	}
	s.coreTick()
}

func (s *sim) coreTick() {
	if s.core == nil {
		return
	}
	s.meter.measure(TimerTick, func() { s.core.Tick(s.engine.now) })
}

func (s *sim) storeAway() bool { return s.engine.now.Before(s.away) }

// commit records what has changed.
func (s *sim) commit() {
	if s.core == nil || s.commits || s.storeAway() {
		return
	}
	var records []owner.Record
	s.meter.measure(Recorded, func() { records = s.core.PendingRecords(recordsPerCommit) })
	if len(records) == 0 {
		return
	}
	s.commits = true
	term := s.term
	s.engine.after(storeTime, func() {
		s.tell(Recorded, term, func(c *owner.Core) {
			s.commits = false
			for _, r := range records {
				s.progress[r.Job.ID] = r.Progress
				if r.Progress.State.Final() {
					s.ended(s.jobs[r.Job.ID], r.Progress.State)
				}
			}
			c.OnCommitted(records, s.engine.now)
		})
	})
}

func (s *sim) listInstances() {
	if s.core != nil && !s.storeAway() {
		inst, _ := s.lists()
		s.meter.measure(ListRead, func() { s.core.OnInstances(inst, s.engine.now) })
	}
}

func (s *sim) listWorkers() {
	if s.core != nil && !s.storeAway() {
		_, regs := s.lists()
		s.meter.measure(ListRead, func() { s.core.SetRegistrations(regs, s.engine.now) })
	}
}

// register learns of the registrations now and after a while, as the daemon does.
func (s *sim) register() {
	if s.shell != nil && s.shell.daemon.PollFullLists {
		s.read(entryBytes, s.registered)
		return
	}
	s.registered()
}

func (s *sim) registered() {
	s.listWorkers()
	pause := registrationsEvery
	if s.core != nil && s.core.ExpectsWorkers() {
		pause = expectingEvery
	}
	s.engine.after(pause, s.register)
}

// strike lets a trouble begin.
func (s *sim) strike(t Fault) {
	switch t.Kind {
	case StoreUnavailable:
		s.away = s.engine.now.Add(t.For)
	case StoreLeasesExpired:
		s.away = s.engine.now.Add(t.For)
		s.engine.after(t.For, func() { s.core = nil })
		s.succeed(t.For + reelection)
	case OwnerKilled:
		s.core = nil
		s.succeed(goneSeen)
	case OwnerPowerLost:
		s.core = nil
		s.succeed(lockLapse)
	case Wave:
		s.requestWave(t)
	case RackLost:
		for _, id := range s.ids[:min(t.Count, len(s.ids))] {
			if i := s.instances[id]; i.State == owner.InstanceUp {
				s.fall(i, owner.InstanceDown, rackBack)
			}
		}
	case CallsLost:
		s.lost = t.Share
		s.engine.after(t.For, func() { s.lost = 0 })
	case WideJobs:
		for range t.Count {
			s.submit(s.scenario.Queues[0], 4)
		}
	}
}

// succeed elects an owner after d, and the time that it takes to read the jobs.
func (s *sim) succeed(d time.Duration) {
	s.engine.after(d, func() {
		s.electedAt = s.engine.now
		s.engine.after(time.Duration(len(s.stored))*loadPerJob, s.elect)
	})
}

// waveWidth is how many instances of a wave may be down at the same time.
const waveWidth = 10

func (s *sim) requestWave(t Fault) {
	s.waves++
	req := owner.WaveRequest{Wave: s.waves, Within: t.For, MaxDown: waveWidth}
	for _, q := range s.scenario.Queues {
		for k := range min(t.Count, s.scenario.Instances) {
			req.Instances = append(req.Instances, owner.InstanceID(fmt.Sprintf("%s-%03d", q.Name, k)))
		}
	}
	if s.core != nil {
		s.core.OnWave(req, nil, false, s.engine.now)
	}
}

// finish counts what is still open.
func (s *sim) finish() {
	for _, j := range s.stored {
		if !j.ended {
			s.result.Open++
			s.late(j)
		}
	}
}

// billAll ends the bill.
func (s *sim) billAll() {
	for _, id := range s.ids {
		s.bill(s.instances[id])
	}
	s.billed = true
}
