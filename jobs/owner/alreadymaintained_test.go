package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/job"
)

// TestBusyWorkerMaintainedByAnEarlierOwner guards against a worker that gets no tasks for the rest of a term: an
// earlier owner had its maintenance done, and the answer that says so completes the wave.
func TestBusyWorkerMaintainedByAnEarlierOwner(t *testing.T) {
	r := newRig(t, 2)
	a := r.worker("a")
	r.answerHold(a, nil)
	r.tick(rigLease) // leases of the earlier owner
	j := simpleJob(1, 1)
	j.Steps[0].Estimate = time.Minute
	r.core.Submit(j, r.now)
	r.core.React(r.now)
	r.collectEffects()
	starts := r.confirmStarts()
	require.Len(t, starts, 1)
	r.core.OnWave(WaveRequest{Wave: 1, Instances: []InstanceID{"i-a"}, Within: time.Minute, MaxDown: 1}, nil, false, r.now)
	answer := func(d time.Duration) {
		for end := r.now.Add(d); r.now.Before(end); {
			r.tick(100 * time.Millisecond)
			r.publishLists()
			r.answerHold(a, []ActiveRun{{Task: job.TaskID{Job: j.ID}, Run: starts[0].Run}})
		}
	}
	answer(drainGracePeriod + 4*time.Second)
	require.Len(t, r.maintenances(), 1)
	r.core.OnInstanceOrderAnswer(r.maintenances()[0], DutyDone, r.now)
	answer(time.Second)
	require.True(t, r.isWaveDone(1))
	r.submit(2, 1)
	assert.Len(t, r.confirmStarts(), 1, "the worker takes tasks again")
}
