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

// worker is this daemon's account of one worker.
type worker struct {
	total    int
	base     int // usable base share: the least of all unsettled views' shares
	next     int // base share under the view in force
	lent     int
	borrowed int
	inUse    int
}

func (w *worker) capacity() int { return max(w.base-w.lent, 0) + w.borrowed }
func (w *worker) free() int     { return w.capacity() - w.inUse }

// Core is one daemon's account of all workers. It is not safe for concurrent
// use.
type Core struct {
	self    fleet.Incarnation
	view    *fleet.View
	workers map[fleet.InstanceID]*worker
	// settledBy holds the members that have no more than their new base share
	// in use under the view in force.
	settledBy map[fleet.Incarnation]bool
	// vanished tells that a member of an earlier view ended without leaving;
	// its requests may still run on workers. quietSince is when every member
	// of the view had settled and every earlier view had stopped.
	vanished   bool
	quietSince time.Time
	settled    bool // every member settled: base == next
	lent       map[LoanID]Loan
	borrowed   map[LoanID]Loan
	refused    map[LoanID]bool // loans returned before they were asked for
	// drain is how long after its view stopped a vanished daemon's requests may
	// still run on workers.
	drain time.Duration
}

// New returns the account of daemon self. drain is the longest time that a
// request may run on a worker, and the time that a confirmation of a view
// counts.
func New(self fleet.Incarnation, drain time.Duration) *Core {
	return &Core{
		self:      self,
		view:      &fleet.View{},
		workers:   map[fleet.InstanceID]*worker{},
		settledBy: map[fleet.Incarnation]bool{},
		lent:      map[LoanID]Loan{},
		borrowed:  map[LoanID]Loan{},
		refused:   map[LoanID]bool{},
		drain:     drain,
	}
}

