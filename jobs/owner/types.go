// Package owner schedules all jobs of the fleet while this daemon is their
// owner. Core is a state machine: events in, effects out, with the time as an
// argument; it does no I/O and starts no goroutine.
package owner

import (
	"context"
	"fmt"
	"time"

	"github.com/postmount/postmount/jobs/job"
)

// WorkerID names a worker. A restart may give it a new one or leave it the old one; when it
// was born tells its lives apart.
type WorkerID string

// InstanceID names an instance over all lives of its worker.
type InstanceID string

// Registration is what a worker says of itself in the store.
type Registration struct {
	Worker    WorkerID
	Service   string
	Addr      string
	Zone      string
	Rack      string
	Labels    []string
	Capacity  job.Resources
	Draining  bool
	StartedMs int64 // when this life began, in ms of Unix time on its own clock; 0: not told
}

// Validate returns why the registration names no worker that can be used.
func (r *Registration) Validate() error {
	switch {
	case r.Worker == "" || r.Service == "" || r.Addr == "":
		return fmt.Errorf("it lacks a name, a service or an address: %q, %q, %q", r.Worker, r.Service, r.Addr)
	case r.Capacity.CPUMilli < 0 || r.Capacity.MemMB < 0 || r.Capacity.GPU < 0:
		return fmt.Errorf("its room is less than nothing: %s", r.Capacity)
	case r.StartedMs < 0:
		return fmt.Errorf("it was born at %d ms", r.StartedMs)
	}
	return nil
}

// InstanceState is where an instance is in its life.
type InstanceState int

// The states of an instance.
const (
	InstanceUnknown InstanceState = iota
	InstanceUp
	InstanceMoving
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
	Worker   WorkerID      // of its present life; "" if there is none
	Capacity job.Resources // of the instance, of which its worker may have less for a while; zero: not told
}

// WaveRequest is an operators' request for the maintenance of instances.
type WaveRequest struct {
	Wave      int
	Instances []InstanceID
	Within    time.Duration // from the request to the last instance
	MaxDown   int           // instances of the wave down at the same time
}

// Target is the worker that an order is meant for.
type Target struct {
	Worker    WorkerID
	Addr      string
	Token     uint64 // fencing token of the owner
	StartedMs int64  // of the life that is meant; 0: not known
}

// Start orders a worker to run a task.
type Start struct {
	Target
	Seq          uint64 // of the order, within the term
	Task         job.TaskID
	Run          uint64
	Payload      string
	LeaseUntilMs int64 // end of the worker's lease, on the worker's clock, in ms
	Checkpoint   string
	Ticket       string
	Timeout      time.Duration // of its answer
}

// Stop orders a worker to end a run, or never to begin it.
type Stop struct {
	Target
	Task    job.TaskID
	Run     uint64
	Timeout time.Duration // of its answer
}

// Throttle lets a run work at a share of its speed.
type Throttle struct {
	Target
	Task    job.TaskID
	Run     uint64
	Percent int
}

// Hold renews a worker's lease, acknowledges ends and asks what runs.
type Hold struct {
	Target
	LeaseUntilMs int64  // as in Start; 0: do not renew
	AckThrough   uint64 // ends up to this number are recorded and may be forgotten
	Wait         time.Duration
	Timeout      time.Duration // of its answer, beyond Wait
}

// Outcome is how a worker met an order.
type Outcome int

// The outcomes of an order. Only Unanswered leaves open whether it was, or
// will be, carried out.
const (
	Unanswered Outcome = iota
	Taken
	Fenced    // a higher fencing token was seen there
	RunTooOld // this or a higher run was stopped or ended there
	LeaseOver // the order's lease had already ended
	NoRoom
	BadTicket
	OtherBoot // another life of the worker answered
	Unhealthy // the worker refuses work at present
	Invalid
	NotSent // the order waited for too long, and was not sent
)

var outcomeNames = [...]string{"unanswered", "taken", "fenced", "run-too-old", "lease-over", "no-room", "bad-ticket", "other-boot", "unhealthy", "invalid", "not-sent"}

// String returns the outcome's name in logs and metrics.
func (o Outcome) String() string { return outcomeNames[o] }

