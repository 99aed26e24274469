package owner

import (
	"time"

	"github.com/postmount/postmount/jobs/calls"
	"github.com/postmount/postmount/jobs/capacity"
	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/quota"
)

// Options are the figures that the core works with.
type Options struct {
	Term           uint64        // number of this ownership; rises with each owner
	TaskLease      time.Duration // how long a worker's tasks live without renewal
	MaxWorkerLease time.Duration // that a worker gives, whatever it is told; 0: TaskLease
	HoldWait       time.Duration // how long a hold waits for an end
	IdleHoldWait   time.Duration // the same if nothing runs there; 0: as long as HoldWait
	CallPolicy     calls.Policy  // how long answers are waited for; "": adaptive
	MaxHoldsPerSec float64       // holds that this daemon's processor bears; 0: any number
	// DutyHandover is the least time between orders for one instance by two holders.
	// OrderedBefore are those of other holders, as old at least as they say when this
	// owner was elected, at ElectedAt; zero: now. Successor says that the owner before
	// was an earlier life of this daemon.
	DutyHandover time.Duration
	PriorOrders  []RecentOrder
	ElectedAt    time.Time
	// PriorOrdersUnknown says that what other holders ordered cannot be known.
	PriorOrdersUnknown bool
	SucceedsSelf       bool
	StatusRetention    time.Duration // how long ended jobs are kept
	MaxPendingStarts   int           // starts that may be without an answer at the same time; 0: any number
	Weights            capacity.Weights
	MaxMovesPerSec     float64 // that the platform accepts; 0: any number
	PoolPolicy         capacity.Policy
	JobOrder           SchedulingPolicy
}

// runsPerTerm is how many runs an owner can start in one term.
const runsPerTerm = 1_000_000

// run is one attempt of a task on a worker.
type run struct {
	task                *task
	number              uint64
	worker              *worker
	phase               phase
	sentAt              time.Time // last order for it
	firstSentAt         time.Time // first order for it; zero: an earlier owner started it
	sends               int       // orders sent without an answer
	confirmedAt         time.Time // when the worker confirmed the start, or the stop
	percent             int
	progressAt          time.Time // when percent last changed
	stallWatched        bool      // it is looked at again for a standstill
	usage               int
	trial               job.Suspicion // it was started with nothing beside it, to see whether it crashes its worker
	throttlePercent     int           // percent of its speed that was ordered; 100 at the start
	mayStartLate        bool          // an order for it went unanswered; it may arrive late
	fromPastIncarnation bool          // ordered while the life before of its worker was known, and not seen on this one
	neverStarted        bool          // its worker has said that it does not run, and it is kept from beginning
	startAbandonedAt    time.Time     // no further order to start it is sent since; zero: one may be
	stopReason          string
}

type phase int

const (
	starting phase = iota // ordered, not confirmed
	running
	stopping // to be ended, its room is not free yet
)

// task is one task of a step of an occurrence.
type task struct {
	step               *stepState
	index              int
	done               bool
	failures           job.Failures
	crashes            job.Crashes
	checkpoint         string
	runs               []*run
	isolationWaitSince time.Time   // since when it waits for a worker of its own; zero: it does not
	notBefore          time.Time   // backoff after a failure
	consecutiveRetries int         // failures or refusals on end, of a task without a limit of them
	stalls             int         // runs that stood still
	failedOn           []WorkerID  // in this term; the fault may have been the worker's
	lastFailedAt       time.Time   // newest of these
	timeSpent          timeByCause // what its time went to so far
	accountedUntil     time.Time   // until when that is accounted for
}

func (t *task) id() job.TaskID {
	return job.TaskID{Job: t.step.job.spec.ID, Occurrence: t.step.occurrence, Step: t.step.index, Index: t.index}
}

// activeRun returns the run that works for the task, nil if there is none.
func (t *task) activeRun() *run {
	for _, r := range t.runs {
		if r.phase != stopping {
			return r
		}
	}
	return nil
}

func (t *task) findRun(number uint64, w *worker) *run {
	for _, r := range t.runs {
		if r.number == number && r.worker == w {
			return r
		}
	}
	return nil
}

// isServing reports whether a long-running task serves, as far as is known.
func (t *task) isServing(now time.Time) bool {
	for _, r := range t.runs {
		if r.phase == running && r.percent >= 100 && r.worker.hasFreshRunList(now) && !r.worker.endOrdered {
			return true
		}
	}
	return false
}

