package node

import (
	"context"
	"sync"
	"time"
)

// Figures of the calls to workers that are under way, each for a whole core; a daemon has
// its share of them. A call, with the decisions before and after it, takes 0.1 ms of a core, so
// that it can make 10,000 a second. No more than that may begin, also if no worker answers in time: 2,400 starts, 6,000 holds and
// 1,200 others.
const (
	startSlotsPerCore = 120
	holdSlotsPerCore  = 120
	otherSlotsPerCore = 60
	// lossyHoldsPerCoreSecond is how many holds a second are made while calls are lost, when each is
	// to be short: a tenth of what a daemon can make.
	lossyHoldsPerCoreSecond = 1000
	// minSlots lets a daemon with hardly any processor go on.
	minSlots = 4
	// startsPerSlot is how many starts are ordered for each slot: those under way, and what
	// keeps the slots busy until the next are decided. More would wait for over a tenth of a
	// second for their turn, in an order that was decided so long ago.
	startsPerSlot = 4
	// callSlotTimeout is when a call that has no answer yet gives its slot to the next one: it
	// waits for the worker and needs no processor. A worker answers in 4 ms.
	callSlotTimeout = 50 * time.Millisecond
	// holdSlotTimeout is the same for holds, which mostly wait for an end.
	holdSlotTimeout = 20 * time.Millisecond
	// maxStartAge is how long a start may wait for its slot: what it was decided on, a worker
	// that does not drain above all, is older by then, and has 2 s at most.
	maxStartAge = time.Second
)

// callLimiter bounds how many calls are on their way at the same time, so that a call's turns
// at this daemon's processor do not use up its timeout. Without it thousands of starts
// that become possible at one moment are sent at once, over half of them are given up
// before their answers are read, and the work is done again; the answers of holds are
// read too late as well, so that leases end.
type callLimiter struct {
	slots       chan struct{}
	slotTimeout time.Duration // a slot, at most
}

// newCallLimiter returns the slots of a daemon with a share of a core.
func newCallLimiter(perCore, cores float64, lasts time.Duration) callLimiter {
	return callLimiter{make(chan struct{}, max(minSlots, int(perCore*cores))), lasts}
}

// acquire waits for a slot. leave gives it back, as time does; ok is false if ctx ended
// before.
func (f callLimiter) acquire(ctx context.Context) (leave func(), ok bool) {
	select {
	case f.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, false
	}
	free := sync.OnceFunc(func() { <-f.slots })
	expiry := time.AfterFunc(f.slotTimeout, free)
	return func() {
		expiry.Stop()
		free()
	}, true
}
