package jobload

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/postmount/postmount/jobs/job"
)

// oversizedFleet has far more capacity than its queues need, which peak in rotation, like a
// customer's whole fleet. The load is proportional to its size. Traffic starts some time after
// the daemons.
func oversizedFleet(seed uint64, instances int) Scenario {
	const lead, turn, high, low = 10 * time.Second, 5 * time.Second, 4.0, 0.05
	of := float64(instances) / 5040 // share of the customer's fleet
	small := JobKind{Steps: 1.6, Width: 8, CPUMilli: 6400, MemMB: 23000, TaskDuration: 800 * time.Millisecond, EstimateError: 0.5}
	large := JobKind{Steps: 2, Width: 8, CPUMilli: 14000, MemMB: 40000, TaskDuration: 1700 * time.Millisecond, EstimateError: 0.9}
	sc := Scenario{Seed: seed, Length: lead + 25*time.Second, Instances: instances / 4, Spare: instances / 5, Capacity: job.Resources{CPUMilli: 32000, MemMB: 131072}}
	for i, q := range []Queue{
		{Name: "a", PerSecond: 25.1 * of, Kind: small},
		{Name: "b", PerSecond: 4.85 * of, Kind: large, Priority: 1},
		{Name: "c", PerSecond: 31.4 * of, Kind: small},
		{Name: "d", PerSecond: 5.93 * of, Kind: large, Priority: 1},
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

// TestUnusedMoves checks that the number of instances moved to a pool without use grows with the work, not with the fleet.
// The arrival rate was estimated over the newest five arrivals, which on a large fleet come within milliseconds. So the
// forecast was ten times the load (18,000 cores a second, 1,800 arrived), and all of it was ordered at once: of 6,000
// instances 2,900 were moved to two pools whose peaks needed 300.
func TestUnusedMoves(t *testing.T) {
	inVain := func(instances, seeds int) float64 {
		moves, jobs := 0, 0
		for seed := range uint64(seeds) {
			r := Run(oversizedFleet(seed+1, instances))
			moves += r.UnusedMoves
			jobs += r.Jobs
		}
		t.Logf("%d instances: %d jobs, %.2f unused moves per job", instances, jobs, float64(moves)/float64(jobs))
		return float64(moves) / float64(jobs)
	}
	assert.LessOrEqual(t, inVain(1280, 2), 1.25*inVain(160, 4), "unused moves per job must not grow with a fleet of eight times the size")
}
