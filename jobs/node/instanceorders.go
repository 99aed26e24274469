package node

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/postmount/postmount/jobs/owner"
)

// orderDelay is how long after it was recorded an order for an instance may reach the
// platform at the latest: the transaction's timeout, and the call's.
const orderDelay = storeTimeout + instanceOrderTimeout

// instanceOrders holds orders for instances until the store knows that they are
// about to be sent, and remembers for which instances there were any. Whoever is
// the owner next finds them there, and may order all other instances at once.
type instanceOrders struct {
	self    string
	pending []owner.InstanceOrder
	newest  map[owner.InstanceID]arrival // of the orders for each instance
	keep    time.Duration
}

// arrival is when an order reached the platform at the latest, and who sent it.
type arrival struct {
	at     time.Time
	holder string
	before *arrival // of the order before, until this one is known to be sent
}

// newInstanceOrders begins with those of the owner before.
func newInstanceOrders(self string, handover time.Duration, before []owner.RecentOrder, electedAt time.Time) instanceOrders {
	o := instanceOrders{self: self, newest: map[owner.InstanceID]arrival{}, keep: handover + owner.DutyMargin}
	for _, b := range before {
		o.newest[b.Instance] = arrival{at: electedAt.Add(-b.Age), holder: b.Holder}
	}
	return o
}

func (o *instanceOrders) add(list []owner.InstanceOrder) { o.pending = append(o.pending, list...) }

func (o *instanceOrders) waiting() int { return len(o.pending) }

// take returns the orders that wait, for the next transaction.
func (o *instanceOrders) take(now time.Time) []owner.InstanceOrder {
	out := o.pending
	o.pending = nil
	for _, m := range out {
		a := arrival{at: now.Add(orderDelay), holder: o.self}
		if before, ok := o.newest[m.Instance]; ok {
			before.before = nil
			a.before = &before
		}
		o.newest[m.Instance] = a
	}
	return out
}

// settle takes note of what came of an order: it arrived by now, or was never sent.
func (o *instanceOrders) settle(id owner.InstanceID, sent bool, now time.Time) {
	a := o.newest[id]
	switch {
	case sent && a.at.After(now):
		o.newest[id] = arrival{at: now, holder: o.self}
	case sent:
	case a.before != nil:
		o.newest[id] = *a.before
	default:
		delete(o.newest, id)
	}
}

// recent returns the orders that the next owner has to know of.
func (o *instanceOrders) recent(now time.Time) []owner.RecentOrder {
	maps.DeleteFunc(o.newest, func(_ owner.InstanceID, a arrival) bool { return now.Sub(a.at) > o.keep })
	var out []owner.RecentOrder
	for _, id := range slices.Sorted(maps.Keys(o.newest)) {
		out = append(out, owner.RecentOrder{Instance: id, Holder: o.newest[id].holder, Age: now.Sub(o.newest[id].at)})
	}
	return out
}

// refuse tells the core that orders were not sent.
func (t *termRun) refuse(c *owner.Core, orders []owner.InstanceOrder, now time.Time) {
	for _, o := range orders {
		t.orders.settle(o.Instance, false, now)
		c.OnInstanceOrder(o, owner.DutyRefused, now)
	}
}

// sendInstanceOrders sends orders that the store knows of. They do not wait for slots:
// until when they may arrive is recorded.
func (t *termRun) sendInstanceOrders(orders []owner.InstanceOrder) {
	for _, o := range orders {
		go t.callNow(2*instanceOrderTimeout, func(ctx context.Context) event { return t.orderInstance(ctx, o) })
	}
}
