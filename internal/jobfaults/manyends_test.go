package jobfaults

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/standin/jobfleet"
)

// smallTasks returns a job of n tasks that take a tenth of a core for 0.2 s: 1,600 end in a second on four workers of 8
// cores.
func smallTasks(id, n int) *job.Job {
	return &job.Job{ID: job.ID(fmt.Sprintf("%016x", id)), Steps: []job.Step{
		{Count: n, Need: job.Resources{CPUMilli: 100, MemMB: 16}, Estimate: 200 * time.Millisecond},
	}}
}

// testManyEnds runs many small tasks while the store is down for 3.5 s, so that more runs of each worker end than it
// lists at a time. after is called when the store is back.
func testManyEnds(t *testing.T, after func(d *deployment)) {
	simulate(t, func(d *deployment) {
		const jobs, tasks = 8, 1200
		for n := range jobs {
			d.submit(ordersPrefix, smallTasks(n+1, tasks))
		}
		require.Len(t, d.accepted, jobs)
		time.Sleep(500 * time.Millisecond)
		before := d.in.Checker.Starts()
		failStoreFor(d, jobfleet.Refused, 3500*time.Millisecond)
		time.Sleep(3500 * time.Millisecond)
		assert.Greater(t, d.in.Checker.Starts()-before, 4*500+4*80, "workers go on although their lists of ends are full")
		after(d)
		d.awaitCompletion(30 * time.Second)
		assert.Equal(t, jobs*tasks, d.in.Checker.Starts(), "no task starts twice")
	})
}

// TestMoreEndsThanAWorkerListsWhileTheStoreIsDown guards against tasks that run twice: the owner cannot acknowledge ends
// for so long that workers do not list all of them.
func TestMoreEndsThanAWorkerListsWhileTheStoreIsDown(t *testing.T) {
	testManyEnds(t, func(*deployment) {})
}

// TestMoreEndsThanAWorkerListsAtAChangeOfOwner guards against tasks that run twice: the workers' first answers to a new
// owner do not list all ends.
func TestMoreEndsThanAWorkerListsAtAChangeOfOwner(t *testing.T) {
	testManyEnds(t, func(d *deployment) { d.in.Kill(d.in.Owner().Name) })
}
