package requestfaults

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/standin/store"
	"github.com/postmount/postmount/verdict"
)

// replaceDaemon starts a new daemon and lets old leave the view.
func (in *installation) replaceDaemon(t *testing.T, old *daemon) *daemon {
	fresh := in.start()
	in.awaitView()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	require.NoError(t, old.node.Leave(ctx))
	old.mu.Lock()
	old.dead = true
	old.mu.Unlock()
	old.cancel()
	return fresh
}

// TestAllDaemonsReplacedOneByOne: after all daemons were replaced one by one, a resent
// request gets its first response and does not run again.
func TestAllDaemonsReplacedOneByOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := newInstallation(6)
		defer in.close()
		in.awaitView()
		key := in.newKey(in.daemons[3], 0)
		first := in.daemons[0].request(context.Background(), "first", key)
		require.Equal(t, verdict.Done, first.verdict)
		time.Sleep(50 * time.Millisecond)
		var last *daemon
		for i := range 6 {
			last = in.replaceDaemon(t, in.daemons[i])
		}
		time.Sleep(2 * time.Second)
		again := last.request(context.Background(), "again", key)
		assert.Equal(t, verdict.Done, again.verdict)
		assert.Equal(t, first.body, again.body)
		assert.Len(t, in.backend.sendsOf(key), 1)
	})
}

// TestAllDaemonsReplacedAtOnce kills all six daemons and starts six new ones at the same time:
// requests that may have run are not run again, and new keys are served once the old daemons
// are known to have ended.
func TestAllDaemonsReplacedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := newInstallation(6)
		defer in.close()
		in.awaitView()
		key := in.newKey(in.daemons[3], 0)
		require.Equal(t, verdict.Done, in.daemons[0].request(context.Background(), "first", key).verdict)
		for _, d := range append([]*daemon(nil), in.daemons...) {
			d.kill()
		}
		var fresh *daemon
		for range 6 {
			fresh = in.start()
		}
		time.Sleep(15 * time.Second)
		again := fresh.request(context.Background(), "again", key)
		assert.Equal(t, verdict.MayHaveRun, again.verdict)
		assert.Len(t, in.backend.sendsOf(key), 1)
		next := in.newKey(fresh, 0)
		assert.Equal(t, verdict.Done, fresh.request(context.Background(), "next", next).verdict)
	})
}

// TestRejoinAfterALongPartition: a daemon that is cut off for an hour refuses requests meanwhile
// and serves again afterwards.
func TestRejoinAfterALongPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := newInstallation(3)
		defer in.close()
		in.awaitView()
		cutOff := in.daemons[0]
		in.setIsolated(cutOff, true)
		time.Sleep(time.Hour)
		refused := cutOff.request(context.Background(), "refused", in.newKey(in.daemons[1], 0))
		assert.Equal(t, verdict.NotRun, refused.verdict)
		assert.Less(t, refused.latency, time.Second, "refusals are not delayed")
		in.setIsolated(cutOff, false)
		time.Sleep(5 * time.Second)
		assert.Equal(t, verdict.Done, cutOff.request(context.Background(), "served", in.newKey(in.daemons[1], 0)).verdict)
	})
}

// TestSlotLimitHoldsAcrossDaemons: all daemons together send more load than the workers' capacity,
// while daemons start and one is killed. None of the three workers gets more concurrent requests than
// its eight slots.
func TestSlotLimitHoldsAcrossDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := newInstallation(4)
		defer in.close()
		in.awaitView()
		var wg sync.WaitGroup
		stop := make(chan struct{})
		flood := func(d *daemon) {
			for range 20 {
				wg.Add(1)
				go func() {
					defer wg.Done()
					for {
						select {
						case <-stop:
							return
						default:
							d.request(context.Background(), "flood", uuid.Must(uuid.NewV7()).String())
							time.Sleep(5 * time.Millisecond)
						}
					}
				}()
			}
		}
		for _, d := range in.daemons {
			flood(d)
		}
		time.Sleep(2 * time.Second)
		flood(in.start())
		time.Sleep(3 * time.Second)
		in.daemons[0].kill()
		time.Sleep(3 * time.Second)
		flood(in.start())
		time.Sleep(15 * time.Second)
		close(stop)
		wg.Wait()
		assert.LessOrEqual(t, in.backend.maxInFlight, 8)
		assert.Equal(t, 8, in.backend.maxInFlight, "the load uses all slots of a worker")
	})
}

// TestStartInAStoreOutage: a daemon that starts while the store is unavailable gets the records
// from a seed peer, refuses requests, since no view can include it, and serves once the store is
// available again.
func TestStartInAStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := newInstallation(3)
		defer in.close()
		in.awaitView()
		known := in.daemons[0].mirror.State().Revision
		in.seedPeers, in.storeDown = []string{in.daemons[1].self.PeerAddr}, true
		for _, d := range in.daemons {
			d.store.SetFaults(store.Faults{Down: true})
		}
		fresh := in.start()
		time.Sleep(5 * time.Second)
		assert.Equal(t, known, fresh.mirror.State().Revision)
		assert.Equal(t, verdict.NotRun, fresh.request(context.Background(), "refused", uuid.Must(uuid.NewV7()).String()).verdict)
		for _, d := range in.daemons {
			d.store.SetFaults(store.Faults{})
		}
		time.Sleep(20 * time.Second)
		assert.Equal(t, verdict.Done, fresh.request(context.Background(), "served", uuid.Must(uuid.NewV7()).String()).verdict)
	})
}