// stepState is one step of one occurrence.
type stepState struct {
	job              *jobState
	spec             *job.Step
	occurrence       int
	index            int
	tasks            []*task
	remaining        int          // tasks that are not done
	withoutRun       int          // of these, tasks without a run
	openPredecessors int          // earlier steps that are not done
	failures         job.Failures // of the whole gang
	permits          *permits     // nil: the advisor was not asked
	doneAt           time.Time    // when its last task was done; zero: not yet, or in an earlier term
	lastDone         *task        // the task that was done last

	waitingSince     time.Time // a task of it has found no room since; zero: none waits
	preemptedAt      time.Time // last time that runs were stopped for it
	preemptCheckedAt time.Time // last time that such runs were looked for
}

func (s *stepState) ready() bool { return s.openPredecessors == 0 && s.remaining > 0 }

// jobState is a job and what became of it.
type jobState struct {
	spec               *job.Job
	queue              job.Queue // newest known settings of its queue
	service            string
	steps              []*stepState // in the order occurrence, step
	nextOccurrence     int          // first occurrence that has not begun
	state              job.State
	queuedForPlacement bool         // it is among the jobs of its service that may have tasks to place
	countedPending     bool         // it is among the pending jobs of its queue
	band               priorityBand // at the last placement

	overShare        bool // its tenant had sent its share already
	started          bool // a worker has said that a task of it started
	waitLogged       bool // the log says why a task of it was not placed at once
	endedAt          time.Time
	stepsDropped     bool          // its steps are: it is over, recorded, and nothing of it runs
	inherited        bool          // accepted before this term
	loadedFromStore  bool          // known from the store when this term began
	version          uint64        // rises with each change that has to be kept
	storedVersion    uint64        // newest version in the store
	crashUnstored    bool          // a crash under a task of it is not in the store
	writeSeq         uint64        // place among the jobs that have to be written
	workLeft         float64       // core-seconds that are not done, by the estimates
	criticalPathLeft time.Duration // longest chain of steps that are not done, likewise
	criticalPath     time.Duration
	work             float64   // core-seconds by the estimates, for the order of jobs
	knownAt          time.Time // when this owner learned of it
	ackWaiters       []*worker // that wait for a record of it before ends may be forgotten
}

func (j *jobState) step(occurrence, index int) *stepState {
	n := occurrence*len(j.spec.Steps) + index
	if occurrence < 0 || index < 0 || index >= len(j.spec.Steps) || n >= len(j.steps) {
		return nil
	}
	return j.steps[n]
}

// unackedEnd is an end that the worker may forget once version of job is kept.
type unackedEnd struct {
	seq     uint64
	job     *jobState
	version uint64
}

// worker is one life of a worker and what it may be running.
type worker struct {
	Registration
	lease               workerLease
	heldByUs            bool      // answered a hold with our token
	registered          bool      // in the newest list of registrations
	firstSeenAt         time.Time // when it was first heard of
	pastStartsMs        []int64   // when its lives before were born, the newest last
	unlistedSince       time.Time // when it was first missing there
	ended               bool      // this life has ended for certain
	holdInFlight        bool      // a hold is under way
	holdSentAt          time.Time
	answeredHoldSentAt  time.Time // when the newest hold that was answered was sent
	nextHoldAt          time.Time
	silentSince         time.Time   // no hold was answered since; zero: answered
	lastAnswerAt        time.Time   // newest answer to any order
	orderUnanswered     bool        // an order sent after heardAt went unanswered
	crashSuspects       []*task     // of its end, once its life is over
	lossReported        bool        // a call went unanswered, and none was answered since
	contactLoss         contactLoss // with it, since it was lost
	runs                map[job.TaskID]*run
	allocated           job.Resources             // by runs
	fillerRuns          int                       // of runs
	servingRuns         int                       // of runs, with a latency target
	longRunningRuns     int                       // of runs, long-running
	longRunningCPUMilli int                       // thousandths of a core that these use
	unknownRuns         map[job.TaskID]unknownRun // runs of jobs that are not known yet
	lastSeenEnd         uint64                    // highest end that was handled
	lastAckedEnd        uint64                    // highest end that may be forgotten
	unacked             []unackedEnd
	unknownEnds         map[uint64]unknownEnd // ends of jobs that are not known yet
	avoidUntil          time.Time             // no new tasks until then
	recentEnds          endHistory            // recent ends, to find bad workers
	nextThrottleAt      time.Time
	workerView          *workerView    // newest view of its service that it is in
	workerViewIndex     int            // its place there
	capacityClass       *capacityClass // its place in the index of usable workers; nil: it is not there
	indexedService      string         // the service of that index
	indexedFreeCPUMilli int            // thousandths of a core that were free then
	indexStale          bool           // it has to be indexed anew
	avoidPenalty        time.Duration
	consecutiveNoRoom   int // starts on end that it refused for want of room
	reservedAt          time.Time
	endOrdered          bool      // an order that ends this life was sent
	idleSince           time.Time // nothing runs on it since; zero: something does
	reserved            reservation

	trialRuns     []*run    // those that were started as trials; some may be over
	isolatedFor   *jobState // a suspect of it gets the worker once nothing else runs there; nil: none
	isolatedUntil time.Time

	preemptedFor   *stepState // runs were stopped for it; nil: for none
	preemptedUntil time.Time  // until then it alone gets the room
}

