package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/postmount/postmount/jobs/owner"
)

// TestRecentOrdersAreRetained: an order that was or may have been sent counts as recent until the
// retention after its latest arrival has passed.
func TestRecentOrdersAreRetained(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	o := newInstanceOrders("d", 3*time.Second, []owner.RecentOrder{{Instance: "old", Holder: "e", Age: time.Second}}, now)
	o.add([]owner.InstanceOrder{{Instance: "b", Pool: "p"}, {Instance: "a", Pool: "p"}, {Instance: "c", Pool: "p"}})
	assert.Equal(t, 3, o.pendingCount())
	assert.Equal(t, []owner.RecentOrder{{Instance: "old", Holder: "e", Age: time.Second}}, o.recent(now), "a pending order was not sent")
	assert.Len(t, o.take(now), 3)
	assert.Zero(t, o.pendingCount())

	later := now.Add(500 * time.Millisecond)
	o.resolve("a", true, later)
	o.resolve("c", false, later)
	assert.Equal(t, []owner.RecentOrder{
		{Instance: "a", Holder: "d", Age: 0},
		{Instance: "b", Holder: "d", Age: 500*time.Millisecond - maxOrderDelay}, // may not have arrived yet
		{Instance: "old", Holder: "e", Age: 1500 * time.Millisecond},
	}, o.recent(later))
	assert.Empty(t, o.recent(now.Add(maxOrderDelay+o.retention+time.Second)))
}
