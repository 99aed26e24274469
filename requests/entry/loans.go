package entry

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/postmount/postmount/internal/sleep"
	"github.com/postmount/postmount/requests/directory"
	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/requests/port"
	"github.com/postmount/postmount/requests/slots"
)

// Timing of slot loans.
const (
	// loanIdleTimeout is the age from which a loan is returned once its slot is free,
	// and the interval between attempts to return it.
	loanIdleTimeout = 300 * time.Millisecond
	// loanTickInterval is the interval between calls of loanTick.
	loanTickInterval = 100 * time.Millisecond
	// peakDecay is the factor applied to recentPeak at each call of loanTick.
	peakDecay = 0.97
	// borrowRetryDelay is the delay after all peers have refused.
	borrowRetryDelay = 20 * time.Millisecond
	// returnTimeout is how long returning a loan is attempted.
	returnTimeout = 30 * time.Second
)

// SetView implements cluster.SlotShares.
func (d *Dispatcher) SetView(v *fleet.View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.view = v
	d.slots.SetView(v)
	d.grantAllWaiting(time.Now())
}

// SelfSettled implements cluster.SlotShares.
func (d *Dispatcher) SelfSettled() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.slots.SelfSettled()
}

// PeerSettled implements cluster.SlotShares.
func (d *Dispatcher) PeerSettled(peer fleet.Incarnation, e fleet.Epoch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.slots.PeerSettled(peer, e)
}

// ActivateShares implements cluster.SlotShares. It activates the shares of the
// current view once no slots of earlier views can be in use.
func (d *Dispatcher) ActivateShares(now time.Time, retired bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.slots.ActivateShares(now, retired)
	d.grantAllWaiting(now)
}

// OnBorrow implements cluster.SlotShares. It lends a slot that this daemon doesn't
// need.
func (d *Dispatcher) OnBorrow(r port.BorrowRequest) port.BorrowReply {
	d.mu.Lock()
	defer d.mu.Unlock()
	l, ok := d.slots.Lend(time.Now(), r.Loan, r.Borrower, r.Epoch, r.Workers, d.keepIdle)
	return port.BorrowReply{Granted: ok, Loan: l}
}

// keepIdle returns the number of idle slots of a worker that are not lent: none if no
// request of its service waits and the service has more idle slots than it needs to
// reach its recent peak again, otherwise all of them.
func (d *Dispatcher) keepIdle(id fleet.InstanceID) int {
	for name, svc := range d.dir.Services {
		for _, w := range svc.Workers {
			if w.ID == id {
				return d.keepIdleOf(d.services[name], svc, id)
			}
		}
	}
	return 0
}

func (d *Dispatcher) keepIdleOf(s *service, svc *directory.Service, id fleet.InstanceID) int {
	idle := 0
	for _, w := range svc.Workers {
		idle += d.slots.Free(w.ID)
	}
	if s.queue.Waiting() == 0 && float64(idle) > s.recentPeak-float64(s.inUse) {
		return 0
	}
	return d.slots.Free(id)
}

// OnReturn implements cluster.SlotShares.
func (d *Dispatcher) OnReturn(ids []slots.LoanID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, id := range ids {
		d.slots.TakeBack(id)
	}
	d.grantAllWaiting(time.Now())
}

// RunLoans borrows slots for waiting requests and returns idle ones, until ctx
// ends.
func (d *Dispatcher) RunLoans(ctx context.Context, self fleet.Incarnation, peers port.Peers) {
	t := time.NewTicker(loanTickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case name := <-d.borrowNeeded:
			if !d.policies.DisableLoans {
				d.borrowFor(ctx, name, self, peers)
			}
		case <-t.C:
			d.loanTick(ctx, peers)
		}
	}
}

