package slots

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/postmount/postmount/requests/fleet"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// A fixed seed makes the property tests reproducible.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "500")
	_ = flag.Set("rapid.nofailfile", "true")
}

const drain = 10 * time.Second

func view(epoch fleet.Epoch, departed []fleet.Incarnation, ids ...fleet.Incarnation) *fleet.View {
	v := &fleet.View{Epoch: epoch, Departed: departed}
	for _, id := range ids {
		v.Members = append(v.Members, fleet.Entry{Incarnation: id})
	}
	return v
}

func TestBaseSharesSumToTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, total := rapid.IntRange(1, 8).Draw(t, "members"), rapid.IntRange(0, 64).Draw(t, "total")
		v := &fleet.View{Epoch: 1}
		for i := range n {
			v.Members = append(v.Members, fleet.Entry{Incarnation: fleet.Incarnation(fmt.Sprint("m", i))})
		}
		sum := 0
		for _, m := range v.Members {
			sum += BaseShare(v, m.Incarnation, "w", total)
		}
		assert.Equal(t, total, sum)
	})
}

func newAllocator(self fleet.Incarnation, v *fleet.View) *Allocator {
	a := New(self, drain)
	a.SetView(v)
	a.SetWorkers(map[fleet.InstanceID]int{"w": 8})
	return a
}

func keepNone(fleet.InstanceID) int { return 0 }

func TestLoanMovesASlot(t *testing.T) {
	v := view(1, nil, "a", "b")
	a, b := newAllocator("a", v), newAllocator("b", v)
	require.Equal(t, 4, a.Free("w"))
	l, ok := a.Lend(t0, "l1", "b", 1, []fleet.InstanceID{"w"}, keepNone)
	require.True(t, ok)
	again, ok := a.Lend(t0, "l1", "b", 1, []fleet.InstanceID{"w"}, keepNone)
	require.True(t, ok)
	assert.Equal(t, l, again, "a repeated request doesn't lend a second slot")
	require.True(t, b.AddBorrowed(l))
	assert.Equal(t, 3, a.Free("w"))
	assert.Equal(t, 5, b.Free("w"))
	idle := b.ReleaseIdle(t0.Add(time.Second))
	require.Len(t, idle, 1)
	a.TakeBack(idle[0].ID)
	assert.Equal(t, 4, a.Free("w"))
	assert.Equal(t, 4, b.Free("w"))
}

func TestLoanReturnedBeforeItsRequestIsRefused(t *testing.T) {
	a := newAllocator("a", view(1, nil, "a", "b"))
	a.TakeBack("l1")
	_, ok := a.Lend(t0, "l1", "b", 1, []fleet.InstanceID{"w"}, keepNone)
	assert.False(t, ok)
}

func TestLoanOfEarlierViewIsNotUsed(t *testing.T) {
	a, b := newAllocator("a", view(1, nil, "a", "b")), newAllocator("b", view(1, nil, "a", "b"))
	l, ok := a.Lend(t0, "l1", "b", 1, []fleet.InstanceID{"w"}, keepNone)
	require.True(t, ok)
	b.SetView(view(2, nil, "a", "b"))
	assert.False(t, b.AddBorrowed(l))
	_, ok = a.Lend(t0, "l2", "b", 2, []fleet.InstanceID{"w"}, keepNone)
	assert.False(t, ok, "the lender doesn't have the borrower's view yet")
}

func TestShareOfLostMemberIsUsedOnlyAfterItsRequestsEnded(t *testing.T) {
	a := newAllocator("a", view(1, nil, "a", "b"))
	a.SetView(view(2, nil, "a"))
	a.ActivateShares(t0, false)
	assert.Equal(t, 4, a.Free("w"), "the earlier view may still be served")
	a.ActivateShares(t0, true)
	assert.Equal(t, 4, a.Free("w"))
	a.ActivateShares(t0.Add(drain), true)
	assert.Equal(t, 8, a.Free("w"))
}

func TestShareOfDepartedMemberIsUsedImmediately(t *testing.T) {
	a := newAllocator("a", view(1, nil, "a", "b"))
	a.SetView(view(2, []fleet.Incarnation{"b"}, "a"))
	a.ActivateShares(t0, false)
	assert.Equal(t, 8, a.Free("w"))
}

// simulation runs the allocators of several daemons with lost, delayed and
// repeated messages and counts the slots actually in use on one worker.
type simulation struct {
	allocators    map[fleet.Incarnation]*Allocator
	inUse         map[fleet.Incarnation]int
	view          *fleet.View
	now           time.Time
	loans         []Loan
	returnedLoans []Loan
	removedAt     map[fleet.Incarnation]time.Time
	nextID        int
}

