package wave

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/requests/fleet"
)

var t0 = time.Date(2026, 1, 1, 3, 0, 0, 0, time.UTC)

// poolWithWave returns the input for a pool of n ready instances in two zones and
// one running wave.
func poolWithWave(n int, b fleet.AvailabilityBudget) Input {
	in := Input{
		Now: t0, Pool: &fleet.Pool{Name: "p", Budget: b}, Instances: map[fleet.InstanceID]fleet.Instance{},
		Waves:      []*fleet.Wave{{Name: "w", Pools: []fleet.PoolName{"p"}, State: fleet.WaveRunning, StartedAt: t0}},
		Options:    Options{RebootTimeout: time.Minute},
		NewID:      func() fleet.CommandID { return "new" },
		Membership: func(fleet.InstanceID) *fleet.Membership { return nil },
	}
	for i := range n {
		id := fleet.InstanceID(fmt.Sprintf("i%d", i))
		zone := fleet.AvailabilityZone(fmt.Sprint("z", i%2))
		in.Members = append(in.Members, fleet.Membership{Instance: id, Pool: "p"})
		in.Instances[id] = fleet.Instance{ID: id, Zone: zone, State: fleet.InstanceReady, Generation: 1}
	}
	return in
}

func setInstance(in Input, id fleet.InstanceID, state fleet.InstanceState, generation int64, last fleet.CommandID) {
	i := in.Instances[id]
	i.State, i.Generation, i.LastCommand = state, generation, last
	in.Instances[id] = i
}

func disruptedInstances(p *fleet.Pool) (out []fleet.InstanceID) {
	for _, d := range p.Disruptions {
		out = append(out, d.Instance)
	}
	return out
}

func TestGrantsUpToTheBudgetZoneByZone(t *testing.T) {
	plan := Reconcile(poolWithWave(6, fleet.AvailabilityBudget{MaxUnavailable: 2}))
	require.NotNil(t, plan.Pool)
	assert.Equal(t, []fleet.InstanceID{"i0", "i2"}, disruptedInstances(plan.Pool), "both instances are in one zone")
	assert.Empty(t, plan.Commands, "a command is sent only after its claim is recorded")
}

func TestFailedInstancesUseTheBudget(t *testing.T) {
	in := poolWithWave(6, fleet.AvailabilityBudget{MaxUnavailable: 2})
	setInstance(in, "i5", fleet.InstanceFailed, 2, "")
	assert.Len(t, disruptedInstances(Reconcile(in).Pool), 1)
	setInstance(in, "i4", fleet.InstanceFailed, 2, "")
	assert.Nil(t, Reconcile(in).Pool)
}

func TestPercentIsRoundedDown(t *testing.T) {
	assert.Len(t, disruptedInstances(Reconcile(poolWithWave(19, fleet.AvailabilityBudget{MaxUnavailable: 10, Percent: true})).Pool), 1)
	assert.Nil(t, Reconcile(poolWithWave(9, fleet.AvailabilityBudget{MaxUnavailable: 10, Percent: true})).Pool)
}

func TestAllowedIsAtMostPoolSize(t *testing.T) {
	assert.Equal(t, 0, fleet.AvailabilityBudget{MaxUnavailable: 2}.Allowed(0))
	assert.Equal(t, 1, fleet.AvailabilityBudget{MaxUnavailable: 2}.Allowed(1))
}

func TestSurviveZoneReservesLargestZone(t *testing.T) {
	b := fleet.AvailabilityBudget{MaxUnavailable: 4, SurviveZone: true}
	assert.Len(t, disruptedInstances(Reconcile(poolWithWave(6, b)).Pool), 1, "one out and the three of the other zone make four")
}

func TestStartsNothingThatMissesTheDeadline(t *testing.T) {
	in := poolWithWave(4, fleet.AvailabilityBudget{MaxUnavailable: 1})
	in.Pool.MeanOut = 10 * time.Minute
	in.Waves[0].Deadline = t0.Add(5 * time.Minute)
	plan := Reconcile(in)
	assert.Nil(t, plan.Pool)
	assert.Contains(t, plan.Notes[0].Text, "would not be back before")
}

// TestTheLimitOfAWaveIsExplained: the note has the number of instances out and the limit. They
// differ when the limit falls.
func TestTheLimitOfAWaveIsExplained(t *testing.T) {
	in := poolWithWave(8, fleet.AvailabilityBudget{MaxUnavailable: 6})
	in.Options.MaxConcurrent = 3
	in.Pool = Reconcile(in).Pool
	require.Len(t, in.Pool.Disruptions, 3)
	in.Options.MaxConcurrent = 2
	notes := Reconcile(in).Notes
	require.NotEmpty(t, notes)
	assert.Equal(t, "wave w waits: 3 instances are out, it takes at most 2 at the same time", notes[len(notes)-1].Text)
}

func TestOperatorsRequestsGoBeforeWaves(t *testing.T) {
	in := poolWithWave(4, fleet.AvailabilityBudget{MaxUnavailable: 1})
	in.Pool.Requests = []fleet.Request{{Instance: "i3", Kind: fleet.DisruptByDrain, At: t0}}
	assert.Equal(t, []fleet.InstanceID{"i3"}, disruptedInstances(Reconcile(in).Pool))
}

