package jobload

import (
	"time"

	"github.com/postmount/postmount/jobs/calls"
	"github.com/postmount/postmount/jobs/capacity"
	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/owner"
)

// Scenario is a fleet and what befalls it.
type Scenario struct {
	Seed      uint64
	Length    time.Duration // of the arrivals; what is open then may end in a while
	Instances int           // of each pool at the start
	Spare     int           // instances that are off and cost nothing
	Room      job.Resources // of an instance
	Queues    []Queue       // each has a pool of its own
	Faults    []Fault
	Daemon    *Daemon // the owner's; nil: its work takes no time

	PoolPolicy       capacity.Policy
	SchedulingPolicy owner.SchedulingPolicy
	CallPolicy       calls.Policy

	// OnDecision is told each decision of an owner; it may be nil.
	OnDecision func(at time.Time, d owner.Decision)
	// OnEffects is told what an owner wants done after each event; it may be nil.
	OnEffects func(at time.Time, e owner.Effects)
}

// Queue is a kind of jobs and when they come.
type Queue struct {
	Name       string
	PerSecond  float64 // mean of its arrivals
	RateFactor RateFactor
	Kind       JobKind
	Priority   int
}

// RateFactor tells how many times its mean a queue asks for at a time.
type RateFactor func(at time.Duration) float64

// Constant is a queue's mean at any time.
func Constant(time.Duration) float64 { return 1 }

// JobKind says what the jobs of a queue are like. Sizes are spread log-normally.
type JobKind struct {
	Steps         float64 // mean; one more or less, one at least
	Width         int     // mean number of tasks of a step
	CPUMilli      int     // mean of a task
	MemMB         int
	Task          time.Duration // mean of how long a task takes
	EstimateError float64       // by which share estimates are off at most, either way
}

// Rotating returns the shape of queue i of n that rise and fall by turns: each asks for
// high times its mean for the length of a turn, and for low times in between.
func Rotating(i, n int, turn time.Duration, high, low float64) RateFactor {
	return func(at time.Duration) float64 {
		if int(at/turn)%n == i {
			return high
		}
		return low
	}
}

// Fault is something that goes wrong.
type Fault struct {
	At    time.Duration
	For   time.Duration
	Kind  FaultKind
	Count int     // how many instances it befalls, where that applies
	Share float64 // of what it befalls, likewise
}

// FaultKind goes wrong.
type FaultKind int

// The troubles.
const (
	// StoreUnavailable lets nothing be accepted or recorded; the owner goes on with what it
	// knows. Callers try again until their patience ends.
	StoreUnavailable FaultKind = iota
	// StoreLeasesExpired is StoreAway, after which the owner's lock is gone: another daemon,
	// or the same, is elected.
	StoreLeasesExpired
	// OwnerKilled ends the owner's process; the next one reads the jobs from the store,
	// and what was not recorded is lost to it.
	OwnerKilled
	// OwnerPowerLost is OwnerKilled without a sign of it: the lease has to end.
	OwnerPowerLost
	// Wave asks for the maintenance of some instances of each pool.
	Wave
	// RackLost ends some instances of the first pool at once; they come back.
	RackLost
	// WideJobs lets jobs come at once that are four times as wide as usual, on the first
	// queue.
	WideJobs
	// CallsLost lets a share of the calls to workers go without an answer; they are carried out
	// seconds later.
	CallsLost
)

// Result is what came of a scenario.
type Result struct {
	Jobs    int // that callers tried to submit
	InTime  int
	Late    int
	Refused int // never accepted within a caller's patience
	Open    int // accepted, and not done at the end

	Causes            map[string]time.Duration // of late jobs' time, but for their work
	CapacityWait      time.Duration            // of late jobs for room
	InstanceSeconds   float64                  // of instances in pools that are paid for, during the arrivals
	Moves             int
	UnusedMoves       int // moves to a pool after which nothing ran there
	Starts            int
	DuplicateStarts   int            // starts of a task that was done, or ran elsewhere
	ExpiredTasks      int            // tasks that ended with their worker's lease
	WastedCoreSeconds float64        // core-seconds of work that was stopped or lost
	LateBySecond      map[int]int    // by when they were submitted
	JobsBySecond      map[int]int    // likewise
	LateByQueue       map[string]int // late, refused or open
	Meter             Meter          // real time that the owner's decisions took
}

// InTimeShare returns the share of jobs that were in time.
func (r *Result) InTimeShare() float64 { return float64(r.InTime) / float64(max(1, r.Jobs)) }

// InTimeShareBetween returns the share in time of the jobs submitted from second a up to
// second b.
func (r *Result) InTimeShareBetween(a, b int) float64 {
	jobs, late := 0, 0
	for s := a; s < b; s++ {
		jobs += r.JobsBySecond[s]
		late += r.LateBySecond[s]
	}
	return 1 - float64(late)/float64(max(1, jobs))
}

// MeanInstances returns how many instances were in pools, on average over d.
func (r *Result) MeanInstances(d time.Duration) float64 { return r.InstanceSeconds / d.Seconds() }