// TestSlotsNeverExceedTheWorker drives allocators through random view changes,
// loans and lost messages, and checks after every step that no more slots are in
// use than the worker has.
func TestSlotsNeverExceedTheWorker(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := &simulation{allocators: map[fleet.Incarnation]*Allocator{}, inUse: map[fleet.Incarnation]int{}, now: t0, removedAt: map[fleet.Incarnation]time.Time{}}
		sim.view = view(1, nil, "a", "b", "c")
		for _, id := range sim.view.Incarnations() {
			sim.allocators[id] = newAllocator(id, sim.view)
		}
		t.Repeat(map[string]func(*rapid.T){
			"":        sim.check,
			"acquire": sim.acquire,
			"release": sim.release,
			"borrow":  sim.borrow,
			"deliver": sim.deliver,
			"return":  sim.returnIdle,
			"tick":    sim.tick,
			"change":  sim.replaceMember,
		})
	})
}

func (sim *simulation) pick(t *rapid.T) fleet.Incarnation {
	return rapid.SampledFrom(sim.view.Incarnations()).Draw(t, "member")
}

func (sim *simulation) check(t *rapid.T) {
	sum := 0
	for _, n := range sim.inUse {
		sum += n
	}
	if sum > 8 {
		t.Fatalf("%d of 8 slots in use: %v", sum, sim.inUse)
	}
}

func (sim *simulation) acquire(t *rapid.T) {
	if id := sim.pick(t); sim.allocators[id].Acquire("w") {
		sim.inUse[id]++
	}
}

func (sim *simulation) release(t *rapid.T) {
	if id := sim.pick(t); sim.inUse[id] > 0 {
		sim.allocators[id].Release("w")
		sim.inUse[id]--
	}
}

func (sim *simulation) borrow(t *rapid.T) {
	lender, borrower := sim.pick(t), sim.pick(t)
	if lender == borrower {
		return
	}
	sim.nextID++
	if l, ok := sim.allocators[lender].Lend(sim.now, LoanID(fmt.Sprint(sim.nextID)), borrower, sim.allocators[borrower].view.Epoch, []fleet.InstanceID{"w"}, keepNone); ok {
		sim.loans = append(sim.loans, l)
	}
}

// deliver delivers a granted loan to its borrower, possibly repeatedly or under
// a later view.
func (sim *simulation) deliver(t *rapid.T) {
	if len(sim.loans) == 0 {
		return
	}
	l := rapid.SampledFrom(sim.loans).Draw(t, "loan")
	if a := sim.allocators[l.Borrower]; a != nil && !sim.returned(l) {
		a.AddBorrowed(l)
	}
}

func (sim *simulation) returned(l Loan) bool {
	for _, b := range sim.returnedLoans {
		if b.ID == l.ID {
			return true
		}
	}
	return false
}

// returnIdle returns a member's idle loans. The message to the lender may be lost.
func (sim *simulation) returnIdle(t *rapid.T) {
	for _, l := range sim.allocators[sim.pick(t)].ReleaseIdle(sim.now.Add(time.Second)) {
		sim.returnedLoans = append(sim.returnedLoans, l)
		if a := sim.allocators[l.Lender]; a != nil && rapid.Bool().Draw(t, "arrives") {
			a.TakeBack(l.ID)
		}
	}
}

// tick advances the clock, lets some members learn that others have settled, and
// activates shares.
func (sim *simulation) tick(t *rapid.T) {
	sim.now = sim.now.Add(time.Duration(rapid.IntRange(0, 4).Draw(t, "seconds")) * time.Second)
	for id, ended := range sim.removedAt {
		if sim.now.Sub(ended) >= drain {
			sim.inUse[id] = 0
		}
	}
	for _, a := range sim.view.Incarnations() {
		for _, b := range sim.view.Incarnations() {
			if a != b && sim.allocators[b].SelfSettled() && rapid.Bool().Draw(t, "heard") {
				sim.allocators[a].PeerSettled(b, sim.allocators[b].view.Epoch)
			}
		}
		sim.allocators[a].ActivateShares(sim.now, true)
	}
}

// replaceMember replaces a member, which is either lost with requests running or
// leaves with none. All remaining members switch to the new view.
func (sim *simulation) replaceMember(t *rapid.T) {
	old := sim.pick(t)
	sim.nextID++
	next := &fleet.View{Epoch: sim.view.Epoch + 1, Unretired: []fleet.RetiringView{{Epoch: sim.view.Epoch, Members: sim.view.Incarnations()}}}
	for _, m := range sim.view.Members {
		if m.Incarnation != old {
			next.Members = append(next.Members, m)
		}
	}
	if sim.inUse[old] == 0 && rapid.Bool().Draw(t, "leaves") {
		next.Departed = []fleet.Incarnation{old}
	}
	fresh := fleet.Incarnation(fmt.Sprint("n", sim.nextID))
	next.Members = append(next.Members, fleet.Entry{Incarnation: fresh})
	delete(sim.allocators, old)
	sim.removedAt[old] = sim.now
	sim.view = next
	for _, a := range sim.allocators {
		a.SetView(next)
	}
	added := New(fresh, drain)
	added.SetWorkers(map[fleet.InstanceID]int{"w": 8})
	added.SetView(next)
	sim.allocators[fresh] = added
}
