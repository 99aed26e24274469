// Package member decides which view of the entry daemons is in force and
// whether this daemon may act on it.
//
// The store's compare-and-swap chooses every view; members never vote on one.
// What they confirm to each other is only that they know of nothing newer.
// Everything here is pure: time comes in as an argument.
package member

import (
	"slices"
	"time"

	"github.com/postmount/postmount/requests/fleet"
)

// Options are the times that the safety argument depends on.
type Options struct {
	// ConfirmWindow is how long a member's confirmation counts, measured from
	// the moment the question was sent.
	ConfirmWindow time.Duration
	// DriftMargin bounds how much faster another member's clock may run over
	// one ConfirmWindow.
	DriftMargin time.Duration
}

// DefaultOptions are the times used in production.
var DefaultOptions = Options{ConfirmWindow: 1500 * time.Millisecond, DriftMargin: 100 * time.Millisecond}

// Tracker is one daemon's part in the membership. It is not safe for concurrent
// use.
type Tracker struct {
	opts Options
	self fleet.Incarnation
	view fleet.View
	// highest is the newest epoch heard of, from the store or from a peer.
	highest fleet.Epoch
	// confirmed holds, for each peer, when the newest question was sent that
	// it answered with "nothing newer than view.Epoch".
	confirmed map[fleet.Incarnation]time.Time
	// known is the newest epoch that each peer said it knows.
	known map[fleet.Incarnation]fleet.Epoch
	gone  map[fleet.Incarnation]bool
	// retiredAt is when every earlier view was first known to be unable to
	// gather confirmations; zero before. allStopped tells that every member of
	// every earlier view is known to have stopped serving it.
	retiredAt  time.Time
	allStopped bool
	// carried is until when the confirmations of the last view count for the
	// use of slots under the view in force.
	carried time.Time
}

// New returns the core of the daemon with incarnation self.
func New(self fleet.Incarnation, opts Options) *Tracker {
	return &Tracker{
		opts:      opts,
		self:      self,
		confirmed: map[fleet.Incarnation]time.Time{},
		known:     map[fleet.Incarnation]fleet.Epoch{},
		gone:      map[fleet.Incarnation]bool{},
	}
}

// View returns the view in force at this daemon. Callers must not change it.
func (c *Tracker) View() *fleet.View { return &c.view }

// HighestEpoch returns the newest epoch heard of. It is what this daemon answers to
// a peer's question: once it is larger than an epoch, the daemon no longer
// confirms that epoch.
func (c *Tracker) HighestEpoch() fleet.Epoch { return c.highest }

// Adopt puts v in force if it is newer than the current view.
func (c *Tracker) Adopt(now time.Time, v *fleet.View) bool {
	if v.Epoch <= c.view.Epoch {
		return false
	}
	c.carried = c.ServingStatus(now).SlotsUntil
	c.view = *v.Clone()
	c.highest = max(c.highest, v.Epoch)
	clear(c.confirmed)
	c.retiredAt = time.Time{}
	c.allStopped = false
	c.checkRetired(now)
	return true
}

// RecordEpoch notes that a peer mentioned epoch e, in a question or an answer.
func (c *Tracker) RecordEpoch(now time.Time, peer fleet.Incarnation, e fleet.Epoch) {
	c.highest = max(c.highest, e)
	c.known[peer] = max(c.known[peer], e)
	c.checkRetired(now)
}

// RecordConfirmation takes in a peer's answer to a question that was sent at sentAt
// under epoch asked: the newest epoch the peer knows is e.
func (c *Tracker) RecordConfirmation(now, sentAt time.Time, peer fleet.Incarnation, asked, e fleet.Epoch) {
	c.RecordEpoch(now, peer, e)
	if asked != c.view.Epoch || e != asked {
		return
	}
	if sentAt.After(c.confirmed[peer]) {
		c.confirmed[peer] = sentAt
	}
}

// MarkEnded notes that the platform's instance list shows a member's process to
// have ended. It can confirm nothing any more.
func (c *Tracker) MarkEnded(now time.Time, member fleet.Incarnation) {
	c.gone[member] = true
	c.checkRetired(now)
}

// checkRetired sets retiredAt when, for each earlier view, a quorum of its
// members can no longer confirm it, and allStopped when none of them can.
func (c *Tracker) checkRetired(now time.Time) {
	if c.view.Epoch == 0 || c.allStopped {
		return
	}
	retired, all := true, true
	for _, old := range c.view.Unretired {
		stopped, first := c.stopped(old)
		retired = retired && quorum(stopped, first, len(old.Members))
		all = all && stopped == len(old.Members)
	}
	c.allStopped = all
	if retired && c.retiredAt.IsZero() {
		c.retiredAt = now
	}
}

