package jobmatrix

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/standin/jobfleet"
)

// pendingCount asks a daemon how many jobs of the orders wait; ok is false if it gives
// no count.
func pendingCount(d *jobfleet.Daemon) (n int, ok bool) {
	r := httptest.NewRequest(http.MethodGet, ordersPrefix, nil)
	r.Host = "jobs.example"
	w := httptest.NewRecorder()
	d.Node.CallerHandler().ServeHTTP(w, r)
	var out struct{ Pending int }
	ok = w.Code == http.StatusOK && json.Unmarshal(w.Body.Bytes(), &out) == nil
	return out.Pending, ok
}

// TestACutOffOwnerGivesNoCount: while it does not know that another daemon is the
// owner, it is not told of new jobs.
func TestACutOffOwnerGivesNoCount(t *testing.T) {
	simulate(t, func(d *deployment) {
		old := d.in.Owner()
		require.NotNil(t, old)
		old.Gate.CutStoreAndPeers(40 * time.Second)
		time.Sleep(3500 * time.Millisecond)
		const jobs = 6
		for i := range jobs {
			j := batchJob(i)
			j.Steps[0].Need.CPUMilli = 9000 // no worker has so much
			d.submit(ordersPrefix, j)
		}
		time.Sleep(5 * time.Second)
		for _, dm := range d.in.Daemons() {
			n, ok := pendingCount(dm)
			if dm.Name == old.Name {
				assert.False(t, ok, "the cut off owner says that %d wait", n)
				continue
			}
			assert.True(t, ok, dm.Name)
			assert.Equal(t, jobs, n, dm.Name)
		}
	})
}
