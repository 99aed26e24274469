package capacity

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// pool returns a pool of n instances of 10 cores, of which the first idle ones have been idle
// for d.
func pool(name string, n, idle int, d time.Duration) Pool {
	p := Pool{Name: name, CoresPerInstance: 10}
	for i := range n {
		in := Instance{ID: fmt.Sprintf("%s%d", name, i)}
		if i < idle {
			in.Movable, in.IdleFor = true, d
		}
		p.Instances = append(p.Instances, in)
	}
	return p
}

func spare(n int) Pool {
	p := pool("spare", n, n, 0)
	p.CoresPerInstance = 0
	return p
}

func TestSpareInstancesMoveToPoolWithWaitingTasks(t *testing.T) {
	a := pool("a", 2, 0, 0)
	a.BusyCores, a.WaitingCores = 20, 15
	moves := Plan(Demand, DefaultWeights, []Pool{a, pool("b", 2, 0, 0)}, spare(8), 100)
	assert.Len(t, moves, 3, "23 cores of running work with headroom and 15 cores of waiting work need 5 instances")
	for _, m := range moves {
		assert.Equal(t, "spare", m.From)
		assert.Equal(t, "a", m.To)
	}
}

// TestArrivalRateAddsInstancesBeforeTasksWait: at the start of a burst the arrival rate shows
// the work before it queues.
func TestArrivalRateAddsInstancesBeforeTasksWait(t *testing.T) {
	a := pool("a", 2, 0, 0)
	a.BusyCores, a.LongRunningCores, a.ArrivalRate = 8, 5, 31
	assert.Len(t, Plan(Demand, DefaultWeights, []Pool{a}, spare(8), 100), 3, "5 long-running cores, and 31 core-seconds per second with headroom, need 5 instances")
	a.ArrivalRate = 4
	assert.Empty(t, Plan(Demand, DefaultWeights, []Pool{a}, spare(8), 100))
}

func TestRateEstimator(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	var r RateEstimator
	assert.Zero(t, r.WorkPerSecond(0, now))
	for i := range minArrivals {
		assert.Zero(t, r.WorkPerSecond(0, now), "%d arrivals are too few", i)
		r.Add(10, now)
		now = now.Add(100 * time.Millisecond)
	}
	assert.InDelta(t, 100, r.WorkPerSecond(0, now), 1e-6, "10 core-seconds each 100 ms")
	assert.InDelta(t, 50, r.WorkPerSecond(0, now.Add(500*time.Millisecond)), 1e-6, "the rate falls without arrivals")
}

// TestRateWindowGrowsWithPool: for a large pool the window covers many bursts, so the rate is
// that of the steady stream and not that of one burst.
func TestRateWindowGrowsWithPool(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	var r RateEstimator
	for range 100 { // bursts of five every 50 ms: 1,000 core-seconds per second
		for range minArrivals {
			now = now.Add(100 * time.Microsecond)
			r.Add(10, now)
		}
		now = now.Add(50*time.Millisecond - minArrivals*100*time.Microsecond)
	}
	now = now.Add(minArrivals*100*time.Microsecond - 50*time.Millisecond)
	assert.Greater(t, r.WorkPerSecond(0, now), 10_000.0, "from the last burst alone")
	assert.InDelta(t, 1000, r.WorkPerSecond(2000, now), 150)
}

func TestArrivingInstancesCount(t *testing.T) {
	a := pool("a", 2, 0, 0)
	a.BusyCores, a.WaitingCores, a.Arriving = 20, 15, 3
	assert.Empty(t, Plan(Demand, DefaultWeights, []Pool{a}, spare(8), 100))
}

func TestIdleInstancesOfOtherPoolsAreMoved(t *testing.T) {
	a := pool("a", 1, 0, 0)
	a.BusyCores, a.WaitingCores = 10, 10
	b := pool("b", 4, 4, time.Second)
	moves := Plan(Demand, DefaultWeights, []Pool{b, a}, spare(0), 100)
	assert.Len(t, moves, 2)
	assert.Equal(t, "b", moves[0].From)
}

func TestNothingIsTakenFromPoolWithWaitingTasks(t *testing.T) {
	a := pool("a", 1, 0, 0)
	a.BusyCores, a.WaitingCores = 10, 20
	b := pool("b", 4, 2, time.Second)
	b.BusyCores, b.WaitingCores = 20, 1
	assert.Empty(t, Plan(Demand, DefaultWeights, []Pool{a, b}, spare(0), 100))
}

func TestIdleInstancesAreReturned(t *testing.T) {
	idle := pool("a", 5, 5, time.Minute)
	moves := Plan(Demand, DefaultWeights, []Pool{idle}, spare(1), 100)
	assert.Len(t, moves, minReturnsPerPlan)
	assert.Equal(t, "spare", moves[0].To)
	assert.Empty(t, Plan(Demand, DefaultWeights, []Pool{pool("a", 5, 5, time.Second)}, spare(1), 100), "not before the idle time has cost as much as a move away and back")
	assert.Empty(t, Plan(Demand, DefaultWeights, []Pool{pool("a", 1, 1, time.Minute)}, spare(1), 100), "minInstances stay")
}

