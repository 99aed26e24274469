package jobload

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/postmount/postmount/jobs/owner"
)

// TestTheShareOfLostHoldsIsTheScenarios guards against a hold that is drawn twice, so that 0.36
// of the holds were lost where the scenario asks for 0.2.
func TestTheShareOfLostHoldsIsTheScenarios(t *testing.T) {
	const holds, share = 20_000, 0.2
	sc := rotatingLoad(1)
	s := newSim(sc)
	s.callLoss = share
	var w *worker
	for _, w = range s.workers {
		break
	}
	lost := 0
	for range holds {
		w.hold = nil
		s.beginHold(owner.Hold{Target: owner.Target{Worker: w.reg.Worker}})
		if w.hold == nil {
			lost++
		}
	}
	assert.InDelta(t, share, float64(lost)/holds, 0.02)
}
