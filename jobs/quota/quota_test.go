package quota

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/postmount/postmount/jobs/job"
)

func cores(n int) job.Resources { return job.Resources{CPUMilli: 1000 * n} }

func TestLimits(t *testing.T) {
	tr := New()
	none := job.Resources{}
	tr.SetLimits([]job.Tenant{{Name: "t", Limit: job.Resources{CPUMilli: 4000, MemMB: 100}}, {Name: "free"}})
	assert.True(t, tr.Allows("t", cores(9), 1, none), "a task larger than the limit may run alone")
	assert.False(t, tr.Allows("t", cores(9), 1, cores(1)), "not while an unknown run may exist")
	tr.AddRun("t", cores(3))
	assert.True(t, tr.Allows("t", cores(1), 1, none))
	assert.False(t, tr.Allows("t", cores(1), 2, none), "all tasks of a gang count")
	assert.False(t, tr.Allows("t", cores(1), 1, cores(1)))
	assert.False(t, tr.Allows("t", job.Resources{MemMB: 101}, 1, none))
	for _, tenant := range []string{"free", "unknown", ""} {
		assert.True(t, tr.Allows(tenant, cores(1000), 9, cores(9)), tenant)
	}

	tr.AddWaiter("t", "s1")
	assert.Equal(t, []string{"s1"}, tr.RemoveRun("t", cores(3)))
	tr.AddRun("t", none)
	assert.Empty(t, tr.RemoveRun("t", none), "each service is returned only once")

	tr.SetLimits([]job.Tenant{{Name: "other"}})
	tr.AddRun("t", cores(4))
	assert.False(t, tr.Allows("t", cores(1), 1, none), "a tenant that is no longer named keeps its limit")
	tr.SetLimits([]job.Tenant{{Name: "t", Limit: cores(8)}})
	assert.True(t, tr.Allows("t", cores(4), 1, none), "a raised limit applies at once")
	tr.SetLimits([]job.Tenant{{Name: "t", Limit: cores(2)}})
	assert.False(t, tr.Allows("t", cores(1), 1, none), "a lowered limit applies at once")
}

// TestLimitHoldsAndWorkWithinItStarts: in any order of starts and ends, a task may start if
// and only if the tenant stays within its limit or has no other run. So a tenant exceeds its
// limit only by a single task that runs alone, and while it uses less than half of its limit,
// a task that needs no more than the other half can always start.
func TestLimitHoldsAndWorkWithinItStarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := New()
		limit := rapid.IntRange(1, 40).Draw(t, "limit")
		tr.SetLimits([]job.Tenant{{Name: "t", Limit: cores(limit)}})
		var runs []int
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			if len(runs) > 0 && rapid.Bool().Draw(t, "end") {
				i := rapid.IntRange(0, len(runs)-1).Draw(t, "which")
				tr.RemoveRun("t", cores(runs[i]))
				runs = append(runs[:i], runs[i+1:]...)
				continue
			}
			need := rapid.IntRange(1, 12).Draw(t, "need")
			sum := need
			for _, r := range runs {
				sum += r
			}
			allowed := tr.Allows("t", cores(need), 1, job.Resources{})
			if allowed != (sum <= limit || len(runs) == 0) {
				t.Fatalf("%d beside %v of %d: allowed %t", need, runs, limit, allowed)
			}
			if allowed {
				tr.AddRun("t", cores(need))
				runs = append(runs, need)
			}
		}
	})
}
