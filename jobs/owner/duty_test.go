package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/capacity"
)

// TestAFencedDutyIsLogged: an owner that learns from the platform that there is a newer one logs
// it, once, as it does when it learns it from a worker.
func TestAFencedDutyIsLogged(t *testing.T) {
	for _, o := range []InstanceOrder{{Instance: "i-w", Pool: "q"}, {Instance: "i-w", Wave: 3}} {
		r := newRig(t, 1)
		r.worker("w")
		r.core.moves["i-w"] = &poolMove{toPool: "q", orderedAt: r.now}
		r.core.OnWave(WaveRequest{Wave: 3, Instances: []InstanceID{"i-w"}, MaxDown: 1}, nil, false, r.now)
		r.core.TakeDecisions()
		r.core.OnInstanceOrderAnswer(o, DutyFenced, r.now)
		r.core.OnInstanceOrderAnswer(o, DutyFenced, r.now)
		require.True(t, r.core.Fenced())
		var fenced []Decision
		for _, d := range r.core.TakeDecisions() {
			if d.Event == "fenced" {
				fenced = append(fenced, d)
			}
		}
		require.Len(t, fenced, 1, "order %+v", o)
		assert.Contains(t, fenced[0].Reason, "i-w")
	}
}

// TestARejectedMoveIsOrderedAgain: a move that the platform called invalid is not repeated at
// once, but after a while: the platform may have learned of the pool, and a term can last for months.
func TestARejectedMoveIsOrderedAgain(t *testing.T) {
	r := newRig(t, 1)
	r.worker("w")
	order := func() int {
		r.out.InstanceOrders = nil
		r.core.orderMove(capacity.Move{Instance: "i-w", From: "s", To: "new"}, r.now)
		r.collectEffects()
		return len(r.out.InstanceOrders)
	}
	require.Equal(t, 1, order())
	r.core.OnInstanceOrderAnswer(r.out.InstanceOrders[0], DutyInvalid, r.now)
	assert.Zero(t, order())
	r.now = r.now.Add(rejectedMovePause - time.Millisecond)
	assert.Zero(t, order())
	r.now = r.now.Add(time.Millisecond)
	assert.Equal(t, 1, order())
	r.core.OnInstanceOrderAnswer(r.out.InstanceOrders[0], DutyInvalid, r.now)
	assert.Zero(t, order(), "rejected again")
}
