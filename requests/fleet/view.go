package fleet

import "slices"

// EntryID names an entry instance; it survives restarts.
type EntryID string

// Incarnation identifies one run of an entry daemon. A restarted daemon has
// lost its memory, so it is a new member under the same EntryID.
type Incarnation string

// Epoch numbers the views of the entry instances. It only grows.
type Epoch int64

// Entry is one entry daemon as it registers itself.
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
	// Unretired lists earlier views that may still be served by their
	// members. The view starts to serve only after each of them is known to
	// have stopped.
	Unretired []RetiringView `json:",omitempty"`
	// Departed lists the members that this view leaves out because they said
	// that they leave and have nothing in flight.
	Departed []Incarnation `json:",omitempty"`
}

// RetiringView is an earlier view that a newer one has to wait for.
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
