package owner

import (
	"time"

	"github.com/postmount/postmount/jobs/admission"
	"github.com/postmount/postmount/jobs/callpolicy"
	"github.com/postmount/postmount/jobs/capacity"
	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/quota"
)

// Options configures a Core.
type Options struct {
	Term           uint64            // term of this ownership; higher for each new owner
	TaskLease      time.Duration     // lease of a worker's tasks, renewed by each hold
	MaxWorkerLease time.Duration     // longest lease that a worker accepts, whatever the order says; 0: TaskLease
	HoldWait       time.Duration     // how long a worker with tasks may delay its answer to a hold (long polling)
	IdleHoldWait   time.Duration     // the same for a worker without tasks; 0: HoldWait
	CallPolicy     callpolicy.Policy // policy for call timeouts; "": adaptive
	MaxHoldsPerSec float64           // holds per second that this daemon's CPU can handle; 0: no limit
	// Settled are the start times of the incarnations that were settled for the earlier owners, by worker; 0:
	// not reported.
	Settled map[WorkerID]int64
	// WithheldJobs are not run, even if they are submitted again: their records cannot be read, and some
	// of their tasks may be done.
	WithheldJobs []job.ID
	// DutyHandover is the minimum time between orders for one instance by different duty holders.
	DutyHandover time.Duration
	// PriorOrders are the recent orders of other duty holders. Their ages are lower bounds as of
	// ElectedAt.
	PriorOrders          []RecentOrder
	ElectedAt            time.Time     // when this owner was elected; zero: now
	PriorOrdersUnknown   bool          // the orders of other holders could not be determined
	SucceedsSelf         bool          // the previous owner was this daemon, before it was restarted
	PriorLeaseLeft       time.Duration // how long after ElectedAt an earlier owner may have taken its store lease for held
	StatusRetention      time.Duration // ended jobs are removed after twice this time
	MaxOutstandingStarts int           // limit of starts without an outcome; 0: no limit
	Weights              capacity.Weights
	MaxMovesPerSec       float64 // moves per second that the platform accepts; 0: no limit
	MaxRecordBytes       int     // largest record of a job's progress that the store accepts; 0: unknown
	MaxOpenJobBytes      int64   // bound on the estimated memory of open jobs; 0: none
	// CatchUpTasksPerSec limits the tasks per second of occurrences that have been due for long; 0: no limit.
	CatchUpTasksPerSec float64
	// ToleratedZones is how many availability zones may be lost at the same time. If it is positive,
	// pools are spread over the zones.
	ToleratedZones   int
	PoolPolicy       capacity.Policy
	SchedulingPolicy SchedulingPolicy
	AdmissionPolicy  admission.Policy // "": as admission.Never
}

// run is one attempt of a task on a worker.
type run struct {
	task                *task
	number              uint64
	worker              *worker
	phase               phase
	sentAt              time.Time // last start or stop sent
	firstSentAt         time.Time // first start sent; zero: an earlier owner started the run
	sends               int       // starts sent, plus stops that failed
	confirmedAt         time.Time // when the worker confirmed the start or the stop
	percent             int
	progressAt          time.Time     // when percent last changed
	standstill          time.Duration // time without progress from progressAt to throttledAt, at full speed
	throttledAt         time.Time     // when throttlePercent last changed; zero: it has not
	stallWatched        bool          // queued in stallsDue
	usage               int           // ActiveRun.Usage of the last run list
	isolatedRisk        job.CrashRisk // crash risk for which the run was started in isolation
	throttlePercent     int           // ordered percentage of full speed; initially 100
	lostStartAt         time.Time     // when the latest start without an answer was sent; zero: none was
	mayStartLate        bool          // a start went unanswered and may still reach the worker
	mayStartUntil       time.Time     // until when a start without an answer may still be executed; zero: all were answered
	fromPastIncarnation bool          // ordered on an earlier incarnation of the worker, not yet seen on this one
	unansweredSince     time.Time     // when its start first went unanswered, until its outcome is known
	neverStarted        bool          // the worker does not list it, and a stop will keep it from starting
	startAbandonedAt    time.Time     // when the start was given up as unanswered; zero: it may be sent again
	listed              bool          // its worker's incarnation has listed the run
	startConfirmed      bool          // the worker accepted the start or listed the run
	sentDuringHold      bool          // a hold of the worker was in flight when the start was first sent
	startsSent          int           // starts sent by this owner
	startsUndelivered   int           // of these, starts that cannot have arrived
	accepted            *job.Crash    // what the next owner is told of it while it may crash its worker; nil: nothing
	checkpoint          string        // from which it resumes; the same each time its start is sent
	stopReason          string
}

