// Package cluster connects an entry daemon to its peers: it registers the daemon,
// exchanges heartbeats, changes the view through the store, copies records between
// peers and owns claims on idempotency keys.
//
// The membership state belongs to one goroutine, the control goroutine (see Node.loop),
// which publishes the serving status for the others.
package cluster

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/requests/idempotency"
	"github.com/postmount/postmount/requests/member"
	"github.com/postmount/postmount/requests/mirror"
	"github.com/postmount/postmount/requests/port"
	"github.com/postmount/postmount/requests/record"
)

// Options configure a Node.
type Options struct {
	Self        fleet.Entry
	Seeds       []string      // peer addresses to contact while no view is known
	Heartbeat   time.Duration // between heartbeats to each peer
	LeaseTTL    time.Duration // of the registration
	Grace       time.Duration // silence after which an unregistered member is removed
	Member      member.Options
	Idempotency idempotency.Options
}

// SlotShares manages the daemon's shares of the workers' slots, which depend on the
// view. entry.Dispatcher implements it.
type SlotShares interface {
	SetView(v *fleet.View)
	ActivateShares(now time.Time, retired bool)
	SelfSettled() bool
	PeerSettled(peer fleet.Incarnation, e fleet.Epoch)
	OnBorrow(r port.BorrowRequest) port.BorrowReply
	OnReturn(ids []LoanID)
}

// Deps are the dependencies of a Node.
type Deps struct {
	Store      port.Store
	Peers      port.Peers
	Mirror     *mirror.Mirror
	Shares     SlotShares
	Log        *zap.Logger
	JitterSeed uint64 // of the jitter
	// Connected reports whether the store's watch is alive.
	Connected func() bool
	// Burn returns this daemon's request counts against its objectives.
	Burn func() port.BurnCounts
	// Instances returns the newest instance list. SeedInstances uses a peer's list,
	// for a daemon that starts while the platform is unavailable.
	Instances     func() []fleet.Instance
	SeedInstances func([]fleet.Instance)
}

// Node is one member of the cluster. Create it with New and start it with Run.
type Node struct {
	opts   Options
	deps   Deps
	writer *record.Writer
	Claims *Claims

	loopCalls     chan func(now time.Time) // functions to run on the control goroutine
	servingStatus atomic.Pointer[member.ServingStatus]
	progress      atomic.Pointer[MemberProgress]
	heartbeatNow  chan struct{} // requests heartbeats to all peers now
	done          chan struct{}
	wg            sync.WaitGroup

	// The fields below belong to the control goroutine.
	rand           *rand.Rand
	tracker        *member.Tracker
	peers          map[fleet.Incarnation]*peerState
	missingSince   map[fleet.Incarnation]time.Time // see member.Observations
	ended          map[fleet.Incarnation]bool      // daemons that the platform knows to have ended
	stopping       bool                            // Leave has been called
	proposing      bool                            // a new view is being written to the store
	fetching       bool                            // records are being fetched from a peer
	nextProposalAt time.Time                       // earliest time of the next proposal
	lastReason     string                          // ServingStatus.Reason last logged
}

// peerState is what the control goroutine knows about one peer.
type peerState struct {
	heardAt          time.Time      // of its last heartbeat or reply
	revision         fleet.Revision // up to which it has applied the records
	stopping         bool           // it is leaving the view
	heartbeatPending bool           // a heartbeat to it is in progress
}

// MemberProgress says up to which revision the members of the view have applied the
// records, and when they were last heard from.
type MemberProgress struct {
	View     *fleet.View
	Revision map[fleet.Incarnation]fleet.Revision
	HeardAt  map[fleet.Incarnation]time.Time
	// Stopping holds the members that are leaving.
	Stopping map[fleet.Incarnation]bool
}

// New returns a node that has not started.
func New(opts Options, deps Deps) *Node {
	n := &Node{
		opts:         opts,
		deps:         deps,
		writer:       record.NewWriter(deps.Store),
		loopCalls:    make(chan func(time.Time)),
		heartbeatNow: make(chan struct{}, 1),
		done:         make(chan struct{}),
		rand:         rand.New(rand.NewPCG(deps.JitterSeed, 1)),
		tracker:      member.New(opts.Self.Incarnation, opts.Member),
		peers:        map[fleet.Incarnation]*peerState{},
		missingSince: map[fleet.Incarnation]time.Time{},
		ended:        map[fleet.Incarnation]bool{},
	}
	n.servingStatus.Store(&member.ServingStatus{Reason: member.ReasonNoView})
	n.progress.Store(&MemberProgress{View: &fleet.View{}})
	n.Claims = newClaims(n)
	return n
}

// Self returns the daemon's own entry.
func (n *Node) Self() fleet.Entry { return n.opts.Self }

// ServingStatus returns the newest status. Its methods compare it with the time.
func (n *Node) ServingStatus() member.ServingStatus { return *n.servingStatus.Load() }

// View returns the view in force at this daemon.
func (n *Node) View() *fleet.View { return n.progress.Load().View }

// Progress returns the newest progress of the members.
func (n *Node) Progress() *MemberProgress { return n.progress.Load() }

// Run takes part in the cluster until ctx ends.
func (n *Node) Run(ctx context.Context) {
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		n.registerLoop(ctx)
	}()
	n.loop(ctx)
	close(n.done)
	n.wg.Wait()
	n.Claims.wait()
}

