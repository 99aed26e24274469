package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/postmount/postmount/jobs/job"
)

func TestShares(t *testing.T) {
	s := NewShares()
	assert.False(t, s.Configured())
	s.SetWeights([]job.Tenant{{Name: "t", Weight: 4}, {Name: "slow", Weight: 0.5}, {Name: "any"}})
	at := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	within := func(tenant string, n int) int {
		count := 0
		for range n {
			if s.Take(tenant, at) {
				count++
			}
		}
		return count
	}
	assert.True(t, s.Configured())
	assert.False(t, s.IsExceeded("t", at))
	assert.Equal(t, 4, within("t", 10), "the share of one second at once")
	assert.True(t, s.IsExceeded("t", at))
	assert.False(t, s.IsExceeded("t", at.Add(250*time.Millisecond)), "refilled, but not taken")
	assert.False(t, s.IsExceeded("any", at))
	assert.Equal(t, 1, within("slow", 3), "at least one job")
	assert.Equal(t, 9, within("any", 9), "no limit without a weight")
	assert.Equal(t, 9, within("", 9))
	at = at.Add(500 * time.Millisecond)
	assert.Equal(t, 2, within("t", 10))
	at = at.Add(-time.Second)
	assert.Zero(t, within("t", 1), "an earlier time refills nothing")
	at = at.Add(time.Hour)
	assert.Equal(t, 4, within("t", 10))
}
