package jobload

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/postmount/postmount/jobs/capacity"
	"github.com/postmount/postmount/jobs/job"
)

// rotatingLoad has four queues that peak in rotation. During its turn the rate of a queue is four times its
// mean, which is more than its pool can run, and a twentieth of the mean otherwise. The rotation and the sizes
// of jobs, instances and pools follow a customer's requirements, and the turn of 8.6 s its arrivals of jobs.
func rotatingLoad(seed uint64) Scenario {
	const turn, high, low = 8600 * time.Millisecond, 4.0, 0.05
	small := JobKind{Steps: 1.6, Width: 6, CPUMilli: 880, MemMB: 910, TaskDuration: time.Second, EstimateError: 0.5}
	large := JobKind{Steps: 2, Width: 8, CPUMilli: 1900, MemMB: 3500, TaskDuration: 1700 * time.Millisecond, EstimateError: 0.9}
	sc := Scenario{Seed: seed, Length: 36 * time.Second, Instances: 10, Spare: 9, Capacity: job.Resources{CPUMilli: 16000, MemMB: 32768}}
	for i, q := range []Queue{
		{Name: "a", PerSecond: 7.2, Kind: small},
		{Name: "b", PerSecond: 1.33, Kind: large, Priority: 1},
		{Name: "c", PerSecond: 9, Kind: small},
		{Name: "d", PerSecond: 1.62, Kind: large, Priority: 1},
	} {
		q.RateFactor = Rotating(i, 4, turn, high, low)
		sc.Queues = append(sc.Queues, q)
	}
	return sc
}

// secondTurn and thirdTurn are times shortly after the starts of the turns of queues b and c.
const (
	secondTurn = 9 * time.Second
	thirdTurn  = 17500 * time.Millisecond
)

// TestFaultsUnderRotatingLoad injects faults near the start of a turn, when a pool has to grow to
// five times its size within two seconds. minInTime is the measured share of jobs on time, averaged over
// the seeds, less about 0.03. The comments of the cases give the share with a mechanism switched off,
// measured with eight seeds.
func TestFaultsUnderRotatingLoad(t *testing.T) {
	const seeds = 4
	for _, c := range []struct {
		name         string
		faults       []Fault
		minInTime    float64 // share of all jobs on time
		maxInstances float64 // instances in pools, on average
	}{
		{"no faults", nil, 0.95, 46},
		// 0.90 if the next owner has to wait until the lease of the killed one expires.
		{"owner killed", []Fault{{At: thirdTurn, Kind: OwnerKilled}}, 0.93, 46},
		// 0.72 if a new owner moves no instance for 4.2 s; the same for the next case.
		{"owner lost power", []Fault{{At: thirdTurn, Kind: OwnerPowerLost}}, 0.85, 46},
		{"store unavailable, leases expire", []Fault{{At: 14 * time.Second, For: 4500 * time.Millisecond, Kind: StoreLeasesExpired}}, 0.84, 47},
		{"store unavailable", []Fault{{At: 14 * time.Second, For: 4500 * time.Millisecond, Kind: StoreUnavailable}}, 0.84, 47},
		{"wave", []Fault{{At: 2 * time.Second, For: 26 * time.Second, Kind: Wave, Count: 6}}, 0.95, 47},
		{"wave and owner killed", []Fault{{At: 2 * time.Second, For: 26 * time.Second, Kind: Wave, Count: 6}, {At: secondTurn, Kind: OwnerKilled}}, 0.93, 47},
		{"wide jobs", []Fault{{At: thirdTurn, Kind: WideJobs, Count: 20}}, 0.93, 47},
		// The whole backlog of the pool is late when the next turn begins: 0.78 if late work counts as
		// much as work that can still be on time.
		{"wide jobs at the end of a turn", []Fault{{At: 15500 * time.Millisecond, Kind: WideJobs, Count: 60}}, 0.79, 48},
		{"rack lost", []Fault{{At: thirdTurn, Kind: RackLost, Count: 4}}, 0.94, 46},
	} {
		t.Run(c.name, func(t *testing.T) {
			share, instances := 0.0, 0.0
			for seed := range uint64(seeds) {
				sc := rotatingLoad(seed + 1)
				sc.Faults = c.faults
				r := Run(sc)
				assert.Zero(t, r.Open, "accepted jobs are open at the end")
				share += r.InTimeShare() / seeds
				instances += r.MeanInstances(sc.Length) / seeds
			}
			t.Logf("in time %.3f, instances in pools %.1f", share, instances)
			assert.GreaterOrEqual(t, share, c.minInTime)
			assert.LessOrEqual(t, instances, c.maxInstances)
		})
	}
}

// TestOutageBound checks the number of refused jobs in a store outage. Callers retry for about three
// seconds, so only jobs first submitted in the last 2.8 s of the outage can still be accepted.
func TestOutageBound(t *testing.T) {
	sc := rotatingLoad(2)
	const from, length = 14, 5
	sc.Faults = []Fault{{At: from * time.Second, For: length * time.Second, Kind: StoreUnavailable}}
	r := Run(sc)
	early := r.JobsBySecond[from] + r.JobsBySecond[from+1]
	late := r.JobsBySecond[from+3] + r.JobsBySecond[from+4]
	assert.GreaterOrEqual(t, r.Refused, early, "jobs of the outage's first 2 s can't be accepted")
	assert.LessOrEqual(t, r.Refused, early+r.JobsBySecond[from+2], "the %d jobs of the outage's last 2 s must be accepted", late)
}

// TestPoolPoliciesDiffer checks that the simulation ranks the pool policies as the measurements on the
// customers' days do.
func TestPoolPoliciesDiffer(t *testing.T) {
	share := func(policy capacity.Policy) float64 {
		sc := rotatingLoad(1)
		sc.PoolPolicy = policy
		r := Run(sc)
		return r.InTimeShare()
	}
	demand := share(capacity.Demand)
	assert.Greater(t, demand, share(capacity.Threshold)+0.1)
	assert.Greater(t, demand, share(capacity.Fixed)+0.1)
}
