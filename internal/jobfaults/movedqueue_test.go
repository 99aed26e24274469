package jobfaults

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/owner"
)

// routeOrders configures the queue orders at a service.
func (d *deployment) routeOrders(version int64, service string) {
	c := catalog(version)
	c.Queues[0].Service = service
	d.in.Configure(c)
}

// TestQueueMovedThereAndBackBeforeAChangeOfOwner guards against tasks that run twice: their queue was at another
// service when they started, and that service's workers answer the next owner last.
func TestQueueMovedThereAndBackBeforeAChangeOfOwner(t *testing.T) {
	simulate(t, func(d *deployment) {
		j := &job.Job{ID: "00000000000000ab", Steps: []job.Step{
			{Count: 2, Need: job.Resources{CPUMilli: 500, MemMB: 100}, Estimate: time.Second},
			{Count: 8, Need: job.Resources{CPUMilli: 500, MemMB: 100}, Estimate: 12 * time.Second, After: []int{0}},
		}}
		d.submit(ordersPrefix, j)
		require.True(t, d.accepted[j.ID])
		d.routeOrders(2, "reports")
		time.Sleep(3 * time.Second)
		d.routeOrders(3, "orders")
		time.Sleep(2 * time.Second)
		require.Equal(t, 10, d.in.Checker.Starts(), "both steps have started")
		for _, i := range []owner.InstanceID{"i4", "i5", "i6", "i7"} {
			d.in.Fleet.Isolate(i, time.Second)
		}
		d.in.Kill(d.in.Owner().Name)
		d.awaitCompletion(30 * time.Second)
		assert.Equal(t, 10, d.in.Checker.Starts(), "no task starts twice")
	})
}
