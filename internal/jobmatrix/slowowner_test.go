package jobmatrix

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/standin/jobfleet"
)

// observeOwners returns the names of the owners during the given time, in order.
func (d *deployment) observeOwners(lasts time.Duration) []string {
	var names []string
	for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		o := d.in.Owner()
		if o != nil && (len(names) == 0 || names[len(names)-1] != o.Name) {
			names = append(names, o.Name)
		}
	}
	return names
}

func (d *deployment) reportAllSlow(times float64, lasts time.Duration) {
	for _, dm := range d.in.Daemons() {
		dm.Gate.ReportSlow(times, lasts)
	}
}

// TestASlowOwnerHandsOver: an owner that runs clearly slower than usual hands over once, to a
// daemon that is not slow. It guards against an owner at a fifth of its speed for 8 s that keeps
// its role and delays all work: it renewed its lease, and only the CPU share set at a daemon's
// start decided who owns. On three fleets this fault lowered the score from 0.725 to 0.427,
// from 0.747 to 0.386 and from 0.681 to 0.388; a killed owner cost nothing.
func TestASlowOwnerHandsOver(t *testing.T) {
	const lasts = 8 * time.Second
	for _, c := range []struct {
		name    string
		slow    func(d *deployment, o *jobfleet.Daemon)
		changes int
	}{
		{"five times", func(_ *deployment, o *jobfleet.Daemon) { o.Gate.ReportSlow(5, lasts) }, 1},
		{"three times", func(_ *deployment, o *jobfleet.Daemon) { o.Gate.ReportSlow(3, lasts) }, 1},
		{"twice", func(_ *deployment, o *jobfleet.Daemon) { o.Gate.ReportSlow(2, lasts) }, 0},
		{"for 250 ms", func(_ *deployment, o *jobfleet.Daemon) { o.Gate.ReportSlow(5, 250*time.Millisecond) }, 0},
		{"others", func(d *deployment, o *jobfleet.Daemon) { d.reportAllSlow(5, lasts); o.Gate.ReportSlow(1, lasts) }, 0},
		{"while the store is away", func(d *deployment, o *jobfleet.Daemon) {
			failStoreFor(d, jobfleet.Refused, 1300*time.Millisecond) // less than is left of its lease
			time.Sleep(500 * time.Millisecond)                       // until the daemons notice the outage
			o.Gate.ReportSlow(5, 700*time.Millisecond)
		}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			simulate(t, func(d *deployment) {
				lasting := longRunningJob(100)
				d.submit(ordersPrefix, lasting)
				d.submitBatchJobs(0, 4)
				time.Sleep(12 * time.Second) // until the member list is read and the usual speed is known
				o := d.in.Owner()
				require.NotNil(t, o)
				c.slow(d, o)
				owners := d.observeOwners(lasts + 4*time.Second)
				assert.Len(t, owners, 1+c.changes, "%v", owners)
				d.submitBatchJobs(4, 4)
				d.awaitCompletion(20 * time.Second)
				d.checkAllRunning(lasting)
			})
		})
	}
}

// TestAllDaemonsSlow: the owner may hand over once, before it knows that the others are slow
// too; the lock does not change hands more often.
func TestAllDaemonsSlow(t *testing.T) {
	simulate(t, func(d *deployment) {
		d.submitBatchJobs(0, 4)
		time.Sleep(12 * time.Second)
		d.reportAllSlow(5, 20*time.Second)
		owners := d.observeOwners(20 * time.Second)
		assert.LessOrEqual(t, len(owners), 2, "%v", owners)
		d.submitBatchJobs(4, 4)
		d.awaitCompletion(20 * time.Second)
	})
}
