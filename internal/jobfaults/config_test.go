package jobfaults

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

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
