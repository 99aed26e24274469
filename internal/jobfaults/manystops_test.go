package jobfaults

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/standin/jobfleet"
)

// TestStopsDoNotDelayLeaseRenewals guards against stops that are sent again 0.5 s after the decision
// although they still wait for a call slot, and so delay the holds, which queue for the same slots. After
// an owner with a fifth of a core had cancelled 1,440 tasks, the leases of the 240 others expired within
// 10 s on healthy workers, more than their budget allows. The workers received over twice as many stops
// as there were runs.
func TestStopsDoNotDelayLeaseRenewals(t *testing.T) {
	const instances, width, kept, cancelled = 240, 24, 10, 60
	simulateCPULimited(t, instances, weakCallCost, func(in *jobfleet.Installation) {
		in.Start("d1")
		time.Sleep(3 * time.Second)
		caller := in.Caller()
		var ids []job.ID
		for n := range kept + cancelled {
			j := longRunningJob(n)
			j.Steps[0].Count = width
			accepted, _ := caller.Submit(ordersPrefix, j)
			require.True(t, accepted)
			ids = append(ids, j.ID)
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(8 * time.Second)
		require.Equal(t, (kept+cancelled)*width, in.Checker.Starts())
		in.Checker.FaultsEnded()
		var stops atomic.Int64
		in.SetFailureFunc(func(_, op string) jobfleet.Failure {
			if op == "stop" {
				stops.Add(1)
			}
			return jobfleet.NoFailure
		})
		for _, id := range ids[kept:] {
			require.True(t, caller.Cancel(ordersPrefix, id))
		}
		time.Sleep(10 * time.Second)
		running := 0
		for _, id := range ids[:kept] {
			running += in.Checker.RunningTasks(id)
		}
		assert.Equal(t, kept*width, running, "running tasks of the other jobs")
		assert.LessOrEqual(t, stops.Load(), int64(cancelled*width*5/4), "stops that reached a worker")
		assert.Empty(t, in.Checker.Violations())
	})
}
