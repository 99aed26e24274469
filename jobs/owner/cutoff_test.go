package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Seen: five of eight workers are cut off for good and stay registered; their tasks are never
// started elsewhere, though the other three answer each hold at once and are idle. With four
// of seven they are, after 4.3 s. A new owner likewise never starts what it inherits. How: as
// over half of the workers, and five, are silent, the owner takes itself for overloaded at each
// tick, without an end; while it does no lease counts as over, each hold that is sent into the
// cut extends the lease that has to end, and the takeover of a service with an unheard
// instance waits. Cause: the judgement has no limit in time and does not ask whether the owner
// keeps up with those that do answer. Proved by the same rig with one worker less.

// partitionedRig has five workers that are cut off, and three that are idle.
func partitionedRig(t *testing.T, term uint64, loaded ...Loaded) (r *rig, partitioned, healthy []WorkerID) {
	r = newRig(t, term, loaded...)
	for i := range 5 {
		partitioned = append(partitioned, r.worker(fmt.Sprint("cut", i)))
	}
	for i := range 3 {
		healthy = append(healthy, r.worker(fmt.Sprint("sound", i)))
	}
	return r, partitioned, healthy
}

// runPartitioned lets time pass in which the sound workers answer each hold at once.
func (r *rig) runPartitioned(d time.Duration, partitioned, healthy []WorkerID) {
	for range d / (100 * time.Millisecond) {
		for _, w := range partitioned {
			if r.core.workers[w].holdInFlight {
				r.failHold(w)
			}
		}
		for _, w := range healthy {
			if r.core.workers[w].holdInFlight {
				r.answerHold(w, r.runsOn(w))
			}
		}
		r.tick(100 * time.Millisecond)
	}
}

// TestMostOfSmallFleetPartitioned: what ran there goes on elsewhere, some leases later at most.
func TestMostOfSmallFleetPartitioned(t *testing.T) {
	const longEnough = 8 * rigLease
	t.Run("what ran there", func(t *testing.T) {
		r, partitioned, healthy := partitionedRig(t, 1)
		for _, w := range partitioned {
			r.answerHold(w, nil)
		}
		r.submit(1, 5)
		require.Len(t, r.confirmStarts(), 5)
		for _, w := range healthy {
			r.answerHold(w, nil)
		}
		r.runPartitioned(longEnough, partitioned, healthy)
		assert.Len(t, r.out.Starts, 5)
	})
	t.Run("what a new owner inherits", func(t *testing.T) {
		r, partitioned, healthy := partitionedRig(t, 2, Loaded{Job: simpleJob(1, 5)})
		r.runPartitioned(longEnough, partitioned, healthy)
		assert.Len(t, r.out.Starts, 5)
	})
}
