package jobfaults

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/owner"
)

// suspensions are durations just below and above the periods that an owner relies on: the store
// lease (2 s), the part of it in which orders may be sent (1.3 s), and a worker's lease (4.5 s).
var suspensions = []time.Duration{900 * time.Millisecond, 1400 * time.Millisecond, 1900 * time.Millisecond, 2200 * time.Millisecond,
	4300 * time.Millisecond, 4700 * time.Millisecond, 9 * time.Second}

// TestASuspendedOwner: an owner that is suspended while instances are maintained and moved does
// not rely on a lease that has expired meanwhile. Its monotonic clock does not count the
// suspension.
func TestASuspendedOwner(t *testing.T) {
	for _, duration := range suspensions {
		for _, at := range []time.Duration{0, 300 * time.Millisecond, 1100 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s at %s", duration, at), func(t *testing.T) {
				simulate(t, func(d *deployment) { d.suspendOwner(duration, at) })
			})
		}
	}
}

// suspendOwner runs jobs and a maintenance wave, suspends the owner for duration, at the given time
// after the wave was requested, and checks that all of it completes.
func (d *deployment) suspendOwner(duration, at time.Duration) {
	longRunning := longRunningJob(100)
	d.submit(ordersPrefix, longRunning)
	d.submitBatchJobs(0, 4)
	d.in.RequestWave(owner.WaveRequest{Wave: 1, Instances: []owner.InstanceID{"i0", "i1", "i2", "i4", "i5"}, Within: 30 * time.Second, MaxDown: 2})
	time.Sleep(at)
	o := d.in.Owner()
	require.NotNil(d.t, o)
	o.Gate.Suspend(duration)
	d.submitBatchJobs(4, 10)
	for i := 0; i < 120 && !d.in.WaveDone(1); i++ {
		time.Sleep(500 * time.Millisecond)
	}
	assert.True(d.t, d.in.WaveDone(1), "the wave is not completed")
	d.awaitCompletion(30 * time.Second)
	d.checkAllRunning(longRunning)
}
