package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/postmount/postmount/requests/fleet"
)

// MaxMembers is the maximum number of members of a view. Each entry daemon may use
// 1/MaxMembers of the connections that a worker accepts, so that they suffice for
// every view.
const MaxMembers = 8

// Observations are what a daemon knows about the entry daemons.
type Observations struct {
	// Registered holds the registrations in the store. A daemon's registration is
	// deleted when its lease expires.
	Registered []fleet.Entry
	// MissingSince is when each member of the view was first seen without a
	// registration, while the store was reachable.
	MissingSince map[fleet.Incarnation]time.Time
	// HeardAt is when this daemon last received a heartbeat or reply of each peer.
	HeardAt map[fleet.Incarnation]time.Time
	// Ended holds the members that the platform knows to have ended.
	Ended map[fleet.Incarnation]bool
	// Stopping holds the members that are leaving with nothing in flight.
	Stopping map[fleet.Incarnation]bool
}

// minMissing is how long a member's registration must have been missing before the
// member is removed, so that a daemon that registers again in the meantime stays.
const minMissing = 500 * time.Millisecond

// Propose returns the view that should follow cur, or false if cur need not change.
// serving is true if the proposer serves cur, and thus no earlier view is served.
//
// A member is removed if it was replaced under the same EntryID, if the platform
// reports that it ended, if it is leaving, or if it has no registration and has
// been silent for grace. An expired lease alone removes no member, because after a
// store outage every lease may have expired.
func Propose(now time.Time, cur *fleet.View, obs Observations, grace time.Duration, serving bool) (*fleet.View, bool) {
	var members []fleet.Entry
	var departed []fleet.Incarnation
	for _, m := range cur.Members {
		switch {
		case !mustLeave(now, m, obs, grace):
			members = append(members, m)
		case obs.Stopping[m.Incarnation]:
			departed = append(departed, m.Incarnation)
		}
	}
	for _, e := range obs.Registered {
		known := slices.ContainsFunc(members, func(m fleet.Entry) bool { return m.Incarnation == e.Incarnation })
		if !known && !obs.Ended[e.Incarnation] && !obs.Stopping[e.Incarnation] && len(members) < MaxMembers {
			members = append(members, e)
		}
	}
	slices.SortFunc(members, func(a, b fleet.Entry) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	if slices.Equal(members, cur.Members) || len(members) == 0 {
		return nil, false
	}
	next := &fleet.View{Epoch: cur.Epoch + 1, Members: members, Unretired: unretired(cur, serving), Departed: departed}
	return next, true
}

// mustLeave reports whether member m of the current view is to be removed; see
// Propose.
func mustLeave(now time.Time, m fleet.Entry, obs Observations, grace time.Duration) bool {
	if obs.Ended[m.Incarnation] || obs.Stopping[m.Incarnation] {
		return true
	}
	for _, e := range obs.Registered {
		if e.ID == m.ID {
			return e.Incarnation != m.Incarnation
		}
	}
	missing, ok := obs.MissingSince[m.Incarnation]
	return ok && now.Sub(missing) >= minMissing && now.Sub(obs.HeardAt[m.Incarnation]) >= grace
}

// unretired returns the unretired views of the view after cur: cur itself and, unless
// cur is being served, the ones that cur lists.
func unretired(cur *fleet.View, serving bool) []fleet.RetiringView {
	if cur.Epoch == 0 {
		return nil
	}
	var out []fleet.RetiringView
	if !serving {
		out = slices.Clone(cur.Unretired)
	}
	return append(out, fleet.RetiringView{Epoch: cur.Epoch, Members: cur.Incarnations()})
}
