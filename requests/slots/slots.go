// Package slots divides the request slots of every worker among the entry
// daemons so that together they never exceed the worker's capacity.
//
// Each daemon has a base share of each worker, computed from the view alone.
// Idle slots are lent to peers. The package does no I/O and reads no clock.
package slots

import (
	"slices"
	"time"

	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/requests/rendezvous"
)

// LoanID identifies a loan. The borrower generates it.
type LoanID string

// Loan is one slot of a worker lent by one daemon to another. It is valid only
// under the view of its epoch.
type Loan struct {
	ID       LoanID
	Epoch    fleet.Epoch
	Worker   fleet.InstanceID
	Lender   fleet.Incarnation
	Borrower fleet.Incarnation
	At       time.Time // when it was granted, by the lender's clock
}

// workerSlots counts the slots of one worker as this daemon sees them.
type workerSlots struct {
	total    int
	base     int // usable base share: the minimum over all unsettled views
	nextBase int // base share under the current view
	lent     int // lent to peers, from the base share
	borrowed int // borrowed from peers
	inUse    int // taken by requests of this daemon
}

func (w *workerSlots) capacity() int { return max(w.base-w.lent, 0) + w.borrowed }
func (w *workerSlots) free() int     { return w.capacity() - w.inUse }

// Allocator tracks one daemon's slots on all workers. It is not safe for
// concurrent use.
type Allocator struct {
	self    fleet.Incarnation
	view    *fleet.View
	workers map[fleet.InstanceID]*workerSlots
	// settledPeers holds the members that use no more than their base share under
	// the current view.
	settledPeers map[fleet.Incarnation]bool
	// memberLost is true if a member of an earlier view is missing from the current
	// view without having left; its requests may still run on workers.
	memberLost bool
	// drainStart is when it was first seen that every member of the current view
	// had settled and every earlier view had retired; zero before.
	drainStart    time.Time
	settled       bool // the base shares of the current view are in use: base == nextBase
	lent          map[LoanID]Loan
	borrowed      map[LoanID]Loan
	returnedEarly map[LoanID]bool // loans returned before their request arrived
	// drainTime is how long the requests of a lost member may still run on
	// workers after its view retired.
	drainTime time.Duration
}

// New returns the allocator of daemon self. drain is the maximum time that a
// request runs on a worker plus the time for which a confirmation of a view
// is valid.
func New(self fleet.Incarnation, drain time.Duration) *Allocator {
	return &Allocator{
		self:          self,
		view:          &fleet.View{},
		workers:       map[fleet.InstanceID]*workerSlots{},
		settledPeers:  map[fleet.Incarnation]bool{},
		lent:          map[LoanID]Loan{},
		borrowed:      map[LoanID]Loan{},
		returnedEarly: map[LoanID]bool{},
		drainTime:     drain,
	}
}

// BaseShare returns daemon self's base share of a worker with total slots under
// view v, 0 if it isn't a member. The shares of all members sum to total.
func BaseShare(v *fleet.View, self fleet.Incarnation, w fleet.InstanceID, total int) int {
	n := len(v.Members)
	if n == 0 || v.Member(self) == nil {
		return 0
	}
	share := total / n
	if rendezvous.Rank(v.Incarnations(), self, "slots/"+string(w)) < total%n {
		share++
	}
	return share
}

// SetWorkers sets the known workers and their number of slots. A worker that is
// new to this daemon is new to its peers too, so none of its slots are in use and its
// base share is available immediately if the current view has settled.
func (a *Allocator) SetWorkers(totals map[fleet.InstanceID]int) {
	for id, total := range totals {
		w, ok := a.workers[id]
		if !ok {
			w = &workerSlots{}
			a.workers[id] = w
		}
		if w.total == total {
			continue
		}
		w.total = total
		w.nextBase = BaseShare(a.view, a.self, id, total)
		if a.settled {
			w.base = w.nextBase
		}
		w.base = min(w.base, w.nextBase)
	}
	for id, w := range a.workers {
		if _, ok := totals[id]; !ok && w.inUse == 0 && w.lent == 0 && w.borrowed == 0 {
			delete(a.workers, id)
		}
	}
}

// SetView switches to a newer view.
//
// Invariant: over all daemons, the slots in use on a worker never exceed its
// total. Until every member of the new view has settled and the requests of lost
// members have ended, each daemon may acquire slots only up to the minimum of
// its shares in all unsettled views, less what it has lent. Borrowers drop their
// loans when the view changes; lenders count the slots as lent until the new view
// has settled.
func (a *Allocator) SetView(v *fleet.View) {
	a.memberLost = a.memberLost || a.anyMemberLost(v)
	a.drainStart = time.Time{}
	firstView := v.Epoch == 1
	a.view = v
	clear(a.settledPeers)
	clear(a.borrowed)
	clear(a.returnedEarly)
	a.settled = false
	for id, w := range a.workers {
		w.nextBase = BaseShare(v, a.self, id, w.total)
		if firstView {
			w.base = w.nextBase
		}
		w.base = min(w.base, w.nextBase)
		w.borrowed = 0
	}
	a.settled = firstView
}

// anyMemberLost reports whether a member of an unretired earlier view is missing
// from v without having left. A daemon that has just joined learns of earlier
// members from v itself.
func (a *Allocator) anyMemberLost(v *fleet.View) bool {
	lost := func(m fleet.Incarnation) bool { return v.Member(m) == nil && !slices.Contains(v.Departed, m) }
	if slices.ContainsFunc(a.view.Incarnations(), lost) {
		return true
	}
	return slices.ContainsFunc(v.Unretired, func(old fleet.RetiringView) bool { return slices.ContainsFunc(old.Members, lost) })
}

