package node

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/postmount/postmount/jobs/owner"
)

// maxOrderDelay is the maximum time from the start of the transaction that records an order for
// an instance until the order reaches the platform: the timeouts of both calls.
const maxOrderDelay = storeTimeout + instanceOrderTimeout

// instanceOrders holds orders for instances until a transaction has recorded that they are
// about to be sent, and tracks which instances had recent orders. The next owner reads the recent
// orders from the store, and may send orders for all other instances immediately.
type instanceOrders struct {
	self      string // name of this daemon
	pending   []owner.InstanceOrder
	latest    map[owner.InstanceID]arrival // of the last order for each instance
	retention time.Duration                // how long an order counts as recent
}

// arrival is the latest time at which an order may have reached the platform, and its sender.
type arrival struct {
	at       time.Time
	holder   string   // daemon that sent the order
	previous *arrival // of the previous order, until this order is known to be sent
}

// newInstanceOrders returns instanceOrders with the recent orders of the previous owner. Each is
// kept for handover, the minimum time between orders of two duty holders, plus a margin.
func newInstanceOrders(self string, handover time.Duration, prior []owner.RecentOrder, electedAt time.Time) instanceOrders {
	o := instanceOrders{self: self, latest: map[owner.InstanceID]arrival{}, retention: handover + owner.DutyHandoverMargin}
	for _, p := range prior {
		o.latest[p.Instance] = arrival{at: electedAt.Add(-p.Age), holder: p.Holder}
	}
	return o
}

func (o *instanceOrders) add(list []owner.InstanceOrder) { o.pending = append(o.pending, list...) }

func (o *instanceOrders) pendingCount() int { return len(o.pending) }

// take returns and removes the pending orders, for the next transaction.
func (o *instanceOrders) take(now time.Time) []owner.InstanceOrder {
	out := o.pending
	o.pending = nil
	for _, m := range out {
		a := arrival{at: now.Add(maxOrderDelay), holder: o.self}
		if previous, ok := o.latest[m.Instance]; ok {
			previous.previous = nil
			a.previous = &previous
		}
		o.latest[m.Instance] = a
	}
	return out
}

// resolve records the outcome of an order: it has reached the platform by now, or it was not sent.
func (o *instanceOrders) resolve(id owner.InstanceID, sent bool, now time.Time) {
	a := o.latest[id]
	switch {
	case sent && a.at.After(now):
		o.latest[id] = arrival{at: now, holder: o.self}
	case sent:
	case a.previous != nil:
		o.latest[id] = *a.previous
	default:
		delete(o.latest, id)
	}
}

// recent returns the orders that the next owner must know of.
func (o *instanceOrders) recent(now time.Time) []owner.RecentOrder {
	maps.DeleteFunc(o.latest, func(_ owner.InstanceID, a arrival) bool { return now.Sub(a.at) > o.retention })
	var out []owner.RecentOrder
	for _, id := range slices.Sorted(maps.Keys(o.latest)) {
		out = append(out, owner.RecentOrder{Instance: id, Holder: o.latest[id].holder, Age: now.Sub(o.latest[id].at)})
	}
	return out
}

// rejectInstanceOrders tells the core that orders were not sent.
func (t *termRun) rejectInstanceOrders(c *owner.Core, orders []owner.InstanceOrder, now time.Time) {
	for _, o := range orders {
		t.orders.resolve(o.Instance, false, now)
		c.OnInstanceOrderAnswer(o, owner.DutyRefused, now)
	}
}

// sendInstanceOrders sends orders that are recorded in the store. They do not wait for slots, as
// they must arrive within maxOrderDelay.
func (t *termRun) sendInstanceOrders(orders []owner.InstanceOrder) {
	for _, o := range orders {
		go t.callNow(2*instanceOrderTimeout, func(ctx context.Context) event { return t.orderInstance(ctx, o) })
	}
}
