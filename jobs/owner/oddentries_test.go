package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/job"
)

// TestOversizedWorkerDoesNotSizeItsPool guards against one registration with far too large a capacity
// that makes its whole pool count as oversupplied: all demand would seem to fit on one instance, so that
// no instance is moved to the pool, and the others are moved away.
func TestOversizedWorkerDoesNotSizeItsPool(t *testing.T) {
	r := newRig(t, 1)
	for _, id := range []string{"a", "b", "c", "d"} {
		r.worker(id)
	}
	for i := range r.inst {
		r.inst[i].Capacity = job.Resources{CPUMilli: 8000, MemMB: 8000}
	}
	r.regs[0].Capacity = job.Resources{CPUMilli: job.MaxAmount, MemMB: job.MaxAmount}
	require.NoError(t, r.regs[0].Validate())
	r.publishLists()
	for _, id := range []WorkerID{"a", "b", "c", "d"} {
		r.answerHold(id, nil)
	}
	pools, _ := r.core.poolSnapshots(r.now)
	require.Equal(t, "s", pools[0].Name)
	assert.InDelta(t, 8, pools[0].CoresPerInstance, 0.01)
}

// TestOversizedWorkerGetsNoTasks guards against one registration with far too large a capacity that
// attracts all tasks that wait. Its runs go on, and it gets tasks again once it is corrected.
func TestOversizedWorkerGetsNoTasks(t *testing.T) {
	for _, listedFirst := range []bool{true, false} {
		r := newRig(t, 1)
		a, b := r.worker("a"), r.worker("b")
		full := job.Resources{CPUMilli: 8000, MemMB: 8000}
		r.inst[1].Capacity = full
		if listedFirst {
			r.inst[0].Capacity = full
		}
		r.publishLists()
		r.answerHold(a, nil)
		r.answerHold(b, nil)
		r.submit(1, 4)
		running := map[WorkerID][]ActiveRun{}
		for _, s := range r.confirmStarts() {
			running[s.Worker] = append(running[s.Worker], ActiveRun{Task: s.Task, Run: s.Run})
		}
		require.NotEmpty(t, running[a])
		r.regs[0].Capacity = job.Resources{CPUMilli: job.MaxAmount, MemMB: job.MaxAmount}
		r.inst[0].Capacity = full
		r.publishLists()
		r.submit(2, 100)
		for _, s := range r.confirmStarts() {
			require.Equal(t, b, s.Worker)
			running[b] = append(running[b], ActiveRun{Task: s.Task, Run: s.Run})
		}
		for range 100 {
			r.answerHold(a, running[a])
			r.answerHold(b, running[b])
			r.tick(100 * time.Millisecond)
		}
		require.Empty(t, r.out.Starts, "its runs go on, and nothing of it is started elsewhere")
		r.regs[0].Capacity = full
		r.publishLists()
		r.tick(100 * time.Millisecond)
		require.NotEmpty(t, r.confirmStarts())
	}
}
