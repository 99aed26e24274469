package jobload

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/postmount/postmount/jobs/job"
)

// oversizedFleet has far more capacity than its queues need, like a customer's whole fleet. The queues
// peak in rotation, their load is proportional to the size of the fleet, and traffic starts some time
// after the daemons.
func oversizedFleet(seed uint64, instances int) Scenario {
	const lead, turn, high, low = 10 * time.Second, 5 * time.Second, 4.0, 0.05
	fleetShare := float64(instances) / 5040 // the customer's fleet has 5040 instances
	small := JobKind{Steps: 1.6, Width: 8, CPUMilli: 6400, MemMB: 23000, TaskDuration: 800 * time.Millisecond, EstimateError: 0.5}
	large := JobKind{Steps: 2, Width: 8, CPUMilli: 14000, MemMB: 40000, TaskDuration: 1700 * time.Millisecond, EstimateError: 0.9}
	sc := Scenario{Seed: seed, Length: lead + 25*time.Second, Instances: instances / 4, Spare: instances / 5, Capacity: job.Resources{CPUMilli: 32000, MemMB: 131072}}
	for i, q := range []Queue{
		{Name: "a", PerSecond: 25.1 * fleetShare, Kind: small},
		{Name: "b", PerSecond: 4.85 * fleetShare, Kind: large, Priority: 1},
		{Name: "c", PerSecond: 31.4 * fleetShare, Kind: small},
		{Name: "d", PerSecond: 5.93 * fleetShare, Kind: large, Priority: 1},
	} {
		turns := Rotating(i, 4, turn, high, low)
		q.RateFactor = func(at time.Duration) float64 {
			if at < lead {
				return 0
			}
			return turns(at - lead)
		}
		sc.Queues = append(sc.Queues, q)
	}
	return sc
}

// TestUnusedMoves checks that the number of instances moved to a pool in which they then run no task
// grows with the work, not with the size of the fleet. The arrival rate used to be estimated from the
// newest five arrivals, which come within milliseconds on a large fleet. So the forecast was ten times
// the load (18,000 cores a second, 1,800 arrived), and instances for all of it were ordered immediately:
// of 6,000 instances 2,900 were moved to two pools whose peaks needed 300.
func TestUnusedMoves(t *testing.T) {
	unusedMovesPerJob := func(instances, seeds int) float64 {
		moves, jobs := 0, 0
		for seed := range uint64(seeds) {
			r := Run(oversizedFleet(seed+1, instances))
			moves += r.UnusedMoves
			jobs += r.Jobs
		}
		t.Logf("%d instances: %d jobs, %.2f unused moves per job", instances, jobs, float64(moves)/float64(jobs))
		return float64(moves) / float64(jobs)
	}
	assert.LessOrEqual(t, unusedMovesPerJob(1280, 2), 1.25*unusedMovesPerJob(160, 4), "unused moves per job must not grow with the fleet, here to eight times the size")
}
