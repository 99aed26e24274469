// Package slots divides the request slots of every worker among the entry
// daemons, so that all of them together never use more than the worker has.
//
// Each daemon has a base share of each worker, worked out from the view alone.
// Shares that lie idle are lent to peers. Everything here is pure.
package slots

import (
	"slices"
	"time"

	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/requests/rendezvous"
)

// LoanID identifies one loan; the borrower chooses it.
type LoanID string

// Loan is one slot of a worker lent from one daemon to another.
type Loan struct {
	ID       LoanID
	Epoch    fleet.Epoch
	Worker   fleet.InstanceID
	Lender   fleet.Incarnation
	Borrower fleet.Incarnation
	At       time.Time
}

// workerSlots is this daemon's account of one workerSlots.
type workerSlots struct {
	total    int
	base     int // usable base share: the least of all unsettled views' shares
	nextBase int // base share under the view in force
	lent     int
	borrowed int
	inUse    int
}

func (w *workerSlots) capacity() int { return max(w.base-w.lent, 0) + w.borrowed }
func (w *workerSlots) free() int     { return w.capacity() - w.inUse }

// Allocator is one daemon's account of all workers. It is not safe for concurrent
// use.
type Allocator struct {
	self    fleet.Incarnation
	view    *fleet.View
	workers map[fleet.InstanceID]*workerSlots
	// settledPeers holds the members that have no more than their new base share
	// in use under the view in force.
	settledPeers map[fleet.Incarnation]bool
	// memberLost tells that a member of an earlier view ended without leaving;
	// its requests may still run on workers. quietSince is when every member
	// of the view had settled and every earlier view had stopped.
	memberLost    bool
	drainStart    time.Time
	settled       bool // every member settled: base == next
	lent          map[LoanID]Loan
	borrowed      map[LoanID]Loan
	returnedEarly map[LoanID]bool // loans returned before they were asked for
	// drainTime is how long after its view stopped a vanished daemon's requests may
	// still run on workers.
	drainTime time.Duration
}

// New returns the account of daemon self. drain is the longest time that a
// request may run on a worker, and the time that a confirmation of a view
// counts.
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
// view v. The shares of all members add up to total.
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

// SetWorkers tells which workers there are and how many slots each has. A
// worker that is new to this daemon is also new to the others.
func (c *Allocator) SetWorkers(totals map[fleet.InstanceID]int) {
	for id, total := range totals {
		w, ok := c.workers[id]
		if !ok {
			w = &workerSlots{}
			c.workers[id] = w
		}
		if w.total == total {
			continue
		}
		w.total = total
		w.nextBase = BaseShare(c.view, c.self, id, total)
		if c.settled {
			w.base = w.nextBase
		}
		w.base = min(w.base, w.nextBase)
	}
	for id, w := range c.workers {
		if _, ok := totals[id]; !ok && w.inUse == 0 && w.lent == 0 && w.borrowed == 0 {
			delete(c.workers, id)
		}
	}
}

// SetView puts a newer view in force.
//
// Invariant: over all daemons, the slots in use of a worker never exceed its
// total. Reason: until every member of the new view has settled, and the
// requests of those that vanished have ended, each may take up new slots only
// below the least of its shares in all unsettled views, less what it lent; loans
// end with their view, but the lender's account keeps them until then.
func (c *Allocator) SetView(v *fleet.View) {
	c.memberLost = c.memberLost || c.anyMemberLost(v)
	c.drainStart = time.Time{}
	first := v.Epoch == 1
	c.view = v
	clear(c.settledPeers)
	clear(c.borrowed)
	clear(c.returnedEarly)
	c.settled = false
	for id, w := range c.workers {
		w.nextBase = BaseShare(v, c.self, id, w.total)
		if first {
			w.base = w.nextBase
		}
		w.base = min(w.base, w.nextBase)
		w.borrowed = 0
	}
	c.settled = first
}

// anyMemberLost reports whether a member of an earlier view that is not known to
// have stopped is missing from v without having left. A daemon that is new to
// the views learns of earlier members from v itself.
func (c *Allocator) anyMemberLost(v *fleet.View) bool {
	gone := func(m fleet.Incarnation) bool { return v.Member(m) == nil && !slices.Contains(v.Departed, m) }
	if slices.ContainsFunc(c.view.Incarnations(), gone) {
		return true
	}
	return slices.ContainsFunc(v.Unretired, func(old fleet.RetiringView) bool { return slices.ContainsFunc(old.Members, gone) })
}

// SelfSettled reports whether this daemon has at most its new share in use,
// loans of the new view aside.
func (c *Allocator) SelfSettled() bool {
	for _, w := range c.workers {
		if w.inUse-w.borrowed > w.nextBase {
			return false
		}
	}
	return c.view.Epoch > 0
}

// PeerSettled notes that a member reported itself settled under epoch e.
func (c *Allocator) PeerSettled(peer fleet.Incarnation, e fleet.Epoch) {
	if e == c.view.Epoch {
		c.settledPeers[peer] = true
	}
}

