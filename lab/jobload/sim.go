package jobload

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/postmount/postmount/jobs/capacity"
	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/owner"
)

// Times of the daemon, as in package node, and of callers, as in the users' documentation.
const (
	tickInterval             = 25 * time.Millisecond
	commitInterval           = 40 * time.Millisecond  // between attempts to commit records
	commitTime               = 5 * time.Millisecond   // of a write to the store
	recordsPerCommit         = 28                     // maximum
	registrationsInterval    = 400 * time.Millisecond // between reads of the registrations
	expectingWorkersInterval = 100 * time.Millisecond // the same while the owner expects workers
	instancesInterval        = 700 * time.Millisecond // between reads of the instance list
	taskLease                = 4500 * time.Millisecond
	holdWait                 = 900 * time.Millisecond
	dutyHandover             = 3 * time.Second
	// electionAfterPowerLoss is the time from the owner's loss of power to the next election: its
	// lease of 2 s and the election. electionAfterKill is the same for a killed process, which is
	// detected immediately.
	electionAfterPowerLoss = 2100 * time.Millisecond
	electionAfterKill      = 100 * time.Millisecond
	// electionAfterOutage is the time from the end of a store outage to the election of an owner.
	electionAfterOutage = 180 * time.Millisecond
	// loadTimePerJob is the time that a new owner takes to read a job from the store.
	loadTimePerJob = 300 * time.Microsecond
	// drainTime is how long after the arrivals open jobs may still end.
	drainTime = 25 * time.Second

	objectiveFactor = 1.6
	objectiveOffset = 600 * time.Millisecond
	sparePool       = "spare"

	// wideJobFactor is the factor on the number of tasks of the jobs of WideJobs.
	wideJobFactor = 4
)

// submitAttempts are the times of a caller's attempts to submit a job, counted from the first one.
// There are five within the three seconds for which a caller waits.
var submitAttempts = []time.Duration{0, 1070 * time.Millisecond, 1840 * time.Millisecond, 2420 * time.Millisecond, 2870 * time.Millisecond}

// sim is the state of a running scenario.
type sim struct {
	scenario          Scenario
	engine            *engine
	rand              *rand.Rand
	catalog           *job.Catalog
	core              *owner.Core // nil while there is no owner
	term              uint64
	result            Result
	instances         map[owner.InstanceID]*instance
	ids               []owner.InstanceID
	workers           map[owner.WorkerID]*worker
	inUseSince        map[owner.InstanceID]time.Time
	jobs              map[job.ID]*simJob
	stored            []*simJob // accepted, in this order
	progress          map[job.ID]job.Progress
	storeBackAt       time.Time // end of the store outage
	commitPending     bool      // a commit is in progress
	waves             int
	meter             Meter
	electedAt         time.Time
	lastOrderAt       map[owner.InstanceID]time.Time // time of the newest order for the instance
	callLoss          float64                        // share of the calls to workers whose answer is lost
	instanceTimeEnded bool                           // the arrivals have ended; instance time no longer counts
	daemonSim         *daemonSim                     // nil: the owner's work takes no time, see Scenario.Daemon
	running           map[job.TaskID]int             // number of running runs
	done              map[job.TaskID]bool
	owed, earned      float64 // worth of the jobs, see owe
	sizes             []servedSize
}

// servedSize is the work of a job in core-seconds, and whether the job was served at all.
type servedSize struct {
	queue  string
	work   float64
	served bool
}

// largestServed returns the smallest ratio, over the queues, of the share of the largest tenth of its jobs that was served
// to the share of all its jobs.
func (s *sim) largestServed() float64 {
	worst := 1.0
	for _, q := range s.scenario.Queues {
		var all []servedSize
		for _, j := range s.sizes {
			if j.queue == q.Name {
				all = append(all, j)
			}
		}
		slices.SortFunc(all, func(a, b servedSize) int { return cmp.Compare(b.work, a.work) })
		share := func(list []servedSize) float64 {
			n := 0
			for _, j := range list {
				if j.served {
					n++
				}
			}
			return float64(n) / float64(max(1, len(list)))
		}
		if of := share(all); of > 0 {
			worst = min(worst, share(all[:len(all)/10])/of)
		}
	}
	return worst
}

type simJob struct {
	spec        *job.Job
	durations   [][]time.Duration // of each task of each step
	submittedAt time.Time         // first submission
	ended       bool
}

