package owner

import "time"

// OnInstances takes the newest instance list.
func (c *Core) OnInstances(list []Instance, now time.Time) {
	c.instanceListAt = now
	for _, i := range list {
		c.onInstance(i, now)
	}
	if len(c.instances) == len(list) {
		return // none has left
	}
	seen := map[InstanceID]bool{}
	for _, i := range list {
		seen[i.ID] = true
	}
	for id, i := range c.instances {
		if !seen[id] {
			c.removeFromSupply(i)
			delete(c.instances, id)
		}
	}
}

func (c *Core) onInstance(i Instance, now time.Time) {
	old := c.instances[i.ID]
	if old != nil && old.Instance == i {
		c.updateWaves(i)
		return
	}
	if old != nil && old.Worker != i.Worker {
		if w := c.workers[i.Worker]; w != nil && w.ended {
			return // an answer that is older than what is known
		}
		if old.Pool != i.Pool || c.mayBeOrderedByEarlierOwner(i.ID, now) {
			c.markDeparting(old.Worker)
		}
		c.endIncarnationOf(old.Worker, "the instance list shows another life", now)
	}
	switch i.State {
	case InstanceDown:
		if !c.mayShowPastIncarnation(i.Worker, now) {
			c.endIncarnationOf(i.Worker, "the instance list shows it down", now)
		}
	case InstanceInMaintenance, InstanceMoving:
		if !c.mayShowPastIncarnation(i.Worker, now) {
			c.markDeparting(i.Worker)
			c.endIncarnationOf(i.Worker, "the instance list shows it away", now)
		}
	}
	if old == nil {
		old = &instanceState{}
		c.instances[i.ID] = old
	}
	c.removeFromSupply(old) // under the id and the pool that it had
	old.Instance = i
	if i.Worker != "" {
		c.instanceOfWorker[i.Worker] = i.ID
	}
	c.updateSupply(old)
	c.updateWaves(i)
}

// updateWaves tells the waves, also those that are completed, what the list says of an instance. The list does not say
// for which wave an instance is away.
func (c *Core) updateWaves(i Instance) {
	for _, ws := range c.waves {
		if ws.members[i.ID] && !c.isDownForOtherWave(ws, i.ID) {
			ws.observeInstance(i, c.isInOneWave(i.ID))
		}
	}
}

// isDownForOtherWave reports whether another wave has ordered the maintenance that the instance is
// away for, or is about to be.
func (c *Core) isDownForOtherWave(ws *waveState, id InstanceID) bool {
	for _, o := range c.waves {
		if d, down := o.down[id]; down && o != ws && !d.orderedAt.IsZero() {
			return true
		}
	}
	return false
}

// isInOneWave reports whether a single wave names the instance.
func (c *Core) isInOneWave(id InstanceID) bool {
	n := 0
	for _, ws := range c.waves {
		if ws.members[id] {
			n++
		}
	}
	return n == 1
}

// markDeparting takes note that an order, of this owner or of one before, ends the life.
func (c *Core) markDeparting(id WorkerID) {
	if w := c.workers[id]; w != nil {
		w.endOrdered = true
	}
}

// orderVisibleWithin is how long after an order for an instance its next life shows in the list: a
// move or a maintenance takes two seconds.
const orderVisibleWithin = 5 * time.Second

// mayBeOrderedByEarlierOwner reports whether an earlier owner may have ordered the instance away.
func (c *Core) mayBeOrderedByEarlierOwner(id InstanceID, now time.Time) bool {
	until, ordered := c.orderHoldoff[id]
	return ordered && now.Before(until.Add(orderVisibleWithin))
}

func (c *Core) endIncarnationOf(id WorkerID, proof string, now time.Time) {
	if w := c.workers[id]; w != nil {
		c.endIncarnation(w, proof, now)
	}
}

// SetStoreLease tells whether this daemon's lease in the store is known to be
// held; duties are done only while it is.
func (c *Core) SetStoreLease(held bool, now time.Time) {
	if held {
		c.storeLeaseLostAt = time.Time{}
	} else if c.storeLeaseLostAt.IsZero() {
		c.storeLeaseLostAt = now
	}
}

// canSendInstanceOrders reports whether orders for instances may be sent.
func (c *Core) canSendInstanceOrders(now time.Time) bool {
	return c.storeLeaseLostAt.IsZero() && !c.fenced && now.Sub(c.instanceListAt) <= maxInstanceListAge
}

// isHandoverComplete reports whether it is known what the orders of the owner before did: they
// have arrived, and the instance list shows what they began.
func (c *Core) isHandoverComplete(now time.Time) bool {
	wait := c.opt.DutyHandover + DutyHandoverMargin
	if c.opt.SucceedsSelf {
		wait = DutyHandoverMargin
	}
	return c.opt.Term == 1 || now.Sub(c.electedAt) > wait
}

// mayOrderInstance reports whether an order for the instance may be sent. Two owners must not
// take turns with one instance; the others need not wait for that.
func (c *Core) mayOrderInstance(id InstanceID, now time.Time) bool {
	if c.opt.PriorOrdersUnknown && now.Sub(c.electedAt) < c.opt.DutyHandover+DutyHandoverMargin {
		return false
	}
	return !now.Before(c.orderHoldoff[id])
}

// isListedAsWorker reports whether the instance list shows the worker as a life. The store keeps the
// registrations of lives that are over for some seconds.
func (c *Core) isListedAsWorker(w *worker) bool {
	return c.isOnInstanceList(w.Worker)
}

func (c *Core) workerOfInstance(id InstanceID) *worker {
	i := c.instances[id]
	if i == nil || i.Worker == "" {
		return nil
	}
	return c.workers[i.Worker]
}

var dutyOutcomeNames = [...]string{"unanswered", "done", "fenced", "refused", "invalid"}

// String returns the outcome's name in logs and metrics.
func (o DutyOutcome) String() string { return dutyOutcomeNames[o] }
