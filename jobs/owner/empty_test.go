package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/capacity"
	"github.com/postmount/postmount/jobs/job"
)

// TestABusyInstanceIsEmptiedAndMoved: two pools, one with too many instances of which
// none idles, and one with a queue.
func TestABusyInstanceIsEmptiedAndMoved(t *testing.T) {
	r := newRig(t, 1)
	r.core.opt.Pools, r.core.opt.Weights = capacity.Demand, capacity.DefaultWeights
	r.core.catalog.Services = append(r.core.catalog.Services, job.Service{Name: "other"})
	r.core.catalog.Queues = append(r.core.catalog.Queues, job.Queue{Name: "other", Service: "other", MaxAttempts: 2, Stretch: 2, Objective: time.Second})
	workers := []WorkerID{r.worker("a"), r.worker("b"), r.worker("c"), r.worker("o")}
	r.regs[3].Service, r.inst[3].Pool = "other", "other"
	r.list()
	for _, w := range workers {
		r.held(w, nil)
	}
	for n := range 3 { // one on each worker of the pool, which would fit on two
		j := simpleJob(n, 1)
		j.Steps[0].Need.CPUMilli = 4100
		r.core.Submit(j, r.now)
	}
	other := simpleJob(20, 16) // twice the room of its pool
	other.Queue, other.Service = "other", "other"
	r.core.Submit(other, r.now)
	r.tick(300 * time.Millisecond)
	require.Len(t, r.started(), 3+8)
	var emptied *worker
	for _, id := range workers {
		if w := r.core.workers[id]; w.reserved == reservedEmpty {
			emptied = w
		}
	}
	require.NotNil(t, emptied, "no instance idles, and one pool has too many")
	require.Empty(t, r.out.Instances, "a task still runs there")
	require.Len(t, emptied.runs, 1)
	var last *run
	for _, x := range emptied.runs {
		last = x
	}
	r.tick(0)
	r.submit(30, 1) // a new task of the pool goes elsewhere
	for _, s := range r.started() {
		assert.NotEqual(t, emptied.Worker, s.Worker)
	}
	r.held(emptied.Worker, nil, End{Number: 9, Task: last.task.id(), Run: last.number, Kind: EndDone})
	r.list()
	r.tick(200 * time.Millisecond)
	require.NotEmpty(t, r.out.Instances)
	assert.Equal(t, InstanceID("i-"+emptied.Worker), r.out.Instances[0].Instance)
	assert.Equal(t, "other", r.out.Instances[0].Pool)
}