// Run simulates a scenario to its end.
func Run(sc Scenario) Result {
	s := newSim(sc)
	s.begin()
	s.engine.after(sc.Length, s.endInstanceTime)
	for end := startTime.Add(sc.Length + drainTime); s.engine.next(end); {
		s.applyEffects()
	}
	s.finish()
	s.result.Meter = s.meter
	s.result.Worth = s.earned / s.owed
	s.result.LargestServed = s.largestServed()
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
		inUseSince: map[owner.InstanceID]time.Time{}, lastOrderAt: map[owner.InstanceID]time.Time{}, jobs: map[job.ID]*simJob{}, progress: map[job.ID]job.Progress{},
	}
	s.result = Result{Causes: map[string]time.Duration{}, LateBySecond: map[int]int{}, JobsBySecond: map[int]int{}, LateByQueue: map[string]int{}}
	s.catalog = &job.Catalog{Services: []job.Service{{Name: sparePool, Spare: true}}}
	for _, q := range sc.Queues {
		s.catalog.Queues = append(s.catalog.Queues, job.Queue{Name: q.Name, Service: q.Name, Priority: q.Priority, MaxAttempts: 3, ObjectiveFactor: objectiveFactor, ObjectiveOffset: objectiveOffset})
		s.catalog.Services = append(s.catalog.Services, job.Service{Name: q.Name, EnforcesCapacity: true})
		s.addInstances(q.Name, cmp.Or(q.Instances, sc.Instances))
	}
	s.addInstances(sparePool, sc.Spare)
	for n, t := range sc.Tenants {
		s.catalog.Tenants = append(s.catalog.Tenants, job.Tenant{Name: tenantName(n), Weight: t.Weight})
	}
	if sc.Daemon != nil {
		s.daemonSim = &daemonSim{s: s, daemon: *sc.Daemon}
	}
	return s
}

func (s *sim) begin() {
	s.elect()
	s.repeatEvery(tickInterval, s.tick)
	s.repeatEvery(commitInterval, s.commit)
	s.pollInstances()
	s.pollWorkers()
	for _, q := range s.scenario.Queues {
		s.scheduleArrivals(q)
	}
	for _, t := range s.scenario.Faults {
		s.engine.after(t.At, func() { s.injectFault(t) })
	}
}

// repeatEvery calls do periodically, for the first time after d.
func (s *sim) repeatEvery(d time.Duration, do func()) {
	s.engine.after(d, func() {
		do()
		s.repeatEvery(d, do)
	})
}

// deliver passes an event to the core unless its term has ended.
func (s *sim) deliver(kind EventKind, term uint64, f func(*owner.Core)) {
	if s.core == nil || s.term != term {
		return
	}
	s.meter.measure(kind, func() { f(s.core) })
}

// elect starts a term. The new owner knows what is in the store.
func (s *sim) elect() {
	s.term++
	var loaded []owner.StoredJob
	for _, j := range s.stored {
		l := owner.StoredJob{Job: j.spec}
		if p, ok := s.progress[j.spec.ID]; ok {
			l.Progress = &p
		}
		loaded = append(loaded, l)
	}
	maxOutstandingStarts := 0
	if s.daemonSim != nil {
		maxOutstandingStarts = s.daemonSim.maxOutstandingStarts()
	}
	s.core = owner.New(owner.Options{
		MaxOutstandingStarts: maxOutstandingStarts,
		Term:                 s.term, TaskLease: taskLease, HoldWait: holdWait, StatusRetention: 2 * time.Minute,
		DutyHandover: dutyHandover, PriorOrders: s.recentOrders(), ElectedAt: s.electedAt,
		Weights: capacity.DefaultWeights, PoolPolicy: s.scenario.PoolPolicy, SchedulingPolicy: s.scenario.SchedulingPolicy, CallPolicy: s.scenario.CallPolicy,
		AdmissionPolicy: s.scenario.AdmissionPolicy,
	}, s.catalog, loaded, s.engine.now)
	s.commitPending = false
	s.listInstances()
	s.listWorkers()
}

// recentOrders returns the orders for instances that the store has for the next owner.
func (s *sim) recentOrders() []owner.RecentOrder {
	var out []owner.RecentOrder
	for _, id := range s.ids {
		if at, ok := s.lastOrderAt[id]; ok && s.engine.now.Sub(at) < 2*dutyHandover {
			out = append(out, owner.RecentOrder{Instance: id, Age: s.engine.now.Sub(at)})
		}
	}
	return out
}

