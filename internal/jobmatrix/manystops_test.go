package jobmatrix

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/standin/jobfleet"
)

// What was seen: 1,440 tasks are cancelled, and within 10 s the leases of all 240 others end,
// on sound workers, beyond their budget; the owner has a fifth of a core. How it came about:
// stops and holds wait for the same slots, in one line. A stop counts as unanswered half a
// second after it was decided on, though it still waits for its slot; it is sent again, and
// again, and holds wait behind all of them. Cause: the time between two stops includes the
// owner's own queue, which it makes longer. What proved it: the number of stops that reach
// the workers, more than twice as many as there are runs, also where slots are kept for as
// long as a call may take.
//
// TestStopsLeaveTimeForLeases: each stop is sent about once, and no other lease ends.
func TestStopsLeaveTimeForLeases(t *testing.T) {
	const instances, width, lasting, cancelled = 240, 24, 10, 60
	simulateCPULimited(t, instances, weakCallCost, func(in *jobfleet.Installation) {
		in.Start("d1")
		time.Sleep(3 * time.Second)
		caller := in.Caller()
		var ids []job.ID
		for n := range lasting + cancelled {
			j := longRunningJob(n)
			j.Steps[0].Count = width
			accepted, _ := caller.Submit(ordersPrefix, j)
			require.True(t, accepted)
			ids = append(ids, j.ID)
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(8 * time.Second)
		require.Equal(t, (lasting+cancelled)*width, in.Checker.Starts())
		in.Checker.FaultsEnded()
		var stops atomic.Int64
		in.SetHook(func(_, op string) jobfleet.Failure {
			if op == "stop" {
				stops.Add(1)
			}
			return jobfleet.NoFailure
		})
		for _, id := range ids[lasting:] {
			require.True(t, caller.Cancel(ordersPrefix, id))
		}
		time.Sleep(10 * time.Second)
		atWork := 0
		for _, id := range ids[:lasting] {
			atWork += in.Checker.Running(id)
		}
		assert.Equal(t, lasting*width, atWork, "tasks of the others at work")
		assert.LessOrEqual(t, stops.Load(), int64(cancelled*width*5/4), "stops that reached a worker")
		assert.Empty(t, in.Checker.Violations())
	})
}
