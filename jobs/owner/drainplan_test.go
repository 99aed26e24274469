package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/job"
)

// TestATaskIsStoppedOnlyForAPlace guards against tasks that are stopped for maintenance although no other worker
// may take them, and are then missing for as long as that lasts.
func TestATaskIsStoppedOnlyForAPlace(t *testing.T) {
	fill := job.Step{Count: 1, Need: job.Resources{CPUMilli: 8000, MemMB: 100}, Estimate: time.Hour}
	for _, c := range []struct {
		name   string
		change func(r *drainRig, s *job.Step) // before the job
		then   func(r *drainRig, s *job.Step) // once its tasks are on worker a
		moves  bool                           // the tasks have a place on worker b
	}{
		{name: "room", moves: true},
		{name: "label", change: func(r *drainRig, s *job.Step) { r.regs[0].Labels, s.RequiredLabel = []string{"x"}, "x" }},
		{name: "limit of tasks a worker", then: func(_ *drainRig, s *job.Step) { s.MaxPerWorker = 1 }, moves: true},
		{name: "long-running tasks of others", then: func(r *drainRig, _ *job.Step) {
			others := lasting(1, 0)
			others.Need.CPUMilli = 8000
			r.submitStep(2, others)
		}},
		{name: "preemptible tasks", then: func(r *drainRig, _ *job.Step) { r.submitStep(2, fill) }, moves: true},
		{name: "gang", then: func(r *drainRig, _ *job.Step) {
			gang := fill
			gang.Gang = true
			r.submitStep(2, gang)
		}},
		{name: "evacuated zone", then: func(r *drainRig, _ *job.Step) { r.core.SetEvacuatedZones([]string{"zone-b"}) }},
		{name: "draining worker", then: func(r *drainRig, _ *job.Step) { r.regs[1].Draining = true }},
		{name: "silent worker", then: func(r *drainRig, _ *job.Step) { r.silent["b"] = true }},
		{name: "avoided worker, later", then: func(r *drainRig, _ *job.Step) {
			r.core.avoidWorkerUntil(r.core.workers["b"], r.now.Add(2*time.Second))
		}, moves: true},
		{name: "worker of another wave", then: func(r *drainRig, _ *job.Step) {
			r.core.reserve(r.core.workers["b"], reservedMaintenance, r.now)
			r.core.workers["b"].endOrdered = true
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newDrainRig(t, "a", "b")
			r.regs[1].Zone = "zone-b"
			r.regs[1].Draining = true // until the tasks are on a
			s := lasting(2, 1)
			if c.change != nil {
				c.change(r, &s)
			}
			r.run(300 * time.Millisecond)
			r.submitStep(1, s)
			r.run(300 * time.Millisecond)
			require.Len(t, r.active["a"], 2)
			r.regs[1].Draining = false
			r.run(300 * time.Millisecond)
			if c.then != nil {
				c.then(r, &r.core.jobs[r.active["a"][0].Task.Job].spec.Steps[0])
			}
			r.run(300 * time.Millisecond)
			r.wave("i-a")
			r.run(5 * time.Second)
			if c.moves {
				assert.Equal(t, 1, r.stoppedForMaintenance())
				return
			}
			assert.Zero(t, r.stoppedForMaintenance())
			assert.Empty(t, r.events["worker-reserved"], "it would only keep tasks off")
			assert.NotEmpty(t, r.events["wave-blocked"])
		})
	}
}

// TestAPlaceThatIsTakenMeanwhile: another job takes the last place while a worker is drained. The tasks that are
// left go on there, and the reservation ends.
func TestAPlaceThatIsTakenMeanwhile(t *testing.T) {
	r := newDrainRig(t, "a")
	r.submitStep(1, lasting(3, 1))
	r.answerHold(r.worker("b"), nil)
	others := lasting(1, 0)
	others.Need.CPUMilli = 6000
	r.submitStep(2, others)
	require.Len(t, r.active["b"], 1)
	r.wave("i-a")
	for r.stoppedForMaintenance() == 0 {
		r.run(100 * time.Millisecond)
	}
	r.submitStep(3, lasting(1, 0))
	r.run(maxDrainPause + 500*time.Millisecond)
	require.Len(t, r.active["b"], 3)
	assert.Equal(t, 1, r.stoppedForMaintenance())
	assert.Len(t, r.active["a"], 2)
	assert.Len(t, r.events["reservation-ended"], 1)
}

// TestReservedWorkersShareTheirPlaces guards against workers that are judged one by one: each has a place for its
// task, but there is one place only.
func TestReservedWorkersShareTheirPlaces(t *testing.T) {
	r := newDrainRig(t, "a")
	r.submitStep(1, lasting(2, 1))
	r.submitStep(2, job.Step{Count: 1, Need: job.Resources{CPUMilli: 6000, MemMB: 100}, Estimate: time.Hour})
	r.answerHold(r.worker("b"), nil)
	r.submitStep(3, lasting(2, 1))
	r.submitStep(4, job.Step{Count: 1, Need: job.Resources{CPUMilli: 6000, MemMB: 100}, Estimate: time.Hour})
	require.Len(t, r.active["a"], 3)
	require.Len(t, r.active["b"], 3)
	r.answerHold(r.worker("c"), nil)
	others := lasting(1, 0)
	others.Need.CPUMilli = 7000
	r.submitStep(5, others)
	require.Len(t, r.active["c"], 1)
	r.wave("i-a", "i-b")
	r.run(300 * time.Millisecond)
	assert.Len(t, r.events["worker-reserved"], 1)
}
