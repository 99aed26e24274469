// Package member tracks the view of the entry daemons that is in force at this
// daemon and whether the daemon may act on it.
//
// The store's compare-and-swap decides each view; members don't vote on it. They
// only confirm to each other that they know of no newer one. The package has no
// side effects and takes the time as an argument.
package member

import (
	"slices"
	"time"

	"github.com/postmount/postmount/requests/fleet"
)

// Options are the times on which the safety of a view change depends (see
// ServingStatus.Serving).
type Options struct {
	// ConfirmWindow is how long a member's confirmation is valid, measured from
	// when the heartbeat was sent.
	ConfirmWindow time.Duration
	// DriftMargin bounds how much faster another member's clock may run during one
	// ConfirmWindow.
	DriftMargin time.Duration
}

// DefaultOptions are the times used in production.
var DefaultOptions = Options{ConfirmWindow: 1500 * time.Millisecond, DriftMargin: 100 * time.Millisecond}

// Tracker holds one daemon's state of the membership protocol. It is not safe for
// concurrent use.
type Tracker struct {
	opts Options
	self fleet.Incarnation
	view fleet.View
	// highestEpoch is the newest epoch known from the store or a peer.
	highestEpoch fleet.Epoch
	// confirmedAt is, for each peer, when the newest heartbeat was sent in whose
	// reply the peer knew of nothing newer than view.Epoch.
	confirmedAt map[fleet.Incarnation]time.Time
	// knownEpoch is the newest epoch that each peer reported.
	knownEpoch map[fleet.Incarnation]fleet.Epoch
	ended      map[fleet.Incarnation]bool
	// retiredAt is when it was first known that no earlier view can reach a quorum
	// again; zero before. allStopped is true once every member of every earlier
	// view is known to have stopped serving it.
	retiredAt  time.Time
	allStopped bool
	// previousViewUntil is until when the confirmations of the previous view still
	// permit the use of slots under the current one.
	previousViewUntil time.Time
}

// New returns the tracker of the daemon with incarnation self.
func New(self fleet.Incarnation, opts Options) *Tracker {
	return &Tracker{
		opts:        opts,
		self:        self,
		confirmedAt: map[fleet.Incarnation]time.Time{},
		knownEpoch:  map[fleet.Incarnation]fleet.Epoch{},
		ended:       map[fleet.Incarnation]bool{},
	}
}

// View returns the view in force at this daemon. Callers must not change it.
func (c *Tracker) View() *fleet.View { return &c.view }

// HighestEpoch returns the newest epoch known, which this daemon reports in its
// heartbeats. The daemon confirms no epoch lower than that.
func (c *Tracker) HighestEpoch() fleet.Epoch { return c.highestEpoch }

// Adopt makes v the current view if it is newer. It reports whether it did.
func (c *Tracker) Adopt(now time.Time, v *fleet.View) bool {
	if v.Epoch <= c.view.Epoch {
		return false
	}
	c.previousViewUntil = c.ServingStatus(now).SlotsUntil
	c.view = *v.Clone()
	c.highestEpoch = max(c.highestEpoch, v.Epoch)
	clear(c.confirmedAt)
	c.retiredAt = time.Time{}
	c.allStopped = false
	c.checkRetired(now)
	return true
}

// RecordEpoch records that a peer reported epoch e as the newest it knows.
func (c *Tracker) RecordEpoch(now time.Time, peer fleet.Incarnation, e fleet.Epoch) {
	c.highestEpoch = max(c.highestEpoch, e)
	c.knownEpoch[peer] = max(c.knownEpoch[peer], e)
	c.checkRetired(now)
}

// RecordConfirmation records a peer's reply to a heartbeat that was sent at sentAt
// under epoch asked. e is the newest epoch that the peer knows; the reply confirms
// the view if e equals asked.
func (c *Tracker) RecordConfirmation(now, sentAt time.Time, peer fleet.Incarnation, asked, e fleet.Epoch) {
	c.RecordEpoch(now, peer, e)
	if asked != c.view.Epoch || e != asked {
		return
	}
	if sentAt.After(c.confirmedAt[peer]) {
		c.confirmedAt[peer] = sentAt
	}
}

// MarkEnded records that a member's process has ended according to the platform's
// instance list, so that it can't confirm any view.
func (c *Tracker) MarkEnded(now time.Time, member fleet.Incarnation) {
	c.ended[member] = true
	c.checkRetired(now)
}

// checkRetired sets retiredAt once, for each earlier view, a quorum of its members
// can no longer confirm it, and allStopped once none of them can.
func (c *Tracker) checkRetired(now time.Time) {
	if c.view.Epoch == 0 || c.allStopped {
		return
	}
	retired, all := true, true
	for _, old := range c.view.Unretired {
		stopped, first := c.countStopped(old)
		retired = retired && isQuorum(stopped, first, len(old.Members))
		all = all && stopped == len(old.Members)
	}
	c.allStopped = all
	if retired && c.retiredAt.IsZero() {
		c.retiredAt = now
	}
}

