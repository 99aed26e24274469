package owner

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/postmount/postmount/jobs/job"
)

// TestARunListedByAWorkerThatHasEndedIsNotTakenOver: nothing would release a run on a worker that
// has ended, and its task would wait for ever.
func TestARunListedByAWorkerThatHasEndedIsNotTakenOver(t *testing.T) {
	r := newRig(t, 2)
	a, b := r.worker("a"), r.worker("b")
	r.answerHold(a, []ActiveRun{{Task: job.TaskID{Job: simpleJob(1, 1).ID}, Run: runsPerTerm + 1}})
	r.answerHold(b, nil)
	r.restartAs(a, "a2")
	r.submit(1, 1)
	r.answerHolds(3*rigLease, nil)
	assert.NotEmpty(t, r.confirmStarts())
}
