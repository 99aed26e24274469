package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/requests/fleet"
)

var t0 = time.Date(2026, 1, 1, 9, 30, 0, 0, time.UTC)

func newController(p Policy) *Controller {
	o := DefaultOptions
	o.Policy = p
	o.MaxQueue = 100
	c := New(o)
	c.SetClasses([]fleet.Class{{Name: "retail", Weight: 8}, {Name: "bulk", Weight: 1}})
	c.SetSlots(10)
	return c
}

func push(t *testing.T, c *Controller, id ID, class fleet.ClassName, within time.Duration) {
	require.Nil(t, c.Push(t0, id, class, t0.Add(within)))
}

func order(c *Controller, n int) (out []ID) {
	for range n {
		id, ok, _ := c.Pop(t0)
		if !ok {
			return out
		}
		out = append(out, id)
	}
	return out
}

func TestLowWeightBacklogDoesNotDelayHighWeightClass(t *testing.T) {
	c := newController(PolicyWeighted)
	for i := range 50 {
		push(t, c, ID(i), "bulk", time.Minute)
	}
	for i := range 4 {
		push(t, c, ID(100+i), "retail", time.Minute)
	}
	first := order(c, 6)
	assert.Subset(t, first, []ID{100, 101, 102, 103})
	fifo := newController(PolicyFIFO)
	for i := range 50 {
		push(t, fifo, ID(i), "bulk", time.Minute)
	}
	push(t, fifo, 100, "retail", time.Minute)
	assert.NotContains(t, order(fifo, 50), ID(100), "under FIFO the backlog runs first")
}

func TestNoClassStarves(t *testing.T) {
	c := newController(PolicyWeighted)
	for i := range 90 {
		push(t, c, ID(i), "retail", time.Minute)
	}
	push(t, c, 100, "bulk", time.Minute)
	assert.Contains(t, order(c, 18), ID(100), "by weight, one dispatch in nine goes to bulk")
}

func TestEarliestDeadlineFirstWithinAClass(t *testing.T) {
	c := newController(PolicyWeighted)
	push(t, c, 1, "retail", 3*time.Second)
	push(t, c, 2, "retail", time.Second)
	push(t, c, 3, "retail", 2*time.Second)
	assert.Equal(t, []ID{2, 3, 1}, order(c, 3))
}

func TestRefusesRequestThatCannotMeetItsDeadline(t *testing.T) {
	c := newController(PolicyWeighted)
	for range 100 {
		c.ObserveServiceTime(time.Second)
	}
	for i := range 40 {
		push(t, c, ID(i), "retail", time.Minute)
	}
	r := c.Push(t0, 99, "retail", t0.Add(3*time.Second))
	require.NotNil(t, r)
	assert.Equal(t, ReasonDeadlineUnreachable, r.Reason)
	assert.InDelta(t, 4.1, r.RetryAfter.Seconds(), 0.2, "41 requests at 10 per second")
}

// TestExpectedWaitUsesRecentDispatchRate checks that a class is not refused for
// its weight alone: by weight bulk would wait four seconds, but retail leaves
// most of its share unused and bulk is dispatched every 10 ms.
func TestExpectedWaitUsesRecentDispatchRate(t *testing.T) {
	c := newController(PolicyWeighted)
	for range 100 {
		c.ObserveServiceTime(100 * time.Millisecond)
	}
	for i := range 60 {
		push(t, c, ID(i), "bulk", time.Minute)
	}
	push(t, c, 100, "retail", time.Minute)
	require.NotNil(t, c.Push(t0, 101, "bulk", t0.Add(time.Second)))
	now := t0
	for range 20 {
		now = now.Add(10 * time.Millisecond)
		c.Pop(now)
	}
	assert.Nil(t, c.Push(now, 102, "bulk", now.Add(time.Second)))
}

func TestQueueIsBounded(t *testing.T) {
	c := newController(PolicyWeighted)
	for i := range 100 {
		push(t, c, ID(i), "bulk", time.Hour)
	}
	assert.Equal(t, ReasonQueueFull, c.Push(t0, 101, "bulk", t0.Add(time.Hour)).Reason)
	assert.Nil(t, c.Push(t0, 102, "retail", t0.Add(time.Hour)), "the limit is per class")
}

func TestExpiredAndRemovedRequestsAreNotRun(t *testing.T) {
	c := newController(PolicyWeighted)
	push(t, c, 1, "retail", time.Second)
	push(t, c, 2, "retail", 2*time.Second)
	push(t, c, 3, "retail", 3*time.Second)
	require.True(t, c.Remove(2))
	assert.False(t, c.Remove(2))
	id, ok, expired := c.Pop(t0.Add(1500 * time.Millisecond))
	assert.True(t, ok)
	assert.Equal(t, ID(3), id)
	assert.Equal(t, []ID{1}, expired)
	assert.Zero(t, c.Waiting())
}