// countStopped counts the members that no longer serve or confirm an earlier view,
// because they know a newer one or have ended. first reports whether the view's
// first member is among them.
func (c *Tracker) countStopped(old fleet.RetiringView) (n int, first bool) {
	for i, m := range old.Members {
		if m == c.self || c.ended[m] || c.knownEpoch[m] > old.Epoch {
			n++
			first = first || i == 0
		}
	}
	return n, first
}

// isQuorum reports whether n of total members are a quorum: a majority, or exactly
// half of them including the view's first member, so that one side goes on serving
// after a network partition into equal halves. Any two quorums of a view have a
// member in common.
func isQuorum(n int, first bool, total int) bool {
	return 2*n > total || (2*n == total && first)
}

// ServingStatus says what a daemon may do under its view. It is computed on the
// control goroutine and read by others, and therefore includes its expiry times.
type ServingStatus struct {
	Epoch fleet.Epoch
	// SlotsUntil is when the daemon must stop using its share of the workers' slots
	// unless a quorum confirms the view again.
	SlotsUntil time.Time
	// ServeUntil is when it must stop acting as an owner of claims. It is zero once
	// a newer epoch is known.
	ServeUntil time.Time
	// EarlierViewsRetired is true if certainly no earlier view is served any more.
	EarlierViewsRetired bool
	Reason              string // why the daemon does not serve; "" if it does
}

// MayUseSlots reports whether the daemon may use its share of the workers' slots at
// time now. Another daemon takes that share over only after it has waited longer
// than a confirmation is valid (see package slots).
func (s ServingStatus) MayUseSlots(now time.Time) bool {
	return s.Epoch > 0 && now.Before(s.SlotsUntil)
}

// HasQuorum reports whether, at time now, a quorum's confirmations of the view are
// valid and no newer epoch is known.
func (s ServingStatus) HasQuorum(now time.Time) bool { return s.Epoch > 0 && now.Before(s.ServeUntil) }

// Serving reports whether the daemon may act as an owner of claims at time now.
//
// Invariant: no two epochs are served at the same time. Serving N requires
// confirmations from a quorum of N's members, each at most ConfirmWindow old; a
// member that knows N+1 neither serves nor confirms N; and N+1 is served only once
// every member of N knows N+1 or has ended, or ConfirmWindow plus DriftMargin after
// a quorum of them did. Two quorums of one view have a member in common.
func (s ServingStatus) Serving(now time.Time) bool { return s.EarlierViewsRetired && s.HasQuorum(now) }

// Values of ServingStatus.Reason.
const (
	ReasonNoView      = "no view yet"
	ReasonNotMember   = "not a member of the view"
	ReasonNewerEpoch  = "a newer epoch exists"
	ReasonNoQuorum    = "no recent confirmation from a quorum"
	ReasonEarlierView = "an earlier view may still be served"
)

// ServingStatus returns this daemon's status at time now.
func (c *Tracker) ServingStatus(now time.Time) ServingStatus {
	s := ServingStatus{Epoch: c.view.Epoch, EarlierViewsRetired: c.earlierViewsRetired(now)}
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
	if c.previousViewUntil.After(confirmed) {
		s.SlotsUntil = c.previousViewUntil
	}
	if c.highestEpoch == c.view.Epoch {
		s.ServeUntil = confirmed
	}
	switch {
	case c.highestEpoch > c.view.Epoch:
		s.Reason = ReasonNewerEpoch
	case !s.HasQuorum(now):
		s.Reason = ReasonNoQuorum
	case !s.EarlierViewsRetired:
		s.Reason = ReasonEarlierView
	}
	return s
}

// confirmedUntil returns until when a quorum's confirmations are valid. The daemon
// itself confirms at every call, so the only member of a view always has a quorum.
func (c *Tracker) confirmedUntil(now time.Time) time.Time {
	times := make([]confirmation, 0, len(c.view.Members))
	for i, m := range c.view.Members {
		at := c.confirmedAt[m.Incarnation]
		if m.Incarnation == c.self {
			at = now
		}
		times = append(times, confirmation{at: at, first: i == 0})
	}
	slices.SortFunc(times, func(a, b confirmation) int { return b.at.Compare(a.at) })
	first := false
	for i, t := range times {
		first = first || t.first
		if isQuorum(i+1, first, len(times)) {
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

// earlierViewsRetired reports whether certainly no earlier view is served any more.
func (c *Tracker) earlierViewsRetired(now time.Time) bool {
	if c.allStopped || c.retiredAt.IsZero() {
		return c.allStopped
	}
	return now.Sub(c.retiredAt) >= c.opts.ConfirmWindow+c.opts.DriftMargin
}
