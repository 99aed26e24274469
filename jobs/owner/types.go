// Package owner schedules all jobs of the fleet while this daemon is their owner. Core is a
// state machine: it takes events and the current time, and returns effects for its caller to
// carry out. It does no I/O and starts no goroutines.
package owner

import (
	"context"
	"fmt"
	"time"

	"github.com/postmount/postmount/jobs/job"
)

// WorkerID identifies a worker. A restarted worker may have a new ID or the old one. Incarnations
// with the same ID are told apart by their start times.
type WorkerID string

// InstanceID identifies an instance. It stays the same when the instance's worker restarts.
type InstanceID string

// Registration is a worker's entry in the store.
type Registration struct {
	Worker    WorkerID
	Service   string
	Addr      string
	Zone      string
	Rack      string
	Labels    []string
	Capacity  job.Resources
	Draining  bool
	ColdFor   time.Duration // how much longer it works slowly after its start, as of its report; 0: it does not
	StartedMs int64         // start of this incarnation in ms of Unix time, on the worker's clock; 0: not reported
}

// Validate returns an error if the registration does not describe a usable worker.
func (r *Registration) Validate() error {
	switch {
	case r.Worker == "" || r.Service == "" || r.Addr == "":
		return fmt.Errorf("registration without id, service or address: id %q, service %q, address %q", r.Worker, r.Service, r.Addr)
	case r.StartedMs < 0:
		return fmt.Errorf("registration with negative start time: %d ms", r.StartedMs)
	}
	if err := r.Capacity.Validate(); err != nil {
		return fmt.Errorf("registration with invalid capacity: %w", err)
	}
	return nil
}

// InstanceState is the state of an instance in the platform's list.
type InstanceState int

// The states of an instance.
const (
	InstanceUnknown InstanceState = iota
	InstanceUp
	InstanceMoving // to another pool
	InstanceInMaintenance
	InstanceDown
)

// Instance is an entry of the platform's instance list.
type Instance struct {
	ID       InstanceID
	Pool     string
	State    InstanceState
	Zone     string
	Rack     string
	Worker   WorkerID      // current worker; "" if there is none
	Capacity job.Resources // full size of the instance, of which its worker may temporarily offer less; zero: not reported
}

// WaveRequest is an operator's request to maintain instances.
type WaveRequest struct {
	Wave      int
	Instances []InstanceID
	Within    time.Duration // time from the request until all instances are maintained
	MaxDown   int           // limit of instances of the wave that are down at the same time
}

// Target is the worker that an order is addressed to.
type Target struct {
	Worker    WorkerID
	Addr      string
	Token     uint64 // fencing token of the owner
	StartedMs int64  // identifies the incarnation; 0: not known
}

// Start orders a worker to run a task.
type Start struct {
	Target
	Seq          uint64 // sequence number of the start order in this term
	Task         job.TaskID
	Run          uint64
	Payload      string
	LeaseUntilMs int64 // end of the worker's lease, in ms on the worker's clock
	Checkpoint   string
	Ticket       string        // the advisor's permission; "": not needed
	Timeout      time.Duration // for the answer
}

// Stop orders a worker to end a run, or not to start it if the start arrives later.
type Stop struct {
	Target
	Task    job.TaskID
	Run     uint64
	Timeout time.Duration // for the answer
}

// Throttle limits a run to a percentage of its full speed.
type Throttle struct {
	Target
	Task    job.TaskID
	Run     uint64
	Percent int
}

// Hold is the recurring call to each worker. It renews the worker's lease, acknowledges run
// ends, and long-polls for the worker's runs and their ends.
type Hold struct {
	Target
	LeaseUntilMs int64         // as in Start; 0: the lease is not renewed
	AckThrough   uint64        // run ends up to this number are stored, so the worker may forget them
	Wait         time.Duration // how long the worker waits for a new run end before it answers
	Timeout      time.Duration // for the answer, beyond Wait
}

// Outcome is how an order to a worker ended.
type Outcome int

// The outcomes of an order. Only Unanswered leaves open whether the order was carried out or
// still will be.
const (
	Unanswered Outcome = iota
	Accepted
	Fenced           // the worker has seen a higher fencing token
	RunTooOld        // the worker has already stopped or ended this run or a newer one of the task
	LeaseExpired     // the lease in the order had expired when it arrived
	NoCapacity       // the worker has too little free capacity for the task
	InvalidTicket    // the worker rejected the advisor's ticket
	OtherIncarnation // another incarnation of the worker answered
	Unhealthy        // the worker accepts no work at present
	Invalid          // the worker rejected the order as malformed
	NotSent          // the order was dropped after waiting too long to be sent
)

// outcomeNames are part of the log and metrics format, and partly differ from the identifiers.
var outcomeNames = [...]string{"unanswered", "taken", "fenced", "run-too-old", "lease-over", "no-room", "bad-ticket", "other-boot", "unhealthy", "invalid", "not-sent"}