// phase is the phase of a run.
type phase int

const (
	starting phase = iota // ordered, not confirmed
	running
	stopping // ordered to stop; still holds its resources
	ended    // does not run any more, but its end is not listed yet; holds no resources
)

// task is one task of a step in one occurrence of a job.
type task struct {
	step               *stepState
	index              int
	done               bool
	failures           job.Failures
	crashes            job.Crashes
	checkpoint         string
	runs               []*run
	excusedCrashes     int       // workers lost under it in this term, by what looked like the failure of a rack or zone
	crashedAt          time.Time // when its last crash was confirmed; zero: not in this term
	isolationWaitSince time.Time // start of the wait for isolation; zero: not waiting
	notBefore          time.Time // end of the backoff after a failure
	outstandingStart   outstandingStart
	consecutiveRetries int           // consecutive failures that do not use up attempts
	invalidOrders      int           // consecutive starts that a worker rejected as invalid
	stalls             int           // runs stopped for lack of progress
	stalledOn          []WorkerID    // workers on which it made no progress in this term
	lastStalledAt      time.Time     // when a run of it was last stopped for that
	runLostAt          time.Time     // when a run of it was last lost without a report of its end
	failedOn           []WorkerID    // workers it failed on in this term; the worker may have been at fault
	failedRuns         []failedRun   // failed runs of this term and their workers
	crashDetails       []crashDetail // of crashes
	lastFailedAt       time.Time
	timeSpent          timeByCause // time so far by cause
	accountedUntil     time.Time   // end of the period that timeSpent covers
}

func (t *task) id() job.TaskID {
	return job.TaskID{Job: t.step.job.spec.ID, Occurrence: t.step.occurrence, Step: t.step.index, Index: t.index}
}