// SelfSettled reports whether this daemon uses no more than its base share under
// the current view, not counting slots borrowed under it.
func (a *Allocator) SelfSettled() bool {
	for _, w := range a.workers {
		if w.inUse-w.borrowed > w.nextBase {
			return false
		}
	}
	return a.view.Epoch > 0
}

// PeerSettled records that a member reported itself settled under epoch e.
func (a *Allocator) PeerSettled(peer fleet.Incarnation, e fleet.Epoch) {
	if e == a.view.Epoch {
		a.settledPeers[peer] = true
	}
}

// ActivateShares puts the base shares of the current view into use once all
// members have settled and earlier views have drained. retired means that no
// earlier view can still be served. It is called periodically.
func (a *Allocator) ActivateShares(now time.Time, retired bool) {
	if a.settled || !a.earlierViewsDrained(now, retired) {
		return
	}
	a.settled = true
	a.memberLost = false
	for id, l := range a.lent {
		if l.Epoch < a.view.Epoch {
			a.workers[l.Worker].lent--
			delete(a.lent, id)
		}
	}
	for _, w := range a.workers {
		w.base = w.nextBase
	}
}

// earlierViewsDrained reports whether no slots of earlier views can still be in
// use: every member has settled and the requests of lost members have ended. A
// lost member may keep sending until its last confirmation expires.
func (a *Allocator) earlierViewsDrained(now time.Time, retired bool) bool {
	if !a.allSettled() {
		return false
	}
	if !a.memberLost {
		return true
	}
	if !retired {
		return false
	}
	if a.drainStart.IsZero() {
		a.drainStart = now
	}
	return now.Sub(a.drainStart) >= a.drainTime
}

// allSettled reports whether every member of the current view, including this one,
// has settled under it; see SelfSettled.
func (a *Allocator) allSettled() bool {
	for _, m := range a.view.Members {
		if m.Incarnation != a.self && !a.settledPeers[m.Incarnation] {
			return false
		}
	}
	return a.SelfSettled()
}

// Settled reports whether the base shares of the current view are in use.
func (a *Allocator) Settled() bool { return a.settled }

// Free returns the number of slots on worker id that this daemon can acquire now.
func (a *Allocator) Free(id fleet.InstanceID) int {
	w := a.workers[id]
	if w == nil {
		return 0
	}
	return max(w.free(), 0)
}

// Capacity returns the number of slots on worker id that this daemon may use.
func (a *Allocator) Capacity(id fleet.InstanceID) int {
	w := a.workers[id]
	if w == nil {
		return 0
	}
	return w.capacity()
}

// InUse returns the number of slots on worker id that this daemon uses.
func (a *Allocator) InUse(id fleet.InstanceID) int {
	w := a.workers[id]
	if w == nil {
		return 0
	}
	return w.inUse
}

// Acquire takes a slot of worker id. It returns false if none is free.
func (a *Allocator) Acquire(id fleet.InstanceID) bool {
	w := a.workers[id]
	if w == nil || w.free() <= 0 {
		return false
	}
	w.inUse++
	return true
}

// Release frees a slot of worker id.
func (a *Allocator) Release(id fleet.InstanceID) {
	if w := a.workers[id]; w != nil && w.inUse > 0 {
		w.inUse--
	}
}

// Lend lends one idle slot of the first wanted worker that has more idle slots than
// keep returns for it, and has not lent its whole base share yet. Repeated calls with
// the same ID return the same loan.
func (a *Allocator) Lend(now time.Time, id LoanID, borrower fleet.Incarnation, epoch fleet.Epoch, wanted []fleet.InstanceID, keep func(fleet.InstanceID) int) (Loan, bool) {
	if l, repeated := a.lent[id]; repeated {
		return l, true
	}
	if epoch != a.view.Epoch || a.returnedEarly[id] || a.view.Member(borrower) == nil {
		return Loan{}, false
	}
	for _, name := range wanted {
		w := a.workers[name]
		if w == nil || w.free() <= keep(name) || w.base-w.lent <= 0 {
			continue
		}
		w.lent++
		l := Loan{ID: id, Epoch: epoch, Worker: name, Lender: a.self, Borrower: borrower, At: now}
		a.lent[id] = l
		return l, true
	}
	return Loan{}, false
}

// AddBorrowed adds a loan that a peer granted. It returns false if the loan
// belongs to another view or its worker is unknown; it must not be used then.
func (a *Allocator) AddBorrowed(l Loan) bool {
	w := a.workers[l.Worker]
	if l.Epoch != a.view.Epoch || w == nil {
		return false
	}
	if _, repeated := a.borrowed[l.ID]; !repeated {
		a.borrowed[l.ID] = l
		w.borrowed++
	}
	return true
}

// TakeBack ends a loan on the lender's side. If the ID is unknown, it is
// remembered so that a request for the loan that arrives later is refused.
func (a *Allocator) TakeBack(id LoanID) {
	l, ok := a.lent[id]
	if !ok {
		a.returnedEarly[id] = true
		return
	}
	delete(a.lent, id)
	if w := a.workers[l.Worker]; w != nil {
		w.lent--
	}
}

// ReleaseIdle drops and returns the borrowed slots that are free and were granted
// before the given time. The caller returns them to their lenders.
func (a *Allocator) ReleaseIdle(before time.Time) []Loan {
	var out []Loan
	for id, l := range a.borrowed {
		w := a.workers[l.Worker]
		if l.At.Before(before) && w.free() > 0 {
			w.borrowed--
			delete(a.borrowed, id)
			out = append(out, l)
		}
	}
	return out
}

// Lent returns the number of slots of worker id that are lent to peers.
func (a *Allocator) Lent(id fleet.InstanceID) int {
	if w := a.workers[id]; w != nil {
		return w.lent
	}
	return 0
}
