package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// orderMaintenanceOfA has the maintenance of an idle worker ordered, and returns the order.
func (r *rig) orderMaintenanceOfA() InstanceOrder {
	r.answerHold(r.worker("a"), nil)
	r.core.OnWave(WaveRequest{Wave: 1, Instances: []InstanceID{"i-a"}, Within: time.Minute, MaxDown: 1}, nil, false, r.now)
	r.tick(100 * time.Millisecond)
	require.Len(r.t, r.maintenances(), 1)
	return r.maintenances()[0]
}

// TestNoStartOnAnIdleWorkerOrderedDown guards against tasks that start on an idle worker after its maintenance
// was ordered, and are lost with it.
func TestNoStartOnAnIdleWorkerOrderedDown(t *testing.T) {
	r := newRig(t, 1)
	order := r.orderMaintenanceOfA()
	r.submit(1, 1)
	r.tick(300 * time.Millisecond)
	assert.Empty(t, r.out.Starts, "the order is under way")
	r.core.OnInstanceOrderAnswer(order, DutyUnanswered, r.now)
	r.tick(300 * time.Millisecond)
	assert.Empty(t, r.out.Starts, "the order may have been executed")
	r.answerHold(r.worker("b"), nil)
	r.tick(100 * time.Millisecond)
	require.Len(t, r.out.Starts, 1)
	assert.Equal(t, WorkerID("b"), r.out.Starts[0].Worker)
}

// TestAnIdleWorkerWhoseMaintenanceIsRefused: a platform that refuses each order does not keep a worker from
// tasks for good.
func TestAnIdleWorkerWhoseMaintenanceIsRefused(t *testing.T) {
	r := newRig(t, 1)
	order := r.orderMaintenanceOfA()
	r.submit(1, 1)
	r.core.OnInstanceOrderAnswer(order, DutyRefused, r.now)
	r.tick(orderRetryDelay - 25*time.Millisecond)
	require.Empty(t, r.out.Starts)
	r.tick(50 * time.Millisecond)
	assert.Len(t, r.out.Starts, 1)
	assert.Len(t, r.maintenances(), 1)
}
