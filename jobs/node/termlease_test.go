package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/ledger"
	"github.com/postmount/postmount/jobs/owner"
	"github.com/postmount/postmount/jobs/peer"
)

// fakeClock is the clock of an instance whose suspension a test sets.
type fakeClock struct{ suspended time.Duration }

func (c *fakeClock) Now() time.Time           { return time.Now() }
func (c *fakeClock) Suspended() time.Duration { return c.suspended }

// newTestTerm returns a daemon that holds lease 1, and its term under the given lease. The test
// must apply the events of the term itself.
func newTestTerm(t *testing.T, lease ledger.LeaseID) (*Node, *termRun) {
	n := &Node{settings: Settings{Node: "a"}, log: zap.NewNop(), clock: &fakeClock{}, startedAt: time.Now()}
	n.lease.Store(1)
	r := &termRun{n: n, term: &ledger.Term{Number: 1}, lease: lease, events: make(chan event, 1)}
	r.core = owner.New(owner.Options{Term: 1}, &job.Catalog{}, nil, time.Now())
	r.ctx, r.cancel = context.WithCancel(context.Background())
	t.Cleanup(r.cancel)
	n.term.Store(r)
	return n, r
}

// TestPendingRequiresTermLease guards against counts of a daemon that may no longer be the owner.
// Its lease may expire and a new one be granted before it learns that the store has removed its
// lock with the first lease. A lease may also expire while the query is queued, as in a suspended
// process. So the daemon must check for the lease of its term, before and after the query.
func TestPendingRequiresTermLease(t *testing.T) {
	for _, c := range []struct {
		name      string
		lease     ledger.LeaseID
		meanwhile func(n *Node)
		answered  bool
	}{
		{"the lease is held", 1, func(*Node) {}, true},
		{"the daemon holds another lease", 2, func(*Node) {}, false},
		{"the lease ends while the query is queued", 1, func(n *Node) { n.lease.Store(0) }, false},
		{"a release of the lock is sent while the query is queued", 1, func(n *Node) { n.term.Load().ownership.releaseSent(n.uptimeNanos()) }, false},
		{"the lease is not renewed in time while the query is queued", 1, func(n *Node) { n.leaseRenewedAt.Store(-int64(storeLease)) }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, r := newTestTerm(t, c.lease)
				var got peer.PendingReply
				go func() { got = r.pending("q") }()
				synctest.Wait()
				c.meanwhile(n)
				select {
				case e := <-r.events:
					e(r.core, time.Now())
				default:
				}
				synctest.Wait()
				assert.Equal(t, c.answered, got.Owner)
			})
		})
	}
}

// expiredLeaseStore is a store whose leases have expired.
type expiredLeaseStore struct{ ledger.Store }

func (expiredLeaseStore) KeepAlive(context.Context, ledger.LeaseID) (bool, error) { return false, nil }

// noRelays is a daemon without peers to relay its calls.
type noRelays struct{}

func (noRelays) Relay() ledger.Store      { return nil }
func (noRelays) RelayFailed(ledger.Store) {}

// TestTermEndsWithItsLease: the lock is gone with the lease, even if the watch of the lock has not
// reported it yet.
func TestTermEndsWithItsLease(t *testing.T) {
	n, r := newTestTerm(t, 1)
	n.store = ledger.NewFailover(expiredLeaseStore{}, noRelays{}, time.Now, func(error) {})
	n.renewLease(context.Background())
	assert.Error(t, r.ctx.Err())
}

// TestNoInstanceOrdersAfterARelease: the next owner knows of the orders that were sent before the
// release of the lock, and may send its own as soon as the release has taken effect.
func TestNoInstanceOrdersAfterARelease(t *testing.T) {
	n, r := newTestTerm(t, 1)
	assert.True(t, r.mayOrderInstances())
	r.ownership.releaseSent(n.uptimeNanos())
	assert.False(t, r.mayOrderInstances(), "the release may have taken effect")
	r.ownership.releaseNotRun()
	assert.True(t, r.mayOrderInstances())
}