// activeRun returns the run that is starting or running, nil if there is none.
func (t *task) activeRun() *run {
	for _, r := range t.runs {
		if r.phase == starting || r.phase == running {
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

// isServing reports whether the task is known to be serving: its run is fully started, on a
// worker that answers and was not ordered to end.
func (t *task) isServing(now time.Time) bool {
	for _, r := range t.runs {
		if r.phase == running && r.percent >= 100 && r.worker.hasFreshRunList(now) && !r.worker.endOrdered {
			return true
		}
	}
	return false
}

// stepState is one step in one occurrence of a job.
type stepState struct {
	job              *jobState
	spec             *job.Step
	occurrence       int
	index            int
	tasks            []*task      // those with a state: the first ones; see task
	sharedWait       *task        // has the waiting time of the others; nil: they have none
	remaining        int          // tasks not done
	withoutRun       int          // tasks neither done nor with a run
	runs             int          // known runs of its tasks
	openDependencies int          // steps it depends on that are not done
	failures         job.Failures // of the gang as a whole
	permits          *permits     // nil: the advisor was not asked
	doneAt           time.Time    // when its last task was done; zero: not in this term
	lastDone         *task        // task that was done last

	waitingSince     time.Time // since when a task finds no capacity; zero: none waits
	preemptedAt      time.Time // when runs were last preempted for it
	preemptCheckedAt time.Time // when preemption was last considered
}

// ready reports whether the step has tasks to do and all steps that it depends on are done.
func (s *stepState) ready() bool { return s.openDependencies == 0 && s.remaining > 0 }

// jobState is a job and its progress.
type jobState struct {
	spec               *job.Job
	queue              job.Queue    // latest known settings of its queue
	service            string       // current service of its queue
	otherServices      []jobService // besides that of its acceptance, those on whose workers its tasks may run
	steps              []*stepState // of the open occurrences, ordered by occurrence, then step
	doneOccurrences    job.Ranges   // of a job that repeats
	nextOccurrence     int          // first occurrence that is neither open nor done
	overdue            int          // occurrences that are due and were not created yet; see countOverdue
	dueTimerSet        bool         // in occurrencesDue
	state              job.State
	queuedForPlacement bool         // in its pool's placement queue
	countedPending     bool         // counted in pendingPerQueue
	band               priorityBand // as of the last scheduling pass

	overShare        bool  // its tenant had used up its share when the job was accepted
	openBytes        int64 // estimated memory while it is open
	runs             int   // known runs of its tasks
	started          bool  // a worker confirmed that one of its tasks started
	waitLogged       bool  // a job-waits line was logged
	endedAt          time.Time
	cause            string        // why it failed; "": it has not, or it is not known
	specRetained     bool          // in retainedSpecs
	maxRecordBytes   int           // largest record that the store may accept, as it rejected a larger one; 0: none
	recordReduced    bool          // its last record lacks what would have made it too large
	stepsDropped     bool          // steps were freed, as the job's end is stored and it has no runs
	inherited        bool          // an earlier owner may have started some of its tasks
	loadedFromStore  bool          // loaded when this term began
	version          uint64        // incremented by each change that has to be stored
	storedVersion    uint64        // latest version in the store
	crashUnstored    bool          // a crash of one of its tasks is not in the store yet
	writeSeq         uint64        // number that orders the write queue
	workLeft         float64       // estimated core-seconds not done
	criticalPathLeft time.Duration // estimated critical path of the steps not done
	criticalPath     time.Duration // estimated, of one occurrence
	work             float64       // estimated core-seconds of one occurrence
	knownAt          time.Time     // when this owner learned of the job
	ackWaiters       []*worker     // workers with ends to acknowledge once the job is stored
}

// unackedEnd is a run end that is acknowledged once version of job is stored.
type unackedEnd struct {
	seq     uint64
	job     *jobState // nil: not known yet
	version uint64
}

// worker is one incarnation of a worker and the runs that it may have.
type worker struct {
	Registration
	lease                    workerLease
	answeredThisOwner        bool      // answered a hold with this owner's fencing token
	firstAnsweredAt          time.Time // when it first did
	unprovenLapseLogged      bool      // lapse-unproven was logged since it last answered
	registered               bool      // counts as registered
	oversized                bool      // as of isOversized when it was last indexed
	coldUntil                time.Time // end of its slow phase after its start; zero: none was reported
	firstSeenAt              time.Time // when this owner first learned of the incarnation
	pastStartsMs             []int64   // StartedMs of earlier incarnations, oldest first
	token                    uint64    // fencing token of orders to the incarnation; 0: none is reserved yet
	pastToken                uint64    // highest fencing token of orders to earlier incarnations
	startedMsConfirmed       bool      // an answer has named StartedMs; otherwise only the registration has
	registrationMissingSince time.Time // when it was first missing from the registrations; zero: listed
	ended                    bool      // the incarnation has ended for certain
	holdInFlight             bool
	holdSentAt               time.Time
	answeredHoldSentAt       time.Time // when the latest answered hold was sent
	nextHoldAt               time.Time
	silentSince              time.Time              // since when holds go unanswered; zero: the last one was answered
	lastAnswerAt             time.Time              // latest answer to any order
	orderUnanswered          bool                   // an order sent after lastAnswerAt went unanswered
	crashSuspects            []*task                // tasks that may have crashed it, set when it ends
	calls                    callpolicy.WorkerCalls // outcomes and round trips of orders
	silenceToleratedUntil    time.Time              // until then lost calls may explain its silence
	losesOrders              bool                   // loses many more calls than the other workers
	lostCallCounted          bool                   // a lost call was counted in callLossDetector, and no call was answered since
	contactLoss              contactLoss            // zero: in contact
	runs                     map[job.TaskID]*run
	allocated                job.Resources             // by runs
	fillerRuns               int                       // filler runs
	servingRuns              int                       // runs with a latency target
	longRunningRuns          int                       // long-running runs
	longRunningCPUMilli      int                       // millicores used by them
	unknownRuns              map[job.TaskID]unknownRun // runs of jobs not known yet
	endsTruncated            bool                      // its latest answer may lack ends of runs
	listDueAt                time.Time                 // from then on a hold shows whether the latest outstanding start has begun a run
	lastSeenEnd              uint64                    // highest number of an end handled
	lastAckedEnd             uint64                    // number up to which ends may be acknowledged
	confirmedAckEnd          uint64                    // number up to which an answered hold has acknowledged them
	holdAckThrough           uint64                    // AckThrough of the latest hold
	ackDueSince              time.Time                 // since when stored ends wait to be acknowledged; zero: none do
	quietSince, quietUntil   time.Time                 // latest quiet period, see isQuiet
	unacked                  []unackedEnd              // in the order of their numbers
	unknownEnds              map[uint64]unknownEnd     // ends of jobs not known yet, by number
	avoidUntil               time.Time                 // gets no new tasks until then
	recentEnds               endHistory                // for finding faulty workers
	nextThrottleAt           time.Time                 // next adjustment of its fillers' speed
	workerView               *workerView               // latest view that includes it
	workerViewIndex          int                       // index in workerView
	capacityClass            *capacityClass            // class in the index of usable workers; nil: not indexed
	indexedService           string                    // service of the index that it is in
	indexedFreeCPUMilli      int                       // free millicores as indexed
	indexStale               bool                      // to be indexed again
	avoidPenalty             time.Duration             // duration of the last avoidance
	consecutiveNoCapacity    int                       // consecutive starts refused for lack of capacity
	reservedAt               time.Time                 // when reserved was set
	reserveAfter             time.Time                 // no wave reserves it before
	drainStepAt              time.Time                 // when it was reserved, or a task on it was last stopped for maintenance
	endOrdered               bool                      // an order was sent that ends the incarnation
	idleSince                time.Time                 // since when it has no runs; zero: it has some
	reserved                 reservation

	acceptedRuns  []*run    // runs with an accepted start; may include ended ones
	isolatedRuns  []*run    // runs started in isolation; may include ended ones
	isolatedFor   *jobState // job whose risky task gets the worker once it is empty; nil: none
	isolatedUntil time.Time

	preemptedFor   *stepState // step for which runs were preempted here; nil: none
	preemptedUntil time.Time  // until then the worker is kept for that step
}

// reservation is the reason why a worker is kept free of new tasks; empty: not reserved.
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

// isReady reports whether the worker's own state allows new tasks. Whether it is avoided does not
// count.
func (w *worker) isReady(now time.Time) bool {
	return w.answeredThisOwner && w.registered && !w.ended && !w.Draining && w.lease.known &&
		w.reserved == "" && !w.seemsUnreachable(now)
}

// Core is the state machine that schedules all jobs: methods named On handle answers and events,
// Tick and React do the work that is due, and TakeEffects returns the calls to make. It is not
// safe for concurrent use.
type Core struct {
	opt                    Options
	fencingToken           uint64 // of orders to first incarnations, see assignToken
	highestToken           uint64 // highest fencing token that is in use or needed
	formerWorkers          map[WorkerID]formerWorker
	formerWorkersPrunedAt  time.Time
	settled                [SettledShards]settledShard // record of settled incarnations
	runs                   runNumbers
	catalog                *job.Catalog
	jobs                   map[job.ID]*jobState
	withheldJobs           map[job.ID]bool
	openJobs               map[job.ID]*jobState // not final, or not stored as final
	openMemory             openMemory           // of openJobs
	catchUp                catchUpBudget
	retainedSpecs          []*jobState // ended jobs of which workers may have runs that are not known
	earlierRunsGone        bool        // the leases of all runs of earlier owners that are not known have expired
	workers                workerSet
	unknownServiceWorkers  map[WorkerID]Registration // registrations for services not configured
	workersByService       serviceWorkers
	silentWorkers          workerSet               // last hold unanswered
	endedWorkers           workerSet               // incarnation ended
	trialWaiters           map[*task]bool          // tasks that wait for a decisive trial, as of the last scheduling passes
	unconfirmedCrashes     map[incarnation][]*task // tasks with an unconfirmed crash, by incarnation
	workersWithUnknownJobs workerSet               // with runs or ends of jobs not known yet
	throttledWorkers       workerSet               // with fillers whose speed has to be adjusted
	missingRegistrations   workerSet               // missing from the registrations, but still counted as registered
	maintenanceWorkers     workerSet               // reserved for a wave
	instances              map[InstanceID]*instanceState
	instanceOfWorker       map[WorkerID]InstanceID
	waves                  map[int]*waveState
	pools                  map[string]*poolState
	moves                  map[InstanceID]*poolMove
	rejectedMoves          map[rejectedMove]time.Time // when the platform last answered DutyInvalid
	evacuatedZones         map[string]bool            // zones that get no new tasks
	nextSizingAt           time.Time
	returnBudget           float64 // instances that may be returned to the spare pool now
	returnRefilledAt       time.Time
	nextWaveCheckAt        time.Time
	adviceInFlight         int // unanswered advisor queries
	dirtyJobs              map[job.ID]*jobState
	unstoredCrashes        map[job.ID]*jobState // dirty jobs with a crash that is not stored
	toWrite                writeQueue           // dirty jobs in writing order
	lastWriteSeq           uint64               // highest writeSeq assigned
	pendingPerQueue        map[string]int       // jobs without a started task, by queue
	changedServices        map[string]bool      // services with tasks that may be placeable now
	effects                Effects
	shares                 *quota.Shares
	tenantUsage            *quota.Tracker          // usage and limits by tenant
	presumedUsage          presumedUsage           // usage by tenant of runs that may exist but are not known
	takeoverDone           map[string]bool         // services for which all runs of earlier owners are known
	loggedTakeoverWaits    map[string]takeoverWait // last logged wait, by service
	earlierLeasesGone      map[string]bool         // services for which the leases of earlier owners have expired
	lastAwaited            map[string]InstanceID   // instance found by the last scan in awaitedInstance, by service
	lastUnsettled          map[string]InstanceID   // instance found by the last scan in unsettledWorker, by service
	startedAt              time.Time
	electedAt              time.Time
	orderHoldoff           map[InstanceID]time.Time // until when no order is sent, because an earlier owner may have sent one
	registrationsAt        time.Time                // last update of the registrations
	registrationsLagSince  time.Time                // since when the known registrations lag behind the store; zero: up to date
	unregisterFrom         time.Time                // when missing registrations begin to count as deleted
	instanceListAt         time.Time                // last instance list
	firstInstanceListAt    time.Time                // first instance list of this term
	unseenLoss             bool                     // a worker was lost that this owner has not seen alive
	fenced                 bool

	holdsDue       timerQueue[*worker]
	settlesDue     timerQueue[*worker]   // answered workers whose incarnations are to be recorded as settled
	stopsDue       timerQueue[*run]      // stops to resend unless confirmed
	stallsDue      timerQueue[*run]      // runs to check for lack of progress
	occurrencesDue timerQueue[*jobState] // jobs with later occurrences
	removalsDue    timerQueue[*jobState] // ended jobs to be removed
	recentlyEnded  []*worker             // incarnations kept for crash attribution
	// correlationsStale: contact to a worker was lost or regained since the last refreshCorrelations.
	correlationsStale bool
	lossHistory       lossHistory         // of workers, for the rate at which they are lost
	attributionsDue   timerQueue[*worker] // ended incarnations with unconfirmed crashes
	avoidedDue        timerQueue[*worker] // workers to index again when avoidUntil has passed

	staleIndexWorkers []*worker // workers with indexStale set

	callLossDetector  callpolicy.LossDetector
	allCalls          callpolicy.WorkerCalls // to all workers
	fastAnswers       callpolicy.FastAnswers // to starts
	repeatBudget      callpolicy.RepeatBudget
	starvedSince      time.Time     // start of the current or last period in which the owner is starved
	starvedUntil      time.Time     // end of that period
	meanAnswerLatency time.Duration // moving average
	slowAnswersSince  time.Time     // since when meanAnswerLatency is too high; zero: it is not

	mostSilentSince time.Time // since when most workers seem silent; zero: most answer

	storeLeaseLostAt time.Time // zero: the store lease is held
	ownership        ownership
	earlyCancels     map[job.ID]time.Time // cancellations of jobs not known yet
	decisions        []Decision
	counts           Counts

	startWindow startWindow
	admission   admissionState
}

// Counts holds totals since the start of the term.
type Counts struct {
	Starts               int64 // runs ordered; an order that is sent again does not count
	Refused              int64 // starts that a worker refused
	Failed               int64 // runs that failed
	Lapsed               int64 // runs that their worker ended because their lease expired or other members of their gang were missing
	SkippedEnds          int64 // run ends that workers forgot before they were read
	Lost                 int64 // runs that ended with their worker or its lease, or vanished from its run list
	Stopped              int64 // runs that were stopped by an order
	Done                 int64 // runs that completed their task
	Commits              int64 // transactions that stored records
	LongRunningLapsed    int64 // long-running tasks among Lapsed
	Crashes              int64 // worker crashes that a task may have caused
	UnplannedEnds        int64 // ends of worker incarnations without an order or a drain, whether or not a task may have caused them
	JobsFailedByAttempts int64 // jobs that failed because a task or a gang used up its attempts
	JobsFailedByCrashes  int64 // jobs that failed because a task crashes its workers
	IsolatedStarts       int64 // starts of risky tasks in isolation
	GivenUp              int64 // tasks given up because they crash their workers
	UnprovenLapses       int64 // ends of workers' leases that were no proof, as another owner may have renewed them
	JobsConsidered       int64 // jobs considered for placement
	RefusedJobs          int64 // submissions refused by Admit, returns of the same job included
	NeedlessRefusals     int64 // refused jobs that did not return although their pool could have started them in time
	UnansweredStarts
}

// Decision is a log line that says what was decided about a job, a worker or an instance, and
// why.
type Decision struct {
	Event         string // kind of decision, in kebab case
	Job           job.ID
	Task          string
	Worker        WorkerID
	Run           uint64
	Reason        string
	TimeBreakdown *TimeBreakdown // set for a late job
}

func (c *Core) logDecision(d Decision) { c.decisions = append(c.decisions, d) }

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

// TakeHolds returns the holds since the last call. Other effects stay until TakeEffects.
func (c *Core) TakeHolds() []Hold {
	out := c.effects.Holds
	c.effects.Holds = nil
	return out
}

// Fenced reports whether a worker or the platform has seen a higher fencing token, which means
// that another daemon is the owner.
func (c *Core) Fenced() bool { return c.fenced }

// New returns a core for a term that begins at now. loaded holds all jobs that are in the store
// at that time.
func New(opt Options, catalog *job.Catalog, loaded []StoredJob, now time.Time) *Core {
	c := &Core{
		opt:                    opt,
		fencingToken:           opt.Term,
		highestToken:           opt.Term,
		formerWorkers:          map[WorkerID]formerWorker{},
		runs:                   firstRunNumbers(opt.Term),
		catalog:                catalog,
		jobs:                   map[job.ID]*jobState{},
		withheldJobs:           map[job.ID]bool{},
		openJobs:               map[job.ID]*jobState{},
		openMemory:             openMemory{byAccount: map[openAccount]int64{}},
		workers:                workerSet{},
		unknownServiceWorkers:  map[WorkerID]Registration{},
		workersByService:       serviceWorkers{},
		silentWorkers:          workerSet{},
		endedWorkers:           workerSet{},
		trialWaiters:           map[*task]bool{},
		unconfirmedCrashes:     map[incarnation][]*task{},
		workersWithUnknownJobs: workerSet{},
		throttledWorkers:       workerSet{},
		missingRegistrations:   workerSet{},
		maintenanceWorkers:     workerSet{},
		pendingPerQueue:        map[string]int{},
		instances:              map[InstanceID]*instanceState{},
		instanceOfWorker:       map[WorkerID]InstanceID{},
		waves:                  map[int]*waveState{},
		pools:                  map[string]*poolState{},
		moves:                  map[InstanceID]*poolMove{},
		rejectedMoves:          map[rejectedMove]time.Time{},
		dirtyJobs:              map[job.ID]*jobState{},
		unstoredCrashes:        map[job.ID]*jobState{},
		changedServices:        map[string]bool{},
		earlyCancels:           map[job.ID]time.Time{},
		shares:                 quota.NewShares(),
		tenantUsage:            quota.New(),
		takeoverDone:           map[string]bool{},
		loggedTakeoverWaits:    map[string]takeoverWait{},
		earlierLeasesGone:      map[string]bool{},
		lastAwaited:            map[string]InstanceID{},
		lastUnsettled:          map[string]InstanceID{},
		startWindow:            newStartWindow(opt.MaxOutstandingStarts),
		orderHoldoff:           map[InstanceID]time.Time{},
		admission:              admissionState{controllers: map[string]*admission.Controller{}},
		startedAt:              now,
		electedAt:              now,
		unregisterFrom:         now,
	}
	for _, id := range opt.WithheldJobs {
		c.withheldJobs[id] = true
	}
	c.loadSettled(opt.Settled)
	c.callLossDetector.Policy = opt.CallPolicy
	c.allCalls.AllWorkers = true
	if !opt.ElectedAt.IsZero() {
		c.electedAt = opt.ElectedAt
	}
	for _, o := range opt.PriorOrders {
		wait := min(opt.DutyHandover+DutyHandoverMargin, opt.DutyHandover+maxOrderTransit-o.Age)
		c.orderHoldoff[o.Instance] = c.electedAt.Add(wait)
	}
	if catalog != nil {
		c.setTenants(catalog.Tenants)
	}
	for _, l := range loaded {
		c.loadJob(l, now)
	}
	c.replayArrivals(loaded, now)
	return c
}

// StoredJob is a job as read from the store.
type StoredJob struct {
	Job       *job.Job
	Progress  *job.Progress // nil: none stored
	Cancelled bool          // a cancellation is stored
}
