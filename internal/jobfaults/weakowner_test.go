package jobfaults

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/standin/jobfleet"
)

// TestABurstOfStartsByAWeakOwner guards against call slots that are released after 50 ms: 96 calls of 1.3 ms
// need 125 ms of CPU, so 1,920 calls a second were admitted, 770 could be made, and calls that timed out used
// up the CPU. An owner with a fifth of a core started 621 to 884 of 1,920 tasks and none later within 30 s,
// and as few of 4,800. With slots kept as long as a call may take it started all 1,920 and all 4,800; without
// slots it started 615 and 612.
func TestABurstOfStartsByAWeakOwner(t *testing.T) {
	const instances, jobs, width = 240, 80, 24 // starting the 1,920 tasks takes 2.5 s of the owner's CPU
	simulateCPULimited(t, instances, weakCallCost, func(in *jobfleet.Installation) {
		in.Start("d1")
		time.Sleep(3 * time.Second)
		require.NotNil(t, in.Owner())
		submitBurst(t, in, jobs, width)
		time.Sleep(12 * time.Second)
		assert.Equal(t, jobs*width, in.Checker.Starts(), "each task is started exactly once")
		assert.Empty(t, in.Checker.Violations())
	})
}
