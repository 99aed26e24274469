package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// setZone puts a worker and its instance into a zone.
func (r *rig) setZone(id WorkerID, zone string) {
	for n := range r.regs {
		if r.regs[n].Worker == id {
			r.regs[n].Zone = zone
		}
	}
	for n := range r.inst {
		if r.inst[n].Worker == id {
			r.inst[n].Zone = zone
		}
	}
	r.publishLists()
}

// TestEvacuatedZoneOffersNoCapacity: neither instances of the pool nor spare ones in an
// evacuated zone get tasks. What runs there continues and still counts as demand.
func TestEvacuatedZoneOffersNoCapacity(t *testing.T) {
	r := newRig(t, 1)
	r.addWorkers("a", "b")
	r.setZone("a", "z1")
	r.setZone("b", "z2")
	r.inst = append(r.inst, Instance{ID: "spare1", Pool: "spare", State: InstanceUp, Zone: "z1"})
	r.publishLists()
	r.submit(1, 1)
	first := r.confirmStarts()
	require.Len(t, first, 1)
	zone := map[WorkerID]string{"a": "z1", "b": "z2"}[first[0].Worker]
	r.core.SetEvacuatedZones([]string{zone, "nowhere"})
	supply := &r.core.pool("s").supply
	assert.Equal(t, 1, supply.instances)
	assert.Equal(t, 1, supply.evacuated)
	assert.Equal(t, 1000, supply.busyMilli, "it will need capacity elsewhere")
	r.submit(2, 3)
	for _, s := range r.confirmStarts() {
		assert.NotEqual(t, first[0].Worker, s.Worker)
	}
	assert.Empty(t, r.out.Stops, "runs there continue")

	r.core.SetEvacuatedZones([]string{"z1", "z2"})
	r.submit(3, 1)
	r.tick(2 * time.Second)
	assert.Empty(t, r.out.Starts)
	assert.Empty(t, r.out.InstanceOrders, "spare instances there are not moved to the pool")
	assert.Equal(t, CauseZoneEvacuated, r.core.waitCause("s"))
	r.core.SetEvacuatedZones(nil)
	r.answerHold("a", nil)
	r.answerHold("b", nil)
	r.tick(100 * time.Millisecond)
	assert.NotEmpty(t, r.confirmStarts())
	assert.Equal(t, 2, supply.instances)
	assert.Zero(t, supply.evacuated)
}

// TestNoStartIsRepeatedWhereNoneMayBegin: a start gets no answer, and the zone is evacuated or the worker
// drains meanwhile. The start is not sent again: the first may have been lost, and the second would begin
// the task there. Once the worker's list shows that it has not begun, it starts elsewhere.
func TestNoStartIsRepeatedWhereNoneMayBegin(t *testing.T) {
	for name, leave := range map[string]func(r *rig, s Start){
		"evacuated": func(r *rig, _ Start) { r.core.SetEvacuatedZones([]string{"z1"}) },
		"draining": func(r *rig, s Start) {
			for n := range r.regs {
				r.regs[n].Draining = r.regs[n].Worker == s.Worker
			}
			r.publishLists()
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 1)
			r.addWorkers("a")
			r.setZone("a", "z1")
			r.submit(1, 1)
			require.Len(t, r.out.Starts, 1)
			first := r.out.Starts[0]
			r.out.Starts = nil
			leave(r, first)
			r.core.OnStartAnswer(first, Answer{Outcome: Unanswered}, r.now)
			r.collectEffects()
			assert.Empty(t, r.out.Starts)

			r.addWorkers("b")
			r.setZone("b", "z2")
			var stops []Stop
			for range 4 { // answers to holds that were sent before prove nothing
				r.answerHold("a", nil)
				r.tick(25 * time.Millisecond)
				stops = append(stops, r.takeStops(first.Task)...)
			}
			require.Len(t, stops, 1, "it is not on the list; a late start is ruled out first")
			r.core.OnStopAnswer(stops[0], Answer{Outcome: Accepted, ClockMs: r.clockMs()}, r.now)
			for range 4 {
				r.tick(25 * time.Millisecond)
				r.answerHold("a", nil)
			}
			require.Len(t, r.out.Starts, 1)
			assert.Equal(t, WorkerID("b"), r.out.Starts[0].Worker)
		})
	}
}

// TestReturnsLeaveMovesForWaitingTasks: returns to the spare pool use only what the moves for
// waiting tasks leave of the rate limit.
func TestReturnsLeaveMovesForWaitingTasks(t *testing.T) {
	r := newRig(t, 1)
	c := r.core
	c.opt.MaxMovesPerSec = 10
	assert.Equal(t, 5, c.returnAllowance(r.now), "half of the moves of a second")
	c.returnBudget -= 12 // moves ordered for waiting tasks
	assert.Zero(t, c.returnAllowance(r.now))
	r.now = r.now.Add(time.Second)
	assert.Zero(t, c.returnAllowance(r.now))
	r.now = r.now.Add(time.Second)
	assert.Equal(t, 3, c.returnAllowance(r.now))
	r.now = r.now.Add(time.Hour)
	assert.Equal(t, 5, c.returnAllowance(r.now))
}
