package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/job"
)

// TestInheritedJobOfAChangedServiceWaits guards against a task that runs twice: operators have moved its
// queue to another service, and a new owner asked only that service's workers for runs of the earlier
// owner.
func TestInheritedJobOfAChangedServiceWaits(t *testing.T) {
	j := simpleJob(1, 1)
	r := newRig(t, 2, StoredJob{Job: j})
	r.core.Configure(&job.Catalog{
		Queues:   []job.Queue{{Name: "q", Service: "new", MaxAttempts: 2}},
		Services: []job.Service{{Name: "s"}, {Name: "new"}},
	})
	before := r.worker("before")
	r.worker("after")
	r.regs[1].Service, r.inst[1].Pool = "new", "new"
	r.publishLists()
	r.answerHold("after", nil)
	r.tick(time.Second)
	require.Empty(t, r.out.Starts, "the earlier owner may have started it on the other service's worker")
	r.answerHold(before, []ActiveRun{{Task: job.TaskID{Job: j.ID}, Run: 1_000_001, Percent: 50}})
	r.tick(100 * time.Millisecond)
	require.Empty(t, r.out.Starts, "it runs there")
	r.answerHold(before, nil, RunEnd{Seq: 1, Task: job.TaskID{Job: j.ID}, Run: 1_000_001, Kind: EndStopped})
	r.tick(100 * time.Millisecond)
	require.Empty(t, r.out.Starts, "the store does not show yet that it may run in the new service")
	r.commit()
	r.tick(100 * time.Millisecond)
	starts := r.confirmStarts()
	require.Len(t, starts, 1)
	assert.Equal(t, WorkerID("after"), starts[0].Worker)
}
