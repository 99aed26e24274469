package jobfaults

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/standin/jobfleet"
)

// Bounds that the platform sets.
const (
	configureBound = 2 * time.Second // from writing a configuration until all daemons use it
	settleTime     = 3 * time.Second // after a disturbance
)

// versionTracker records the newest configuration version seen in each daemon process.
type versionTracker struct {
	d      *deployment
	newest map[*jobfleet.Daemon]int64
}

// check fails the test if a daemon uses an older version than before.
func (v *versionTracker) check() {
	for _, dm := range v.d.in.Daemons() {
		c := dm.Node.Catalog()
		if c == nil {
			continue
		}
		assert.GreaterOrEqual(v.d.t, c.Version, v.newest[dm], "%s went back to an older configuration", dm.Name)
		v.newest[dm] = c.Version
	}
}

// checkFor calls check every 50 ms for d.
func (v *versionTracker) checkFor(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		v.check()
	}
}

// checkAllUse checks that every daemon uses the version.
func (v *versionTracker) checkAllUse(version int64) {
	for _, dm := range v.d.in.Daemons() {
		c := dm.Node.Catalog()
		if assert.NotNil(v.d.t, c, "%s has no configuration", dm.Name) {
			assert.Equal(v.d.t, version, c.Version, dm.Name)
		}
	}
}

// TestConfigurationTakesEffectInTime: settleTime after a disturbance, a new configuration is in
// use on every daemon within configureBound, and no daemon goes back to an older one.
func TestConfigurationTakesEffectInTime(t *testing.T) {
	for _, c := range []struct {
		name     string
		disturb  func(d *deployment)
		duration time.Duration // of the disturbance, after disturb has returned
	}{
		{"no disturbance", func(*deployment) {}, 0},
		{"many versions in quick succession", func(d *deployment) {
			for v := int64(2); v < 8; v++ {
				d.in.Configure(catalog(v))
				time.Sleep(30 * time.Millisecond)
			}
		}, 0},
		{"the owner is killed", func(d *deployment) { d.in.Kill(d.in.Owner().Name) }, 0},
		{"a daemon is cut off", func(d *deployment) { gateOf(d, "d2").CutStoreAndPeers(2 * time.Second) }, 2 * time.Second},
		{"a daemon is cut off from the store only", func(d *deployment) { gateOf(d, "d2").CutStoreOnly(2 * time.Second) }, 2 * time.Second},
		{"the store does not answer", func(d *deployment) { failStoreFor(d, jobfleet.RequestLost, 2*time.Second) }, 2 * time.Second},
		{"the store compacts its history", func(d *deployment) { d.in.Store.CompactHistory() }, 0},
		{"all connections stop delivering", dropFirstCalls, 0},
		{"all daemons are killed", func(d *deployment) {
			for _, n := range daemonNames {
				d.in.Kill(n)
				restartLater(d, n)
			}
		}, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			simulate(t, func(d *deployment) {
				v := &versionTracker{d, map[*jobfleet.Daemon]int64{}}
				c.disturb(d)
				v.checkFor(c.duration + settleTime - configureBound)
				d.in.Configure(catalog(10))
				v.checkFor(configureBound)
				v.checkAllUse(10)
				d.in.Configure(catalog(9)) // an older version must be ignored
				v.checkFor(time.Second)
				v.checkAllUse(10)
			})
		})
	}
}

// TestNewQueueIsNotRefusedWhileWatchesAreSilent guards against 404 for a queue that is there: watches that were cut without
// notice took longer to be repeated than a configuration may take to be in force.
func TestNewQueueIsNotRefusedWhileWatchesAreSilent(t *testing.T) {
	const prefix = "/added/"
	ask := func(dm *jobfleet.Daemon, path string) int {
		r := httptest.NewRequest(http.MethodGet, path, nil)
		r.Host = "jobs.example"
		w := httptest.NewRecorder()
		dm.Node.CallerHandler().ServeHTTP(w, r)
		return w.Code
	}
	simulate(t, func(d *deployment) {
		d.in.SetFailureFunc(func(_, op string) jobfleet.Failure {
			if op == "watch" {
				return jobfleet.RequestLost
			}
			return jobfleet.NoFailure
		})
		time.Sleep(3 * time.Second)
		c := catalog(2)
		c.Queues = append(c.Queues, job.Queue{Name: "added", Host: "jobs.example", Prefix: prefix, Service: "orders", Public: true})
		d.in.Configure(c)
		time.Sleep(configureBound)
		for _, dm := range d.in.Daemons() {
			assert.Equal(t, http.StatusOK, ask(dm, prefix), dm.Name)
			assert.Equal(t, http.StatusNotFound, ask(dm, "/never/"), dm.Name)
		}
		reads := d.in.Store.Calls("get")
		for range 100 {
			for _, dm := range d.in.Daemons() {
				assert.Equal(t, http.StatusNotFound, ask(dm, "/never/"), dm.Name)
			}
		}
		assert.LessOrEqual(t, d.in.Store.Calls("get")-reads, len(d.in.Daemons()), "reads for 100 requests to each daemon")

		failStoreFor(d, jobfleet.RequestLost, 20*time.Second)
		time.Sleep(4 * time.Second)
		for _, dm := range d.in.Daemons() {
			assert.Equal(t, http.StatusServiceUnavailable, ask(dm, "/never/"), "%s does not know", dm.Name)
			assert.NotEqual(t, http.StatusNotFound, ask(dm, prefix), dm.Name)
		}
		time.Sleep(20 * time.Second)
	})
}
