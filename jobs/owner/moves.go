package owner

import (
	"time"

	"github.com/postmount/postmount/jobs/capacity"
)

// poolMove is a move of an instance to another pool.
type poolMove struct {
	toPool      string
	incarnation incarnation // before the move
	orderedAt   time.Time
	accepted    bool // by the platform
}

// moveTimeout is how long an accepted move may take, from its order on, before it counts as
// failed.
const moveTimeout = 6 * time.Second

// removeFinishedMoves removes accepted moves that are complete or timed out, and moves of
// instances that are no longer in the instance list.
func (c *Core) removeFinishedMoves(now time.Time) {
	for id, m := range c.moves {
		i := c.instances[id]
		switch {
		case i == nil:
		case m.accepted && i.Pool == m.toPool && i.State == InstanceUp && c.incarnationOn(&i.Instance) != m.incarnation && c.hasJoinedPool(&i.Instance):
			if s := c.catalog.Service(m.toPool); s == nil || !s.Spare {
				c.admission.recordMoveDuration(now.Sub(m.orderedAt))
			}
		case m.accepted && now.Sub(m.orderedAt) > moveTimeout:
		default:
			continue
		}
		c.removeMove(id, m)
	}
}

// removeMove removes a move that is complete, has failed or was refused.
func (c *Core) removeMove(id InstanceID, m *poolMove) {
	delete(c.moves, id)
	if w := c.currentWorker(m.incarnation); w != nil && !w.ended {
		c.unreserve(w)
	}
	if i := c.instances[id]; i != nil {
		c.updateSupply(i)
	}
}

// ExpectsWorkers reports whether instances are moving to pools whose workers will register soon.
func (c *Core) ExpectsWorkers() bool {
	for _, m := range c.moves {
		if s := c.catalog.Service(m.toPool); s == nil || !s.Spare {
			return true
		}
	}
	return false
}

// rejectedMovePause is the time after which a move is ordered again to which the platform answered
// DutyInvalid. The platform may have learned of the instance or the pool in the meantime, and a term
// can last for months.
const rejectedMovePause = time.Minute

// orderMove orders a planned move, unless the platform answered DutyInvalid to it within
// rejectedMovePause.
func (c *Core) orderMove(m capacity.Move, now time.Time) {
	id := InstanceID(m.Instance)
	key := rejectedMove{id, m.To}
	if at, rejected := c.rejectedMoves[key]; rejected && now.Sub(at) < rejectedMovePause {
		return
	}
	delete(c.rejectedMoves, key)
	ms := &poolMove{toPool: m.To, orderedAt: now, incarnation: c.incarnationOn(&c.instances[id].Instance)}
	c.moves[id] = ms
	c.updateSupply(c.instances[id])
	if w := c.currentWorker(ms.incarnation); w != nil {
		c.reserve(w, reservedMove, now)
	}
	c.returnBudget-- // every order counts against the platform's rate limit
	c.logDecision(Decision{Event: "move-ordered", Worker: ms.incarnation.worker, Reason: m.Instance + " from " + m.From + " to " + m.To + ": " + m.Reason})
	c.effects.InstanceOrders = append(c.effects.InstanceOrders, InstanceOrder{Instance: id, Pool: m.To})
}

// rejectedMove is an instance and a pool for which the platform answered DutyInvalid.
type rejectedMove struct {
	instance InstanceID
	pool     string
}

// onMoveOutcome handles the platform's answer to a move order.
func (c *Core) onMoveOutcome(o InstanceOrder, outcome DutyOutcome, now time.Time) {
	m := c.moves[o.Instance]
	if m == nil {
		return
	}
	c.logDecision(Decision{Event: "move-answer", Reason: string(o.Instance) + " " + outcome.String()})
	switch outcome {
	case DutyDone:
		m.accepted = true
		return
	case DutyUnanswered:
		c.effects.InstanceOrders = append(c.effects.InstanceOrders, o) // it may have been carried out: repeat it
		return
	case DutyFenced:
		c.markDutyFenced(o.Instance)
		return
	case DutyInvalid:
		c.rejectedMoves[rejectedMove{o.Instance, o.Pool}] = now
	}
	c.removeMove(o.Instance, m)
}

// The platform limits the rate of moves. Returns to the spare pool use only a part of that rate,
// so that they do not delay moves to pools with waiting tasks.
const (
	// returnShare is the fraction of the move rate that returns may use.
	returnShare = 0.5
	// unlimitedReturns is the allowance without a rate limit.
	unlimitedReturns = 1 << 20
)

// returnAllowance returns how many instances may be returned to the spare pool now. The
// budget is refilled at returnShare of the move rate, holds at most one second's worth, and
// every ordered move reduces it.
func (c *Core) returnAllowance(now time.Time) int {
	if c.opt.MaxMovesPerSec <= 0 {
		return unlimitedReturns
	}
	c.returnBudget = min(c.returnBudget+returnShare*c.opt.MaxMovesPerSec*now.Sub(c.returnRefilledAt).Seconds(), returnShare*c.opt.MaxMovesPerSec)
	c.returnRefilledAt = now
	return max(0, int(c.returnBudget))
}
