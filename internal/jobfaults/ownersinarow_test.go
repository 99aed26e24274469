package jobfaults

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/standin/jobfleet"
)

// TestOwnersInARowKeepLeases: several owners with a fifth of a core are stopped as planned, each soon
// after its election. It guards against leases that end on healthy workers because no owner renews
// them: a new owner's first call to a worker only learns its clock, the second renews the lease, and
// an owner that left before that had renewed nothing.
func TestOwnersInARowKeepLeases(t *testing.T) {
	const instances, jobs, width, standby, span = 300, 10, 24, 3, 10 * time.Second
	for _, stopAfter := range []time.Duration{50 * time.Millisecond, 150 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond} {
		t.Run(stopAfter.String(), func(t *testing.T) {
			simulateCPULimited(t, instances, weakCallCost, func(in *jobfleet.Installation) {
				in.Start("d0")
				time.Sleep(3 * time.Second)
				caller := in.Caller()
				for n := range jobs {
					j := longRunningJob(n)
					j.Steps[0].Count = width
					accepted, _ := caller.Submit(ordersPrefix, j)
					require.True(t, accepted)
				}
				time.Sleep(5 * time.Second)
				require.Equal(t, jobs*width, in.Checker.Starts())
				for n := range standby {
					in.Start(fmt.Sprint("d", n+1))
				}
				time.Sleep(3 * time.Second)
				in.Checker.FaultsEnded()
				owners := 0
				for began := time.Now(); time.Since(began) < span; owners++ {
					for in.Owner() == nil {
						time.Sleep(10 * time.Millisecond)
					}
					time.Sleep(stopAfter)
					in.Stop(in.Owner().Name)
					in.Start(fmt.Sprint("d", standby+owners+1))
				}
				t.Logf("%d owners stopped", owners)
				time.Sleep(10 * time.Second)
				assert.Equal(t, jobs*width, in.Checker.Starts(), "no task ended and was started again")
				assert.Empty(t, in.Checker.Violations())
			})
		})
	}
}
