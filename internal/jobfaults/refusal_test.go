package jobfaults

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/standin/jobfleet"
)

// TestAnOverloadedOwnerRefuses: for 12 s an owner with a small CPU share gets several times as
// many jobs as it can start. Jobs that would be late are refused immediately and never run; accepted
// jobs complete. Without refusals all would be late, since the queue grows by thirty jobs a second.
func TestAnOverloadedOwnerRefuses(t *testing.T) {
	const instances, jobs, width, interval = 200, 600, 24, 20 * time.Millisecond
	simulateCPULimited(t, instances, weakCallCost, func(in *jobfleet.Installation) {
		in.StartWithCores("d1", 0.12)
		time.Sleep(3 * time.Second)
		require.NotNil(t, in.Owner())
		caller := in.Caller()
		accepted, refused := 0, 0
		var slowest time.Duration
		for n := range jobs {
			j := batchJob(n)
			j.Steps = j.Steps[:1]
			j.Steps[0].Count = width
			submitted := time.Now()
			wasAccepted, wasRefused := caller.Submit(ordersPrefix, j)
			require.True(t, wasAccepted || wasRefused)
			if wasAccepted {
				accepted++
			} else {
				refused++
				slowest = max(slowest, time.Since(submitted))
			}
			time.Sleep(interval)
		}
		time.Sleep(30 * time.Second)
		t.Logf("accepted %d, refused %d, slowest refusal %s", accepted, refused, slowest)
		assert.Greater(t, refused, jobs/4)
		assert.Greater(t, accepted, jobs/20)
		assert.Less(t, slowest, 100*time.Millisecond)
		assert.Equal(t, accepted*width, in.Checker.Starts(), "accepted tasks run exactly once, and no others run")
		assert.Empty(t, in.Checker.Violations())
	})
}

// TestAJobThatFitsOnNoInstanceIsRefused: a daemon knows the largest instance from the owner's reply to
// its last submission, and asks the owner only about larger tasks.
func TestAJobThatFitsOnNoInstanceIsRefused(t *testing.T) {
	simulate(t, func(d *deployment) {
		time.Sleep(3 * time.Second)
		caller := d.in.Caller()
		for n := range 2 * len(d.in.Daemons()) { // until each daemon has had a submission
			caller.Submit(ordersPrefix, batchJob(n))
		}
		time.Sleep(time.Second)
		tooLarge := batchJob(100)
		tooLarge.Steps[0].Need.CPUMilli = 9000
		accepted, refused := caller.Submit(ordersPrefix, tooLarge)
		assert.False(t, accepted)
		assert.True(t, refused)
		time.Sleep(5 * time.Second)
		assert.Empty(t, d.in.Checker.Violations())
	})
}
