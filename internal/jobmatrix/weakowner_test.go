package jobmatrix

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/standin/jobfleet"
)

// What was seen: an owner with a fifth of a core starts 621 to 884 of 1,920 tasks that
// become ready at the same moment, and none of the others within 30 s; of 4,800 as few. How it
// came about: 96 calls of 1.3 ms need 125 ms of its processor, but a call gives its slot to
// the next one after 50 ms, as if it waited for a worker. So 1,920 calls a second enter and
// 770 can be made; soon each waits for its turn for longer than its timeout, and the time
// that goes to calls which are given up leaves none for the others. Cause: a slot that is
// given back by the clock bounds nothing once the processor is the bottleneck. What proved
// it: with a slot that is kept as long as a call may take, all 1,920 and 4,800 are started;
// without any slots, 615 and 612.
//
// TestABurstOfStartsByAWeakOwner needs 2.5 s of the owner's processor.
func TestABurstOfStartsByAWeakOwner(t *testing.T) {
	const instances, jobs, width = 240, 80, 24
	simulateCPULimited(t, instances, weakCallCost, func(in *jobfleet.Installation) {
		in.Start("d1")
		time.Sleep(3 * time.Second)
		require.NotNil(t, in.Owner())
		submitBurst(t, in, jobs, width)
		time.Sleep(12 * time.Second)
		assert.Equal(t, jobs*width, in.Checker.Starts(), "starts, one a task")
		assert.Empty(t, in.Checker.Violations())
	})
}
