package job

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestValidAmountsAddUp guards against totals that overflow: over the tasks of the largest step, over
// the workers of the largest fleet, and over tasks on all of them.
func TestValidAmountsAddUp(t *testing.T) {
	const largestFleet = 13_000
	most := Resources{MaxAmount, MaxAmount, MaxAmount}
	require.NoError(t, most.Validate())
	assert.Equal(t, maxTasks, most.Times(maxTasks).CPUMilli/MaxAmount)
	assert.Equal(t, maxTasks*largestFleet, most.Times(maxTasks).Times(largestFleet).MemMB/MaxAmount)
	assert.Equal(t, maxTasks*MaxAmount, int(float64(maxTasks*MaxAmount)))
	for _, n := range []int{-1, MaxAmount + 1, math.MaxInt, math.MinInt} {
		require.Error(t, Resources{CPUMilli: n}.Validate())
		require.Error(t, Resources{MemMB: n}.Validate())
		require.Error(t, Resources{GPU: n}.Validate())
	}
}
