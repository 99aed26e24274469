package job

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestCheckTenantLimit(t *testing.T) {
	c := Catalog{Tenants: []Tenant{{Name: "t", Limit: Resources{CPUMilli: 4000}}, {Name: "free"}}}
	step := func(count int, gang bool) *Job {
		return &Job{Tenant: "t", Steps: []Step{{Count: 1}, {Count: count, Gang: gang, Need: Resources{CPUMilli: 2500, MemMB: 9}}}}
	}
	assert.NoError(t, c.CheckTenantLimit(step(9, false)), "single tasks run one after another")
	assert.NoError(t, c.CheckTenantLimit(step(1, true)))
	assert.ErrorContains(t, c.CheckTenantLimit(step(2, true)), "step 1")
	for _, tenant := range []string{"free", "unknown", ""} {
		j := step(2, true)
		j.Tenant = tenant
		assert.NoError(t, c.CheckTenantLimit(j), tenant)
	}
}
