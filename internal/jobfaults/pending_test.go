package jobfaults

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

// pendingCount asks a daemon for the number of pending jobs in the orders queue; ok is false
// if it gives none.
func pendingCount(d *jobfleet.Daemon) (n int, ok bool) {
	r := httptest.NewRequest(http.MethodGet, ordersPrefix, nil)
	r.Host = "jobs.example"
	w := httptest.NewRecorder()
	d.Node.CallerHandler().ServeHTTP(w, r)
	var out struct{ Pending int }
	ok = w.Code == http.StatusOK && json.Unmarshal(w.Body.Bytes(), &out) == nil
	return out.Pending, ok
}

// TestACutOffOwnerGivesNoCount: an owner that has been replaced without noticing does not learn
// of new jobs, so its count would be too low.
func TestACutOffOwnerGivesNoCount(t *testing.T) {
	simulate(t, func(d *deployment) {
		old := d.in.Owner()
		require.NotNil(t, old)
		old.Gate.CutStoreAndPeers(40 * time.Second)
		time.Sleep(3500 * time.Millisecond)
		const jobs = 6
		for i := range jobs {
			j := batchJob(i)
			j.Steps[0].RequiredLabel = "none" // no worker has it
			d.submit(ordersPrefix, j)
		}
		time.Sleep(5 * time.Second)
		for _, dm := range d.in.Daemons() {
			n, ok := pendingCount(dm)
			if dm.Name == old.Name {
				assert.False(t, ok, "the owner that is cut off reports %d pending jobs", n)
				continue
			}
			assert.True(t, ok, dm.Name)
			assert.Equal(t, jobs, n, dm.Name)
		}
	})
}
