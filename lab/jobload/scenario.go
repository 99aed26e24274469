package jobload

import (
	"time"

	"github.com/postmount/postmount/jobs/admission"
	"github.com/postmount/postmount/jobs/callpolicy"
	"github.com/postmount/postmount/jobs/capacity"
	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/owner"
)

// Scenario describes a fleet, its load and its faults.
type Scenario struct {
	Seed      uint64
	Length    time.Duration // of the arrivals; afterwards open jobs have drainTime to end
	Instances int           // of each pool at the start
	Spare     int           // instances in the spare pool, which aren't counted as cost
	Capacity  job.Resources // of an instance
	Queues    []Queue       // each has a pool of its own
	Tenants   []Tenant      // who submit jobs, in proportion to their weights; empty: no tenants
	Faults    []Fault
	Daemon    *Daemon // limits of the owner's daemon; nil: its work takes no time

	PoolPolicy       capacity.Policy
	SchedulingPolicy owner.SchedulingPolicy
	CallPolicy       callpolicy.Policy
	AdmissionPolicy  admission.Policy // "": the owner isn't asked

	// OnDecision is called with each decision of an owner; it may be nil.
	OnDecision func(at time.Time, d owner.Decision)
	// OnEffects is called with the owner's effects after each event; it may be nil.
	OnEffects func(at time.Time, e owner.Effects)
}

// Queue is a queue, its arrivals and the kind of its jobs.
type Queue struct {
	Name       string
	PerSecond  float64 // mean arrival rate
	RateFactor RateFactor
	Kind       JobKind
	Priority   int
	Instances  int // of its pool at the start; 0: as Scenario.Instances
}

// Tenant submits jobs to all queues. Its weight is its share of their arrivals.
type Tenant struct {
	Weight     float64
	RateFactor RateFactor // of its own arrivals; nil: constant
}

// Burst multiplies a RateFactor by x for a time.
func Burst(f RateFactor, from, length time.Duration, x float64) RateFactor {
	return func(at time.Duration) float64 {
		if at >= from && at < from+length {
			return x * f(at)
		}
		return f(at)
	}
}

// RateFactor returns a queue's arrival rate at a time as a multiple of its mean.
type RateFactor func(at time.Duration) float64

// Constant is the RateFactor of a constant rate.
func Constant(time.Duration) float64 { return 1 }

// JobKind describes the jobs of a queue. Sizes are log-normally distributed.
type JobKind struct {
	Steps         float64       // mean number of steps; each job has it rounded up or down, at least 1
	Width         int           // mean number of tasks of a step
	CPUMilli      int           // mean of a task, in millicores
	MemMB         int           // mean of a task, in MB
	TaskDuration  time.Duration // mean duration of a task
	EstimateError float64       // maximum relative error of estimates, in either direction
}

// Rotating returns the RateFactor of queue i of n that peak in rotation: the factor is high
// during the queue's own turn and low during the turns of the others.
func Rotating(i, n int, turn time.Duration, high, low float64) RateFactor {
	return func(at time.Duration) float64 {
		if int(at/turn)%n == i {
			return high
		}
		return low
	}
}

// Fault is a fault or another disturbance of a scenario.
type Fault struct {
	At    time.Duration
	For   time.Duration
	Kind  FaultKind
	Count int     // of affected instances or additional jobs, if Kind needs it
	Share float64 // of affected calls, if Kind needs it
}

// FaultKind is the kind of a fault.
type FaultKind int

// Fault kinds.
const (
	// StoreUnavailable means that no job can be accepted or recorded; the owner continues
	// with what it knows. Callers retry at the times in submitAttempts.
	StoreUnavailable FaultKind = iota
	// StoreLeasesExpired is StoreUnavailable for so long that the owner's lock expires: at its
	// end a daemon, the same or another one, is elected.
	StoreLeasesExpired
	// OwnerKilled ends the owner's process; the next owner reads the jobs from the store and
	// does not know what was not recorded.
	OwnerKilled
	// OwnerPowerLost is OwnerKilled, but not detected: the next election has to wait until the
	// owner's lease expires.
	OwnerPowerLost
	// Wave requests maintenance of some instances of each pool.
	Wave
	// RackLost takes some instances of the first pool down at the same time for rackDowntime.
	RackLost
	// WideJobs submits jobs at the same time to the first queue, with wideJobFactor times the
	// usual number of tasks.
	WideJobs
	// CallsLost loses the answers of a share of the calls to workers; the calls are carried out
	// seconds later.
	CallsLost
)

// Result is the result of a scenario.
type Result struct {
	Jobs    int // jobs that callers tried to submit
	InTime  int
	Late    int
	Refused int // not accepted by the last of submitAttempts
	Open    int // accepted, but not done at the end
	Failed  int // part of Late that took more than three times as long as allowed

	Worth            float64 // of the jobs by the users' prices, as a share of what all are worth
	LargestServed    float64 // share of the largest tenth of a queue's jobs that was served, compared with all its jobs; the least of the queues
	Refusals         int     // by the owner's decision, of attempts
	NeedlessRefusals int     // refused jobs that did not return although there was room for them in time

	Causes            map[string]time.Duration // time of late jobs by cause, their work excluded
	CapacityWait      time.Duration            // time that late jobs waited for capacity
	InstanceSeconds   float64                  // in pools other than the spare one, during the arrivals
	Moves             int
	UnusedMoves       int // moves to a pool in which the instance then ran no task
	Starts            int
	DuplicateStarts   int            // starts of a task that was done or running
	ExpiredTasks      int            // tasks that ended because their worker's lease expired
	WastedCoreSeconds float64        // work that was stopped or lost
	LateBySecond      map[int]int    // by second of submission
	JobsBySecond      map[int]int    // likewise
	LateByQueue       map[string]int // late, refused or open
	Meter             Meter          // real time of the owner's decisions
}

// InTimeShare returns the share of jobs that were on time.
func (r *Result) InTimeShare() float64 { return float64(r.InTime) / float64(max(1, r.Jobs)) }

// InTimeShareBetween returns the share on time of the jobs submitted from second a up to
// second b.
func (r *Result) InTimeShareBetween(a, b int) float64 {
	jobs, late := 0, 0
	for s := a; s < b; s++ {
		jobs += r.JobsBySecond[s]
		late += r.LateBySecond[s]
	}
	return 1 - float64(late)/float64(max(1, jobs))
}

// MeanInstances returns the mean number of instances in pools other than the spare one, over d.
func (r *Result) MeanInstances(d time.Duration) float64 { return r.InstanceSeconds / d.Seconds() }
