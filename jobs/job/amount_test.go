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
	assert.Equal(t, MaxTasks, most.Times(MaxTasks).CPUMilli/MaxAmount)
	assert.Equal(t, MaxTasks*largestFleet, most.Times(MaxTasks).Times(largestFleet).MemMB/MaxAmount)
	assert.Equal(t, MaxTasks*MaxAmount, int(float64(MaxTasks*MaxAmount)))
	for _, n := range []int{-1, MaxAmount + 1, math.MaxInt, math.MinInt} {
		require.Error(t, Resources{CPUMilli: n}.Validate())
		require.Error(t, Resources{MemMB: n}.Validate())
		require.Error(t, Resources{GPU: n}.Validate())
	}
}

// TestGangBeyondRangeIsOverItsTenantsLimit guards against a gang whose total request overflows to
// zero, and so stays within every limit of its tenant.
func TestGangBeyondRangeIsOverItsTenantsLimit(t *testing.T) {
	j := &Job{Tenant: "t", Steps: []Step{{Count: 4, Gang: true, Need: Resources{CPUMilli: 1 << 62}}}}
	c := &Catalog{Tenants: []Tenant{{Name: "t", Limit: Resources{CPUMilli: 1000}}}}
	if j.Validate() == nil {
		require.Error(t, c.CheckTenantLimit(j))
	}
}
