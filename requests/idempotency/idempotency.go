// Package idempotency makes a request with an idempotency key run at most once across
// all entry daemons. Each key belongs to a partition and each partition is owned
// by one member of the view, whose table records which keys have been claimed.
//
// The package does no I/O and reads no clock: time is passed in.
package idempotency

import (
	"crypto/sha256"
	"time"

	"github.com/postmount/postmount/requests/fleet"
)

// Fingerprint is a hash of a request's content. It detects the reuse of a key for
// a different request.
type Fingerprint [sha256.Size]byte

// AttemptID identifies one attempt of an entry daemon to run a keyed request.
type AttemptID string

// Answer is a complete answer of a backend server.
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

// Status is the state of a claim.
type Status uint8

// States of a claim.
const (
	Running   Status = iota // the claimer may have sent the request
	Finished                // the request ran; its answer is retained or was dropped
	Unknown                 // the request may have run; its answer will never be known
	Abandoned               // the attempt was abandoned before the request was sent
)

// Claim is an owner's record of one key.
type Claim struct {
	Key         Key
	Fingerprint Fingerprint
	Attempt     AttemptID
	Claimer     fleet.Incarnation
	Status      Status
	Answer      *Answer // nil unless Finished and retained
}

// Options configure a Table.
type Options struct {
	// Retention is how long a key can be used after its timestamp.
	Retention time.Duration
	// MaxSkew is the maximum difference between any two clocks of callers and
	// daemons.
	MaxSkew time.Duration
	// HandoverWait is how long a new owner waits for the previous owner's table
	// after the view has changed.
	HandoverWait time.Duration
	// MaxAnswerBytes limits the size of all retained answers, MaxClaims the number
	// of claims.
	MaxAnswerBytes int
	MaxClaims      int
}

// DefaultOptions limit a table to about 24 MB.
var DefaultOptions = Options{
	Retention:      10 * time.Minute,
	MaxSkew:        500 * time.Millisecond,
	HandoverWait:   time.Second,
	MaxAnswerBytes: 12 << 20,
	MaxClaims:      60_000,
}

// Result is the owner's decision on a claim.
type Result uint8

// Results of Table.Claim.
const (
	// NotOwner is the zero value, so that an empty reply grants nothing.
	NotOwner    Result = iota // this daemon doesn't serve the key's partition now; nothing was recorded
	NotReady                  // the partition isn't complete yet; nothing was recorded
	Granted                   // the claimer may run the request
	InProgress                // another attempt may be running
	Answered                  // the request ran; its answer is attached
	NotRetained               // the request ran; its answer is no longer retained
	MayHaveRun                // the request may have run and must not run again
	Mismatch                  // the key was used for a different request
	Expired                   // the key is older than the retention period
	FromFuture                // the key's timestamp is in the future
)

// Reply is an owner's reply to a Request.
type Reply struct {
	Result Result
	Answer *Answer
}

// partition is the state of one owned partition.
type partition struct {
	// ready is false while the partition waits for the previous owner's table.
	ready bool
	// previousOwner is the owner whose table is expected. It is kept after the wait
	// has ended, so that a late table is still accepted, and cleared on arrival.
	// ownedSince is the epoch since which this daemon has owned the partition.
	previousOwner fleet.Incarnation
	ownedSince    fleet.Epoch
	// soleOwner is true if this daemon owns the partition under every view that
	// may still be served, so that it needn't wait for earlier views to retire.
	soleOwner bool
	// completeSince is the time from which on claims is complete: it has every
	// key with this or a later timestamp that was ever claimed.
	completeSince time.Time
	claims        map[Key]*Claim
}