// loop is the control goroutine. It adopts views, sends heartbeats, proposes views and
// runs the functions that runOnLoop and postToLoop pass to it, until ctx ends.
func (n *Node) loop(ctx context.Context) {
	tick := time.NewTicker(n.opts.Heartbeat)
	defer tick.Stop()
	for {
		changed := n.deps.Mirror.Changed()
		n.adoptNewestView(ctx, time.Now())
		select {
		case <-ctx.Done():
			return
		case fn := <-n.loopCalls:
			fn(time.Now())
		case <-changed:
		case <-n.heartbeatNow:
			n.sendHeartbeats(ctx, time.Now())
		case <-tick.C:
			n.sendHeartbeats(ctx, time.Now())
			n.proposeView(ctx, time.Now())
			n.Claims.tick(time.Now())
		}
		n.publish(time.Now())
	}
}

// runOnLoop runs fn on the control goroutine and waits for it. It reports false if
// the node has stopped.
func (n *Node) runOnLoop(fn func(now time.Time)) bool {
	finished := make(chan struct{})
	wrapped := func(now time.Time) {
		fn(now)
		close(finished)
	}
	select {
	case n.loopCalls <- wrapped:
		<-finished
		return true
	case <-n.done:
		return false
	}
}

// postToLoop runs fn on the control goroutine without waiting for it to finish. It
// is called from the node's own goroutines.
func (n *Node) postToLoop(fn func(now time.Time)) {
	select {
	case n.loopCalls <- fn:
	case <-n.done:
	}
}

// background runs fn on a goroutine that Run waits for.
func (n *Node) background(fn func()) {
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		fn()
	}()
}

// RequestHeartbeats triggers heartbeats to all peers now, so that they learn of a
// change.
func (n *Node) RequestHeartbeats() {
	select {
	case n.heartbeatNow <- struct{}{}:
	default:
	}
}

// adoptNewestView makes the mirror's newest view the current one.
func (n *Node) adoptNewestView(ctx context.Context, now time.Time) {
	v := n.deps.Mirror.State().View.Value
	if !n.tracker.Adopt(now, v) {
		return
	}
	// The status under the old view is replaced before anything acts on the new one.
	n.publish(now)
	n.deps.Log.Info("view adopted", zap.Int64("epoch", int64(v.Epoch)), zap.Int("members", len(v.Members)))
	n.deps.Shares.SetView(v)
	n.Claims.setView(ctx, v)
	n.sendHeartbeats(ctx, now)
}

// publish makes the serving status and the members' progress visible to other
// goroutines.
func (n *Node) publish(now time.Time) {
	s := n.tracker.ServingStatus(now)
	n.servingStatus.Store(&s)
	n.deps.Shares.ActivateShares(now, s.EarlierViewsRetired)
	if s.Reason != n.lastReason {
		n.lastReason = s.Reason
		n.deps.Log.Info("serving status changed", zap.Int64("epoch", int64(s.Epoch)), zap.String("reason", s.Reason))
	}
	p := &MemberProgress{
		View:     n.tracker.View().Clone(),
		Revision: map[fleet.Incarnation]fleet.Revision{n.opts.Self.Incarnation: n.deps.Mirror.State().Revision},
		HeardAt:  map[fleet.Incarnation]time.Time{n.opts.Self.Incarnation: now},
		Stopping: map[fleet.Incarnation]bool{n.opts.Self.Incarnation: n.stopping},
	}
	for i, peer := range n.peers {
		p.Revision[i] = peer.revision
		p.HeardAt[i] = peer.heardAt
		p.Stopping[i] = peer.stopping
	}
	n.progress.Store(p)
}

// liveHeartbeats is the number of heartbeat intervals for which a silent member
// still counts as live.
const liveHeartbeats = 5

// LiveMembers lists the members of the view that answered recently, and this daemon
// if it is a member.
func (n *Node) LiveMembers() []fleet.Incarnation {
	p := n.Progress()
	now := time.Now()
	var out []fleet.Incarnation
	for _, m := range p.View.Members {
		self := m.Incarnation == n.opts.Self.Incarnation
		if self || now.Sub(p.HeardAt[m.Incarnation]) < liveHeartbeats*n.opts.Heartbeat {
			out = append(out, m.Incarnation)
		}
	}
	return out
}

// MarkEnded records the daemons that have ended according to the platform.
func (n *Node) MarkEnded(incarnations []fleet.Incarnation) {
	if len(incarnations) == 0 {
		return
	}
	n.runOnLoop(func(now time.Time) {
		for _, i := range incarnations {
			n.ended[i] = true
			n.tracker.MarkEnded(now, i)
		}
	})
}

// WaitInForce waits until every member of the view has applied revision rev. If ctx
// ends before, it returns the members that have not.
func (n *Node) WaitInForce(ctx context.Context, rev fleet.Revision) []fleet.EntryID {
	const poll = 20 * time.Millisecond
	t := time.NewTicker(poll)
	defer t.Stop()
	for {
		n.RequestHeartbeats()
		behind := n.membersBehind(rev)
		if len(behind) == 0 {
			return nil
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return behind
		}
	}
}

// membersBehind lists the members of the view that have not applied revision rev. It
// includes members that have been silent for the grace time and are about to be
// removed.
func (n *Node) membersBehind(rev fleet.Revision) []fleet.EntryID {
	p := n.Progress()
	var out []fleet.EntryID
	for _, m := range p.View.Members {
		have := p.Revision[m.Incarnation]
		if m.Incarnation == n.opts.Self.Incarnation {
			have = n.deps.Mirror.State().Revision
		}
		if have < rev {
			out = append(out, m.ID)
		}
	}
	return out
}