// reservation is why a worker gets no new tasks; empty: it gets them.
type reservation string

// The reservations.
const (
	reservedMaintenance reservation = "maintenance"
	reservedMove        reservation = "move"
)

type unknownRun struct {
	run   uint64
	since time.Time
}

type unknownEnd struct {
	end   RunEnd
	since time.Time
}

// isReady reports whether nothing of the worker itself keeps new tasks from it.
func (w *worker) isReady(now time.Time) bool {
	return w.heldByUs && w.registered && !w.ended && !w.Draining && w.lease.known &&
		w.reserved == "" && !w.isSilent() && !now.Before(w.avoidUntil)
}

// Core is the state of the owner of all jobs.
type Core struct {
	opt                    Options
	fencingToken           uint64
	lastRun                uint64
	catalog                *job.Catalog
	jobs                   map[job.ID]*jobState
	openJobs               map[job.ID]*jobState // not final, or not written as final
	workers                workerSet
	unknownServiceWorkers  map[WorkerID]Registration // of services that no configuration names
	workersByService       serviceWorkers
	silentWorkers          workerSet               // that did not answer their newest hold
	endedWorkers           workerSet               // the lives of which have ended
	openCrashes            map[incarnation][]*task // tasks with a run on a worker the fate of which is open
	workersWithUnknownJobs workerSet               // with runs or ends of jobs that are not known yet
	colocatedWorkers       workerSet               // with fillers beside serving tasks
	unlistedWorkers        workerSet               // that are missing among the registrations, and still count as registered
	maintenanceWorkers     workerSet               // that are kept for a wave
	instances              map[InstanceID]*instanceState
	instanceOfWorker       map[WorkerID]InstanceID
	waves                  map[int]*waveState
	pools                  map[string]*poolState
	moves                  map[InstanceID]*moveState
	rejectedMoves          map[misfit]bool
	evacuatedZones         map[string]bool // zones that get no new tasks
	nextSizingAt           time.Time
	returnBudget           float64 // instances that may be given back at present
	lastReturnAt           time.Time
	nextWaveCheckAt        time.Time // when the waves are looked at next
	adviceInFlight         int       // to the advisor, without an answer so far
	dirtyJobs              map[job.ID]*jobState
	unstoredCrashes        map[job.ID]*jobState // of these, with a crash that is not written
	toWrite                writeQueue           // the jobs of dirty, in the order in which they are written
	lastWriteSeq           uint64               // newest place in it
	pendingPerQueue        map[string]int       // jobs of each queue of which no task is known to have started
	changedServices        map[string]bool      // services with something to place
	effects                Effects
	shares                 *quota.Shares
	quotas                 *quota.Ledger           // what each tenant has running
	presumedUsage          presumedUsage           // what may run of it without being known
	takeoverDone           map[string]bool         // services of which every earlier run is known
	loggedTakeoverWaits    map[string]takeoverWait // what others wait for, as the log says
	lastUnconfirmed        map[string]InstanceID   // an instance of each service that had not answered when last looked for
	startedAt              time.Time
	electedAt              time.Time
	orderHoldoff           map[InstanceID]time.Time // until when an instance is left to an earlier owner's order
	registrationsAt        time.Time                // newest word of the registrations
	registrationsLagSince  time.Time                // since when more has changed among them than is known; zero: it has not
	unregisterFrom         time.Time                // missing registrations count as gone from then on
	instanceListAt         time.Time                // newest instance list
	fenced                 bool

	holdsDue          timerQueue[*worker]
	stopsDue          timerQueue[*run]      // stops that may have to be sent again
	stallsDue         timerQueue[*run]      // runs that may stand still
	occurrencesDue    timerQueue[*jobState] // jobs with occurrences to come
	recentlyEnded     []*worker             // lives that ended a moment ago
	crashDecisionsDue timerQueue[*worker]   // lives that have ended without an order, to be looked into
	avoidedDue        timerQueue[*worker]   // workers that get no new tasks until then

	staleIndexWorkers []*worker // that have to be indexed anew

	callOutcomes      calls.Outcomes
	starvedSince      time.Time     // when the newest time began in which timeouts say nothing
	starvedUntil      time.Time     // and its end
	meanAnswerLatency time.Duration // mean of the newest answers
	slowAnswersSince  time.Time     // since when it is too long; zero: it is not

	mostSilentSince time.Time // since when most workers seem silent; zero: they do not

	storeLeaseLostAt time.Time            // zero: the store's lease is held
	earlyCancels     map[job.ID]time.Time // cancellations of jobs that are not known yet
	decisions        []Decision
	counts           Counts

	startWindow startWindow
}