// applyEffects lets the core react to an event and applies its effects.
func (s *sim) applyEffects() {
	if s.core == nil {
		return
	}
	s.meter.measure(Reaction, func() { s.core.React(s.engine.now) })
	e := s.core.TakeEffects()
	if s.scenario.OnEffects != nil {
		s.scenario.OnEffects(s.engine.now, e)
	}
	if s.daemonSim != nil {
		s.applyEffectsWithCosts(e)
		return
	}
	term := s.term
	for _, o := range e.Starts {
		s.engine.after(callTime, func() {
			a := s.answerOrLose(func() owner.Answer { return s.start(o) })
			s.deliverAnswer(StartAnswered, a, o.Timeout, term, func(c *owner.Core) { c.OnStartAnswer(o, a, s.engine.now) })
		})
	}
	for _, o := range e.Stops {
		s.engine.after(callTime, func() {
			a := s.answerOrLose(func() owner.Answer { return s.stop(o) })
			s.deliverAnswer(StopAnswered, a, o.Timeout, term, func(c *owner.Core) { c.OnStopAnswer(o, a, s.engine.now) })
		})
	}
	for _, o := range e.Holds {
		s.beginHold(o)
	}
	s.sendInstanceOrders(e.InstanceOrders)
	s.addLateCauses()
}

// applyEffectsWithCosts applies effects with the CPU and link time of the owner's daemon.
func (s *sim) applyEffectsWithCosts(e owner.Effects) {
	for _, o := range e.Starts {
		s.daemonSim.start(o)
	}
	for _, o := range e.Stops {
		s.daemonSim.stop(o)
	}
	for _, o := range e.Holds {
		s.daemonSim.hold(o)
	}
	s.sendInstanceOrders(e.InstanceOrders)
	s.addLateCauses()
}

// sendInstanceOrders carries out orders for instances, once the store has recorded them.
func (s *sim) sendInstanceOrders(orders []owner.InstanceOrder) {
	term := s.term
	for _, o := range orders {
		s.lastOrderAt[o.Instance] = s.engine.now
		s.engine.after(commitTime+callTime, func() {
			outcome := s.applyInstanceOrder(o)
			s.deliver(ListRead, term, func(c *owner.Core) { c.OnInstanceOrderAnswer(o, outcome, s.engine.now) })
			if s.daemonSim == nil {
				s.listInstances()
			}
		})
	}
}

// pollInstances reads the instance list periodically.
func (s *sim) pollInstances() {
	pause := instancesInterval
	if s.daemonSim != nil {
		pause = s.daemonSim.listInterval(len(s.ids))
	}
	s.engine.after(pause, func() {
		s.readList(instanceBytes, func() {
			s.listInstances()
			s.pollInstances()
		})
	})
}

// readList calls onRead once the owner has read a list of all instances; entry is the size of a list
// entry in bytes.
func (s *sim) readList(entry int, onRead func()) {
	if s.daemonSim == nil {
		onRead()
		return
	}
	s.daemonSim.transfer(&s.daemonSim.down, entry*len(s.ids), onRead)
}

// deliverAnswer passes a worker's answer to the core immediately, or a missing answer after the
// timeout.
func (s *sim) deliverAnswer(kind EventKind, a owner.Answer, timeout time.Duration, term uint64, f func(*owner.Core)) {
	wait := time.Duration(0)
	if a.Outcome == owner.Unanswered {
		wait = timeout
	}
	s.engine.after(wait, func() { s.deliver(kind, term, f) })
}

