package jobmatrix

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/postmount/postmount/standin/jobfleet"
)

// Bounds of the users' platform.
const (
	configureBound = 2 * time.Second
	settleTime     = 3 * time.Second // after a disturbance
)

// versions watches which configuration each life of a daemon has in force.
type versionTracker struct {
	d      *deployment
	newest map[*jobfleet.Daemon]int64
}

// look checks that no daemon went back.
func (v *versionTracker) check() {
	for _, dm := range v.d.in.Daemons() {
		c := dm.Node.Catalog()
		if c == nil {
			continue
		}
		assert.GreaterOrEqual(v.d.t, c.Version, v.newest[dm], "%s went back", dm.Name)
		v.newest[dm] = c.Version
	}
}

// pass lets time pass and looks.
func (v *versionTracker) checkFor(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		v.check()
	}
}

// inForce checks that every daemon has the version.
func (v *versionTracker) checkInForce(version int64) {
	for _, dm := range v.d.in.Daemons() {
		c := dm.Node.Catalog()
		if assert.NotNil(v.d.t, c, "%s has no configuration", dm.Name) {
			assert.Equal(v.d.t, version, c.Version, dm.Name)
		}
	}
}

// TestConfigurationIsInForceInTime: within its bound on every daemon that was
// left alone for a while, whatever came before, and never back.
func TestConfigurationIsInForceInTime(t *testing.T) {
	for _, c := range []struct {
		name    string
		disturb func(d *deployment)
		lasts   time.Duration
	}{
		{"calm", func(*deployment) {}, 0},
		{"a storm of versions", func(d *deployment) {
			for v := int64(2); v < 8; v++ {
				d.in.Configure(catalog(v))
				time.Sleep(30 * time.Millisecond)
			}
		}, 0},
		{"the owner is killed", func(d *deployment) { d.in.Kill(d.in.Owner().Name) }, 0},
		{"a daemon is cut off", func(d *deployment) { gateOf(d, "d2").CutStoreAndPeers(2 * time.Second) }, 2 * time.Second},
		{"the store turns a daemon away", func(d *deployment) { gateOf(d, "d2").CutStoreOnly(2 * time.Second) }, 2 * time.Second},
		{"the store is silent", func(d *deployment) { failStoreFor(d, jobfleet.RequestLost, 2*time.Second) }, 2 * time.Second},
		{"the store forgets its history", func(d *deployment) { d.in.Store.CompactHistory() }, 0},
		{"all connections go silent", dropFirstCalls, 0},
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
				v.checkFor(c.lasts + settleTime - configureBound)
				d.in.Configure(catalog(10))
				v.checkFor(configureBound)
				v.checkInForce(10)
				d.in.Configure(catalog(9)) // an older one must change nothing
				v.checkFor(time.Second)
				v.checkInForce(10)
			})
		})
	}
}