// Share returns daemon self's base share of a worker with total slots under
// view v. The shares of all members add up to total.
func Share(v *fleet.View, self fleet.Incarnation, w fleet.InstanceID, total int) int {
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
func (c *Core) SetWorkers(totals map[fleet.InstanceID]int) {
	for id, total := range totals {
		w, ok := c.workers[id]
		if !ok {
			w = &worker{}
			c.workers[id] = w
		}
		if w.total == total {
			continue
		}
		w.total = total
		w.next = Share(c.view, c.self, id, total)
		if c.settled {
			w.base = w.next
		}
		w.base = min(w.base, w.next)
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
func (c *Core) SetView(v *fleet.View) {
	c.vanished = c.vanished || c.anyVanished(v)
	c.quietSince = time.Time{}
	first := v.Epoch == 1
	c.view = v
	clear(c.settledBy)
	clear(c.borrowed)
	clear(c.refused)
	c.settled = false
	for id, w := range c.workers {
		w.next = Share(v, c.self, id, w.total)
		if first {
			w.base = w.next
		}
		w.base = min(w.base, w.next)
		w.borrowed = 0
	}
	c.settled = first
}

// anyVanished reports whether a member of an earlier view that is not known to
// have stopped is missing from v without having left. A daemon that is new to
// the views learns of earlier members from v itself.
func (c *Core) anyVanished(v *fleet.View) bool {
	gone := func(m fleet.Incarnation) bool { return v.Member(m) == nil && !slices.Contains(v.Departed, m) }
	if slices.ContainsFunc(c.view.Incarnations(), gone) {
		return true
	}
	return slices.ContainsFunc(v.Unretired, func(old fleet.RetiringView) bool { return slices.ContainsFunc(old.Members, gone) })
}

// SelfSettled reports whether this daemon has at most its new share in use,
// loans of the new view aside.
func (c *Core) SelfSettled() bool {
	for _, w := range c.workers {
		if w.inUse-w.borrowed > w.next {
			return false
		}
	}
	return c.view.Epoch > 0
}

// PeerSettled notes that a member reported itself settled under epoch e.
func (c *Core) PeerSettled(peer fleet.Incarnation, e fleet.Epoch) {
	if e == c.view.Epoch {
		c.settledBy[peer] = true
	}
}

// Tick takes up the new base shares once everyone has settled. retired tells
// that every earlier view has certainly stopped.
func (c *Core) Tick(now time.Time, retired bool) {
	if c.settled || !c.quiet(now, retired) {
		return
	}
	c.settled = true
	c.vanished = false
	for id, l := range c.lent {
		if l.Epoch < c.view.Epoch {
			c.workers[l.Worker].lent--
			delete(c.lent, id)
		}
	}
	for _, w := range c.workers {
		w.base = w.next
	}
}

// quiet reports whether nothing of earlier views can still be in use: every
// member has settled, and if one vanished, its requests have certainly ended.
// A vanished member may go on sending until its last confirmation lapses.
func (c *Core) quiet(now time.Time, retired bool) bool {
	if !c.membersSettled() {
		return false
	}
	if !c.vanished {
		return true
	}
	if !retired {
		return false
	}
	if c.quietSince.IsZero() {
		c.quietSince = now
	}
	return now.Sub(c.quietSince) >= c.drain
}

func (c *Core) membersSettled() bool {
	for _, m := range c.view.Members {
		if m.Incarnation != c.self && !c.settledBy[m.Incarnation] {
			return false
		}
	}
	return c.SelfSettled()
}

// Settled reports whether the shares of the view in force are all taken up.
func (c *Core) Settled() bool { return c.settled }

// Free returns how many more requests this daemon may send to worker id now.
func (c *Core) Free(id fleet.InstanceID) int {
	w := c.workers[id]
	if w == nil {
		return 0
	}
	return max(w.free(), 0)
}

// Capacity returns how many requests this daemon may have on worker id.
func (c *Core) Capacity(id fleet.InstanceID) int {
	w := c.workers[id]
	if w == nil {
		return 0
	}
	return w.capacity()
}

// InUse returns how many requests this daemon has on worker id.
func (c *Core) InUse(id fleet.InstanceID) int {
	w := c.workers[id]
	if w == nil {
		return 0
	}
	return w.inUse
}

// Acquire takes one slot of worker id if there is one.
func (c *Core) Acquire(id fleet.InstanceID) bool {
	w := c.workers[id]
	if w == nil || w.free() <= 0 {
		return false
	}
	w.inUse++
	return true
}

// Release gives a slot of worker id back.
func (c *Core) Release(id fleet.InstanceID) {
	if w := c.workers[id]; w != nil && w.inUse > 0 {
		w.inUse--
	}
}

// Lend lends one idle slot of one of the wanted workers. keep tells how many
// idle slots of a worker stay here.
func (c *Core) Lend(now time.Time, id LoanID, borrower fleet.Incarnation, epoch fleet.Epoch, wanted []fleet.InstanceID, keep func(fleet.InstanceID) int) (Loan, bool) {
	if l, again := c.lent[id]; again {
		return l, true
	}
	if epoch != c.view.Epoch || c.refused[id] || c.view.Member(borrower) == nil {
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

// Borrowed takes up a loan that a peer granted. It reports false if the loan
// is of another view and must not be used.
func (c *Core) Borrowed(l Loan) bool {
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

// Returned takes back a loan. A loan that was never asked for is remembered,
// so that a request for it that comes later is refused.
func (c *Core) Returned(id LoanID) {
	l, ok := c.lent[id]
	if !ok {
		c.refused[id] = true
		return
	}
	delete(c.lent, id)
	if w := c.workers[l.Worker]; w != nil {
		w.lent--
	}
}

// Idle lists the loans taken before the given time whose slot is free; they
// are given up here, and the shell tells the lenders.
func (c *Core) Idle(before time.Time) []Loan {
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
func (c *Core) Lent(id fleet.InstanceID) int {
	if w := c.workers[id]; w != nil {
		return w.lent
	}
	return 0
}
