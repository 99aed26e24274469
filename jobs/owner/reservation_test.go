package owner

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/job"
)

// drainRig is a rig whose workers list the runs that were started on them, and stop them when ordered to.
type drainRig struct {
	*rig
	active map[WorkerID][]ActiveRun
	ends   map[WorkerID][]RunEnd
	silent map[WorkerID]bool
	events map[string][]Decision
}

func newDrainRig(t *testing.T, workers ...string) *drainRig {
	r := &drainRig{rig: newRig(t, 1), active: map[WorkerID][]ActiveRun{}, ends: map[WorkerID][]RunEnd{}, silent: map[WorkerID]bool{}, events: map[string][]Decision{}}
	for _, w := range workers {
		r.answerHold(r.worker(w), nil)
	}
	return r
}

// run lets time pass while the workers answer.
func (r *drainRig) run(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.tick(100 * time.Millisecond)
		for _, s := range r.confirmStarts() {
			r.active[s.Worker] = append(r.active[s.Worker], ActiveRun{Task: s.Task, Run: s.Run})
		}
		r.progress()
		for _, s := range r.out.Stops {
			r.stop(s)
		}
		r.out.Stops = nil
		r.publishLists()
		for _, g := range r.regs {
			if r.silent[g.Worker] {
				r.failHold(g.Worker)
				continue
			}
			r.answerHold(g.Worker, r.active[g.Worker], r.ends[g.Worker]...)
		}
		for _, d := range r.core.TakeDecisions() {
			r.events[d.Event] = append(r.events[d.Event], d)
		}
	}
}

// progress advances the runs. Those of long-running tasks serve at once.
func (r *drainRig) progress() {
	for _, runs := range r.active {
		for i := range runs {
			runs[i].Percent = min(99, runs[i].Percent+1)
			if r.core.jobs[runs[i].Task.Job].spec.Steps[0].LongRunning {
				runs[i].Percent = 100
			}
		}
	}
}

// stop ends the run that the order names.
func (r *drainRig) stop(s Stop) {
	runs := r.active[s.Worker]
	i := slices.IndexFunc(runs, func(a ActiveRun) bool { return a.Task == s.Task && a.Run == s.Run })
	if i < 0 {
		return
	}
	r.active[s.Worker] = slices.Delete(runs, i, i+1)
	r.ends[s.Worker] = append(r.ends[s.Worker], RunEnd{Seq: uint64(len(r.ends[s.Worker]) + 1), Task: s.Task, Run: s.Run, Kind: EndStopped})
}

// stoppedForMaintenance returns how many runs were stopped as their workers are due for maintenance.
func (r *drainRig) stoppedForMaintenance() int {
	n := 0
	for _, d := range r.events["run-stopped"] {
		if d.Reason == "its worker is due for maintenance" {
			n++
		}
	}
	return n
}

// submitStep submits a job of one step.
func (r *drainRig) submitStep(n int, s job.Step) *job.Job {
	j := simpleJob(n, 1)
	j.Steps[0] = s
	r.core.Submit(j, r.now)
	r.run(300 * time.Millisecond)
	return j
}

func (r *drainRig) wave(instances ...InstanceID) {
	r.core.OnWave(WaveRequest{Wave: 1, Instances: instances, Within: time.Minute, MaxDown: 4}, nil, false, r.now)
}

func lasting(count, mayMiss int) job.Step {
	return job.Step{Count: count, Need: job.Resources{CPUMilli: 1000, MemMB: 100}, LongRunning: true, MayMiss: mayMiss}
}

// reserveA reserves worker a, on which tasks of two jobs run, for a wave that goes no further: the disruption
// budget is used up by a silent worker.
func reserveA(t *testing.T) *drainRig {
	r := newDrainRig(t, "a", "b", "c")
	s := lasting(3, 1)
	s.MaxPerWorker = 1
	r.submitStep(1, s)
	r.submitStep(2, job.Step{Count: 3, Need: job.Resources{CPUMilli: 6000, MemMB: 100}, Estimate: time.Minute})
	require.Len(t, r.active["a"], 2, "one task of each job")
	r.wave("i-a")
	r.run(500 * time.Millisecond)
	require.Len(t, r.events["worker-reserved"], 1)
	r.silent["b"] = true
	return r
}

