package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/job"
)

// TestARunListedBeforeItsJobIsKnownIsNotStartedAgain: a worker lists a run of an earlier owner before
// this owner learns of the job. The model in internal/ownermodel found that the task was started again.
func TestARunListedBeforeItsJobIsKnownIsNotStartedAgain(t *testing.T) {
	r := newRig(t, 2)
	a, b := r.worker("a"), r.worker("b")
	listed := job.TaskID{Job: simpleJob(1, 2).ID}
	r.answerHold(a, []ActiveRun{{Task: listed, Run: runsPerTerm + 1}})
	r.answerHold(b, nil)
	r.submit(1, 2)
	started := r.confirmStarts()
	assert.Len(t, started, 1)
	for _, s := range started {
		assert.NotEqual(t, listed, s.Task)
	}
}

// TestReleasedRunThatIsListedAgain guards against tasks that run twice, and against workers that are filled beyond
// their capacity: a run that was released at the end of its lease was listed again, and the task started beside it.
func TestReleasedRunThatIsListedAgain(t *testing.T) {
	r := newRig(t, 1)
	a := r.worker("a")
	r.answerHold(a, nil)
	r.submit(1, 1)
	first := r.confirmStarts()
	require.Len(t, first, 1)
	listed := []ActiveRun{{Task: first[0].Task, Run: first[0].Run}}
	r.answerHold(a, listed)
	for range 100 {
		r.failHold(a)
		r.tick(100 * time.Millisecond)
	}
	require.Empty(t, r.core.workers[a].runs, "its lease has expired")
	require.Empty(t, r.out.Starts, "the only worker is silent")

	r.answerHold(a, listed)
	r.tick(time.Second)
	assert.NotEmpty(t, r.takeStops(first[0].Task))
	assert.Empty(t, r.out.Starts, "the task runs there")
	assert.Equal(t, 1000, r.core.workers[a].allocated.CPUMilli)
	r.answerHold(a, nil, RunEnd{Seq: 1, Task: first[0].Task, Run: first[0].Run, Kind: EndStopped})
	r.tick(maxAttributionTime)
	assert.Len(t, r.out.Starts, 1)
}
