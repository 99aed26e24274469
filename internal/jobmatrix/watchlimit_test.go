package jobmatrix

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/owner"
)

// TestEntriesThatOutgrowAWatch.
//
// Seen on a fleet of 6,000 workers: tasks start on workers five to eight seconds after these have
// said that they leave. Each worker writes its entry every two seconds, 3,000 changes a second; a
// watch returns 500 at most, and the owner paused for 0.4 s after each, so that it took in 1,200 a
// second and fell behind for as long as its term lasted. Proof: a trace of the returns, all of 500
// changes, 502 revisions apart, while the store went on by 1,250 in the same time.
//
// Here the entries of the workers are as many times what a watch returns.
func TestEntriesThatOutgrowAWatch(t *testing.T) {
	for _, c := range []struct{ instances, most int }{{40, 4}, {120, 10}, {400, 33}} {
		t.Run(fmt.Sprintf("%d instances", c.instances), func(t *testing.T) {
			simulate(t, func(d *deployment) {
				for i := range c.instances {
					d.in.Fleet.Add(owner.InstanceID(fmt.Sprintf("m%03d", i)), "orders", fmt.Sprintf("r%d", i/8), job.Resources{CPUMilli: 8000, MemMB: 16000})
				}
				lasting := longRunningJob(900) // on each, so that none is given back
				lasting.Steps[0].Count = c.instances + 4
				lasting.Steps[0].MayMiss = c.instances
				d.submit(ordersPrefix, lasting)
				d.in.Store.LimitWatches(c.most)
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
