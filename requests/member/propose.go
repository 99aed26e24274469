package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/postmount/postmount/requests/fleet"
)

// MaxMembers bounds a view. The connection share of each entry daemon is
// worked out for this number, so that it holds whatever the view is.
const MaxMembers = 8

// Observations is what a daemon knows about the registered entry daemons.
type Observations struct {
	// Registered holds the registrations in the store, from which a daemon's
	// entry vanishes when its lease lapses.
	Registered []fleet.Entry
	// MissingSince is when each member of the view was first seen without a
	// registration, while the store was reachable.
	MissingSince map[fleet.Incarnation]time.Time
	// HeardAt is when each peer last answered this daemon.
	HeardAt map[fleet.Incarnation]time.Time
	// Ended holds the members that the platform knows to have ended.
	Ended map[fleet.Incarnation]bool
	// Stopping holds the members that are leaving with nothing in flight.
	Stopping map[fleet.Incarnation]bool
}

// missingLeast is how long a registration must have been missing; a daemon that
// registers anew in between is not left out.
const missingLeast = 500 * time.Millisecond

// Propose returns the view that should follow cur, or false if cur is right.
// serving tells that the proposer knows every earlier view to have stopped.
//
// A member is left out when it was replaced under the same EntryID, when the
// platform shows it gone, when it says that it is leaving, or when it has no
// registration and has been silent for grace. A lapsed lease alone removes
// nobody: after a store outage every lease may have lapsed.
func Propose(now time.Time, cur *fleet.View, ev Observations, grace time.Duration, serving bool) (*fleet.View, bool) {
	var members []fleet.Entry
	var departed []fleet.Incarnation
	for _, m := range cur.Members {
		switch {
		case !leftOut(now, m, ev, grace):
			members = append(members, m)
		case ev.Stopping[m.Incarnation]:
			departed = append(departed, m.Incarnation)
		}
	}
	for _, e := range ev.Registered {
		known := slices.ContainsFunc(members, func(m fleet.Entry) bool { return m.Incarnation == e.Incarnation })
		if !known && !ev.Ended[e.Incarnation] && !ev.Stopping[e.Incarnation] && len(members) < MaxMembers {
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

func leftOut(now time.Time, m fleet.Entry, ev Observations, grace time.Duration) bool {
	if ev.Ended[m.Incarnation] || ev.Stopping[m.Incarnation] {
		return true
	}
	for _, e := range ev.Registered {
		if e.ID == m.ID {
			return e.Incarnation != m.Incarnation
		}
	}
	missing, ok := ev.MissingSince[m.Incarnation]
	return ok && now.Sub(missing) >= missingLeast && now.Sub(ev.HeardAt[m.Incarnation]) >= grace
}

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
