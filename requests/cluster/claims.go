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
	"github.com/postmount/postmount/requests/once"
	"github.com/postmount/postmount/verdict"
)

// Claims is the shell around the claims table: it answers peers as an owner,
// asks owners for claims, and tells them what became of each attempt.
type Claims struct {
	node *Node

	mu    sync.Mutex
	table *once.Table
	// open holds this daemon's own attempts until their owner has noted how
	// they ended.
	open map[once.Attempt]*openClaim

	// work counts the goroutines that tell others something. None is started
	// once closed is set, so that waiting for them ends.
	work    sync.WaitGroup
	closed  bool
	pending int // transfers under way
}

// openClaim is one attempt of this daemon.
type openClaim struct {
	claim once.Claim
	// granted tells that the owner granted the attempt. Only then may another
	// owner be told of it: a claim that was merely asked for must not get past
	// the new owner's checks.
	granted bool
}

func newClaims(n *Node) *Claims {
	return &Claims{
		node:  n,
		table: once.NewTable(n.opts.Self.Incarnation, n.opts.Once),
		open:  map[once.Attempt]*openClaim{},
	}
}

// setView hands over what this daemon no longer owns, and tells new owners of
// the attempts that are still open here, in case the old owner's table is lost.
// One try is enough: the note at an attempt's end follows anyhow.
func (c *Claims) setView(ctx context.Context, v *fleet.View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, tr := range c.table.SetView(time.Now(), v) {
		c.pending++
		c.startLocked(func() { c.sendTransfer(ctx, tr) })
	}
	for _, o := range c.open {
		if o.granted && o.claim.Status == once.Running {
			cl := o.claim
			c.startLocked(func() { _ = c.note(ctx, cl) })
		}
	}
}

// startLocked runs fn on a goroutine that wait waits for.
func (c *Claims) startLocked(fn func()) {
	if c.closed {
		return
	}
	c.work.Add(1)
	go func() {
		defer c.work.Done()
		fn()
	}()
}

// Pause between tries to reach an owner, and how long a note is tried for.
const (
	ownerPause   = 25 * time.Millisecond
	noteDeadline = 30 * time.Second
	// mostOwnerPause bounds the pause of what nobody waits for: ends of attempts and
	// partitions that are handed over. A view without a lost owner takes seconds.
	mostOwnerPause = 400 * time.Millisecond
)

// backoff is the pauses between tries: each twice as long as the one before, less up to
// half by chance. Hundreds of ends wait for the same owner; in step and each 25 ms they
// take a fifth of a core.
type backoff struct{ last time.Duration }

func (b *backoff) next() time.Duration {
	b.last = min(mostOwnerPause, max(ownerPause, 2*b.last))
	return b.last - rand.N(b.last/2)
}

func (c *Claims) sendTransfer(ctx context.Context, tr once.Transfer) {
	defer func() {
		c.mu.Lock()
		c.pending--
		c.mu.Unlock()
	}()
	deadline := time.Now().Add(noteDeadline)
	var pause backoff
	for ctx.Err() == nil && time.Now().Before(deadline) {
		if c.tryTransfer(ctx, tr) {
			return
		}
		sleep.For(ctx, pause.next())
	}
	c.node.deps.Log.Warn("claims not handed over", zap.Int("partition", int(tr.Partition)), zap.Int("claims", len(tr.Claims)))
}

// tryTransfer sends a partition to its owner under the newest view.
func (c *Claims) tryTransfer(ctx context.Context, tr once.Transfer) bool {
	v := c.node.View()
	if v.Epoch < tr.Epoch {
		return false
	}
	owner := v.Member(once.Owner(v, tr.Partition))
	if owner == nil {
		return false
	}
	tr.To = owner.Incarnation
	if owner.Incarnation == c.node.opts.Self.Incarnation {
		return c.OnTransfer(tr)
	}
	taken, err := c.node.deps.Peers.Transfer(ctx, owner.PeerAddr, tr)
	return err == nil && taken
}

// handedOver reports whether no partition is waiting to be handed over and
// every attempt's end was noted.
func (c *Claims) handedOver() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending == 0 && len(c.open) == 0
}

// wait ends the work in the background and waits for it.
func (c *Claims) wait() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.work.Wait()
}

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
func (c *Claims) OnClaim(r once.Request) once.Reply {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	s := c.node.ServingStatus()
	return c.table.Claim(now, once.ViewStatus{Confirmed: s.HasQuorum(now) && s.Epoch == r.Epoch, Retired: s.EarlierViewsRetired}, r)
}

// OnNote takes in what became of an attempt.
func (c *Claims) OnNote(n once.Claim) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.RecordAttempt(n)
}

// OnTransfer takes in a partition from its old owner.
func (c *Claims) OnTransfer(t once.Transfer) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Receive(t)
}

// OnClaim implements port.PeerServer.
func (n *Node) OnClaim(r once.Request) once.Reply { return n.Claims.OnClaim(r) }

// OnNote implements port.PeerServer.
func (n *Node) OnNote(cl once.Claim) bool { return n.Claims.OnNote(cl) }

// OnTransfer implements port.PeerServer.
func (n *Node) OnTransfer(t once.Transfer) bool { return n.Claims.OnTransfer(t) }