// Table holds the claims of the partitions that one daemon owns. It is not safe
// for concurrent use.
type Table struct {
	opts           Options
	self           fleet.Incarnation
	view           *fleet.View
	viewSetAt      time.Time // when this daemon switched to the view
	servingSince   time.Time // when this daemon began to serve the view; zero before
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

// updateReady reports whether p can decide on claims. Once HandoverWait has passed,
// it marks p as ready without the previous owner's table.
func (t *Table) updateReady(now time.Time, p *partition) bool {
	if p.ready {
		return true
	}
	if t.servingSince.IsZero() || now.Sub(t.viewSetAt) < t.opts.HandoverWait {
		return false
	}
	p.ready = true
	// The previous owner granted nothing after servingSince. It accepted keys from
	// at most MaxSkew in its future, and its clock differs from ours by at most
	// MaxSkew.
	p.completeSince = t.servingSince.Add(2 * t.opts.MaxSkew)
	return true
}

// Request asks the owner of a key for permission to run a request.
type Request struct {
	Epoch       fleet.Epoch
	Key         Key
	Fingerprint Fingerprint
	Attempt     AttemptID
	Claimer     fleet.Incarnation
}

// ViewStatus says whether the table's view may be served.
type ViewStatus struct {
	// Confirmed is true if a quorum recently knew of no newer view.
	Confirmed bool
	// Retired is true if no earlier view can still be served.
	Retired bool
}

// Claim decides whether a request may run.
//
// Invariant: a key is granted to another attempt only after the attempt that held
// it was abandoned. This holds because a grant is recorded before the reply is
// sent, an owner grants a key only if its table is complete for it, and no
// partition is served under two views at the same time.
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
		return Reply{Result: NotOwner} // abandoned before this message arrived
	}
	// An abandoned attempt says nothing about other attempts: if the table isn't
	// complete for the key, it is still refused.
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

// refuseUnknown refuses a key that has no claim, or only an abandoned one, if its
// timestamp is out of range or the table can't rule out that it was granted.
func (t *Table) refuseUnknown(now time.Time, p *partition, k Key) (Reply, bool) {
	keyTime := k.Time()
	switch {
	case now.Sub(keyTime) > t.opts.Retention:
		return Reply{Result: Expired}, true
	case keyTime.Sub(now) > t.opts.MaxSkew:
		return Reply{Result: FromFuture}, true
	case !t.updateReady(now, p):
		return Reply{Result: NotReady}, true
	case keyTime.Before(p.completeSince) && now.Before(p.completeSince):
		// Even a key made now is older than completeSince. NotReady lets its caller
		// retry with a newer key.
		return Reply{Result: NotReady}, true
	case keyTime.Before(p.completeSince):
		return Reply{Result: MayHaveRun}, true
	}
	return Reply{}, false
}

// replyKnown replies to a request whose key has a claim that wasn't abandoned.
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
		return Reply{Result: Granted} // repeated message
	case t.view.Member(c.Claimer) == nil:
		return Reply{Result: MayHaveRun} // the claimer is lost, and the answer with it
	default:
		return Reply{Result: InProgress}
	}
}

// RecordAttempt records the status of an attempt as reported by its claimer. This
// is also how a new owner learns of a running attempt if the previous owner's
// table is lost. It returns false if this daemon doesn't own the partition.
func (t *Table) RecordAttempt(report Claim) bool {
	p := t.partitions[report.Key.Partition()]
	if p == nil {
		return false
	}
	t.merge(p, report)
	return true
}

// merge adds a claim to the partition. A claim of an attempt that was not abandoned
// replaces an abandoned one; if both are of the same attempt, the end of a running
// one is recorded.
func (t *Table) merge(p *partition, incoming Claim) {
	c, known := p.claims[incoming.Key]
	switch {
	case !known:
		t.insert(p, &incoming)
	case c.Status == Abandoned && incoming.Status != Abandoned:
		t.uncount(c)
		t.insert(p, &incoming)
	case c.Attempt == incoming.Attempt && c.Status == Running:
		t.recordEnd(c, incoming)
	}
}

// recordEnd records in c how its running attempt ended.
func (t *Table) recordEnd(c *Claim, ended Claim) {
	c.Status = ended.Status
	c.Answer = ended.Answer
	if c.Answer != nil {
		t.answerBytes += c.Answer.size()
		t.answeredKeys = append(t.answeredKeys, c.Key)
		t.enforceLimits()
	}
}