// TestInstancePassesAllPhases follows one instance of a wave from drain to return.
func TestInstancePassesAllPhases(t *testing.T) {
	in := poolWithWave(1, fleet.AvailabilityBudget{MaxUnavailable: 1})
	step := func(want fleet.Phase) {
		plan := Reconcile(in)
		require.NotNil(t, plan.Pool, want)
		in.Pool = plan.Pool
		require.Equal(t, want, in.Pool.Disruptions[0].Phase)
	}
	step(fleet.PhaseDrain)
	assert.Len(t, Reconcile(in).Commands, 1)
	setInstance(in, "i0", fleet.InstanceDraining, 2, "new")
	assert.Empty(t, Reconcile(in).Commands, "the command was carried out")
	setInstance(in, "i0", fleet.InstanceDrained, 2, "new")
	step(fleet.PhaseReboot)
	setInstance(in, "i0", fleet.InstanceDrained, 3, "new")
	step(fleet.PhaseReturn)
	in.Now = t0.Add(time.Minute)
	setInstance(in, "i0", fleet.InstanceDrained, 4, "new")
	assert.Nil(t, Reconcile(in).Pool, "the return was sent, but the instance is not in service yet")
	setInstance(in, "i0", fleet.InstanceReady, 4, "new")
	plan := Reconcile(in)
	assert.Empty(t, plan.Pool.Disruptions)
	assert.True(t, plan.Pool.MaintainedBy("w", "i0"))
	assert.Equal(t, time.Minute, plan.Pool.MeanOut)
}

// TestInstanceRestartRepeatsThePhase guards against rebooting an instance that
// takes requests: after the drain was carried out, the instance restarted by itself
// and is in service again, so it must be drained again.
func TestInstanceRestartRepeatsThePhase(t *testing.T) {
	in := poolWithWave(1, fleet.AvailabilityBudget{MaxUnavailable: 1})
	in.Pool = Reconcile(in).Pool
	setInstance(in, "i0", fleet.InstanceReady, 3, "new")
	in.NewID = func() fleet.CommandID { return "newer" }
	plan := Reconcile(in)
	require.NotNil(t, plan.Pool)
	assert.Equal(t, fleet.Command{ID: "newer", Action: fleet.ActionDrain, Generation: 3}, plan.Pool.Disruptions[0].Command)
}

func TestLostInstanceIsSkippedAndKeepsItsClaim(t *testing.T) {
	in := poolWithWave(2, fleet.AvailabilityBudget{MaxUnavailable: 1})
	in.Pool.Disruptions = []fleet.Disruption{{
		Instance: "i0", Kind: fleet.DisruptByWave, Wave: "w", Phase: fleet.PhaseReboot, Command: fleet.Command{ID: "c", Generation: 2}, PhaseAt: t0.Add(-2 * time.Minute),
	}}
	setInstance(in, "i0", fleet.InstanceRebooting, 3, "c")
	plan := Reconcile(in)
	assert.True(t, plan.Pool.MaintainedBy("w", "i0"))
	assert.Equal(t, []fleet.InstanceID{"i0"}, disruptedInstances(plan.Pool), "it still uses the budget")
}

func TestMoveChangesMembershipBetweenDrainAndReturn(t *testing.T) {
	in := poolWithWave(2, fleet.AvailabilityBudget{MaxUnavailable: 1})
	in.Waves = nil
	in.Pool.Disruptions = []fleet.Disruption{{Instance: "i0", Kind: fleet.DisruptByMove, Target: "q", Phase: fleet.PhaseMove, PhaseAt: t0}}
	setInstance(in, "i0", fleet.InstanceDrained, 2, "c")
	plan := Reconcile(in)
	assert.Equal(t, []MembershipChange{{Instance: "i0", From: "p", To: "q", Joining: true}}, plan.MembershipChanges)
	assert.Nil(t, plan.Pool)
	in.Membership = func(fleet.InstanceID) *fleet.Membership {
		return &fleet.Membership{Instance: "i0", Pool: "q", Joining: true}
	}
	assert.Equal(t, fleet.PhaseReturn, Reconcile(in).Pool.Disruptions[0].Phase)
}

// TestWeightsChooseConcurrency: the order desks give roll-out time the highest
// weight, the alumni hub gives it to buffer cost.
func TestWeightsChooseConcurrency(t *testing.T) {
	orderDesks, alumniHub := fleet.Weights{RollOut: 3, Buffer: 1, Moves: 1}, fleet.Weights{RollOut: 1, Buffer: 3, Moves: 1}
	for _, tc := range []struct {
		n, allowed int
		weights    fleet.Weights
		want       int
	}{
		{12, 4, fleet.Weights{}, 4}, {12, 4, orderDesks, 4}, {12, 4, alumniHub, 2}, {12, 1, alumniHub, 1}, {12, 0, orderDesks, 0},
		{7, 6, orderDesks, 4}, // 4 and 6 at the same time both take two rounds
	} {
		assert.Equal(t, tc.want, ChooseConcurrency(tc.n, tc.allowed, tc.weights), "%+v", tc)
	}
	in := poolWithWave(12, fleet.AvailabilityBudget{MaxUnavailable: 4})
	in.Weights = alumniHub
	assert.Len(t, disruptedInstances(Reconcile(in).Pool), 2)
	in.Pool.MeanOut = time.Minute
	in.Waves[0].Deadline = t0.Add(4 * time.Minute)
	assert.Len(t, disruptedInstances(Reconcile(in).Pool), 4, "a deadline takes precedence over the weights")
}

func TestShouldHalt(t *testing.T) {
	for _, tc := range []struct {
		failures, granted, forgiven int
		want                        bool
	}{{1, 1, 0, false}, {2, 10, 0, true}, {2, 30, 0, false}, {4, 30, 0, true}, {4, 30, 4, false}} {
		assert.Equal(t, tc.want, ShouldHalt(tc.failures, tc.granted, tc.forgiven), "%+v", tc)
	}
}

func TestEstimateEnd(t *testing.T) {
	end, ok := EstimateEnd(t0, &fleet.Pool{MeanOut: time.Minute}, 5, 2)
	assert.True(t, ok)
	assert.Equal(t, t0.Add(3*time.Minute), end)
}
