package jobfaults

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/owner"
)

// TestRacksLostUnderALargeJob guards against a job that is shown as failed although none of its tasks has failed: the crashes
// noted in its record, one for each task of the lost workers, made it larger than the store accepts.
func TestRacksLostUnderALargeJob(t *testing.T) {
	const bound, tasks = 16 << 10, 600 // bytes; 57 KB with a crash of each task
	racks := [][]owner.InstanceID{{"i0", "i1"}, {"i2", "i3"}}
	for name, c := range map[string]struct {
		lost      []int // racks, one after the other
		pause     time.Duration
		known     bool // the daemons know the bound
		killOwner bool // while the crashes are noted
	}{
		"all racks at once":                                      {lost: []int{0, 1}, known: true},
		"all racks at once, and then the owner":                  {lost: []int{0, 1}, known: true, killOwner: true},
		"all racks at once, bound not known":                     {lost: []int{0, 1}},
		"all racks at once, and then the owner, bound not known": {lost: []int{0, 1}, killOwner: true},
		"one after the other":                                    {lost: []int{0, 1}, pause: 3 * time.Second, known: true},
		"the same twice":                                         {lost: []int{0, 0}, pause: 6 * time.Second, known: true},
	} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(d *deployment) {
				if c.known {
					d.restartAll(func() { d.in.Store.LimitValues(bound) })
				} else {
					d.restartAll(func() { d.in.Store.LimitValues(0) })
					d.in.Store.LimitValues(bound)
				}
				j := &job.Job{ID: "00000000000003e9", Steps: []job.Step{{Count: tasks, Need: job.Resources{CPUMilli: 10, MemMB: 8}, Estimate: 10 * time.Second}}}
				d.submit(ordersPrefix, j)
				require.True(t, d.accepted[j.ID])
				time.Sleep(3 * time.Second)
				for _, rack := range c.lost {
					for _, i := range racks[rack] {
						require.True(t, d.in.Fleet.Fall(i, 4*time.Second, false))
					}
					time.Sleep(c.pause)
				}
				if c.killOwner {
					time.Sleep(1200 * time.Millisecond)
					d.in.Kill(d.in.Owner().Name)
				}
				d.submitBatchJobs(0, 10)
				d.awaitCompletion(60 * time.Second)
			})
		})
	}
}
