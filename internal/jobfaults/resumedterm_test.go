package jobfaults

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/standin/jobfleet"
)

// TestAnOwnerThatCouldNotReleaseItsLockTakesANewTerm: an owner that is partitioned from the store gives
// up its lock, but the release is lost while its lease is still renewed through peers. When it becomes
// the owner again it has to treat its own earlier runs as those of an earlier owner. With the number of
// the term that it had ended it started all tasks of the first term again.
func TestAnOwnerThatCouldNotReleaseItsLockTakesANewTerm(t *testing.T) {
	simulate(t, func(d *deployment) {
		longRunning := longRunningJob(900)
		d.submit(ordersPrefix, longRunning)
		long := batchJob(1)
		long.Steps[0].Estimate = 12 * time.Second
		d.submit(reportsPrefix, long)
		time.Sleep(3 * time.Second)
		first := d.in.Owner()
		require.NotNil(t, first)
		cutAt := time.Now()
		d.in.SetFailureFunc(func(_, op string) jobfleet.Failure {
			if op == "commit" && time.Since(cutAt) < 6*time.Second {
				return jobfleet.RequestLost
			}
			return jobfleet.NoFailure
		})
		first.Gate.CutStoreOnly(5 * time.Second)
		time.Sleep(10 * time.Second)
		assert.Empty(t, d.in.Checker.Violations())
		d.awaitCompletion(30 * time.Second)
		d.checkAllRunning(longRunning)
	})
}
