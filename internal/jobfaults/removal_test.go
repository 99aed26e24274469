package jobfaults

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/ledger"
	"github.com/postmount/postmount/standin/jobfleet"
)

// TestEndedJobsLeaveTheStoreAsFastAsTheyEnd guards against a store that grows until no new owner can load it in time:
// ended jobs were removed nine at a time, each 5 s, and only while nothing else was to be written.
func TestEndedJobsLeaveTheStoreAsFastAsTheyEnd(t *testing.T) {
	simulate(t, func(d *deployment) {
		const retention = 4 * time.Minute // twice the StatusRetention of the stand-ins' daemons
		const perSec = 10
		store := d.in.Store.Client("observer", &jobfleet.Gate{}, func(string, string) jobfleet.Failure { return jobfleet.NoFailure })
		stored := func() int {
			items, _, err := ledger.RangeAll(t.Context(), store, ledger.PrefixJobs, false)
			require.NoError(t, err)
			return len(items)
		}
		most, n := 0, 0
		for began := time.Now(); time.Since(began) < 2*retention; time.Sleep(time.Second / perSec) {
			j := batchJob(n)
			j.Steps = []job.Step{{Count: 1, Need: job.Resources{CPUMilli: 10, MemMB: 1}, Estimate: 50 * time.Millisecond}}
			d.submit(ordersPrefix, j)
			n++
			if n%(30*perSec) == 0 {
				most = max(most, stored())
			}
			if n == 6*60*perSec {
				d.in.Kill(d.in.Owner().Name)
			}
		}
		inRetention := int(retention.Seconds()) * perSec
		assert.Less(t, most, inRetention*11/10, "jobs in the store, of %d", n)
		d.jobs = d.jobs[len(d.jobs)-perSec:]
		d.awaitCompletion(10 * time.Second)
	})
}
