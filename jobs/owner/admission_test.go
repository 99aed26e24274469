package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/admission"
	"github.com/postmount/postmount/jobs/job"
)

// fullPool returns a rig with a worker of eight cores, and eighty tasks of one second that need one
// each.
func fullPool(t *testing.T, term uint64, policy admission.Policy) *rig {
	r := newRig(t, term)
	r.core.opt.AdmissionPolicy = policy
	r.core.setTenants([]job.Tenant{{Name: "t", Weight: 1}})
	r.answerHold(r.worker("a"), nil)
	r.inst[0].Capacity = job.Resources{CPUMilli: 8000, MemMB: 8000}
	r.publishLists()
	for n := range 10 {
		j := simpleJob(1+n, 8)
		j.AcceptedAt = r.now
		r.core.Submit(j, r.now)
	}
	r.tick(2 * admissionInterval)
	return r
}

func TestAdmissionOfAFullPool(t *testing.T) {
	r := fullPool(t, 1, admission.Late)
	assert.Equal(t, []string{"s"}, r.core.AdmissionHint(r.now).Congested)
	d := r.core.Admit(simpleJob(50, 8), r.now)
	assert.Equal(t, admission.PoolFull, d.Reason)
	assert.InDelta(t, 10, d.StartIn.Seconds(), 2, "72 tasks are before it")
	assert.EqualValues(t, 1, r.core.counts.RefusedJobs)

	repeated, longRunning := simpleJob(51, 8), simpleJob(52, 8)
	repeated.Repeat, repeated.StartAt = 2, r.now
	longRunning.Steps[0].LongRunning = true
	assert.Zero(t, r.core.Admit(repeated, r.now))
	assert.Zero(t, r.core.Admit(longRunning, r.now))
	assert.Zero(t, r.core.Admit(simpleJob(53, 1), r.now), "it has the least work and is placed next")

	r.core.catalog.Queues[0].ObjectiveFactor = 30
	assert.Zero(t, r.core.Admit(simpleJob(54, 8), r.now), "its objective allows the wait")
}

// TestTenantsAboveTheirShareAreRefusedFirst: a small job, which would be placed next, is refused if
// its tenant is above its share.
func TestTenantsAboveTheirShareAreRefusedFirst(t *testing.T) {
	r := fullPool(t, 1, admission.Late)
	small := simpleJob(50, 1)
	small.Tenant = "t"
	require.Zero(t, r.core.Admit(small, r.now))
	small.AcceptedAt = r.now
	r.core.Submit(small, r.now)
	next := simpleJob(51, 1)
	next.Tenant = "t"
	assert.Equal(t, admission.PoolFull, r.core.Admit(next, r.now).Reason)
}

// TestWithoutSharesNobodyIsRefusedForLackOfRoom: the fleet is not shared.
func TestWithoutSharesNobodyIsRefusedForLackOfRoom(t *testing.T) {
	r := fullPool(t, 1, admission.Late)
	r.core.setTenants([]job.Tenant{{Name: "t"}})
	assert.Zero(t, r.core.Admit(simpleJob(50, 8), r.now))
}

// TestAnOwnerThatCannotMoveInstancesRefusesNobody: what would arrive is not known.
func TestAnOwnerThatCannotMoveInstancesRefusesNobody(t *testing.T) {
	r := fullPool(t, 1, admission.Late)
	r.core.SetStoreLease(false, r.now)
	r.tick(admissionInterval + 50*time.Millisecond)
	assert.Zero(t, r.core.Admit(simpleJob(50, 8), r.now))
}

// TestRefusedWorkIsDemand: otherwise the pool would not get the instances that the refused jobs
// lack. A return is no further demand.
func TestRefusedWorkIsDemand(t *testing.T) {
	r := fullPool(t, 1, admission.Late)
	rate := func() float64 { return r.core.pool("s").arrivalRate.MeanWork() }
	before := rate()
	j := simpleJob(50, 80)
	require.Equal(t, admission.PoolFull, r.core.Admit(j, r.now).Reason)
	refused := rate()
	assert.NotEqual(t, before, refused)
	r.core.Admit(j, r.now)
	r.core.Submit(j, r.now)
	assert.Equal(t, refused, rate())
}

