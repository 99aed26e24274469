package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// These tests guard against an owner that attributes a lasting partition to its own overload. If
// most workers are partitioned permanently and detectOverload has no time limit, the owner renews
// their leases forever, none of their tasks starts elsewhere, and a takeover never completes.

// partitionedRig returns a rig with five partitioned and three idle workers.
func partitionedRig(t *testing.T, term uint64, loaded ...StoredJob) (r *rig, partitioned, healthy []WorkerID) {
	r = newRig(t, term, loaded...)
	for i := range 5 {
		partitioned = append(partitioned, r.worker(fmt.Sprint("partitioned", i)))
	}
	for i := range 3 {
		healthy = append(healthy, r.worker(fmt.Sprint("reachable", i)))
	}
	return r, partitioned, healthy
}

// runPartitioned advances the time by d while the healthy workers answer each hold immediately and
// the holds of the partitioned ones fail.
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

// TestMostOfSmallFleetPartitioned checks that the tasks of partitioned workers start elsewhere
// within some lease times.
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
		r, partitioned, healthy := partitionedRig(t, 2, StoredJob{Job: simpleJob(1, 5)})
		r.runPartitioned(longEnough, partitioned, healthy)
		assert.Len(t, r.out.Starts, 5)
	})
}
