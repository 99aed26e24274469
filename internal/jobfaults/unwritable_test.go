package jobfaults

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/job"
)

// TestRecordThatIsTooLargeStopsOnlyItsJob guards against an owner that stores nothing of anybody: the store rejected each
// transaction that contained a record larger than its largest value, and the owner sent it again for ever. Daemons that
// know the bound, and those that do not, must both go on.
func TestRecordThatIsTooLargeStopsOnlyItsJob(t *testing.T) {
	for name, known := range map[string]bool{"bound known": true, "bound not known": false} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(d *deployment) {
				const bound = 4096 // bytes
				if known {
					d.restartAll(func() { d.in.Store.LimitValues(bound) })
				} else {
					d.restartAll(func() { d.in.Store.LimitValues(0) })
					d.in.Store.LimitValues(bound)
				}
				large := batchJob(900)
				large.Steps = []job.Step{
					{Count: 600, Need: job.Resources{CPUMilli: 100, MemMB: 10}, Estimate: 200 * time.Millisecond},
					{Count: 1, Need: job.Resources{CPUMilli: 100, MemMB: 10}, Estimate: time.Minute, After: []int{0}},
				}
				for i := range large.Steps[0].Count {
					d.in.Fleet.FailRuns(job.TaskID{Job: large.ID, Index: i}, 1)
				}
				d.submit(ordersPrefix, large)
				require.True(t, d.accepted[large.ID])
				d.submitBatchJobs(0, 20)
				time.Sleep(10 * time.Second)
				assert.Equal(t, job.Failed, d.caller.State(ordersPrefix, large.ID), "its record cannot be stored")
				d.in.Kill(d.in.Owner().Name)
				d.submitBatchJobs(20, 20)
				d.awaitOthers(large.ID)
			})
		})
	}
}

// restartAll replaces all daemons after change.
func (d *deployment) restartAll(change func()) {
	names := []string{}
	for _, dm := range d.in.Daemons() {
		names = append(names, dm.Name)
		d.in.Kill(dm.Name)
	}
	change()
	for _, name := range names {
		d.in.Start(name)
	}
	time.Sleep(5 * time.Second)
}

// awaitOthers waits until all jobs but the given one are completed.
func (d *deployment) awaitOthers(except job.ID) {
	d.t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		open := 0
		for _, j := range d.jobs {
			if d.accepted[j.ID] && j.ID != except && d.caller.State(d.queuePrefix[j.ID], j.ID) != job.Completed {
				open++
			}
		}
		if open == 0 {
			return
		}
	}
	d.t.Error("accepted jobs are not completed")
}
