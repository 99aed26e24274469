package jobfaults

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/owner"
	"github.com/postmount/postmount/standin/jobfleet"
)

// TestPendingCountWhileStartsAreInFlight guards against a count of pending jobs that is too low
// because a job counts as started when its starts are sent. Jobs that arrive around a change of
// owner wait until all workers have answered the new owner or the previous owner's leases have
// expired; then all starts are sent at the same time. A connected daemon reported 0 right after 8
// jobs had waited for 5 s. Here the count is requested while all starts are in flight.
func TestPendingCountWhileStartsAreInFlight(t *testing.T) {
	simulate(t, func(d *deployment) {
		time.Sleep(3 * time.Second) // until the daemons have read the member list
		old := d.in.Owner()
		require.NotNil(t, old)
		for _, i := range []owner.InstanceID{"i0", "i1", "i2", "i3"} {
			d.in.Fleet.Isolate(i, 8*time.Second)
		}
		old.Gate.Freeze(12 * time.Second)
		time.Sleep(1500 * time.Millisecond)

		const jobs = 8
		other := d.otherDaemon(old)
		caller := d.in.CallerTo(other)
		submitted := time.Now()
		for i := range jobs {
			j := batchJob(i)
			j.Steps[0].Need.CPUMilli = 300 // one worker has the capacity for all of them
			accepted, _ := caller.Submit(ordersPrefix, j)
			require.True(t, accepted)
		}

		const startDelay = 20 * time.Millisecond // longer than the request for the count
		var asked atomic.Bool
		count, startsAtCount, waited := -1, -1, time.Duration(0)
		d.in.SetFailureFunc(func(_, op string) jobfleet.Failure {
			if op != "start" {
				return jobfleet.NoFailure
			}
			if asked.CompareAndSwap(false, true) {
				count, waited = caller.Pending(ordersPrefix), time.Since(submitted)
				startsAtCount = d.in.Checker.Starts()
			}
			time.Sleep(startDelay)
			return jobfleet.NoFailure
		})
		time.Sleep(10 * time.Second)
		assert.NotZero(t, d.in.Checker.Starts())
		assert.Zero(t, startsAtCount)
		assert.Greater(t, waited, 5*time.Second)
		assert.Equal(t, jobs, count, "no job had a started task")
	})
}

// otherDaemon returns a daemon that is not the one given.
func (d *deployment) otherDaemon(not *jobfleet.Daemon) *jobfleet.Daemon {
	for _, dm := range d.in.Daemons() {
		if dm != not {
			return dm
		}
	}
	return nil
}