// addLateCauses adds the causes in the core's decisions on late jobs to the result.
func (s *sim) addLateCauses() {
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
	s.core.SetStoreLease(!s.storeUnavailable(), s.engine.now)
	if s.daemonSim != nil {
		s.daemonSim.compute(tickCPUTime, s.coreTick)
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

func (s *sim) storeUnavailable() bool { return s.engine.now.Before(s.storeBackAt) }

// commit writes the core's pending records to the store.
func (s *sim) commit() {
	if s.core == nil || s.commitPending || s.storeUnavailable() {
		return
	}
	var records []owner.Record
	s.meter.measure(Recorded, func() { records = s.core.PendingRecords(recordsPerCommit) })
	if len(records) == 0 {
		return
	}
	s.commitPending = true
	term := s.term
	s.engine.after(commitTime, func() {
		s.deliver(Recorded, term, func(c *owner.Core) {
			s.commitPending = false
			for _, r := range records {
				s.progress[r.Job.ID] = r.Progress
				if r.Progress.State.Final() {
					s.jobEnded(s.jobs[r.Job.ID], r.Progress.State)
				}
			}
			c.OnCommitted(records, s.engine.now)
		})
	})
}

func (s *sim) listInstances() {
	if s.core != nil && !s.storeUnavailable() {
		inst, _ := s.listFleet()
		s.meter.measure(ListRead, func() { s.core.OnInstances(inst, s.engine.now) })
	}
}

func (s *sim) listWorkers() {
	if s.core != nil && !s.storeUnavailable() {
		_, regs := s.listFleet()
		s.meter.measure(ListRead, func() { s.core.SetRegistrations(regs, s.engine.now) })
	}
}

// pollWorkers reads the registrations periodically, as the daemon does.
func (s *sim) pollWorkers() {
	if s.daemonSim != nil && s.daemonSim.daemon.PollFullLists {
		s.readList(registrationBytes, s.workersRead)
		return
	}
	s.workersRead()
}

func (s *sim) workersRead() {
	s.listWorkers()
	pause := registrationsInterval
	if s.core != nil && s.core.ExpectsWorkers() {
		pause = expectingWorkersInterval
	}
	s.engine.after(pause, s.pollWorkers)
}

// injectFault starts a fault and schedules its end.
func (s *sim) injectFault(t Fault) {
	switch t.Kind {
	case StoreUnavailable:
		s.storeBackAt = s.engine.now.Add(t.For)
	case StoreLeasesExpired:
		s.storeBackAt = s.engine.now.Add(t.For)
		s.engine.after(t.For, func() { s.core = nil })
		s.electAfter(t.For + electionAfterOutage)
	case OwnerKilled:
		s.core = nil
		s.electAfter(electionAfterKill)
	case OwnerPowerLost:
		s.core = nil
		s.electAfter(electionAfterPowerLoss)
	case Wave:
		s.requestWave(t)
	case RackLost:
		for _, id := range s.ids[:min(t.Count, len(s.ids))] {
			if i := s.instances[id]; i.State == owner.InstanceUp {
				s.endWorker(i, owner.InstanceDown, rackDowntime)
			}
		}
	case CallsLost:
		s.callLoss = t.Share
		s.engine.after(t.For, func() { s.callLoss = 0 })
	case WideJobs:
		for range t.Count {
			s.submit(s.scenario.Queues[0], wideJobFactor)
		}
	}
}

// electAfter elects an owner after d. It starts its term when it has read the jobs from the store.
func (s *sim) electAfter(d time.Duration) {
	s.engine.after(d, func() {
		s.electedAt = s.engine.now
		s.engine.after(time.Duration(len(s.stored))*loadTimePerJob, s.elect)
	})
}

// waveMaxDown is the maximum number of instances of a wave that may be down at the same time.
const waveMaxDown = 10

// requestWave requests maintenance of the first instances of each pool.
func (s *sim) requestWave(t Fault) {
	s.waves++
	req := owner.WaveRequest{Wave: s.waves, Within: t.For, MaxDown: waveMaxDown}
	for _, q := range s.scenario.Queues {
		for k := range min(t.Count, s.scenario.Instances) {
			req.Instances = append(req.Instances, owner.InstanceID(fmt.Sprintf("%s-%03d", q.Name, k)))
		}
	}
	if s.core != nil {
		s.core.OnWave(req, nil, false, s.engine.now)
	}
}

// finish counts the accepted jobs that are still open.
func (s *sim) finish() {
	if s.core != nil {
		s.result.NeedlessRefusals = int(s.core.Stats(s.engine.now).NeedlessRefusals) // of the last owner
	}
	for _, j := range s.stored {
		if !j.ended {
			s.result.Open++
			s.result.Failed++
			s.owe(j, 0)
			s.countLate(j)
		}
	}
}

// endInstanceTime adds the instance time up to now to the result and stops counting it.
func (s *sim) endInstanceTime() {
	for _, id := range s.ids {
		s.accountInstanceTime(s.instances[id])
	}
	s.instanceTimeEnded = true
}