// String returns the outcome's name in logs and metrics.
func (o Outcome) String() string { return outcomeNames[o] }

// Answer is a worker's answer to an order.
type Answer struct {
	Outcome Outcome
	ClockMs int64 // the worker's clock when it answered, in ms; 0: not reported
	// Latency is the time from sending a start until its answer was read. It is 0 if not
	// measured, as for all other orders.
	Latency    time.Duration
	Err        error // why there is no answer
	ConnFailed bool  // unanswered because the connection was refused or closed, not because of a timeout
	// ConnRefused reports that the connection was refused, so that the order cannot have arrived.
	ConnRefused bool
	// Unsent reports that nothing of the order was written to a connection before its timeout, so that it cannot arrive.
	Unsent bool
}

// ActiveRun is a run that a worker lists as running.
type ActiveRun struct {
	Task       job.TaskID
	Run        uint64
	Checkpoint string
	Percent    int // progress; a long-running task is serving at 100
	Usage      int // tail latency in ms for a task with a latency target, otherwise millicores in use
}

// EndKind is how a run ended.
type EndKind int

// The kinds of ends.
const (
	EndDone EndKind = iota
	EndFailed
	EndStopped
	EndLeaseExpired   // the lease expired
	EndPeerEnded      // another member of the gang ended
	EndGangIncomplete // not all members of the gang arrived
)

var endKindNames = [...]string{"done", "failed", "stopped", "lapsed", "peer-ended", "gang-incomplete"}

// String returns the kind's name in logs and metrics.
func (k EndKind) String() string { return endKindNames[k] }

// RunEnd is a run that a worker lists as ended.
type RunEnd struct {
	Seq        uint64 // increases within one incarnation of the worker
	Task       job.TaskID
	Run        uint64
	Kind       EndKind
	Checkpoint string
}

// HoldAnswer is a worker's answer to a Hold.
type HoldAnswer struct {
	Answer
	StartedMs int64       // of the incarnation that answered; 0: not reported
	Active    []ActiveRun // the worker's run list
	Ends      []RunEnd    // ended runs that were not acknowledged yet, in the order of their numbers
	// EndsTruncated reports that Ends may lack later ends. They are listed once the earlier ones are
	// acknowledged. Active is always complete.
	EndsTruncated bool
}

// WorkerClient sends orders to workers and returns their answers.
type WorkerClient interface {
	Start(ctx context.Context, o Start) Answer
	Stop(ctx context.Context, o Stop) Answer
	Throttle(ctx context.Context, o Throttle) Answer
	Hold(ctx context.Context, o Hold) HoldAnswer
}

// Duty identifies the duty holder: the daemon that has the exclusive right to order moves and
// maintenance of instances.
type Duty struct {
	Holder string
	Token  uint64 // fencing token
}

// DutyOutcome is the platform's answer to an order for an instance.
type DutyOutcome int

// The outcomes of an order for an instance.
const (
	DutyUnanswered DutyOutcome = iota
	DutyDone
	DutyFenced  // the platform has seen a higher fencing token
	DutyRefused // the instance is busy, or the order does not apply to it
	DutyInvalid // no such instance or pool
)

// InstanceManager lists instances and acts on them.
type InstanceManager interface {
	Instances(ctx context.Context) ([]Instance, error)
	Move(ctx context.Context, d Duty, id InstanceID, pool string) DutyOutcome
	Maintain(ctx context.Context, d Duty, id InstanceID, wave int) DutyOutcome
}

// Record is a job's progress to be stored.
type Record struct {
	Job      *job.Job
	Progress job.Progress
	Stored   bool   // an earlier record is stored, which a final one replaces
	version  uint64 // version of the job that the record describes
}

// TxnEntries returns how many entries of a transaction the record takes.
func (r *Record) TxnEntries() int {
	if r.Progress.State.Final() && r.Stored {
		return 2
	}
	return 1
}

// InstanceOrder moves an instance to a pool, or maintains it for a wave.
type InstanceOrder struct {
	Instance InstanceID
	Pool     string // target pool of a move
	Wave     int    // wave of a maintenance; 0: a move
}

// RecentOrder is an order for an instance that was sent, or may have been sent, a short
// time ago.
type RecentOrder struct {
	Instance InstanceID
	Holder   string // duty holder that sent it
	// Age is the least time since the order reached the platform; negative while it may
	// still be in flight.
	Age time.Duration
}

// WaveStatus is the state of a wave as shown to operators.
type WaveStatus struct {
	Wave int
	Done bool
}

// Effects holds the actions that the caller of Core has to carry out, in any order.
type Effects struct {
	Starts         []Start
	Stops          []Stop
	Throttles      []Throttle
	Holds          []Hold
	InstanceOrders []InstanceOrder
	WaveStatuses   []WaveStatus
	AdviceQueries  []AdviceQuery
}
