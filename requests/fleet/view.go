package fleet

import "slices"

// EntryID identifies an entry daemon across restarts.
type EntryID string

// Incarnation identifies one run of an entry daemon. A restarted daemon has lost
// its in-memory state, so it is a new member with the same EntryID.
type Incarnation string

// Epoch numbers the views of the entry daemons. It never decreases.
type Epoch int64

// Entry is the registration of one entry daemon.
type Entry struct {
	ID          EntryID
	Incarnation Incarnation
	Zone        AvailabilityZone
	PeerAddr    string // IP:port of the peer RPC listener
	APIAddr     string // IP:port of the operators' API
}

// View is the agreed set of entry daemons.
type View struct {
	Epoch   Epoch
	Members []Entry // sorted by Incarnation
	// Unretired lists earlier views that their members may still serve. The members
	// of this view serve it only once none of the earlier views is served.
	Unretired []RetiringView `json:",omitempty"`
	// Departed lists the members that were removed because they were leaving and
	// had nothing in flight.
	Departed []Incarnation `json:",omitempty"`
}

// RetiringView is an earlier view that may still be served.
type RetiringView struct {
	Epoch   Epoch
	Members []Incarnation
}

// Member returns the member with the given incarnation, or nil.
func (v *View) Member(i Incarnation) *Entry {
	for k := range v.Members {
		if v.Members[k].Incarnation == i {
			return &v.Members[k]
		}
	}
	return nil
}

// Incarnations lists the members' incarnations in order.
func (v *View) Incarnations() []Incarnation {
	out := make([]Incarnation, len(v.Members))
	for i, m := range v.Members {
		out[i] = m.Incarnation
	}
	return out
}

// Clone returns a deep copy of v.
func (v *View) Clone() *View {
	c := *v
	c.Members = slices.Clone(v.Members)
	c.Unretired = slices.Clone(v.Unretired)
	c.Departed = slices.Clone(v.Departed)
	return &c
}