// CodeNoOwner is the code of a request whose key's owner cannot be reached.
const CodeNoOwner verdict.Code = "key-owner-unavailable"

// askPatience bounds how long an owner is asked: a view that changes settles
// well within it, and a caller is not kept waiting for an owner that is gone.
const askPatience = 400 * time.Millisecond

// ownerSilent is how long a peer must have been silent to be taken for gone.
const ownerSilent = 4

// Reachable reports whether the owner of a key has been heard of lately. A
// request whose key's owner has not is refused before it takes up a slot.
func (c *Claims) Reachable(key once.Key) bool {
	p := c.node.Progress()
	owner := once.Owner(p.View, key.Partition())
	if owner == "" || owner == c.node.opts.Self.Incarnation {
		return owner != ""
	}
	heard, known := p.HeardAt[owner]
	return !known || time.Since(heard) < ownerSilent*c.node.opts.Heartbeat
}

// Ask asks the owner of a key for a claim until it decides, for askPatience at
// most. With Granted, the caller must end the returned attempt with End. An error has
// verdict NotRun: the attempt will not be run.
func (c *Claims) Ask(ctx context.Context, key once.Key, fp once.Fingerprint) (once.Attempt, once.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, askPatience)
	defer cancel()
	attempt := once.Attempt(uuid.NewString())
	cl := once.Claim{Key: key, Fingerprint: fp, Attempt: attempt, Claimer: c.node.opts.Self.Incarnation}
	c.mu.Lock()
	c.open[attempt] = &openClaim{claim: cl}
	c.mu.Unlock()
	uncertain := false
	for {
		asked := c.node.View()
		reply, maybe := c.askOnce(ctx, asked, cl)
		uncertain = uncertain || maybe
		if reply.Result == once.Granted && c.node.View().Epoch != asked.Epoch {
			// A grant under a view that has ended meanwhile is asked for again:
			// the owner may have been paused before it answered.
			uncertain = true
			continue
		}
		switch reply.Result {
		case once.Granted:
			c.granted(attempt)
			return attempt, reply, nil
		case once.NotOwner, once.NotReady:
		default:
			c.drop(attempt, uncertain)
			return "", reply, nil
		}
		if !sleep.For(ctx, ownerPause) {
			c.drop(attempt, uncertain)
			return "", once.Reply{}, verdict.New(verdict.NotRun, CodeNoOwner, "the owner of the key cannot grant it now")
		}
	}
}

func (c *Claims) granted(attempt once.Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o := c.open[attempt]; o != nil {
		o.granted = true
	}
}

// drop gives up an attempt that was not granted. If the owner may have granted
// it unheard, it is told that the attempt never ran.
func (c *Claims) drop(attempt once.Attempt, uncertain bool) {
	if uncertain {
		c.End(attempt, once.Abandoned, nil)
		return
	}
	c.mu.Lock()
	delete(c.open, attempt)
	c.mu.Unlock()
}

// askOnce asks the owner under view v. maybe tells that the owner
// may have granted the claim without this daemon knowing.
func (c *Claims) askOnce(ctx context.Context, v *fleet.View, cl once.Claim) (reply once.Reply, maybe bool) {
	r := once.Request{Epoch: v.Epoch, Key: cl.Key, Fingerprint: cl.Fingerprint, Attempt: cl.Attempt, Claimer: cl.Claimer}
	owner := v.Member(once.Owner(v, cl.Key.Partition()))
	if owner == nil {
		return once.Reply{}, false
	}
	if owner.Incarnation == c.node.opts.Self.Incarnation {
		return c.OnClaim(r), false
	}
	reply, err := c.node.deps.Peers.Claim(ctx, owner.PeerAddr, r)
	if err != nil {
		return once.Reply{}, verdict.Of(err) != verdict.NotRun
	}
	return reply, false
}

// End notes how an attempt ended and tells the key's owner, in the background
// and until it is known there.
func (c *Claims) End(attempt once.Attempt, status once.Status, answer *once.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.open[attempt]
	if o == nil {
		return
	}
	o.claim.Status = status
	o.claim.Answer = answer
	cl := o.claim
	c.startLocked(func() { c.tellEnd(cl) })
}

func (c *Claims) tellEnd(cl once.Claim) {
	ctx, cancel := context.WithTimeout(context.Background(), noteDeadline)
	defer cancel()
	var pause backoff
	for !c.note(ctx, cl) {
		if c.node.stopped() || !sleep.For(ctx, pause.next()) {
			break
		}
	}
	c.mu.Lock()
	delete(c.open, cl.Attempt)
	c.mu.Unlock()
}

func (n *Node) stopped() bool {
	select {
	case <-n.done:
		return true
	default:
		return false
	}
}

// note tells the owner of a key about an attempt once.
func (c *Claims) note(ctx context.Context, cl once.Claim) bool {
	v := c.node.View()
	owner := v.Member(once.Owner(v, cl.Key.Partition()))
	if owner == nil {
		return false
	}
	if owner.Incarnation == c.node.opts.Self.Incarnation {
		return c.OnNote(cl)
	}
	noted, err := c.node.deps.Peers.Note(ctx, owner.PeerAddr, cl)
	return err == nil && noted
}
