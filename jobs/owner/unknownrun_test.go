package owner

import (
	"testing"

	"github.com/stretchr/testify/assert"

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
