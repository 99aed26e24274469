// Package once makes a keyed request run at most once across all entry
// daemons. Each key belongs to a partition, each partition to one daemon of
// the view; that owner's table says whether the key was ever claimed.
//
// Everything here is pure: time comes in as an argument.
package once

import (
	"crypto/sha256"
	"time"

	"github.com/postmount/postmount/requests/fleet"
)

// Fingerprint identifies a request's content, so that a key reused for another
// request is noticed.
type Fingerprint [sha256.Size]byte

// Attempt identifies one try of one entry daemon to run a keyed request.
type Attempt string

// Answer is a whole answer of a backend server.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
}

func (a *Answer) size() int {
	n := len(a.Body)
	for k, vs := range a.Header {
		n += len(k)
		for _, v := range vs {
			n += len(v)
		}
	}
	return n
}

// Status is how far a claim has come.
type Status uint8

// States of a claim.
const (
	Running   Status = iota // its claimer may have sent it
	Finished                // ran; the answer is known, and retained or dropped
	Unknown                 // may have run; the answer will never be known
	Abandoned               // its attempt was given up before it ran
)

// Claim is what an owner knows about one key.
type Claim struct {
	Key         Key
	Fingerprint Fingerprint
	Attempt     Attempt
	Claimer     fleet.Incarnation
	Status      Status
	Answer      *Answer // nil unless Finished and retained
}

// Options bound a table.
type Options struct {
	// Retention is how long after a key's time it can still be used.
	Retention time.Duration
	// MaxSkew bounds how far callers' and daemons' clocks differ.
	MaxSkew time.Duration
	// HandoverWait is how long after a view was put in force a new owner waits
	// for the old owner's table.
	HandoverWait time.Duration
	// MaxAnswerBytes bounds the retained answers, MaxClaims the claims.
	MaxAnswerBytes int
	MaxClaims      int
}

// DefaultOptions keep a table within about 24 MB.
var DefaultOptions = Options{
	Retention:      10 * time.Minute,
	MaxSkew:        500 * time.Millisecond,
	HandoverWait:   time.Second,
	MaxAnswerBytes: 12 << 20,
	MaxClaims:      60_000,
}

// Result is the outcome of asking for a claim.
type Result uint8

// Results of Claim.
const (
	// Refused by default: an owner that says nothing grants nothing.
	NotOwner    Result = iota // this daemon does not serve the key's partition now; nothing was noted
	NotReady                  // the old owner's table is still awaited; nothing was noted
	Granted                   // the caller may run the request
	InProgress                // another attempt may be running
	Answered                  // it ran; the answer is attached
	NotRetained               // it ran; the answer is no longer kept
	MayHaveRun                // it may have run; it must not run again
	Mismatch                  // the key was used for another request
	Expired                   // the key is older than the retention
	FromFuture                // the key's time lies in the future
)

// Reply is an owner's reply to Claim.
type Reply struct {
	Result Result
	Answer *Answer
}

// partition is the state of one owned partition.
type partition struct {
	// ready is false while the old owner's table is awaited.
	ready bool
	// previousOwner is the old owner whose table is awaited or was given up on, and
	// takenAt the epoch previousOwner which on this daemon owns the partition.
	previousOwner fleet.Incarnation
	ownedSince    fleet.Epoch
	// soleOwner tells that this daemon owns the partition under every view that may
	// still be served, so that it need not wait for them to stop.
	soleOwner bool
	// completeSince is the time from which the table is complete: any key made at or
	// after it that was ever claimed is in claims.
	completeSince time.Time
	claims        map[Key]*Claim
}

// Table is one daemon's share of the claims. It is not safe for concurrent use.
type Table struct {
	opts           Options
	self           fleet.Incarnation
	view           *fleet.View
	viewSetAt      time.Time // when the view was put in force here
	servingSince   time.Time // when the view began to be served here; zero before
	partitions     map[Partition]*partition
	answeredKeys   []Key // keys with a retained answer, oldest first
	answerBytes    int
	claimCount     int
	DroppedClaims  int // claims dropped to stay within MaxClaims
	DroppedAnswers int // answers dropped to stay within MaxAnswerBytes
}

// NewTable returns an empty table of daemon self.
func NewTable(self fleet.Incarnation, opts Options) *Table {
	return &Table{opts: opts, self: self, view: &fleet.View{}, partitions: map[Partition]*partition{}}
}

func (t *Table) insert(p *partition, c *Claim) {
	p.claims[c.Key] = c
	t.claimCount++
	if c.Answer != nil {
		t.answerBytes += c.Answer.size()
		t.answeredKeys = append(t.answeredKeys, c.Key)
	}
	t.enforceLimits()
}

// ready reports whether p can answer, giving up on the old owner's table when
// it has been awaited long enough.
func (t *Table) ready(now time.Time, p *partition) bool {
	if p.ready {
		return true
	}
	if t.servingSince.IsZero() || now.Sub(t.viewSetAt) < t.opts.HandoverWait {
		return false
	}
	p.ready = true
	// Any key the old owner granted was made at most MaxSkew after its grant
	// by the caller's clock, and the old owner's clock differs from ours by at
	// most MaxSkew.
	p.completeSince = t.servingSince.Add(2 * t.opts.MaxSkew)
	return true
}

