package jobmatrix

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/owner"
	"github.com/postmount/postmount/standin/jobfleet"
)

// TestCountWhileInheritedTasksGo.
//
// Seen: right after 5 s in which 8 jobs of a queue had waited, a daemon in touch said
// that none did. How: jobs that come around a change of owner wait until each worker has
// answered the new one, or the leases of the owner before are over; then starts of all
// of them are sent at the same moment. Cause: a job counted as begun by the
// sending. Proof: the count is asked for while all starts are on their way.
func TestCountWhileInheritedTasksGo(t *testing.T) {
	simulate(t, func(d *deployment) {
		time.Sleep(3 * time.Second) // lists of the live daemons
		old := d.in.Owner()
		require.NotNil(t, old)
		for _, i := range []owner.InstanceID{"i0", "i1", "i2", "i3"} {
			d.in.Fleet.Cut(i, 8*time.Second)
		}
		old.Gate.Freeze(12 * time.Second)
		time.Sleep(1500 * time.Millisecond)

		const jobs = 8
		other := d.otherDaemon(old)
		caller := d.in.CallerTo(other)
		waitsSince := time.Now()
		for i := range jobs {
			j := batchJob(i)
			j.Steps[0].Need.CPUMilli = 300 // one worker has room for all of them
			accepted, _ := caller.Submit(ordersPrefix, j)
			require.True(t, accepted)
		}

		const startTakes = 20 * time.Millisecond // more than the question
		var asked atomic.Bool
		count, startsBy, waited := -1, -1, time.Duration(0)
		d.in.SetHook(func(_, op string) jobfleet.Failure {
			if op != "start" {
				return jobfleet.NoFailure
			}
			if asked.CompareAndSwap(false, true) {
				count, waited = caller.Pending(ordersPrefix), time.Since(waitsSince)
				startsBy = d.in.Checker.Starts()
			}
			time.Sleep(startTakes)
			return jobfleet.NoFailure
		})
		time.Sleep(10 * time.Second)
		assert.NotZero(t, d.in.Checker.Starts())
		assert.Zero(t, startsBy)
		assert.Greater(t, waited, 5*time.Second)
		assert.Equal(t, jobs, count, "none of the jobs had a task that had started")
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
