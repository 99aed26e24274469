package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// twoWaves asks for the maintenance of the same instance in two waves.
func (r *rig) twoWaves() {
	for wave := 1; wave <= 2; wave++ {
		r.core.OnWave(WaveRequest{Wave: wave, Instances: []InstanceID{"i-a"}, Within: time.Minute, MaxDown: 1}, nil, false, r.now)
	}
}

// back lets the instance come back from its maintenance with a new worker.
func (r *rig) back(as string) {
	r.inst[0].State, r.inst[0].Worker = InstanceUp, WorkerID(as)
	r.regs[0].Worker, r.regs[0].Addr = WorkerID(as), as
	r.publishLists()
	r.answerHold(WorkerID(as), nil)
}

func (r *rig) isDone(wave int) bool {
	done := false
	for _, w := range r.out.WaveStatuses {
		done = done || w.Wave == wave && w.Done
	}
	return done
}

// TestWavesThatShareInstances: maintenance for one wave is none for another that names the
// same instance, which gets its own before that wave is said to be completed.
func TestWavesThatShareInstances(t *testing.T) {
	r := newRig(t, 1)
	r.answerHold(r.worker("a"), nil)
	r.twoWaves()
	r.tick(100 * time.Millisecond)
	require.Equal(t, []InstanceOrder{{Instance: "i-a", Wave: 1}}, r.maintenances(), "one at a time")
	r.inst[0].State = InstanceInMaintenance
	r.publishLists()
	r.core.OnInstanceOrder(r.maintenances()[0], DutyDone, r.now)
	r.tick(100 * time.Millisecond)
	assert.True(t, r.isDone(1))
	assert.False(t, r.isDone(2))
	r.back("a2")
	r.tick(200 * time.Millisecond)
	require.Len(t, r.maintenances(), 2)
	assert.Equal(t, InstanceOrder{Instance: "i-a", Wave: 2}, r.maintenances()[1])
	r.core.OnInstanceOrder(r.maintenances()[1], DutyDone, r.now)
	r.tick(100 * time.Millisecond)
	assert.True(t, r.isDone(2))
}

// TestSharedInstancesAfterATakeover: for which of two waves an earlier owner took an instance
// down is not known, so that both ask for it; the platform knows which of them is done.
func TestSharedInstancesAfterATakeover(t *testing.T) {
	r := newRig(t, 2)
	r.answerHold(r.worker("a"), nil)
	r.twoWaves()
	r.inst[0].State = InstanceInMaintenance
	r.publishLists()
	r.tick(5 * time.Second)
	assert.False(t, r.isDone(1) || r.isDone(2))
	assert.Empty(t, r.maintenances())
	r.back("a2")
	for wave := 1; wave <= 2; wave++ {
		r.tick(200 * time.Millisecond)
		require.Len(t, r.maintenances(), wave)
		require.Equal(t, wave, r.maintenances()[wave-1].Wave)
		r.core.OnInstanceOrder(r.maintenances()[wave-1], DutyDone, r.now)
		r.inst[0].State = InstanceInMaintenance
		r.publishLists()
		r.tick(3 * time.Second)
		r.back("a" + string(rune('2'+wave)))
	}
	r.tick(200 * time.Millisecond)
	assert.True(t, r.isDone(1) && r.isDone(2))
}