func TestAdmissionPolicies(t *testing.T) {
	tooLarge, late := simpleJob(50, 1), simpleJob(51, 8)
	tooLarge.Steps[0].Need.CPUMilli = 9000
	for _, c := range []struct {
		policy         admission.Policy
		tooLarge, late admission.Reason
	}{
		{"", admission.NotRefused, admission.NotRefused},
		{admission.Never, admission.NotRefused, admission.NotRefused},
		{admission.Impossible, admission.NoInstanceFits, admission.NotRefused},
		{admission.StartOrders, admission.NoInstanceFits, admission.NotRefused},
		{admission.Late, admission.NoInstanceFits, admission.PoolFull},
	} {
		r := fullPool(t, 1, c.policy)
		assert.Equal(t, c.tooLarge, r.core.Admit(tooLarge, r.now).Reason, c.policy)
		assert.Equal(t, c.late, r.core.Admit(late, r.now).Reason, c.policy)
	}
}

// TestUnknownSizesRefuseNothing: an instance whose size is not reported may be large enough.
func TestUnknownSizesRefuseNothing(t *testing.T) {
	r := fullPool(t, 1, admission.Late)
	r.worker("b")
	tooLarge := simpleJob(50, 1)
	tooLarge.Steps[0].Need.CPUMilli = 9000
	assert.NotEqual(t, admission.NoInstanceFits, r.core.Admit(tooLarge, r.now).Reason)
	assert.Zero(t, r.core.AdmissionHint(r.now).Largest)
}

// TestNewOwnerRefusesNobody: as long as runs of an earlier owner are not known, their tasks seem to
// wait.
func TestNewOwnerRefusesNobody(t *testing.T) {
	r := newRig(t, 2, StoredJob{Job: simpleJob(1, 80)}, StoredJob{Job: simpleJob(2, 80)})
	r.core.opt.AdmissionPolicy = admission.Late
	r.core.setTenants([]job.Tenant{{Name: "t", Weight: 1}})
	r.worker("a") // has not answered yet
	r.submit(3, 80)
	r.tick(2 * time.Second)
	assert.Zero(t, r.core.Admit(simpleJob(50, 8), r.now))
	assert.Empty(t, r.core.AdmissionHint(r.now).Congested)
}

// TestInstancesCountFromTheirExpectedArrival: as long as no move was seen, after a short one, as jobs
// refused for an instance that arrives earlier were refused needlessly.
func TestInstancesCountFromTheirExpectedArrival(t *testing.T) {
	r := fullPool(t, 1, admission.Late)
	const moving InstanceID = "moving"
	r.core.instances[moving] = &instanceState{Instance: Instance{ID: moving, Capacity: job.Resources{CPUMilli: 8000}}}
	r.core.moves[moving] = &poolMove{toPool: "s", orderedAt: r.now}
	arrivesIn := func() time.Duration { return r.core.admissionSupply("s", time.Second, r.now).Arrivals[0].In }
	assert.LessOrEqual(t, arrivesIn(), time.Second, "no move was seen")
	r.core.admission.recordMoveDuration(1200 * time.Millisecond)
	assert.InDelta(t, 1.2, arrivesIn().Seconds(), 0.01, "as long as the only one")
	for range 50 {
		r.core.admission.recordMoveDuration(2 * time.Second)
	}
	assert.InDelta(t, 2, arrivesIn().Seconds(), 0.1, "all moves take longer now")
}

// TestFirstWaitingBand: late work and work above its tenant's share are not ahead of jobs on time.
func TestFirstWaitingBand(t *testing.T) {
	for _, c := range []struct {
		waiting, late float64
		want          priorityBand
	}{{0, 0, bandLate + 1}, {8, 8, bandOverShare}, {8, 3, bandOnTime}} {
		p := poolState{waitingCores: c.waiting, lateWaitingCores: c.late}
		assert.Equal(t, c.want, p.firstWaitingBand())
	}
}

// TestAReturnWithoutAQuestionSettlesTheRefusal: once a pool is no longer congested, daemons accept
// returning jobs without asking.
func TestAReturnWithoutAQuestionSettlesTheRefusal(t *testing.T) {
	r := fullPool(t, 1, admission.Late)
	j := simpleJob(50, 8)
	require.Equal(t, admission.PoolFull, r.core.Admit(j, r.now).Reason)
	j.AcceptedAt = r.now
	r.core.Submit(j, r.now)
	ctl := r.core.admission.controllers["s"]
	assert.Zero(t, ctl.CountNeedless(admission.Supply{FreeCores: 100}, int(bandLate)+1, r.now))
}
