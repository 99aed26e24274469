package owner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/placement"
)

// TestTieBreakIsByTaskAndCrash guards against tasks whose workers follow the order of IDs, in which instances are
// restarted in turn: of equally good workers each is preferred after some crash, and the first one without any.
func TestTieBreakIsByTaskAndCrash(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	workers := randomWorkers(rand.New(rand.NewPCG(1, 1)), 6, now)
	for _, w := range workers {
		w.Capacity, w.allocated, w.recentEnds = job.Resources{CPUMilli: 16000, MemMB: 64000}, job.Resources{}, endHistory{}
	}
	x := newIndex(workers)
	req := placement.Request{Need: job.Resources{CPUMilli: 1000, MemMB: 1000}}
	all := func(*worker) bool { return true }
	assert.Same(t, workers[0], x.choose(&req, all, nil, 0, now))
	chosen := map[*worker]bool{}
	tk := &task{step: &stepState{job: &jobState{spec: &job.Job{ID: "j"}}}}
	assert.Zero(t, tk.tieBreak(), "a task without crashes")
	for range 60 {
		tk.crashes = append(tk.crashes, job.Crash{})
		chosen[x.choose(&req, all, nil, tk.tieBreak(), now)] = true
	}
	assert.Len(t, chosen, len(workers))
}

// TestWorkerVacatedAfterACrashIsByTaskAndCrash guards against the same where no worker is empty, and one is vacated for
// the task.
func TestWorkerVacatedAfterACrashIsByTaskAndCrash(t *testing.T) {
	vacated := map[WorkerID]bool{}
	for n := range 30 {
		r := newRig(t, 1)
		r.addWorkers("w0", "w1", "w2", "w3")
		others := simpleJob(1, 4)
		others.Steps[0].Need.CPUMilli = 5000
		r.submitAll(others)
		require.Len(t, r.confirmStarts(), 4)
		j := simpleJob(2+n, 1)
		r.core.Submit(j, r.now)
		tk := r.core.jobs[j.ID].steps[0].task(0)
		for k := range 2 {
			tk.crashes = append(tk.crashes, job.Crash{Run: uint64(k), Instance: fmt.Sprint("gone", k), SoleSuspect: true, Exposure: time.Second, Coincidence: 0.01})
		}
		r.core.React(r.now)
		for _, w := range r.core.workers {
			if w.isolatedFor != nil {
				vacated[w.Worker] = true
			}
		}
	}
	assert.Len(t, vacated, 4, "workers vacated for some task")
}
