package jobload

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/postmount/postmount/jobs/callpolicy"
)

// TestLostCalls guards against timeouts that are too long when calls to workers are lost. With those for a
// saturated link, a lost start or hold blocked its task or worker so long that 0.73 of the work was served
// with a fifth of these calls lost, 0.89 with a twentieth, 0.99 with none. Under rotatingLoad the share on
// time is 0.51 and 0.76 (a fifth, a twentieth) with callpolicy.Patient. With callpolicy.Short it is 0.96 and 0.97, but
// this policy always holds each worker with tasks eight times a second.
func TestLostCalls(t *testing.T) {
	const seeds = 12
	inTimeShare := func(share float64, policy callpolicy.Policy) float64 {
		results := make([]Result, seeds)
		var runs sync.WaitGroup
		for i := range results {
			runs.Go(func() {
				sc := rotatingLoad(uint64(i + 1))
				sc.CallPolicy = policy
				if share > 0 {
					sc.Faults = []Fault{{At: 3 * time.Second, For: 24 * time.Second, Kind: CallsLost, Share: share}}
				}
				results[i] = Run(sc)
			})
		}
		runs.Wait()
		sum := 0.0
		for _, r := range results {
			assert.Zero(t, r.DuplicateStarts)
			assert.Zero(t, r.Open)
			sum += r.InTimeShare()
		}
		return sum / seeds
	}
	none := inTimeShare(0, callpolicy.Adaptive)
	few, many := inTimeShare(0.055, callpolicy.Adaptive), inTimeShare(0.2, callpolicy.Adaptive)
	t.Logf("none %.3f, few %.3f, many %.3f", none, few, many)
	assert.InDelta(t, none, inTimeShare(0, callpolicy.Patient), 0.001, "the policy must not matter if no call is lost")
	// The goal is that a twentieth costs at most 0.02 of the share without loss, a fifth at most 0.05.
	assert.GreaterOrEqual(t, few, none-0.02)
	assert.GreaterOrEqual(t, many, none-0.05)
}
