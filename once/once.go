// Package once makes a keyed request run at most once across all entry
// daemons. Each key belongs to a partition, each partition to one daemon of
// the view; that owner's table says whether the key was ever claimed.
//
// Everything here is pure: time comes in as an argument.
package once

import (
	"cmp"
	"crypto/sha256"
	"slices"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/postmount/postmount/fleet"
	"github.com/postmount/postmount/rendezvous"
)

// Key is a caller's Idempotency-Key: a UUIDv7, whose time tells an owner
// whether its table is complete for it.
type Key string

// ParseKey checks that s is a UUIDv7 in its canonical form.
func ParseKey(s string) (Key, bool) {
	id, err := uuid.Parse(s)
	if err != nil || id.Version() != 7 || id.String() != s {
		return "", false
	}
	return Key(s), true
}

// Time returns when the key was made, by its maker's clock.
func (k Key) Time() time.Time {
	id, err := uuid.Parse(string(k))
	if err != nil {
		return time.Time{}
	}
	const bitsAfterTime = 80
	ms := int64(0)
	for _, b := range id[:(128-bitsAfterTime)/8] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms)
}

// Partitions is the number of partitions of the key space.
const Partitions = 64

// Partition is one part of the key space.
type Partition int

// Partition returns the partition k belongs to.
func (k Key) Partition() Partition {
	return Partition(rendezvous.Hash(string(k)) % Partitions)
}

// Owner returns the member of v that owns partition p.
func Owner(v *fleet.View, p Partition) fleet.Incarnation {
	return rendezvous.Owner(v.Incarnations(), partitionKey(p))
}

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
	// from is the old owner whose table is awaited or was given up on, and
	// takenAt the epoch from which on this daemon owns the partition.
	from    fleet.Incarnation
	takenAt fleet.Epoch
	// sole tells that this daemon owns the partition under every view that may
	// still be served, so that it need not wait for them to stop.
	sole bool
	// since is the time from which the table is complete: any key made at or
	// after it that was ever claimed is in claims.
	since  time.Time
	claims map[Key]*Claim
}

// Table is one daemon's share of the claims. It is not safe for concurrent use.
type Table struct {
	opts       Options
	self       fleet.Incarnation
	view       *fleet.View
	adoptedAt  time.Time // when the view was put in force here
	servingAt  time.Time // when the view began to be served here; zero before
	parts      map[Partition]*partition
	finished   []Key // keys with a retained answer, oldest first
	bytes      int
	count      int
	Forgotten  int // claims dropped to stay within MaxClaims
	DroppedAns int // answers dropped to stay within MaxAnswerBytes
}

// NewTable returns an empty table of daemon self.
func NewTable(self fleet.Incarnation, opts Options) *Table {
	return &Table{opts: opts, self: self, view: &fleet.View{}, parts: map[Partition]*partition{}}
}

// Transfer hands one partition to its next owner.
type Transfer struct {
	Epoch     fleet.Epoch // of the view that made To the owner
	From, To  fleet.Incarnation
	Partition Partition
	// Complete tells that Since holds; otherwise the claims are only hints.
	Complete bool
	Since    time.Time
	Claims   []Claim
}

// SetView puts a newer view in force. It returns the partitions to hand over;
// they are no longer served here.
func (t *Table) SetView(now time.Time, v *fleet.View) []Transfer {
	old := t.view
	t.view = v
	t.adoptedAt = now
	t.servingAt = time.Time{}
	var out []Transfer
	for p := range Partition(Partitions) {
		owner := Owner(v, p)
		mine := t.parts[p]
		switch {
		case owner == t.self && mine == nil:
			t.parts[p] = t.takeOver(old, v, p)
		case owner == t.self:
			t.carryOver(old, v, p, mine)
		case owner != t.self && mine != nil:
			out = append(out, t.export(p, owner))
		}
		if mine = t.parts[p]; mine != nil {
			mine.sole = t.soleOwner(v, p)
		}
	}
	return out
}

func (t *Table) soleOwner(v *fleet.View, p Partition) bool {
	for _, old := range v.Unretired {
		if rendezvous.Owner(old.Members, partitionKey(p)) != t.self {
			return false
		}
	}
	return true
}

