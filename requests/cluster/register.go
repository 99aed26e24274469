package cluster

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/requests/port"
	"github.com/postmount/postmount/requests/record"
)

// registerLoop keeps the daemon registered in the store under a lease. An expired
// lease is detected at the next renewal and replaced.
func (n *Node) registerLoop(ctx context.Context) {
	var lease port.LeaseID
	rnd := rand.New(rand.NewPCG(n.deps.JitterSeed, 2))
	for ctx.Err() == nil {
		lease = n.renewRegistration(ctx, lease)
		pause := n.opts.LeaseTTL / 3
		if lease == 0 {
			pause = n.opts.LeaseTTL/10 + time.Duration(rnd.Int64N(int64(n.opts.LeaseTTL/5)))
		}
		t := time.NewTimer(pause)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
		}
	}
}

// renewRegistration renews the lease of the registration, or registers again if there is
// none or it has expired. It returns the current lease, 0 if there is none.
func (n *Node) renewRegistration(ctx context.Context, lease port.LeaseID) port.LeaseID {
	if n.revokeIfStopping(ctx, lease) {
		return lease
	}
	if lease != 0 {
		alive, err := n.deps.Store.KeepAlive(ctx, lease)
		if err != nil || alive {
			return lease
		}
		n.deps.Log.Info("lease of the registration expired, registering again")
	}
	lease, err := n.deps.Store.GrantLease(ctx, n.opts.LeaseTTL)
	if err != nil {
		return 0
	}
	if !n.register(ctx, lease) {
		return 0
	}
	return lease
}

// revokeIfStopping revokes the lease if the daemon is leaving. It reports whether the
// daemon is leaving.
func (n *Node) revokeIfStopping(ctx context.Context, lease port.LeaseID) bool {
	stopping := false
	if !n.runOnLoop(func(time.Time) { stopping = n.stopping }) || !stopping {
		return stopping
	}
	if lease != 0 {
		_ = n.deps.Store.RevokeLease(ctx, lease)
	}
	return true
}

// register writes the registration under the lease. It returns false if that failed.
func (n *Node) register(ctx context.Context, lease port.LeaseID) bool {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	key := record.EntryKey(n.opts.Self.ID)
	base := fleet.Versioned[fleet.Entry]{}
	kv, found, err := n.deps.Store.Get(ctx, key)
	if err != nil {
		return false
	}
	if found {
		// A record that cannot be decoded is replaced too.
		if base, err = record.Decode[fleet.Entry](kv); err != nil {
			base = fleet.Versioned[fleet.Entry]{Revision: kv.Revision}
		}
	}
	self := n.opts.Self
	w, err := record.Write(ctx, n.writer, key, base, &self, lease)
	if err != nil {
		n.deps.Log.Info("registration not written", zap.Error(err))
		return false
	}
	n.deps.Mirror.Apply([]port.Event{{KV: w.KV}}, 0)
	return true
}

// Leave removes the daemon from the view. The daemon must have no requests in
// flight. Leave returns once the current view here is one without the daemon and
// its claims are transferred, or when ctx ends.
func (n *Node) Leave(ctx context.Context) error {
	if !n.runOnLoop(func(time.Time) { n.stopping = true }) {
		return context.Canceled
	}
	t := time.NewTicker(n.opts.Heartbeat / 4)
	defer t.Stop()
	for {
		if n.hasLeft() && n.Claims.idle() {
			return nil
		}
		n.runOnLoop(func(now time.Time) { n.proposeView(ctx, now) })
		n.RequestHeartbeats()
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// hasLeft reports whether this daemon is not in the view, or every member is leaving,
// so that no daemon remains to transfer claims to.
func (n *Node) hasLeft() bool {
	p := n.Progress()
	if p.View.Member(n.opts.Self.Incarnation) == nil {
		return true
	}
	for _, m := range p.View.Members {
		if !p.Stopping[m.Incarnation] {
			return false
		}
	}
	return true
}
