package owner

import (
	"time"

	"github.com/postmount/postmount/jobs/capacity"
)

// poolMove is an instance on its way to another pool.
type poolMove struct {
	toPool      string
	incarnation incarnation // before the move
	orderedAt   time.Time
	accepted    bool
}

// moveTimeout is when a move that was accepted is no longer counted on.
const moveTimeout = 6 * time.Second

// removeFinishedMoves forgets moves that are over.
func (c *Core) removeFinishedMoves(now time.Time) {
	for id, m := range c.moves {
		i := c.instances[id]
		switch {
		case i == nil:
		case m.accepted && i.Pool == m.toPool && i.State == InstanceUp && c.incarnationOn(&i.Instance) != m.incarnation && c.hasJoinedPool(&i.Instance):
		case m.accepted && now.Sub(m.orderedAt) > moveTimeout:
		default:
			continue
		}
		c.removeMove(id, m)
	}
}

// removeMove forgets a move that is over, or was not begun.
func (c *Core) removeMove(id InstanceID, m *poolMove) {
	delete(c.moves, id)
	if w := c.currentWorker(m.incarnation); w != nil && !w.ended {
		c.unreserve(w)
	}
	if i := c.instances[id]; i != nil {
		c.updateSupply(i)
	}
}

// ExpectsWorkers reports whether workers are about to register.
func (c *Core) ExpectsWorkers() bool {
	for _, m := range c.moves {
		if s := c.catalog.Service(m.toPool); s == nil || !s.Spare {
			return true
		}
	}
	return false
}

func (c *Core) orderMove(m capacity.Move, now time.Time) {
	id := InstanceID(m.Instance)
	if c.rejectedMoves[rejectedMove{id, m.To}] {
		return
	}
	ms := &poolMove{toPool: m.To, orderedAt: now, incarnation: c.incarnationOn(&c.instances[id].Instance)}
	c.moves[id] = ms
	c.updateSupply(c.instances[id])
	if w := c.currentWorker(ms.incarnation); w != nil {
		c.reserve(w, reservedMove, now)
	}
	c.returnBudget-- // each order takes a turn at the platform
	c.note(Decision{Event: "move-ordered", Worker: ms.incarnation.worker, Reason: m.Instance + " from " + m.From + " to " + m.To + ": " + m.Reason})
	c.effects.InstanceOrders = append(c.effects.InstanceOrders, InstanceOrder{Instance: id, Pool: m.To})
}

// rejectedMove is an instance that a pool does not take.
type rejectedMove struct {
	instance InstanceID
	pool     string
}

func (c *Core) onMoveOutcome(o InstanceOrder, outcome DutyOutcome, now time.Time) {
	m := c.moves[o.Instance]
	if m == nil {
		return
	}
	c.note(Decision{Event: "move-answer", Reason: string(o.Instance) + " " + outcome.String()})
	switch outcome {
	case DutyDone:
		m.accepted = true
		return
	case DutyUnanswered:
		c.effects.InstanceOrders = append(c.effects.InstanceOrders, o) // it may have been done
		return
	case DutyFenced:
		c.fenced = true
		return
	case DutyInvalid:
		c.rejectedMoves[rejectedMove{o.Instance, o.Pool}] = true
	}
	c.removeMove(o.Instance, m)
}

// Moves that the platform accepts are shared: instances that are given back leave room for
// those that are waited for.
const (
	// releaseShare is the share of them that instances may take that are given back.
	releaseShare = 0.5
	// unlimitedReleases stands for any number.
	unlimitedReleases = 1 << 20
)

// releaseAllowance returns how many instances may be given back now: no more than their share of what
// the platform accepts, less what has been ordered besides.
func (c *Core) releaseAllowance(now time.Time) int {
	if c.opt.MaxMovesPerSec <= 0 {
		return unlimitedReleases
	}
	c.returnBudget = min(c.returnBudget+releaseShare*c.opt.MaxMovesPerSec*now.Sub(c.returnRefilledAt).Seconds(), releaseShare*c.opt.MaxMovesPerSec)
	c.returnRefilledAt = now
	return max(0, int(c.returnBudget))
}