// takeOver prepares a partition that this daemon owns from view v on. The
// first view of all has nothing to wait for.
func (t *Table) takeOver(old, v *fleet.View, p Partition) *partition {
	n := &partition{claims: map[Key]*Claim{}, takenAt: v.Epoch}
	if v.Epoch == 1 {
		n.ready = true
		return n
	}
	n.from = previousOwner(old, v, p)
	return n
}

// carryOver keeps a partition that this daemon owned before and owns again.
// Where views in between were missed, another daemon may have owned it there,
// and the table is only complete once that one's has come.
func (t *Table) carryOver(old, v *fleet.View, p Partition, mine *partition) {
	missed := v.Epoch - old.Epoch - 1
	if missed == 0 {
		return
	}
	prev := previousOwner(old, v, p)
	if missed == 1 && prev == t.self {
		return
	}
	mine.ready = false
	mine.from = prev
	mine.takenAt = v.Epoch
}

// previousOwner returns who owned p in the view before v. A daemon that missed
// that view finds its members in v's own list of unretired views.
func previousOwner(old, v *fleet.View, p Partition) fleet.Incarnation {
	prev := old.Incarnations()
	if old.Epoch != v.Epoch-1 {
		prev = lastUnretired(v)
	}
	return rendezvous.Owner(prev, partitionKey(p))
}

func partitionKey(p Partition) string { return "partition/" + strconv.Itoa(int(p)) }

func lastUnretired(v *fleet.View) []fleet.Incarnation {
	if len(v.Unretired) == 0 {
		return nil
	}
	return v.Unretired[len(v.Unretired)-1].Members
}

func (t *Table) export(p Partition, to fleet.Incarnation) Transfer {
	mine := t.parts[p]
	delete(t.parts, p)
	tr := Transfer{Epoch: t.view.Epoch, From: t.self, To: to, Partition: p, Complete: mine.ready, Since: mine.since}
	for _, c := range mine.claims {
		tr.Claims = append(tr.Claims, *c)
		t.forget(c)
	}
	slices.SortFunc(tr.Claims, func(a, b Claim) int { return cmp.Compare(a.Key, b.Key) })
	return tr
}

// forget takes c out of the counts.
func (t *Table) forget(c *Claim) {
	t.count--
	if c.Answer != nil {
		t.bytes -= c.Answer.size()
	}
}

// Serve notes that the view is served here from now on.
func (t *Table) Serve(now time.Time) {
	if t.servingAt.IsZero() {
		t.servingAt = now
	}
}

// Receive takes in a partition handed over. It reports false if it is not this
// daemon's, so that the sender tries the owner of a newer view.
//
// Claims are knowledge and always welcome. The completeness is taken over only
// from the owner that this daemon follows directly.
func (t *Table) Receive(tr Transfer) bool {
	mine := t.parts[tr.Partition]
	if mine == nil {
		return false
	}
	for _, c := range tr.Claims {
		t.merge(mine, c)
	}
	if tr.Complete && tr.Epoch >= mine.takenAt && tr.From == mine.from {
		// A table that was given up on and arrives late still completes ours:
		// what was unknown meanwhile was refused, never run.
		mine.since = tr.Since
		mine.ready = true
		mine.from = ""
	}
	return true
}

func (t *Table) insert(p *partition, c *Claim) {
	p.claims[c.Key] = c
	t.count++
	if c.Answer != nil {
		t.bytes += c.Answer.size()
		t.finished = append(t.finished, c.Key)
	}
	t.bound()
}

