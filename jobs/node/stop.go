package node

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/postmount/postmount/jobs/ledger"
)

// HandOver prepares a planned stop: the daemon no longer takes part in elections, closes callers'
// connections after the next response, and releases the owner's lock so that another one can be
// elected immediately.
func (n *Node) HandOver() {
	n.stopping.Store(true)
	n.gateway.DisableKeepAlives()
	if t := n.term.Load(); t != nil && !t.handOver() && !n.store.Unavailable() {
		n.revokeLease() // the store removes the lock with it
	}
}

// stop hands over, waits until the load balancer has removed this daemon, and finishes the
// requests in flight. Requests that take too long are cancelled early enough to send a response.
func (n *Node) stop(callers *http.Server, cancelRequests func()) {
	n.log.Info("stopping")
	end := n.clock.Now().Add(n.settings.StopGrace - exitReserve)
	n.HandOver()
	time.Sleep(min(balancerReactionTime, n.settings.StopGrace/2, time.Until(end)-answerReserve)) // less if the handover took long
	if err := shutdown(callers, time.Until(end)-answerReserve); err != nil {
		n.log.Warn("requests-cancelled", zap.Error(err))
		cancelRequests()
		if err := shutdown(callers, answerReserve); err != nil {
			n.log.Warn("requests-unanswered", zap.Error(err))
		}
	}
	n.revokeLease()
}

// shutdown closes the listener and waits for requests in flight, for up to d or answerReserve,
// whichever is longer.
func shutdown(s *http.Server, d time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), max(d, answerReserve))
	defer cancel()
	return s.Shutdown(ctx)
}

// revokeLease revokes this daemon's lease, so that its keys are removed immediately instead of at
// the lease's expiry.
func (n *Node) revokeLease() {
	id := ledger.LeaseID(n.lease.Load())
	if id == 0 {
		return
	}
	if t := n.term.Load(); t != nil && t.lease == id {
		t.ownership.releaseSent(n.uptimeNanos())
	}
	ctx, cancel := context.WithTimeout(context.Background(), revokeLeaseTimeout)
	defer cancel()
	if err := n.store.EndLease(ctx, id); err != nil {
		n.log.Warn("lease-revoke-failed", zap.Error(err))
		return
	}
	n.lease.Store(0)
}

// Timeouts of a planned stop.
const (
	// exitReserve is the part of StopGrace that is reserved for revoking the lease and exiting.
	exitReserve = 800 * time.Millisecond
	// answerReserve is reserved for the responses to requests that are cancelled.
	answerReserve = 200 * time.Millisecond
	// revokeLeaseTimeout bounds revoking the lease, which otherwise expires after two seconds.
	revokeLeaseTimeout = 300 * time.Millisecond
)
