// Package ownermodel is an executable model of how owners, workers and the store decide which
// daemon may run a task, and explores it exhaustively within bounds. It models the protocol of
// jobs/ledger, jobs/node and jobs/owner, not their code; docs/design/0018-ownership-model.md
// says what is left out.
package ownermodel

// Sizes of the model, and of the lists that a state holds.
const (
	daemons = 2
	workers = 2
	tasks   = 2
	maxEnds = 4 // unacknowledged run ends of a worker
)

// Rules are the guards of the protocol. The zero value has none of them.
type Rules struct {
	// R1 to R4 of docs/design/0017, for an owner whose store lease may have ended.
	HoldsBounded    bool // R1: no hold grants a lease beyond the store lease's certain end + TaskLease
	StartsBounded   bool // R1 and R3: neither does a start
	GrantsInFull    bool // R1: a bounded lease is remembered as if it were not bounded
	LapseNeedsStore bool // R2: the end of a worker lease proves nothing unless the store lease was held then
	WaitNeedsStore  bool // R2: neither does the end of the wait for the leases of earlier owners
	OnlyKnownTasks  bool // R3: only tasks that were known while the store lease was held are started
	OnlyKnownWorker bool // R3: only on workers that answered while the store lease was held
	AckOnlyStored   bool // R4: ends are acknowledged only once they are stored

	// Rules for a lock that is released or revoked before its lease has ended.
	ReleaseEndsCertainty bool // the store lease is not certainly held once a release of it was sent
	ReleaseIsFinal       bool // a later renewal does not change that
	RevokedWait          bool // the owner after a revoked term waits a store lease longer
	RevokedWaitStays     bool // and so do those after it
	NewTasksWait         bool // after a revoked term, tasks that were submitted after the election wait like inherited ones
	KeepUnknown          bool // what workers list of a task that is not known yet is kept until it is
	AnswersWait          bool // after a revoked term, answers of all workers end the wait only a store lease after the election
	RenewalProves        bool // R2: that the store lease was held is proven by a renewal sent later, not by the clock

	// Guards of the protocol from before R1 to R4.
	Fence           bool // workers refuse orders of older terms
	TakeoverWait    bool // inherited tasks wait for all workers, or for the longest lease
	LockCondition   bool // writes require the lock
	RunsByTerm      bool // run numbers contain the term
	StopUnanswered  bool // a start that was not answered is stopped before its task starts elsewhere
	LapseNeedsGrant bool // the lease of a worker to which nothing was granted has not ended
	LapseAfterWait  bool // in place of GrantsInFull and LapseNeedsGrant: the end of a worker lease proves nothing before that wait is over
	RefuseOld       bool // workers refuse runs up to one that was stopped or has ended there
	RefuseLate      bool // workers refuse starts whose lease has ended
	CompleteEnds    bool // how an unlisted run has ended is concluded only from a complete list of ends
	StoppedByLease  bool // workers stop their runs when their lease ends

	// Rules for workers that restart under their IDs. A life is what runs between two restarts.
	LifeFence       bool // an owner has a token of its own for each life, above those for former lives; an answer to an order for a former life only tells of the new one
	AckAtOnce       bool // a hold that waits acknowledges nothing, one that acknowledges does not wait; no acknowledgement after it was answered, or while the worker is silent
	LifeLease       bool // the end of a lease of a life that is not settled proves nothing; a life that follows another is settled LongLease after its first answer to an order of its own
	SettledLives    bool // lives that the store does not record as settled are not settled for the next owner, and its wait for those that do not answer is longer by LongLease
	LateStartsWait  bool // a run whose start was not answered is not released while the order may be carried out, nor by the end of a lease for LongLease after that
	ListedRuns      bool // the same for a run whose start was answered, until an answer to a later hold lists it
	AckListed       bool // no acknowledgement while the worker may have a run that no answer to a hold has listed
	AckFence        bool // an owner has a higher token for the orders after a hold that acknowledges and was not answered
	ClockTells      bool // in place of ListedRuns: the answer to a start tells the worker's life, too, by its clock
	LongWait        bool // the wait of a new owner is longer by LongLease for all workers that do not answer
	FlightEnds      bool // inherited tasks wait for answers from a time at which no start of an earlier owner may be carried out any more, and no lease is granted before them
	GrantsNeedStore bool // no order grants a lease unless the store lease is certainly held
	QuietAtElection bool // the longer waits count from the election, otherwise from the time at which the earlier owner can not grant any more
	StartsNeedStore bool // no starts unless the store lease is certainly held
}

// Bounds limit what happens in an exploration. Times are in ticks, by which all clocks advance.
type Bounds struct {
	StoreLease    int8
	TaskLease     int8
	Terms         int  // elections, the first owner's included
	Starts        int  // starts by each owner in a term
	Tasks         int  // tasks submitted
	Late          bool // an order may be in flight
	ListedEnds    int  // ends that a worker lists at a time; 0: all
	Attempts      int  // failed ends after which a task is not started again
	OnlyFailures  bool // all runs fail that are not stopped
	Failures      bool // runs may fail
	LateElections bool // the lock may be written after the certain end of its lease
	LateWorker    bool // the second worker registers later
	OneWorker     bool // the second worker never registers
	LateTasks     bool // tasks are submitted at any time, otherwise before the first term
	Release       bool // an owner may release the lock; the release may be late
	Revoke        bool // the lock may be revoked while its owner is alive
	Absent        bool // assumption: a revoked owner has ended
	Restarts      int  // restarts of workers
	Still         bool // no time passes
	Endless       bool // no run ends by itself
	Unregistered  bool // an owner learns of a life only from an answer, otherwise of one that does not answer from its registration
	LongLease     int8 // the longest lease that a worker grants: what an order for a former life grants
}

