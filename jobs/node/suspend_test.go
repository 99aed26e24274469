package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/postmount/postmount/jobs/owner"
)

// TestLeaseExpiresDuringSuspension checks what a lease renewed just before a suspension still
// allows. The monotonic clock stops during a suspension. If deadlines relied on it alone, an owner
// that was suspended for longer than its lease would consider itself the owner for up to half a
// second, until the store says otherwise, and could order instances and return counts meanwhile.
func TestLeaseExpiresDuringSuspension(t *testing.T) {
	for _, c := range []struct {
		suspended  time.Duration
		held, duty bool
	}{
		{0, true, true},
		{owner.MaxDutyLeaseAge - 10*time.Millisecond, true, true},
		{owner.MaxDutyLeaseAge + 10*time.Millisecond, true, false},
		{storeLease - leaseSafetyMargin - 10*time.Millisecond, true, false},
		{storeLease - leaseSafetyMargin + 10*time.Millisecond, false, false},
		{storeLease, false, false},
		{time.Minute, false, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			n, r := newTestTerm(t, 1)
			n.leaseRenewedAt.Store(n.uptimeNanos())
			n.clock.(*fakeClock).suspended = c.suspended
			assert.Equal(t, c.held, r.leaseHeld(), "lease after %s", c.suspended)
			assert.Equal(t, c.duty, n.mayOrderInstances(), "duty after %s", c.suspended)
		})
	}
}

// countingWorkers counts the starts that are sent.
type countingWorkers struct {
	owner.WorkerClient
	starts int
}

func (w *countingWorkers) Start(context.Context, owner.Start) owner.Answer {
	w.starts++
	return owner.Answer{Outcome: owner.Accepted}
}

// TestStartDecidedBeforeSuspensionIsNotSent: the state behind the decision may be outdated after a
// suspension.
func TestStartDecidedBeforeSuspensionIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, r := newTestTerm(t, 1)
		w := &countingWorkers{}
		n.platform.Workers = w
		n.metrics = NewMetrics(tally.NoopScope, nil)
		r.startCalls = newCallLimiter(startSlotsPerCore, 1, callSlotTimeout)
		r.events = make(chan event, 2)
		decided := n.uptimeNanos()
		r.start(owner.Start{Timeout: owner.OrderTimeout}, decided)
		require.Equal(t, 1, w.starts)
		n.clock.(*fakeClock).suspended = maxStartAge + time.Millisecond
		r.start(owner.Start{Timeout: owner.OrderTimeout}, decided)
		assert.Equal(t, 1, w.starts)
		assert.Len(t, r.events, 2, "the core gets an outcome for both")
	})
}

// TestSuspensionIsReportedOnce: the core is told of a suspension once, before any other decision.
func TestSuspensionIsReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, r := newTestTerm(t, 1)
		r.checkSuspension()
		require.Empty(t, r.core.TakeDecisions())
		n.clock.(*fakeClock).suspended = 3 * time.Second
		time.Sleep(suspensionCheckInterval)
		r.checkSuspension()
		time.Sleep(suspensionCheckInterval)
		r.checkSuspension()
		decisions := r.core.TakeDecisions()
		require.Len(t, decisions, 2)
		assert.Equal(t, "ownership-uncertain", decisions[0].Event, "the store lease has expired meanwhile")
		assert.Equal(t, "owner-suspended", decisions[1].Event)
		assert.Equal(t, "suspended for 3s", decisions[1].Reason)
	})
}