// TestReservationWithoutAStepEnds guards against reservations that nothing ends: a worker is kept from tasks for a
// wave whose next step the disruption budget never allows.
func TestReservationWithoutAStepEnds(t *testing.T) {
	r := reserveA(t)
	r.submitStep(3, job.Step{Count: 2, Need: job.Resources{CPUMilli: 1000, MemMB: 100}, Estimate: time.Minute}) // c has room for one
	r.run(maxDrainPause - time.Second)
	require.Len(t, r.active["a"], 2)
	assert.Empty(t, r.events["reservation-ended"])
	r.run(time.Second)
	require.Len(t, r.events["reservation-ended"], 1)
	assert.Equal(t, WorkerID("a"), r.events["reservation-ended"][0].Worker)
	assert.NotEmpty(t, r.events["reservation-ended"][0].Job)
	assert.Contains(t, r.events["reservation-ended"][0].Reason, "1 unavailable elsewhere, 1 may be")
	assert.Empty(t, r.maintenances())
	r.run(reservationPause - time.Second)
	assert.Len(t, r.active["a"], 3, "the waiting task starts there")
}

// TestReservationEndsWithoutTheStore: a wave makes no step without the store's lease, and its reservations end.
func TestReservationEndsWithoutTheStore(t *testing.T) {
	r := reserveA(t)
	r.core.SetStoreLease(false, r.now)
	r.run(maxDrainPause)
	assert.Empty(t, r.core.workers["a"].reserved)
}

// TestReservationOfAnInstanceThatIsGoneEnds: the instance list may lose an instance whose worker goes on.
func TestReservationOfAnInstanceThatIsGoneEnds(t *testing.T) {
	r := reserveA(t)
	r.inst = r.inst[1:]
	r.run(maxDrainPause)
	assert.Empty(t, r.core.workers["a"].reserved)
}

// TestReservationOfACompletedWaveEnds: a wave may end before it has used its reservations.
func TestReservationOfACompletedWaveEnds(t *testing.T) {
	r := reserveA(t)
	r.core.waves[1].completed = true
	r.run(maxDrainPause)
	assert.Empty(t, r.core.workers["a"].reserved)
}

// TestBlockedWaveIsLoggedOnce guards against waves that wait silently: the log names the job and the step that
// block one, once.
func TestBlockedWaveIsLoggedOnce(t *testing.T) {
	r := newDrainRig(t, "a", "b")
	s := lasting(2, 0)
	s.MaxPerWorker = 1
	j := r.submitStep(1, s)
	r.wave("i-a", "i-b")
	r.run(10 * time.Second)
	require.Len(t, r.events["wave-blocked"], 1)
	assert.Equal(t, j.ID, r.events["wave-blocked"][0].Job)
	assert.Equal(t, "wave 1: step 0: 0 of its tasks do not run, 0 may be unavailable", r.events["wave-blocked"][0].Reason)
	assert.Equal(t, 1, r.core.Stats(r.now).BlockedWaves)
	r.core.Cancel(j.ID, r.now)
	r.active = map[WorkerID][]ActiveRun{}
	r.run(10 * time.Second)
	assert.Zero(t, r.core.Stats(r.now).BlockedWaves)
}

// TestNoReservationForAUsedUpBudget: a task that finds no worker, or was given up, uses the budget of its step up. A
// reservation would only keep the worker from other tasks.
func TestNoReservationForAUsedUpBudget(t *testing.T) {
	r := newDrainRig(t, "a", "b")
	s := lasting(3, 1)
	s.MaxPerWorker = 1
	r.submitStep(1, s)
	r.wave("i-a", "i-b")
	r.run(10 * time.Second)
	assert.Empty(t, r.events["worker-reserved"])
	require.Len(t, r.events["wave-blocked"], 1)
	assert.Equal(t, "wave 1: step 0: 1 of its tasks do not run, 1 may be unavailable", r.events["wave-blocked"][0].Reason)
}

// TestPoolGrowsForABlockedWave: a task that has no other place is not stopped before the spare pool has given
// its service one.
func TestPoolGrowsForABlockedWave(t *testing.T) {
	r := newDrainRig(t, "a")
	r.inst = append(r.inst, Instance{ID: "i-spare", Pool: "spare", State: InstanceUp, Capacity: job.Resources{CPUMilli: 8000, MemMB: 8000}})
	r.submitStep(1, lasting(2, 1))
	r.run(time.Second)
	require.Len(t, r.active["a"], 2)
	r.wave("i-a")
	r.run(2 * time.Second)
	var moves []InstanceOrder
	for _, o := range r.out.InstanceOrders {
		if o.Pool == "s" {
			moves = append(moves, o)
		}
	}
	require.Len(t, moves, 1)
	assert.Equal(t, InstanceID("i-spare"), moves[0].Instance)
	assert.Zero(t, r.stoppedForMaintenance())
	r.core.OnInstanceOrderAnswer(moves[0], DutyDone, r.now)
	r.inst = r.inst[:1]
	r.answerHold(r.worker("b"), nil)
	r.run(2 * time.Second)
	assert.Equal(t, 1, r.stoppedForMaintenance())
}
