package cluster

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/postmount/postmount/internal/sleep"
	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/requests/idempotency"
	"github.com/postmount/postmount/verdict"
)

// Claims connects the claims table to the peers: it answers their requests as an
// owner of keys, requests claims from other owners, and reports the outcome of
// this daemon's attempts to them.
type Claims struct {
	node *Node

	mu    sync.Mutex
	table *idempotency.Table
	// attempts holds this daemon's own attempts until the owner of the key has
	// recorded how they ended.
	attempts map[idempotency.AttemptID]*localAttempt

	// background counts the goroutines that send to other daemons. None is started
	// once closed is set, so that wait returns.
	background       sync.WaitGroup
	closed           bool
	pendingTransfers int // transfers in progress
}

// localAttempt is one attempt of this daemon.
type localAttempt struct {
	claim idempotency.Claim
	// granted is true if the owner granted the attempt. Only then may the attempt
	// be reported to a new owner, because a report is recorded without the checks
	// that a request for a claim has to pass.
	granted bool
}

func newClaims(n *Node) *Claims {
	return &Claims{
		node:     n,
		table:    idempotency.NewTable(n.opts.Self.Incarnation, n.opts.Idempotency),
		attempts: map[idempotency.AttemptID]*localAttempt{},
	}
}

// setView transfers the partitions that this daemon no longer owns, and reports its
// running attempts to the new owners in case the old owner's table is lost. It
// reports once only, because the end of each attempt is reported later.
func (c *Claims) setView(ctx context.Context, v *fleet.View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, tr := range c.table.SetView(time.Now(), v) {
		c.pendingTransfers++
		c.startLocked(func() { c.sendTransfer(ctx, tr) })
	}
	for _, a := range c.attempts {
		if a.granted && a.claim.Status == idempotency.Running {
			cl := a.claim
			c.startLocked(func() { _ = c.reportAttempt(ctx, cl) })
		}
	}
}

// startLocked runs fn on a goroutine that wait waits for, or not at all once closed is
// set. c.mu must be held.
func (c *Claims) startLocked(fn func()) {
	if c.closed {
		return
	}
	c.background.Add(1)
	go func() {
		defer c.background.Done()
		fn()
	}()
}

// Timing of retried requests to the owner of a key or partition.
const (
	minRetryPause = 25 * time.Millisecond
	// deliveryTimeout is how long a report of an ended attempt or a transfer is retried.
	deliveryTimeout = 30 * time.Second
	// maxRetryPause limits the pause between retries that no caller waits for: reports
	// of ended attempts and transfers of partitions. If the owner is lost, it takes
	// seconds until a view without it is in force.
	maxRetryPause = 400 * time.Millisecond
)

// backoff computes exponentially growing pauses with jitter: each is twice the one
// before, less a random part of up to half. Hundreds of reports may wait for one
// owner; when all were retried together every 25 ms, they took a fifth of a CPU core.
type backoff struct{ last time.Duration }

func (b *backoff) next() time.Duration {
	b.last = min(maxRetryPause, max(minRetryPause, 2*b.last))
	return b.last - rand.N(b.last/2)
}

// sendTransfer hands a partition over to its new owner, with retries for up to
// deliveryTimeout.
func (c *Claims) sendTransfer(ctx context.Context, tr idempotency.Transfer) {
	defer func() {
		c.mu.Lock()
		c.pendingTransfers--
		c.mu.Unlock()
	}()
	deadline := time.Now().Add(deliveryTimeout)
	var pause backoff
	for ctx.Err() == nil && time.Now().Before(deadline) {
		if c.tryTransfer(ctx, tr) {
			return
		}
		sleep.For(ctx, pause.next())
	}
	c.node.deps.Log.Warn("claims not transferred to their new owner", zap.Int("partition", int(tr.Partition)), zap.Int("claims", len(tr.Claims)))
}

// tryTransfer sends a partition to its owner under the newest view.
func (c *Claims) tryTransfer(ctx context.Context, tr idempotency.Transfer) bool {
	v := c.node.View()
	if v.Epoch < tr.Epoch {
		return false
	}
	owner := v.Member(idempotency.Owner(v, tr.Partition))
	if owner == nil {
		return false
	}
	tr.To = owner.Incarnation
	if owner.Incarnation == c.node.opts.Self.Incarnation {
		return c.OnTransfer(tr)
	}
	accepted, err := c.node.deps.Peers.Transfer(ctx, owner.PeerAddr, tr)
	return err == nil && accepted
}