// Counts are totals since the start of the term.
type Counts struct {
	Starts, Refused, Failed, Lapsed, Lost, Stopped, Done, Commits int64
	LongRunningLapsed                                             int64 // of those that lapsed, long-running tasks
	Crashes                                                       int64 // workers that crashed, as far as tasks may have done it
	Trials                                                        int64 // runs of suspects with nothing beside them
	GivenUp                                                       int64 // tasks that crash their workers
	JobsConsidered                                                int64 // jobs that were looked at for placement
}

// Decision is a line for the log: what was decided about a job, a worker or an
// instance, and why.
type Decision struct {
	Event   string // one word for the kind of decision
	Job     job.ID
	Task    string
	Worker  WorkerID
	Run     uint64
	Reason  string
	Account *TimeBreakdown // of a job that was late
}

func (c *Core) note(d Decision) { c.decisions = append(c.decisions, d) }

// TakeDecisions returns the decisions since the last call.
func (c *Core) TakeDecisions() []Decision {
	out := c.decisions
	c.decisions = nil
	return out
}

// TakeEffects returns the effects since the last call.
func (c *Core) TakeEffects() Effects {
	out := c.effects
	c.effects = Effects{}
	return out
}

// TakeHolds returns the holds alone since the last call, and leaves the other effects.
func (c *Core) TakeHolds() []Hold {
	out := c.effects.Holds
	c.effects.Holds = nil
	return out
}

// Fenced reports whether a worker has seen a higher fencing token: another
// daemon is the owner.
func (c *Core) Fenced() bool { return c.fenced }

// New returns a core for a term that begins at now. loaded are all jobs in the
// store at that time.
func New(opt Options, catalog *job.Catalog, loaded []Loaded, now time.Time) *Core {
	c := &Core{
		opt:                    opt,
		fencingToken:           opt.Term,
		lastRun:                opt.Term * runsPerTerm,
		catalog:                catalog,
		jobs:                   map[job.ID]*jobState{},
		openJobs:               map[job.ID]*jobState{},
		workers:                workerSet{},
		unknownServiceWorkers:  map[WorkerID]Registration{},
		workersByService:       serviceWorkers{},
		silentWorkers:          workerSet{},
		endedWorkers:           workerSet{},
		openCrashes:            map[incarnation][]*task{},
		workersWithUnknownJobs: workerSet{},
		colocatedWorkers:       workerSet{},
		unlistedWorkers:        workerSet{},
		maintenanceWorkers:     workerSet{},
		pendingPerQueue:        map[string]int{},
		instances:              map[InstanceID]*instanceState{},
		instanceOfWorker:       map[WorkerID]InstanceID{},
		waves:                  map[int]*waveState{},
		pools:                  map[string]*poolState{},
		moves:                  map[InstanceID]*moveState{},
		rejectedMoves:          map[misfit]bool{},
		dirtyJobs:              map[job.ID]*jobState{},
		unstoredCrashes:        map[job.ID]*jobState{},
		changedServices:        map[string]bool{},
		earlyCancels:           map[job.ID]time.Time{},
		shares:                 quota.NewShares(),
		quotas:                 quota.New(),
		takeoverDone:           map[string]bool{},
		loggedTakeoverWaits:    map[string]takeoverWait{},
		lastUnconfirmed:        map[string]InstanceID{},
		startWindow:            newStartWindow(opt.MaxPendingStarts),
		orderHoldoff:           map[InstanceID]time.Time{},
		startedAt:              now,
		electedAt:              now,
		unregisterFrom:         now,
	}
	c.callOutcomes.Policy = opt.CallPolicy
	if !opt.ElectedAt.IsZero() {
		c.electedAt = opt.ElectedAt
	}
	for _, o := range opt.PriorOrders {
		wait := min(opt.DutyHandover+DutyMargin, opt.DutyHandover+orderFlight-o.Age)
		c.orderHoldoff[o.Instance] = c.electedAt.Add(wait)
	}
	if catalog != nil {
		c.setTenants(catalog.Tenants)
	}
	for _, l := range loaded {
		c.load(l, now)
	}
	c.learnArrivals(loaded, now)
	return c
}

// Loaded is a job as the store holds it.
type Loaded struct {
	Job       *job.Job
	Progress  *job.Progress // nil: none was written
	Cancelled bool
}
