package jobfaults

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/owner"
)

// TestWatchKeepsUpWithManyWorkers guards against an owner that falls behind its watch. 6,000 workers
// that write every 2 s make 3,000 changes a second, but each watch call returned at most 500 (502
// revisions, while the store advanced by 1,250) and the owner paused for 0.4 s after each call, so it
// read 1,200 changes a second. Tasks were started on workers 5 to 8 s after these had announced that
// they leave. Here the ratios of workers to the limit of a watch call are similar.
func TestWatchKeepsUpWithManyWorkers(t *testing.T) {
	for _, c := range []struct{ instances, maxEvents int }{{40, 4}, {120, 10}, {400, 33}} {
		t.Run(fmt.Sprintf("%d instances", c.instances), func(t *testing.T) {
			simulate(t, func(d *deployment) {
				for i := range c.instances {
					d.in.Fleet.Add(owner.InstanceID(fmt.Sprintf("m%03d", i)), "orders", fmt.Sprintf("r%d", i/8), job.Resources{CPUMilli: 8000, MemMB: 16000})
				}
				longRunning := longRunningJob(900) // one task per worker keeps the pool from shrinking
				longRunning.Steps[0].Count = c.instances + 4
				longRunning.Steps[0].MayMiss = c.instances
				d.submit(ordersPrefix, longRunning)
				d.in.Store.LimitWatchEvents(c.maxEvents)
				ended := make(chan struct{})
				go func() {
					for {
						select {
						case <-ended:
							return
						case <-time.After(200 * time.Millisecond):
							d.in.Fleet.HeartbeatTenth()
						}
					}
				}()
				time.Sleep(15 * time.Second)
				for i := range c.instances / 2 {
					d.in.Fleet.Drain(owner.InstanceID(fmt.Sprintf("m%03d", i)))
				}
				for i := range 4 {
					d.in.Fleet.Drain(owner.InstanceID(fmt.Sprintf("i%d", i)))
				}
				for n := range 12 {
					wide := batchJob(n)
					wide.Steps[0].Count = c.instances
					d.submit(ordersPrefix, wide)
					time.Sleep(400 * time.Millisecond)
				}
				close(ended)
				d.awaitCompletion(60 * time.Second)
				assert.Empty(t, d.in.Checker.Violations())
			})
		})
	}
}
