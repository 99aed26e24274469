package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// requestTwoWaves requests maintenance of the same instance in two waves.
func (r *rig) requestTwoWaves() {
	for wave := 1; wave <= 2; wave++ {
		r.core.OnWave(WaveRequest{Wave: wave, Instances: []InstanceID{"i-a"}, Within: time.Minute, MaxDown: 1}, nil, false, r.now)
	}
}

// returnFromMaintenance has the instance come back from its maintenance with a new worker.
func (r *rig) returnFromMaintenance(as string) {
	r.inst[0].State, r.inst[0].Worker = InstanceUp, WorkerID(as)
	r.regs[0].Worker, r.regs[0].Addr = WorkerID(as), as
	r.publishLists()
	r.answerHold(WorkerID(as), nil)
}

func (r *rig) isWaveDone(wave int) bool {
	done := false
	for _, w := range r.out.WaveStatuses {
		done = done || w.Wave == wave && w.Done
	}
	return done
}

// TestWavesWithASharedInstance: an instance named by two waves is maintained for each of them,
// and a wave is completed only after its own maintenance of the instance.
func TestWavesWithASharedInstance(t *testing.T) {
	r := newRig(t, 1)
	r.answerHold(r.worker("a"), nil)
	r.requestTwoWaves()
	r.tick(100 * time.Millisecond)
	require.Equal(t, []InstanceOrder{{Instance: "i-a", Wave: 1}}, r.maintenances(), "one at a time")
	r.inst[0].State = InstanceInMaintenance
	r.publishLists()
	r.core.OnInstanceOrderAnswer(r.maintenances()[0], DutyDone, r.now)
	r.tick(100 * time.Millisecond)
	assert.True(t, r.isWaveDone(1))
	assert.False(t, r.isWaveDone(2))
	r.returnFromMaintenance("a2")
	r.tick(200 * time.Millisecond)
	require.Len(t, r.maintenances(), 2)
	assert.Equal(t, InstanceOrder{Instance: "i-a", Wave: 2}, r.maintenances()[1])
	r.core.OnInstanceOrderAnswer(r.maintenances()[1], DutyDone, r.now)
	r.tick(100 * time.Millisecond)
	assert.True(t, r.isWaveDone(2))
}

// TestSharedInstanceAfterTakeover: the new owner doesn't know for which of two waves the
// instance is under maintenance, so both order it, and the platform knows which one is done.
func TestSharedInstanceAfterTakeover(t *testing.T) {
	r := newRig(t, 2)
	r.answerHold(r.worker("a"), nil)
	r.requestTwoWaves()
	r.inst[0].State = InstanceInMaintenance
	r.publishLists()
	r.tick(5 * time.Second)
	assert.False(t, r.isWaveDone(1) || r.isWaveDone(2))
	assert.Empty(t, r.maintenances())
	r.returnFromMaintenance("a2")
	for wave := 1; wave <= 2; wave++ {
		r.tick(200 * time.Millisecond)
		require.Len(t, r.maintenances(), wave)
		require.Equal(t, wave, r.maintenances()[wave-1].Wave)
		r.core.OnInstanceOrderAnswer(r.maintenances()[wave-1], DutyDone, r.now)
		r.inst[0].State = InstanceInMaintenance
		r.publishLists()
		r.tick(3 * time.Second)
		r.returnFromMaintenance("a" + string(rune('2'+wave)))
	}
	r.tick(200 * time.Millisecond)
	assert.True(t, r.isWaveDone(1) && r.isWaveDone(2))
}
