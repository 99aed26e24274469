package jobfaults

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/owner"
)

// TestWorkersThatShrink: a reduced capacity announced by a worker applies to all later starts,
// also for an owner that takes over and finds workers whose tasks exceed it. Some workers change
// their capacity in quick succession. Running tasks are not affected.
func TestWorkersThatShrink(t *testing.T) {
	simulate(t, func(d *deployment) {
		longRunning := longRunningJob(100)
		d.submit(reportsPrefix, longRunning)
		time.Sleep(time.Second)
		for i, share := range []float64{0.5, 0.1, 0, 0.3, 0.05, 0.6} {
			d.in.Fleet.ReduceCapacity("i4", share, 1500*time.Millisecond)
			d.in.Fleet.ReduceCapacity("i6", 1-share, 400*time.Millisecond)
			d.submitBatchJobs(8*i, 8)
			if i == 2 || i == 4 {
				o := d.in.Owner()
				require.NotNil(t, o)
				d.in.Kill(o.Name)
				restartLater(d, o.Name)
			}
		}
		d.awaitCompletion(40 * time.Second)
		d.checkAllRunning(longRunning)
	})
}

// TestAPoolOfWorkersThatShrankGrows: a pool whose workers have lost nine tenths of their
// capacity gets spare instances.
func TestAPoolOfWorkersThatShrankGrows(t *testing.T) {
	simulate(t, func(d *deployment) {
		for _, id := range []owner.InstanceID{"i0", "i1", "i2", "i3"} {
			d.in.Fleet.ReduceCapacity(id, 0.1, time.Minute)
		}
		time.Sleep(2 * time.Second)
		wide := batchJob(0)
		wide.Steps = []job.Step{{Count: 8, Need: job.Resources{CPUMilli: 1000, MemMB: 100}, Estimate: 2 * time.Second}}
		d.submit(ordersPrefix, wide)
		began := time.Now()
		d.awaitCompletion(20 * time.Second)
		assert.Less(t, time.Since(began), 8*time.Second)
	})
}