// state is the state of the store, daemons, workers and messages in flight. Times are relative to
// the present, so that equal situations at different times are one state. The daemon with the
// newer term is the first.
type state struct {
	store   store
	d       [daemons]daemon
	w       [workers]worker
	late    order // the order in flight
	release uint8 // term whose release is in flight, 0: none
	judged  [tasks]judgement
}

type store struct {
	holder    int8 // daemon + 1 that holds the lock; 0: nobody
	term      uint8
	leaseLeft int8  // of the lock's lease
	revoked   uint8 // set of terms of which a revocation is recorded
	tasks     [tasks]record
	settled   [workers]uint8 // the latest life recorded as settled
}

// record is a task's progress, as stored.
type record struct {
	submitted bool
	done      bool
	failures  uint8 // set of run numbers, each below 8
}

// Phases of a daemon.
const (
	idle    = iota
	elected // the jobs are not loaded yet
	owning
)

type daemon struct {
	phase     uint8
	term      uint8
	certain   int8  // ticks for which the store lease is certainly held, negative: since when it is not
	leaving   bool  // has sent a release of the lock
	waitsLong bool  // follows a revoked term
	age       int8  // ticks since the term began, up to the longest wait
	takenOver bool  // inherited tasks need not wait any more
	starts    uint8 // in this term
	quiet     int8  // ticks since orders of earlier owners can not be carried out any more, up to LongLease
	workers   [workers]workerView
	tasks     [tasks]taskView
}

// workerView is what an owner knows of a worker.
type workerView struct {
	answered  bool  // this owner
	truncated bool  // its latest answer may lack ends
	whileHeld bool  // and did so while the store lease was held
	granted   int8  // ticks left of the longest lease granted, -1: none granted
	seen      uint8 // ends at the head of the worker's list that were seen
	stored    uint8 // those of them that are stored
	life      uint8 // the latest life that the owner knows
	settled   uint8 // the latest life that is settled
	unsettled int8  // ticks left until this life is settled, counted from its first answer to an order of its own
	acked     bool  // the next hold acknowledges ends, if only ones that the worker has forgotten
	ackLate   bool  // a hold that acknowledges may be in flight, later orders have a higher token
	final     bool  // has answered when no start of an earlier owner could be carried out any more
	unackable bool  // the latest hold was not answered
}

// taskView is what an owner knows of a task.
type taskView struct {
	known     bool
	whileHeld bool // was known while the store lease was held
	inherited bool
	done      bool
	failures  uint8
	runs      [workers]runView
}

// Phases of a run, as its owner sees it.
const (
	running   = iota
	abandoned // its start was not answered
	stopping
	stopped // the worker has confirmed the stop, its end may not be listed yet
)

type runView struct {
	number uint8 // 0: no run
	phase  uint8
	listed bool // by an answer to a hold
	unsure int8 // ticks left of the lease of a later life that may have carried out the start
}

type worker struct {
	up     bool
	fence  uint8 // highest fencing token seen
	lease  int8
	runs   [tasks]uint8
	ended  [tasks]uint8 // highest run that was stopped or has ended
	ends   [maxEnds]end
	listed uint8 // number of ends in the list

	life      uint8 // number of restarts
	forgotten uint8 // ends that this life has forgotten
}

// Kinds of run ends. Runs that were stopped or whose lease has lapsed leave the list of active
// runs, which tells an owner as much.
const (
	done = iota
	failed
)

type end struct {
	task     int8
	run      uint8
	kind     uint8
	lapsed   bool // the worker's lease has lapsed since
	followed bool // the task was started again since
}

// Kinds of orders.
const (
	noOrder = iota
	startOrder
	holdOrder
)

type order struct {
	kind   uint8
	worker int8
	task   int8
	fence  uint8
	run    uint8
	until  int8  // ticks left of the lease that it grants
	ack    uint8 // ends at the head of the worker's list that it acknowledges
	life   uint8 // of the worker for which it is meant
	grants bool  // grants a lease, which may have ended on the clock of that life
	acked  bool  // acknowledges ends, if only ones that the worker has forgotten
	waits  bool  // a hold that has arrived, and acknowledges again before it is answered
}

// judgement is what the rules of the service count of a task.
type judgement struct {
	done           bool  // a done end is taken note of
	failures       uint8 // failed ends taken note of
	failuresBefore uint8 // those of them that came before the last start
}

// swapWorkers returns the state with both workers exchanged.
func (s state) swapWorkers() state {
	s.w[0], s.w[1] = s.w[1], s.w[0]
	s.store.settled[0], s.store.settled[1] = s.store.settled[1], s.store.settled[0]
	for i := range s.d {
		d := &s.d[i]
		d.workers[0], d.workers[1] = d.workers[1], d.workers[0]
		for t := range d.tasks {
			r := &d.tasks[t].runs
			r[0], r[1] = r[1], r[0]
		}
	}
	if s.late.kind != noOrder {
		s.late.worker = 1 - s.late.worker
	}
	return s
}