// Request asks to run a keyed request.
type Request struct {
	Epoch       fleet.Epoch
	Key         Key
	Fingerprint Fingerprint
	Attempt     Attempt
	Claimer     fleet.Incarnation
}

// ViewStatus is what the owner's daemon may do under the table's view.
type ViewStatus struct {
	// Confirmed tells that a quorum recently knew of no newer view.
	Confirmed bool
	// Retired tells that every earlier view has certainly stopped.
	Retired bool
}

// Claim decides whether the request may run.
//
// Invariant: of all attempts with one key, at most one is ever granted while
// none of the earlier ones was abandoned. Reason: a grant is noted before it
// is given, an owner grants only what its table is complete for, and two views
// are never served at once for one partition.
func (t *Table) Claim(now time.Time, s ViewStatus, r Request) Reply {
	p := t.partitions[r.Key.Partition()]
	if !s.Confirmed || p == nil || r.Epoch != t.view.Epoch || !(s.Retired || p.soleOwner) {
		return Reply{Result: NotOwner}
	}
	if s.Retired {
		t.StartServing(now)
	}
	c, found := p.claims[r.Key]
	if found && c.Status != Abandoned {
		return t.replyKnown(c, r)
	}
	if found && c.Attempt == r.Attempt {
		return Reply{Result: NotOwner} // given up before this message came
	}
	// An abandoned attempt proves nothing about others: a key that the table
	// is not complete for stays refused.
	if refusal, ok := t.refuseUnknown(now, p, r.Key); ok {
		return refusal
	}
	if found {
		c.Fingerprint, c.Attempt, c.Claimer, c.Status = r.Fingerprint, r.Attempt, r.Claimer, Running
		return Reply{Result: Granted}
	}
	t.insert(p, &Claim{Key: r.Key, Fingerprint: r.Fingerprint, Attempt: r.Attempt, Claimer: r.Claimer})
	return Reply{Result: Granted}
}

// refuseUnknown refuses a key that nothing is known of when the table cannot vouch
// that it was never granted.
func (t *Table) refuseUnknown(now time.Time, p *partition, k Key) (Reply, bool) {
	made := k.Time()
	switch {
	case now.Sub(made) > t.opts.Retention:
		return Reply{Result: Expired}, true
	case made.Sub(now) > t.opts.MaxSkew:
		return Reply{Result: FromFuture}, true
	case !t.ready(now, p):
		return Reply{Result: NotReady}, true
	case made.Before(p.completeSince) && now.Before(p.completeSince):
		// Every key of this moment is in doubt, also those that are new. Their
		// callers are better served by coming back with a new key.
		return Reply{Result: NotReady}, true
	case made.Before(p.completeSince):
		return Reply{Result: MayHaveRun}, true
	}
	return Reply{}, false
}

// replyKnown replies to a claim for a key in the table.
func (t *Table) replyKnown(c *Claim, r Request) Reply {
	if c.Fingerprint != r.Fingerprint {
		return Reply{Result: Mismatch}
	}
	switch {
	case c.Status == Finished && c.Answer != nil:
		return Reply{Result: Answered, Answer: c.Answer}
	case c.Status == Finished:
		return Reply{Result: NotRetained}
	case c.Status == Unknown:
		return Reply{Result: MayHaveRun}
	case c.Attempt == r.Attempt:
		return Reply{Result: Granted} // the same message again
	case t.view.Member(c.Claimer) == nil:
		return Reply{Result: MayHaveRun} // its claimer is gone with the answer
	default:
		return Reply{Result: InProgress}
	}
}

// RecordAttempt records what a claimer knows of its own attempt: that it runs, has
// finished, was abandoned, or will stay unknown. It also tells a new owner of
// a claim that the old owner's table took with it. It reports false if the
// partition is not this daemon's.
func (t *Table) RecordAttempt(n Claim) bool {
	p := t.partitions[n.Key.Partition()]
	if p == nil {
		return false
	}
	t.merge(p, n)
	return true
}

// merge takes in what is known of one attempt. What an attempt that was granted
// says of itself outweighs the trace of another that was given up; of two
// words about one attempt the one about its end counts.
func (t *Table) merge(p *partition, n Claim) {
	c, known := p.claims[n.Key]
	switch {
	case !known:
		t.insert(p, &n)
	case c.Status == Abandoned && n.Status != Abandoned:
		t.uncount(c)
		t.insert(p, &n)
	case c.Attempt == n.Attempt && c.Status == Running:
		t.end(c, n)
	}
}

// end notes how a running attempt ended.
func (t *Table) end(c *Claim, n Claim) {
	c.Status = n.Status
	c.Answer = n.Answer
	if c.Answer != nil {
		t.answerBytes += c.Answer.size()
		t.answeredKeys = append(t.answeredKeys, c.Key)
		t.enforceLimits()
	}
}