// stopped counts the members that no longer serve or confirm an earlier view:
// they know a newer one or have ended. first tells that the view's first member
// is among them.
func (c *Tracker) stopped(old fleet.RetiringView) (n int, first bool) {
	for i, m := range old.Members {
		if m == c.self || c.gone[m] || c.known[m] > old.Epoch {
			n++
			first = first || i == 0
		}
	}
	return n, first
}

// quorum reports whether n of total members outweigh the rest. Exactly half of
// them do if the view's first member is one of them, so that a fleet cut into
// equal halves keeps one that serves. Two disjoint sets are never both a
// quorum.
func quorum(n int, first bool, total int) bool {
	return 2*n > total || (2*n == total && first)
}

// ServingStatus says what a daemon may do under its view. It is computed on the
// control goroutine and read by others, so it carries the time it ends by
// itself.
type ServingStatus struct {
	Epoch fleet.Epoch
	// SlotsUntil is when the daemon must stop using its share of the workers unless
	// a quorum confirms the view again.
	SlotsUntil time.Time
	// ServeUntil is the same for its part as an owner of claims; it is zero as
	// soon as a newer epoch has been heard of.
	ServeUntil time.Time
	// EarlierViewsRetired tells that every earlier view has certainly stopped.
	EarlierViewsRetired bool
	Reason              string // why the standing is not a serving one; "" if it is
}

// MayUseSlots reports whether the daemon may use its share of the workers at time
// now. Another daemon takes that share over only after it has waited for
// longer than any confirmation counts (see package slots).
func (s ServingStatus) MayUseSlots(now time.Time) bool {
	return s.Epoch > 0 && now.Before(s.SlotsUntil)
}

// HasQuorum reports whether a quorum recently knew of nothing newer than the
// view.
func (s ServingStatus) HasQuorum(now time.Time) bool { return s.Epoch > 0 && now.Before(s.ServeUntil) }

// Serving reports whether the daemon may act as an owner of any claims at time
// now.
//
// Invariant: no two epochs are served at the same time. Reason: serving N
// needs confirmations of a quorum of N's members, each at most ConfirmWindow
// old; a member that knows N+1 neither serves nor confirms N; and N+1 is served
// once every member of N knew N+1 or had ended, or ConfirmWindow (and the clock
// margin) after a quorum of them did. Two quorums of one view share a member.
func (s ServingStatus) Serving(now time.Time) bool { return s.EarlierViewsRetired && s.HasQuorum(now) }

// Reasons of a standing that does not serve.
const (
	ReasonNoView      = "no view yet"
	ReasonNotMember   = "not a member of the view"
	ReasonNewerEpoch  = "a newer epoch exists"
	ReasonNoQuorum    = "no recent confirmation from a quorum"
	ReasonEarlierView = "an earlier view may still be served"
)

// ServingStatus works out this daemon's standing at time now.
func (c *Tracker) ServingStatus(now time.Time) ServingStatus {
	s := ServingStatus{Epoch: c.view.Epoch, EarlierViewsRetired: c.retired(now)}
	switch {
	case c.view.Epoch == 0:
		s.Reason = ReasonNoView
		return s
	case c.view.Member(c.self) == nil:
		s.Reason = ReasonNotMember
		return s
	}
	confirmed := c.confirmedUntil(now)
	s.SlotsUntil = confirmed
	if c.carried.After(confirmed) {
		s.SlotsUntil = c.carried
	}
	if c.highest == c.view.Epoch {
		s.ServeUntil = confirmed
	}
	switch {
	case c.highest > c.view.Epoch:
		s.Reason = ReasonNewerEpoch
	case !s.HasQuorum(now):
		s.Reason = ReasonNoQuorum
	case !s.EarlierViewsRetired:
		s.Reason = ReasonEarlierView
	}
	return s
}

// confirmedUntil returns until when a quorum's confirmations count. A view of
// one needs nobody else; its standing is renewed at every computation.
func (c *Tracker) confirmedUntil(now time.Time) time.Time {
	times := make([]confirmation, 0, len(c.view.Members))
	for i, m := range c.view.Members {
		at := c.confirmed[m.Incarnation]
		if m.Incarnation == c.self {
			at = now
		}
		times = append(times, confirmation{at: at, first: i == 0})
	}
	slices.SortFunc(times, func(a, b confirmation) int { return b.at.Compare(a.at) })
	first := false
	for i, t := range times {
		first = first || t.first
		if quorum(i+1, first, len(times)) {
			if t.at.IsZero() {
				return time.Time{}
			}
			return t.at.Add(c.opts.ConfirmWindow)
		}
	}
	return time.Time{}
}

type confirmation struct {
	at    time.Time
	first bool // of the view's first member
}

// retired reports whether every earlier view has certainly stopped.
func (c *Tracker) retired(now time.Time) bool {
	if c.allStopped || c.retiredAt.IsZero() {
		return c.allStopped
	}
	return now.Sub(c.retiredAt) >= c.opts.ConfirmWindow+c.opts.DriftMargin
}
