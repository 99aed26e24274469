package jobload

import (
	"fmt"
	"hash/fnv"
	"slices"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/assert"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/owner"
)

// digest returns a hash of all starts, stops and orders for instances of a run with their times, and
// the main counts of the result. The order among effects of the same event does not matter.
func digest(sc Scenario) (sum string, r Result) {
	h := fnv.New64a()
	sc.OnEffects = func(at time.Time, e owner.Effects) {
		var lines []string
		for _, o := range e.Starts {
			lines = append(lines, fmt.Sprintf("start %s %s", o.Task, o.Worker))
		}
		for _, o := range e.Stops {
			lines = append(lines, fmt.Sprintf("stop %s %s", o.Task, o.Worker))
		}
		for _, o := range e.InstanceOrders {
			lines = append(lines, fmt.Sprintf("order %s %s %d", o.Instance, o.Pool, o.Wave))
		}
		slices.Sort(lines)
		for _, l := range lines {
			fmt.Fprintln(h, at.UnixNano(), l)
		}
	}
	r = Run(sc)
	return fmt.Sprintf("%016x starts %d moves %d in time %d", h.Sum64(), r.Starts, r.Moves, r.InTime), r
}

// overloadedFleet has less capacity than its load needs, and tasks of many sizes.
func overloadedFleet(seed uint64) Scenario {
	sc := Scenario{Seed: seed, Length: 12 * time.Second, Instances: 12, Spare: 4, Capacity: job.Resources{CPUMilli: 16000, MemMB: 32768}}
	for i, q := range []Queue{
		{Name: "a", PerSecond: 14, Kind: JobKind{Steps: 1.6, Width: 8, CPUMilli: 2300, MemMB: 5000, TaskDuration: 800 * time.Millisecond, EstimateError: 0.5}},
		{Name: "b", PerSecond: 6, Kind: JobKind{Steps: 2, Width: 8, CPUMilli: 3900, MemMB: 2000, TaskDuration: 1700 * time.Millisecond, EstimateError: 0.9}, Priority: 1},
	} {
		q.RateFactor = Rotating(i, 2, 4*time.Second, 1.7, 0.3)
		sc.Queues = append(sc.Queues, q)
	}
	return sc
}

// TestSameDecisions checks that the owner makes the same decisions at the same times as when
// the golden file was recorded. Update it with -update only for a change that is meant to alter
// decisions, not for one that is meant to make them faster.
func TestSameDecisions(t *testing.T) {
	var out string
	for seed := range uint64(3) {
		noFaults, withFaults, overloaded := rotatingLoad(seed+1), rotatingLoad(seed+10), overloadedFleet(seed+20)
		withFaults.Faults = []Fault{
			{At: 2 * time.Second, For: 26 * time.Second, Kind: Wave, Count: 6},
			{At: secondTurn, Kind: OwnerKilled},
			{At: thirdTurn, Kind: RackLost, Count: 4},
		}
		for _, sc := range []Scenario{noFaults, withFaults, overloaded} {
			sum, r := digest(sc)
			assert.Zero(t, r.Open, "accepted jobs are open at the end")
			out += sum + "\n"
		}
	}
	goldie.New(t).Assert(t, "same-decisions", []byte(out))
}
