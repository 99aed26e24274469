package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestColdWorkersGetTasksLast: a worker that reports that it is still slow after its start gets tasks
// only if they fit on no other, until the reported time has passed.
func TestColdWorkersGetTasksLast(t *testing.T) {
	r := newRig(t, 1)
	r.addWorkers("a", "b") // tasks would go to a, the first by ID
	r.regs[0].ColdFor = 3 * time.Second
	r.publishLists()
	perWorker := func(n int, count int) map[WorkerID]int {
		r.submit(n, count)
		out := map[WorkerID]int{}
		for _, s := range r.confirmStarts() {
			out[s.Worker]++
		}
		return out
	}
	assert.Equal(t, map[WorkerID]int{"b": 1}, perWorker(1, 1))
	full := perWorker(2, 8)
	require.Positive(t, full["a"], "with no room elsewhere it is used")
	assert.Greater(t, full["b"], 0)
	r.regs[0].ColdFor = 0
	r.publishLists()
	assert.False(t, r.core.workers["a"].isSecondChoice(r.now))

	r.regs[1].ColdFor = 3 * time.Second
	r.publishLists()
	r.tick(2 * time.Second)
	r.publishLists() // the same report, read again
	r.tick(1100 * time.Millisecond)
	assert.False(t, r.core.workers["b"].isSecondChoice(r.now))
}