// loanTick returns idle loans and decays the recent peaks.
func (d *Dispatcher) loanTick(ctx context.Context, peers port.Peers) {
	d.mu.Lock()
	now := time.Now()
	idle := d.slots.ReleaseIdle(now.Add(-loanIdleTimeout))
	view := d.view
	for name, s := range d.services {
		s.recentPeak = max(float64(s.inUse), s.recentPeak*peakDecay)
		if s.queue.Waiting() > 0 {
			d.requestBorrow(name)
		}
	}
	d.grantAllWaiting(now)
	d.mu.Unlock()
	byLender := map[fleet.Incarnation][]slots.LoanID{}
	for _, l := range idle {
		byLender[l.Lender] = append(byLender[l.Lender], l.ID)
	}
	for lender, ids := range byLender {
		if m := view.Member(lender); m != nil {
			go returnLoans(ctx, peers, m.PeerAddr, ids)
		}
	}
}

// returnLoans returns loans to their lender, retrying until it confirms or
// returnTimeout has passed.
func returnLoans(ctx context.Context, peers port.Peers, addr string, ids []slots.LoanID) {
	ctx, cancel := context.WithTimeout(ctx, returnTimeout)
	defer cancel()
	for peers.Return(ctx, addr, ids) != nil {
		if !sleep.For(ctx, loanIdleTimeout) {
			return
		}
	}
}

// borrowFor asks random peers for slots until no requests wait or as many peers
// in a row have refused as there are.
func (d *Dispatcher) borrowFor(ctx context.Context, name fleet.ServiceName, self fleet.Incarnation, peers port.Peers) {
	refusals := 0
	for ctx.Err() == nil {
		lender, req, ok := d.borrowRequest(name, self)
		if !ok {
			return
		}
		reply, err := peers.Borrow(ctx, lender.PeerAddr, req)
		switch {
		case err != nil:
			// The loan may have been granted and the reply lost.
			go returnLoans(ctx, peers, lender.PeerAddr, []slots.LoanID{req.Loan})
			refusals++
		case reply.Granted:
			d.addLoan(ctx, name, reply.Loan, peers, lender.PeerAddr)
			refusals = 0
		default:
			refusals++
		}
		if refusals >= d.peerCount() {
			sleep.For(ctx, borrowRetryDelay)
			return
		}
	}
}

// peerCount returns the number of other members of the view.
func (d *Dispatcher) peerCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.view.Members) - 1
}

// borrowRequest returns a random peer and a request to it for a slot on any usable
// worker of the service. It returns false if no request of the service waits or
// there is no peer or no usable worker.
func (d *Dispatcher) borrowRequest(name fleet.ServiceName, self fleet.Incarnation) (fleet.Entry, port.BorrowRequest, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, svc := d.services[name], d.dir.Services[name]
	if s == nil || svc == nil || s.queue.Waiting() == 0 {
		return fleet.Entry{}, port.BorrowRequest{}, false
	}
	var others []fleet.Entry
	for _, m := range d.view.Members {
		if m.Incarnation != self {
			others = append(others, m)
		}
	}
	if len(others) == 0 {
		return fleet.Entry{}, port.BorrowRequest{}, false
	}
	req := port.BorrowRequest{Loan: slots.LoanID(uuid.NewString()), Epoch: d.view.Epoch, Borrower: self}
	now := time.Now()
	for _, i := range d.rnd.Perm(len(svc.Workers)) {
		if usable, _ := s.health.Usable(now, svc.Workers[i].ID); usable {
			req.Workers = append(req.Workers, svc.Workers[i].ID)
		}
	}
	return others[d.rnd.IntN(len(others))], req, len(req.Workers) > 0
}

// addLoan grants a borrowed slot to a waiting request. It returns a loan that can't be
// used, because the view has changed, to its lender.
func (d *Dispatcher) addLoan(ctx context.Context, name fleet.ServiceName, l slots.Loan, peers port.Peers, addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.slots.AddBorrowed(l) {
		go returnLoans(ctx, peers, addr, []slots.LoanID{l.ID})
		return
	}
	d.grantWaiting(time.Now(), name, d.services[name])
}

// Settled reports whether the slot shares of the current view are in use.
func (d *Dispatcher) Settled() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.slots.Settled()
}