// ready reports whether p can answer, giving up on the old owner's table when
// it has been awaited long enough.
func (t *Table) ready(now time.Time, p *partition) bool {
	if p.ready {
		return true
	}
	if t.servingAt.IsZero() || now.Sub(t.adoptedAt) < t.opts.HandoverWait {
		return false
	}
	p.ready = true
	// Any key the old owner granted was made at most MaxSkew after its grant
	// by the caller's clock, and the old owner's clock differs from ours by at
	// most MaxSkew.
	p.since = t.servingAt.Add(2 * t.opts.MaxSkew)
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

// Standing is what the owner's daemon may do under the table's view.
type Standing struct {
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
func (t *Table) Claim(now time.Time, s Standing, r Request) Reply {
	p := t.parts[r.Key.Partition()]
	if !s.Confirmed || p == nil || r.Epoch != t.view.Epoch || !(s.Retired || p.sole) {
		return Reply{Result: NotOwner}
	}
	if s.Retired {
		t.Serve(now)
	}
	c, found := p.claims[r.Key]
	if found && c.Status != Abandoned {
		return t.known(c, r)
	}
	if found && c.Attempt == r.Attempt {
		return Reply{Result: NotOwner} // given up before this message came
	}
	// An abandoned attempt proves nothing about others: a key that the table
	// is not complete for stays refused.
	if refusal, ok := t.unfit(now, p, r.Key); ok {
		return refusal
	}
	if found {
		c.Fingerprint, c.Attempt, c.Claimer, c.Status = r.Fingerprint, r.Attempt, r.Claimer, Running
		return Reply{Result: Granted}
	}
	t.insert(p, &Claim{Key: r.Key, Fingerprint: r.Fingerprint, Attempt: r.Attempt, Claimer: r.Claimer})
	return Reply{Result: Granted}
}

// unfit refuses a key that nothing is known of when the table cannot vouch
// that it was never granted.
func (t *Table) unfit(now time.Time, p *partition, k Key) (Reply, bool) {
	made := k.Time()
	switch {
	case now.Sub(made) > t.opts.Retention:
		return Reply{Result: Expired}, true
	case made.Sub(now) > t.opts.MaxSkew:
		return Reply{Result: FromFuture}, true
	case !t.ready(now, p):
		return Reply{Result: NotReady}, true
	case made.Before(p.since) && now.Before(p.since):
		// Every key of this moment is in doubt, also those that are new. Their
		// callers are better served by coming back with a new key.
		return Reply{Result: NotReady}, true
	case made.Before(p.since):
		return Reply{Result: MayHaveRun}, true
	}
	return Reply{}, false
}

// known replies to a claim for a key in the table.
func (t *Table) known(c *Claim, r Request) Reply {
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

// Note records what a claimer knows of its own attempt: that it runs, has
// finished, was abandoned, or will stay unknown. It also tells a new owner of
// a claim that the old owner's table took with it. It reports false if the
// partition is not this daemon's.
func (t *Table) Note(n Claim) bool {
	p := t.parts[n.Key.Partition()]
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
		t.forget(c)
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
		t.bytes += c.Answer.size()
		t.finished = append(t.finished, c.Key)
		t.bound()
	}
}

// bound keeps the table within its limits. An answer goes before a claim. A
// claim that goes raises the time since which the table is complete, so that
// its key is refused and never run again.
func (t *Table) bound() {
	for t.bytes > t.opts.MaxAnswerBytes && len(t.finished) > 0 {
		t.dropAnswer(t.finished[0])
		t.finished = t.finished[1:]
	}
	if t.count > t.opts.MaxClaims {
		t.dropOldest(t.opts.MaxClaims / 10)
	}
}

func (t *Table) dropAnswer(k Key) {
	p := t.parts[k.Partition()]
	if p == nil {
		return
	}
	if c := p.claims[k]; c != nil && c.Answer != nil {
		t.bytes -= c.Answer.size()
		c.Answer = nil
		t.DroppedAns++
	}
}

func (t *Table) dropOldest(n int) {
	var keys []Key
	for _, p := range t.parts {
		for k := range p.claims {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b Key) int { return a.Time().Compare(b.Time()) })
	for _, k := range keys[:min(n, len(keys))] {
		p := t.parts[k.Partition()]
		t.forget(p.claims[k])
		delete(p.claims, k)
		if after := k.Time().Add(time.Millisecond); after.After(p.since) {
			p.since = after
		}
		t.Forgotten++
	}
}

// Tick gives up on tables that were awaited long enough, and drops the claims
// whose keys can no longer be used.
func (t *Table) Tick(now time.Time) {
	for _, p := range t.parts {
		t.ready(now, p)
		for k, c := range p.claims {
			if now.Sub(k.Time()) > t.opts.Retention+t.opts.MaxSkew {
				t.forget(c)
				delete(p.claims, k)
			}
		}
	}
	t.finished = slices.DeleteFunc(t.finished, func(k Key) bool {
		p := t.parts[k.Partition()]
		return p == nil || p.claims[k] == nil
	})
}

// Size returns the number of claims and the bytes of retained answers.
func (t *Table) Size() (claims, answerBytes int) { return t.count, t.bytes }