// idle reports whether no transfer is in progress and the owners have recorded the
// ends of all attempts.
func (c *Claims) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pendingTransfers == 0 && len(c.attempts) == 0
}

// wait starts no more background goroutines and waits for the running ones.
func (c *Claims) wait() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.background.Wait()
}

// tick is called by the control goroutine at every heartbeat interval.
func (c *Claims) tick(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.node.ServingStatus().Serving(now) {
		c.table.StartServing(now)
	}
	c.table.Tick(now)
}

// Size returns the number of claims held and the bytes of retained answers.
func (c *Claims) Size() (claims, answerBytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Size()
}

// OnClaim answers a peer, or this daemon, as the owner of a key.
func (c *Claims) OnClaim(r idempotency.Request) idempotency.Reply {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	s := c.node.ServingStatus()
	return c.table.Claim(now, idempotency.ViewStatus{Confirmed: s.HasQuorum(now) && s.Epoch == r.Epoch, Retired: s.EarlierViewsRetired}, r)
}

// RecordAttempt records the state of a peer's attempt.
func (c *Claims) RecordAttempt(report idempotency.Claim) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.RecordAttempt(report)
}

// OnTransfer receives a partition from its old owner.
func (c *Claims) OnTransfer(t idempotency.Transfer) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Receive(t)
}

// OnClaim implements port.PeerServer.
func (n *Node) OnClaim(r idempotency.Request) idempotency.Reply { return n.Claims.OnClaim(r) }

// OnAttemptReport implements port.PeerServer.
func (n *Node) OnAttemptReport(cl idempotency.Claim) bool { return n.Claims.RecordAttempt(cl) }

// OnTransfer implements port.PeerServer.
func (n *Node) OnTransfer(t idempotency.Transfer) bool { return n.Claims.OnTransfer(t) }

// CodeKeyOwnerUnavailable is the code of a request whose key's owner cannot grant a
// claim now, because it is unreachable or not ready.
const CodeKeyOwnerUnavailable verdict.Code = "key-owner-unavailable"

// claimTimeout limits how long a claim is requested. A planned view change takes much
// less, and a caller must not wait for an owner that is down.
const claimTimeout = 400 * time.Millisecond

// unreachableHeartbeats is the number of heartbeat intervals of silence after which
// an owner counts as unreachable.
const unreachableHeartbeats = 4

// Reachable reports whether the owner of a key answered recently. Otherwise the
// request is refused before it takes up a slot.
func (c *Claims) Reachable(key idempotency.Key) bool {
	p := c.node.Progress()
	owner := idempotency.Owner(p.View, key.Partition())
	if owner == "" || owner == c.node.opts.Self.Incarnation {
		return owner != ""
	}
	heard, known := p.HeardAt[owner]
	return !known || time.Since(heard) < unreachableHeartbeats*c.node.opts.Heartbeat
}

// RequestClaim requests a claim from the owner of a key, and retries for up to
// claimTimeout until the owner decides. If the result is Granted, the caller must
// end the returned attempt with EndAttempt. An error has verdict NotRun: the attempt
// must not run.
func (c *Claims) RequestClaim(ctx context.Context, key idempotency.Key, fp idempotency.Fingerprint) (idempotency.AttemptID, idempotency.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	attempt := idempotency.AttemptID(uuid.NewString())
	cl := idempotency.Claim{Key: key, Fingerprint: fp, Attempt: attempt, Claimer: c.node.opts.Self.Incarnation}
	c.mu.Lock()
	c.attempts[attempt] = &localAttempt{claim: cl}
	c.mu.Unlock()
	uncertain := false
	for {
		asked := c.node.View()
		reply, mayBeGranted := c.requestClaimOnce(ctx, asked, cl)
		uncertain = uncertain || mayBeGranted
		if reply.Result == idempotency.Granted && c.node.View().Epoch != asked.Epoch {
			// The view changed during the request, so the claim is requested again:
			// the owner may have been paused before it answered and may no longer own
			// the key.
			uncertain = true
			continue
		}
		switch reply.Result {
		case idempotency.Granted:
			c.markGranted(attempt)
			return attempt, reply, nil
		case idempotency.NotOwner, idempotency.NotReady:
		default:
			c.abandon(attempt, uncertain)
			return "", reply, nil
		}
		if !sleep.For(ctx, minRetryPause) {
			c.abandon(attempt, uncertain)
			return "", idempotency.Reply{}, verdict.New(verdict.NotRun, CodeKeyOwnerUnavailable, "the entry daemon that owns this idempotency key can't decide on it now")
		}
	}
}

