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
	// ended holds the members whose process has ended.
	ended map[fleet.Incarnation]bool
	// retiredAt is when it was first known that no earlier view can reach a quorum
	// again; zero before.
	retiredAt time.Time
	// allStopped is true once every member of every earlier view is known to have
	// stopped serving it.
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
func (t *Tracker) View() *fleet.View { return &t.view }

// HighestEpoch returns the newest epoch known, which this daemon reports in its
// heartbeats. The daemon confirms no epoch lower than that.
func (t *Tracker) HighestEpoch() fleet.Epoch { return t.highestEpoch }

// Adopt makes v the current view if it is newer. It reports whether it did.
func (t *Tracker) Adopt(now time.Time, v *fleet.View) bool {
	if v.Epoch <= t.view.Epoch {
		return false
	}
	t.previousViewUntil = t.ServingStatus(now).SlotsUntil
	t.view = *v.Clone()
	t.highestEpoch = max(t.highestEpoch, v.Epoch)
	clear(t.confirmedAt)
	t.retiredAt = time.Time{}
	t.allStopped = false
	t.checkRetired(now)
	return true
}

// RecordEpoch records that a peer reported epoch e as the newest it knows.
func (t *Tracker) RecordEpoch(now time.Time, peer fleet.Incarnation, e fleet.Epoch) {
	t.highestEpoch = max(t.highestEpoch, e)
	t.knownEpoch[peer] = max(t.knownEpoch[peer], e)
	t.checkRetired(now)
}

// RecordConfirmation records a peer's reply to a heartbeat that was sent at sentAt
// under epoch asked. e is the newest epoch that the peer knows; the reply confirms
// the view if e equals asked.
func (t *Tracker) RecordConfirmation(now, sentAt time.Time, peer fleet.Incarnation, asked, e fleet.Epoch) {
	t.RecordEpoch(now, peer, e)
	if asked != t.view.Epoch || e != asked {
		return
	}
	if sentAt.After(t.confirmedAt[peer]) {
		t.confirmedAt[peer] = sentAt
	}
}

// MarkEnded records that a member's process has ended according to the platform's
// instance list, so that it can't confirm any view.
func (t *Tracker) MarkEnded(now time.Time, member fleet.Incarnation) {
	t.ended[member] = true
	t.checkRetired(now)
}

// checkRetired sets retiredAt once, for each earlier view, a quorum of its members
// can no longer confirm it, and allStopped once none of them can.
func (t *Tracker) checkRetired(now time.Time) {
	if t.view.Epoch == 0 || t.allStopped {
		return
	}
	retired, all := true, true
	for _, old := range t.view.Unretired {
		stopped, first := t.countStopped(old)
		retired = retired && isQuorum(stopped, first, len(old.Members))
		all = all && stopped == len(old.Members)
	}
	t.allStopped = all
	if retired && t.retiredAt.IsZero() {
		t.retiredAt = now
	}
}

// countStopped counts the members that no longer serve or confirm an earlier view,
// because they know a newer one or have ended. first reports whether the view's
// first member is among them.
func (t *Tracker) countStopped(old fleet.RetiringView) (n int, first bool) {
	for i, m := range old.Members {
		if m == t.self || t.ended[m] || t.knownEpoch[m] > old.Epoch {
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
func (t *Tracker) ServingStatus(now time.Time) ServingStatus {
	s := ServingStatus{Epoch: t.view.Epoch, EarlierViewsRetired: t.earlierViewsRetired(now)}
	switch {
	case t.view.Epoch == 0:
		s.Reason = ReasonNoView
		return s
	case t.view.Member(t.self) == nil:
		s.Reason = ReasonNotMember
		return s
	}
	confirmed := t.confirmedUntil(now)
	s.SlotsUntil = confirmed
	if t.previousViewUntil.After(confirmed) {
		s.SlotsUntil = t.previousViewUntil
	}
	if t.highestEpoch == t.view.Epoch {
		s.ServeUntil = confirmed
	}
	switch {
	case t.highestEpoch > t.view.Epoch:
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
func (t *Tracker) confirmedUntil(now time.Time) time.Time {
	confirmations := make([]confirmation, 0, len(t.view.Members))
	for i, m := range t.view.Members {
		at := t.confirmedAt[m.Incarnation]
		if m.Incarnation == t.self {
			at = now
		}
		confirmations = append(confirmations, confirmation{at: at, first: i == 0})
	}
	slices.SortFunc(confirmations, func(a, b confirmation) int { return b.at.Compare(a.at) })
	first := false
	for i, conf := range confirmations {
		first = first || conf.first
		if isQuorum(i+1, first, len(confirmations)) {
			if conf.at.IsZero() {
				return time.Time{}
			}
			return conf.at.Add(t.opts.ConfirmWindow)
		}
	}
	return time.Time{}
}

type confirmation struct {
	at    time.Time
	first bool // of the view's first member
}

// earlierViewsRetired reports whether certainly no earlier view is served any more.
func (t *Tracker) earlierViewsRetired(now time.Time) bool {
	if t.allStopped || t.retiredAt.IsZero() {
		return t.allStopped
	}
	return now.Sub(t.retiredAt) >= t.opts.ConfirmWindow+t.opts.DriftMargin
}