// TestReturnsGrowWithPool: the returns per plan grow with the pool, but don't exceed
// maxReturns, which leaves the platform's rate limit to moves for waiting tasks.
func TestReturnsGrowWithPool(t *testing.T) {
	for _, size := range []int{100, 2000, 12000} {
		large := pool("a", size, size, time.Minute)
		assert.Len(t, Plan(Demand, DefaultWeights, []Pool{large}, spare(1), size), max(minReturnsPerPlan, int(returnSharePerPlan*float64(size))))
		assert.Len(t, Plan(Demand, DefaultWeights, []Pool{large}, spare(1), 1), 1)
		assert.Empty(t, Plan(Demand, DefaultWeights, []Pool{large}, spare(1), 0))
	}
	short := pool("b", 1, 0, 0)
	short.BusyCores, short.WaitingCores = 10, 30
	assert.NotEmpty(t, Plan(Demand, DefaultWeights, []Pool{short}, spare(9), 0), "tasks wait")
}

// TestInstancesDueForReturnMoveFirst: moving them directly takes one move instead of two.
func TestInstancesDueForReturnMoveFirst(t *testing.T) {
	short, over, busy := pool("a", 2, 0, 0), pool("b", 9, 9, time.Minute), pool("c", 9, 9, time.Second)
	short.BusyCores, short.WaitingCores = 20, 15
	for _, m := range Plan(Demand, DefaultWeights, []Pool{short, busy, over}, spare(8), 0) {
		assert.Equal(t, "b", m.From)
		assert.Equal(t, "a", m.To)
	}
}

// TestInstancesInEvacuatedZone: they are returned to the spare pool, and count neither as
// capacity nor as a surplus for other pools.
func TestInstancesInEvacuatedZone(t *testing.T) {
	a := pool("a", 2, 0, 0)
	a.EvacuatedIdle = pool("z", 3, 3, time.Minute).Instances
	a.BusyCores = 10
	moves := Plan(Demand, DefaultWeights, []Pool{a}, spare(8), 2)
	assert.Len(t, moves, 2)
	for _, m := range moves {
		assert.Equal(t, "spare", m.To)
		assert.Contains(t, m.Instance, "z")
	}
	a.WaitingCores = 15
	moves = Plan(Demand, DefaultWeights, []Pool{a}, spare(8), 0)
	assert.Len(t, moves, 1, "as many as without the instances in the evacuated zone")
	b := pool("b", 2, 0, 0)
	b.BusyCores, b.WaitingCores = 20, 15
	for _, m := range Plan(Demand, DefaultWeights, []Pool{a, b}, spare(0), 0) {
		assert.NotContains(t, m.Instance, "z")
	}
}

// TestWeightsChangePlan: how long idle instances are kept depends on the weights.
func TestWeightsChangePlan(t *testing.T) {
	idle := []Pool{pool("a", 5, 5, 4*time.Second)}
	cheapMoves := Weights{InstanceSecond: 0.1, Move: 0.01}
	expensiveMoves := Weights{InstanceSecond: 0.01, Move: 0.1}
	assert.NotEmpty(t, Plan(Demand, cheapMoves, idle, spare(1), 100))
	assert.Empty(t, Plan(Demand, expensiveMoves, idle, spare(1), 100))
}

// TestStuckTasksGetAnInstance: tasks that wait although there are enough cores need another
// worker, for instance if their step allows one task per worker.
func TestStuckTasksGetAnInstance(t *testing.T) {
	a := pool("a", 3, 0, 0)
	a.BusyCores, a.WaitingCores, a.WaitingFor = 3, 1, time.Second
	assert.Len(t, Plan(Demand, DefaultWeights, []Pool{a}, spare(2), 100), 1)
	a.WaitingFor = 100 * time.Millisecond
	assert.Empty(t, Plan(Demand, DefaultWeights, []Pool{a}, spare(2), 100))
}

// TestBaselines checks the baseline policies.
func TestBaselines(t *testing.T) {
	a := pool("a", 2, 0, 0)
	a.BusyCores, a.WaitingCores = 20, 50
	assert.Empty(t, Plan(Fixed, DefaultWeights, []Pool{a}, spare(8), 100))
	assert.Len(t, Plan(Threshold, DefaultWeights, []Pool{a}, spare(8), 100), 1, "one instance at a time")
	a.Arriving = 1
	assert.Empty(t, Plan(Threshold, DefaultWeights, []Pool{a}, spare(8), 100))
	assert.Len(t, Plan(Threshold, DefaultWeights, []Pool{pool("b", 5, 5, time.Minute)}, spare(1), 100), minReturnsPerPlan)
}

// TestLateWorkYieldsInstancesToWorkInTime: if all pools lack instances, a pool with only late
// work keeps what it needs with that work weighted 1/4, and its other instances go to other pools.
func TestLateWorkYieldsInstancesToWorkInTime(t *testing.T) {
	late := pool("late", 8, 4, 0)
	late.BusyCores, late.WaitingCores, late.LateWaitingCores = 30, 40, 40 // needs 9 instances in full, 5 with late work weighted 1/4
	short := pool("short", 2, 0, 0)
	short.BusyCores, short.WaitingCores = 18, 20
	moves := Plan(Demand, DefaultWeights, []Pool{late, short}, spare(0), 100)
	assert.Len(t, moves, 3)
	for _, m := range moves {
		assert.Equal(t, "late", m.From)
		assert.Equal(t, "short", m.To)
	}

	late.LateWaitingCores = 30 // some of its tasks can still be on time
	assert.Empty(t, Plan(Demand, DefaultWeights, []Pool{late, short}, spare(0), 100))

	late.LateWaitingCores = 40
	short.WaitingCores, short.LateWaitingCores = 20, 20 // no pool has work that can be on time
	assert.Len(t, Plan(Demand, DefaultWeights, []Pool{late, short}, spare(0), 100), 1, "late work is weighted 1/4 in both pools")
	moves = Plan(Demand, DefaultWeights, []Pool{late, short}, spare(9), 100)
	assert.Len(t, moves, 4, "but spare instances go to late work")
}