// ActivateShares takes up the new base shares once everyone has settled. retired tells
// that every earlier view has certainly stopped.
func (c *Allocator) ActivateShares(now time.Time, retired bool) {
	if c.settled || !c.earlierViewsDrained(now, retired) {
		return
	}
	c.settled = true
	c.memberLost = false
	for id, l := range c.lent {
		if l.Epoch < c.view.Epoch {
			c.workers[l.Worker].lent--
			delete(c.lent, id)
		}
	}
	for _, w := range c.workers {
		w.base = w.nextBase
	}
}

// earlierViewsDrained reports whether nothing of earlier views can still be in use: every
// member has settled, and if one vanished, its requests have certainly ended.
// A vanished member may go on sending until its last confirmation lapses.
func (c *Allocator) earlierViewsDrained(now time.Time, retired bool) bool {
	if !c.allSettled() {
		return false
	}
	if !c.memberLost {
		return true
	}
	if !retired {
		return false
	}
	if c.drainStart.IsZero() {
		c.drainStart = now
	}
	return now.Sub(c.drainStart) >= c.drainTime
}

func (c *Allocator) allSettled() bool {
	for _, m := range c.view.Members {
		if m.Incarnation != c.self && !c.settledPeers[m.Incarnation] {
			return false
		}
	}
	return c.SelfSettled()
}

// Settled reports whether the shares of the view in force are all taken up.
func (c *Allocator) Settled() bool { return c.settled }

// Free returns how many more requests this daemon may send to worker id now.
func (c *Allocator) Free(id fleet.InstanceID) int {
	w := c.workers[id]
	if w == nil {
		return 0
	}
	return max(w.free(), 0)
}

// Capacity returns how many requests this daemon may have on worker id.
func (c *Allocator) Capacity(id fleet.InstanceID) int {
	w := c.workers[id]
	if w == nil {
		return 0
	}
	return w.capacity()
}

// InUse returns how many requests this daemon has on worker id.
func (c *Allocator) InUse(id fleet.InstanceID) int {
	w := c.workers[id]
	if w == nil {
		return 0
	}
	return w.inUse
}

// Acquire takes one slot of worker id if there is one.
func (c *Allocator) Acquire(id fleet.InstanceID) bool {
	w := c.workers[id]
	if w == nil || w.free() <= 0 {
		return false
	}
	w.inUse++
	return true
}

// Release gives a slot of worker id back.
func (c *Allocator) Release(id fleet.InstanceID) {
	if w := c.workers[id]; w != nil && w.inUse > 0 {
		w.inUse--
	}
}

// Lend lends one idle slot of one of the wanted workers. keep tells how many
// idle slots of a worker stay here.
func (c *Allocator) Lend(now time.Time, id LoanID, borrower fleet.Incarnation, epoch fleet.Epoch, wanted []fleet.InstanceID, keep func(fleet.InstanceID) int) (Loan, bool) {
	if l, again := c.lent[id]; again {
		return l, true
	}
	if epoch != c.view.Epoch || c.returnedEarly[id] || c.view.Member(borrower) == nil {
		return Loan{}, false
	}
	for _, name := range wanted {
		w := c.workers[name]
		if w == nil || w.free() <= keep(name) || w.base-w.lent <= 0 {
			continue
		}
		w.lent++
		l := Loan{ID: id, Epoch: epoch, Worker: name, Lender: c.self, Borrower: borrower, At: now}
		c.lent[id] = l
		return l, true
	}
	return Loan{}, false
}

// AddBorrowed takes up a loan that a peer granted. It reports false if the loan
// is of another view and must not be used.
func (c *Allocator) AddBorrowed(l Loan) bool {
	w := c.workers[l.Worker]
	if l.Epoch != c.view.Epoch || w == nil {
		return false
	}
	if _, again := c.borrowed[l.ID]; !again {
		c.borrowed[l.ID] = l
		w.borrowed++
	}
	return true
}

// TakeBack takes back a loan. A loan that was never asked for is remembered,
// so that a request for it that comes later is refused.
func (c *Allocator) TakeBack(id LoanID) {
	l, ok := c.lent[id]
	if !ok {
		c.returnedEarly[id] = true
		return
	}
	delete(c.lent, id)
	if w := c.workers[l.Worker]; w != nil {
		w.lent--
	}
}

// ReleaseIdle lists the loans taken before the given time whose slot is free; they
// are given up here, and the shell tells the lenders.
func (c *Allocator) ReleaseIdle(before time.Time) []Loan {
	var out []Loan
	for id, l := range c.borrowed {
		w := c.workers[l.Worker]
		if l.At.Before(before) && w.free() > 0 {
			w.borrowed--
			delete(c.borrowed, id)
			out = append(out, l)
		}
	}
	return out
}

// Lent returns how many slots of worker id are lent out.
func (c *Allocator) Lent(id fleet.InstanceID) int {
	if w := c.workers[id]; w != nil {
		return w.lent
	}
	return 0
}