// Answer is a worker's answer to an order.
type Answer struct {
	Outcome Outcome
	ClockMs int64 // the worker's clock when it answered, in ms; 0: not told
	// Latency is the time from when a start was sent until its answer was read; 0: not
	// measured, as for other orders.
	Latency    time.Duration
	Err        error // why there is no answer
	ConnFailed bool  // there is none as the connection was refused or ended, not as time ran out
}

// ActiveRun is a run that a worker lists as running.
type ActiveRun struct {
	Task       job.TaskID
	Run        uint64
	Checkpoint string
	Percent    int // of its work; a long-running task is at work at 100
	Usage      int // tail latency in ms of a serving task, else thousandths of a core in use
}

// EndKind is how a run ended.
type EndKind int

// The kinds of ends.
const (
	EndDone EndKind = iota
	EndFailed
	EndStopped
	EndLapsed
	EndPeerEnded      // another member of its gang ended
	EndGangIncomplete // the other members of its gang did not come
)

var endKindNames = [...]string{"done", "failed", "stopped", "lapsed", "peer-ended", "gang-incomplete"}

// String returns the kind's name in logs and metrics.
func (k EndKind) String() string { return endKindNames[k] }

// RunEnd is a run that a worker lists as ended.
type RunEnd struct {
	Seq        uint64 // rises within one life of the worker
	Task       job.TaskID
	Run        uint64
	Kind       EndKind
	Checkpoint string
}

// HoldAnswer is a worker's answer to a Hold.
type HoldAnswer struct {
	Answer
	StartedMs int64 // of the life that answered; 0: not told
	Active    []ActiveRun
	Ends      []RunEnd
}

// WorkerClient sends orders to workers.
type WorkerClient interface {
	Start(ctx context.Context, o Start) Answer
	Stop(ctx context.Context, o Stop) Answer
	Throttle(ctx context.Context, o Throttle) Answer
	Hold(ctx context.Context, o Hold) HoldAnswer
}

// Duty identifies the holder of the duty of moves and maintenance.
type Duty struct {
	Holder string
	Token  uint64
}

// DutyOutcome is how the platform met an order for an instance.
type DutyOutcome int

// The outcomes of an order for an instance.
const (
	DutyUnanswered DutyOutcome = iota
	DutyDone
	DutyFenced  // a higher fencing token was seen
	DutyRefused // the instance is busy, or the order does not apply to it
	DutyInvalid // no such instance or pool
)

// InstanceManager lists instances and acts on them.
type InstanceManager interface {
	Instances(ctx context.Context) ([]Instance, error)
	Move(ctx context.Context, d Duty, id InstanceID, pool string) DutyOutcome
	Maintain(ctx context.Context, d Duty, id InstanceID, wave int) DutyOutcome
}

// Record is a job's progress to be written to the store.
type Record struct {
	Job      *job.Job
	Progress job.Progress
	Stored   bool // the store holds an earlier record of it, which the end replaces
	version  uint64
}

// TxnEntries is how many entries of a transaction the record takes.
func (r *Record) TxnEntries() int {
	if r.Progress.State.Final() && r.Stored {
		return 2
	}
	return 1
}

// InstanceOrder moves an instance to a pool, or maintains it for a wave.
type InstanceOrder struct {
	Instance InstanceID
	Pool     string // if it is to be moved
	Wave     int    // if it is to be maintained
}

// RecentOrder is an instance for which an order was sent, or may have been, a moment
// ago.
type RecentOrder struct {
	Instance InstanceID
	Holder   string // who sent it
	// Age is how long ago it reached the platform at the latest; negative while it may
	// still be on its way.
	Age time.Duration
}

// WaveStatus is the state of a wave for the operators.
type WaveStatus struct {
	Wave int
	Done bool
}

// Effects are what the shell has to carry out, in any order.
type Effects struct {
	Starts         []Start
	Stops          []Stop
	Throttles      []Throttle
	Holds          []Hold
	InstanceOrders []InstanceOrder
	WaveStatuses   []WaveStatus
	AdviceQueries  []AdviceQuery
}