// markGranted records that the owner granted the attempt.
func (c *Claims) markGranted(attempt idempotency.AttemptID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a := c.attempts[attempt]; a != nil {
		a.granted = true
	}
}

// abandon gives up an attempt that was not granted. If the owner may have granted it in
// a reply that was lost, it is told that the attempt never ran.
func (c *Claims) abandon(attempt idempotency.AttemptID, uncertain bool) {
	if uncertain {
		c.EndAttempt(attempt, idempotency.Abandoned, nil)
		return
	}
	c.mu.Lock()
	delete(c.attempts, attempt)
	c.mu.Unlock()
}

// requestClaimOnce sends one request to the owner under view v. mayBeGranted is true if the
// owner may have granted the claim although its reply did not arrive.
func (c *Claims) requestClaimOnce(ctx context.Context, v *fleet.View, cl idempotency.Claim) (reply idempotency.Reply, mayBeGranted bool) {
	r := idempotency.Request{Epoch: v.Epoch, Key: cl.Key, Fingerprint: cl.Fingerprint, Attempt: cl.Attempt, Claimer: cl.Claimer}
	owner := v.Member(idempotency.Owner(v, cl.Key.Partition()))
	if owner == nil {
		return idempotency.Reply{}, false
	}
	if owner.Incarnation == c.node.opts.Self.Incarnation {
		return c.OnClaim(r), false
	}
	reply, err := c.node.deps.Peers.Claim(ctx, owner.PeerAddr, r)
	if err != nil {
		return idempotency.Reply{}, verdict.Of(err) != verdict.NotRun
	}
	return reply, false
}

// EndAttempt records how an attempt ended and reports it to the key's owner. If this
// daemon owns the key, the end is recorded before EndAttempt returns, so that a daemon
// that leaves the view right after its last request hands over a claim that has ended.
// Otherwise it is reported in the background, with retries until the owner has recorded
// it, for up to deliveryTimeout.
func (c *Claims) EndAttempt(attempt idempotency.AttemptID, status idempotency.Status, answer *idempotency.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.attempts[attempt]
	if a == nil {
		return
	}
	a.claim.Status = status
	a.claim.Answer = answer
	if c.table.RecordAttempt(a.claim) {
		delete(c.attempts, attempt)
		return
	}
	cl := a.claim
	c.startLocked(func() { c.reportEnd(cl) })
}

// reportEnd reports an ended attempt to the owner of its key until the owner has
// recorded it, deliveryTimeout has passed or the node has stopped.
func (c *Claims) reportEnd(cl idempotency.Claim) {
	ctx, cancel := context.WithTimeout(context.Background(), deliveryTimeout)
	defer cancel()
	var pause backoff
	for !c.reportAttempt(ctx, cl) {
		if c.node.stopped() || !sleep.For(ctx, pause.next()) {
			break
		}
	}
	c.mu.Lock()
	delete(c.attempts, cl.Attempt)
	c.mu.Unlock()
}

// stopped reports whether the control goroutine has ended.
func (n *Node) stopped() bool {
	select {
	case <-n.done:
		return true
	default:
		return false
	}
}

// reportAttempt sends the state of an attempt to the owner of its key once.
func (c *Claims) reportAttempt(ctx context.Context, cl idempotency.Claim) bool {
	v := c.node.View()
	owner := v.Member(idempotency.Owner(v, cl.Key.Partition()))
	if owner == nil {
		return false
	}
	if owner.Incarnation == c.node.opts.Self.Incarnation {
		return c.RecordAttempt(cl)
	}
	recorded, err := c.node.deps.Peers.ReportAttempt(ctx, owner.PeerAddr, cl)
	return err == nil && recorded
}
