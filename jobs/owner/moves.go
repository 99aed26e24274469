package owner

import (
	"time"

	"github.com/postmount/postmount/jobs/capacity"
)

// moveState is an instance on its way to another pool.
type moveState struct {
	to       string
	life     incarnation // before the move
	at       time.Time
	accepted bool
}

// moveTimeout is when a move that was accepted is no longer counted on.
const moveTimeout = 6 * time.Second

// settleMoves forgets moves that are over.
func (c *Core) settleMoves(now time.Time) {
	for id, m := range c.moves {
		i := c.instances[id]
		switch {
		case i == nil:
		case m.accepted && i.Pool == m.to && i.State == InstanceUp && c.incarnationOn(&i.Instance) != m.life && c.hasJoinedPool(&i.Instance):
		case m.accepted && now.Sub(m.at) > moveTimeout:
		default:
			continue
		}
		c.endMove(id, m)
	}
}

// endMove forgets a move that is over, or was not begun.
func (c *Core) endMove(id InstanceID, m *moveState) {
	delete(c.moves, id)
	if w := c.currentWorker(m.life); w != nil && !w.ended {
		c.unreserve(w)
	}
	if i := c.instances[id]; i != nil {
		c.count(i)
	}
}

// Expecting reports whether workers are about to register.
func (c *Core) Expecting() bool {
	for _, m := range c.moves {
		if s := c.catalog.Service(m.to); s == nil || !s.Spare {
			return true
		}
	}
	return false
}

func (c *Core) orderMove(m capacity.Move, now time.Time) {
	id := InstanceID(m.Instance)
	if c.rejectedMoves[misfit{id, m.To}] {
		return
	}
	ms := &moveState{to: m.To, at: now, life: c.incarnationOn(&c.instances[id].Instance)}
	c.moves[id] = ms
	c.count(c.instances[id])
	if w := c.currentWorker(ms.life); w != nil {
		c.reserve(w, reservedMove, now)
	}
	c.returnBudget-- // each order takes a turn at the platform
	c.note(Decision{Event: "move-ordered", Worker: ms.life.worker, Reason: m.Instance + " from " + m.From + " to " + m.To + ": " + m.Reason})
	c.effects.InstanceOrders = append(c.effects.InstanceOrders, InstanceOrder{Instance: id, Pool: m.To})
}

// misfit is an instance that a pool does not take.
type misfit struct {
	instance InstanceID
	pool     string
}

func (c *Core) onMove(o InstanceOrder, outcome DutyOutcome, now time.Time) {
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
		c.rejectedMoves[misfit{o.Instance, o.Pool}] = true
	}
	c.endMove(o.Instance, m)
}

// Moves that the platform accepts are shared: instances that are given back leave room for
// those that are waited for.
const (
	// giveBackShare is the share of them that instances may take that are given back.
	giveBackShare = 0.5
	// manyMoves stands for any number.
	manyMoves = 1 << 20
)

// mayGiveBack returns how many instances may be given back now: no more than their share of what
// the platform accepts, less what has been ordered besides.
func (c *Core) mayGiveBack(now time.Time) int {
	if c.opt.MaxMovesPerSec <= 0 {
		return manyMoves
	}
	c.returnBudget = min(c.returnBudget+giveBackShare*c.opt.MaxMovesPerSec*now.Sub(c.returnRefilledAt).Seconds(), giveBackShare*c.opt.MaxMovesPerSec)
	c.returnRefilledAt = now
	return max(0, int(c.returnBudget))
}
