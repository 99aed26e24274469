package node

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/postmount/postmount/jobs/ledger"
)

// HandOver makes the daemon ready to end: it takes no new duties, and another
// one can be the owner at once.
func (n *Node) HandOver() {
	n.stopping.Store(true)
	n.gateway.DisableKeepAlives()
	if t := n.term.Load(); t != nil && !t.handOver() && !n.store.Unavailable() {
		n.revokeLease() // the lock goes with it
	}
}

// stop hands over what this daemon owns, waits until the balancer has noticed, and
// finishes what is in flight. Requests that take too long get their final answer
// while there is time to send it.
func (n *Node) stop(callers *http.Server, cancelRequests func()) {
	n.log.Info("stopping")
	end := n.clock.Now().Add(n.settings.StopGrace - exitReserve)
	n.HandOver()
	time.Sleep(min(balancerReactionTime, n.settings.StopGrace/2))
	if err := shutdown(callers, time.Until(end)-answerReserve); err != nil {
		n.log.Warn("callers-cut-off", zap.Error(err))
		cancelRequests()
		if err := shutdown(callers, answerReserve); err != nil {
			n.log.Warn("callers-unanswered", zap.Error(err))
		}
	}
	n.revokeLease()
}

// shutdown takes no new connections and waits for requests under way, for some
// time at least.
func shutdown(s *http.Server, d time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), max(d, answerReserve))
	defer cancel()
	return s.Shutdown(ctx)
}

// revokeLease removes this daemon's keys, so that nobody waits for their end.
func (n *Node) revokeLease() {
	id := ledger.LeaseID(n.lease.Load())
	if id == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), revokeLeaseTimeout)
	defer cancel()
	if err := n.store.EndLease(ctx, id); err != nil {
		n.log.Warn("lease-not-ended", zap.Error(err))
		return
	}
	n.lease.Store(0)
}

const (
	// exitReserve of the grace is kept for the lease and the end of the process.
	exitReserve = 800 * time.Millisecond
	// answerReserve is kept for the answers of requests that are given up.
	answerReserve = 200 * time.Millisecond
	// revokeLeaseTimeout bounds the end of the lease: it ends by itself in two seconds.
	revokeLeaseTimeout = 300 * time.Millisecond
)
