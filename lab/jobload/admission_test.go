package jobload

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/postmount/postmount/jobs/admission"
	"github.com/postmount/postmount/jobs/job"
)

// sharedFleet follows a customer's requirements: four queues that peak in rotation, pools that are
// too small for a peak, and twenty tenants, a few of them large.
func sharedFleet(seed uint64) Scenario {
	const lead, turn, high, low = 6 * time.Second, 4500 * time.Millisecond, 4.0, 0.05
	small := JobKind{Steps: 1.6, Width: 8, CPUMilli: 3100, MemMB: 6300, TaskDuration: 640 * time.Millisecond, EstimateError: 0.5}
	large := JobKind{Steps: 2, Width: 8, CPUMilli: 6700, MemMB: 19000, TaskDuration: 2100 * time.Millisecond, EstimateError: 0.2}
	sc := Scenario{Seed: seed, Length: lead + 24*time.Second, Spare: 56, Capacity: job.Resources{CPUMilli: 32000, MemMB: 131072}}
	for i, q := range []Queue{
		{Name: "a", PerSecond: 28.1, Kind: small, Instances: 62},
		{Name: "b", PerSecond: 3.54, Kind: large, Instances: 70, Priority: 1},
		{Name: "c", PerSecond: 35.1, Kind: small, Instances: 77},
		{Name: "d", PerSecond: 4.34, Kind: large, Instances: 85, Priority: 1},
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
	for n := range 20 {
		w := 2.5
		if n < 3 {
			w = 10
		}
		sc.Tenants = append(sc.Tenants, Tenant{Weight: w})
	}
	return sc
}

// burst multiplies the arrivals of all queues by x for some time.
func burst(sc *Scenario, from, length time.Duration, x float64) {
	for i := range sc.Queues {
		sc.Queues[i].RateFactor = Burst(sc.Queues[i].RateFactor, from, length, x)
	}
}

const (
	// maxFailedShare is the share of jobs that may take more than three times as long as allowed.
	maxFailedShare = 0.03
	// maxNeedlessShare is the share of jobs that may be refused although there was room for them in
	// time.
	maxNeedlessShare = 0.005
	// policyNoise is the difference of shares between two policies that depends on chance.
	policyNoise = 0.01
)

// TestAdmissionUnderLoad compares admission by capacity with refusing nobody, for loads that a pool
// can't carry: at least as many jobs are on time and their worth is not lower, few accepted jobs
// fail, and few are refused needlessly.
func TestAdmissionUnderLoad(t *testing.T) {
	const sec = time.Second
	for _, c := range []struct {
		name  string
		apply func(sc *Scenario)
	}{
		{"a turn that meets a burst", func(sc *Scenario) {
			d := &sc.Queues[3]
			d.RateFactor = Burst(d.RateFactor, 10*sec, 6*sec, 40) // a twentieth of its mean in other turns
		}},
		{"one tenant at ten times its share", func(sc *Scenario) {
			sc.Tenants[0].RateFactor = Burst(Constant, 12*sec, 6*sec, 10)
		}},
		{"a burst upon a burst", func(sc *Scenario) {
			burst(sc, 11*sec, 5*sec, 2)
			burst(sc, 20*sec, 5*sec, 2.5)
			sc.Tenants[0].RateFactor = Burst(Constant, 12*sec, 5*sec, 10)
		}},
		{"all power lost and everybody back at once", func(sc *Scenario) {
			sc.Faults = []Fault{{At: 14 * sec, Kind: OwnerPowerLost}, {At: 14 * sec, Kind: RackLost, Count: 140}}
			burst(sc, 18*sec, 2*sec, 3)
		}},
		{"a store that returns", func(sc *Scenario) {
			sc.Faults = []Fault{{At: 13 * sec, For: 4 * sec, Kind: StoreLeasesExpired}}
			burst(sc, 17*sec, 2*sec, 2)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			run := func(policy admission.Policy) Result {
				const seeds = 2
				var sum Result
				for seed := range uint64(seeds) {
					sc := sharedFleet(seed + 1)
					c.apply(&sc)
					sc.AdmissionPolicy = policy
					r := Run(sc)
					assert.Zero(t, r.Open, "accepted jobs are open at the end")
					sum.Jobs, sum.InTime, sum.Late, sum.Failed = sum.Jobs+r.Jobs, sum.InTime+r.InTime, sum.Late+r.Late, sum.Failed+r.Failed
					sum.Refused, sum.Refusals, sum.NeedlessRefusals = sum.Refused+r.Refused, sum.Refusals+r.Refusals, sum.NeedlessRefusals+r.NeedlessRefusals
					sum.Worth += r.Worth / seeds
				}
				share := func(n int) float64 { return float64(n) / float64(sum.Jobs) }
				t.Logf("%s: in time %.3f, late %.3f, failed %.3f, refused %.3f, %d refusals (%d needless), worth %.3f", policy,
					sum.InTimeShare(), share(sum.Late-sum.Failed), share(sum.Failed), share(sum.Refused), sum.Refusals, sum.NeedlessRefusals, sum.Worth)
				return sum
			}
			before, after := run(admission.Never), run(admission.Late)
			assert.Zero(t, before.Refusals)
			assert.GreaterOrEqual(t, after.InTimeShare(), before.InTimeShare()-policyNoise)
			assert.GreaterOrEqual(t, after.Worth, before.Worth-policyNoise)
			assert.LessOrEqual(t, float64(after.Failed), maxFailedShare*float64(after.Jobs))
			assert.LessOrEqual(t, float64(after.NeedlessRefusals), maxNeedlessShare*float64(after.Jobs))
		})
	}
}

// TestCalmLoadsRefuseNobody: pools that grow at the start of each turn refuse nobody, although some
// jobs are late then.
func TestCalmLoadsRefuseNobody(t *testing.T) {
	for name, sc := range map[string]Scenario{"shared fleet": sharedFleet(1), "rotating load": rotatingLoad(1), "oversized fleet": oversizedFleet(1, 160)} {
		sc.AdmissionPolicy, sc.Tenants = admission.Late, sharedFleet(1).Tenants
		assert.Zero(t, Run(sc).Refusals, name)
	}
}

// TestRefusalsDoNotRepeatThePeak: after a burst all callers of refused jobs have returned or given
// up, and the jobs of the next turns are served as without a burst.
func TestRefusalsDoNotRepeatThePeak(t *testing.T) {
	const burstEnd, turnEnd = 16, 24
	share := func(x float64) float64 {
		sc := sharedFleet(1)
		burst(&sc, 12*time.Second, 4*time.Second, x)
		sc.AdmissionPolicy = admission.Late
		r := Run(sc)
		return r.InTimeShareBetween(burstEnd+4, turnEnd)
	}
	calm, after := share(1), share(4)
	t.Logf("in time: %.3f without a burst, %.3f after one", calm, after)
	assert.GreaterOrEqual(t, after, calm-0.05)
}
