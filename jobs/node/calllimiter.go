package node

import (
	"context"
	"sync"
	"time"
)

// Slots for concurrent calls to workers, per core; a daemon gets them in proportion to its cores.
// A call, with the decisions before and after it, takes 0.1 ms of CPU, so that a core can make
// 10,000 per second. The slots and their timeouts limit new calls to that rate even if no worker
// answers in time: 2,400 starts, 6,000 holds and 1,200 others per second.
const (
	startSlotsPerCore = 120
	holdSlotsPerCore  = 120
	otherSlotsPerCore = 60
	// lossyHoldsPerCoreSecond limits holds per second while calls are lost, when each hold is
	// kept short. It is a tenth of the calls that a core can make.
	lossyHoldsPerCoreSecond = 1000
	// minSlots lets a daemon with very little CPU make progress.
	minSlots = 4
	// startsPerSlot is how many starts the core may have pending per slot: one in flight, the
	// others to keep the slot busy until the next decisions. With more, a start would wait for
	// over 0.1 s after its decision.
	startsPerSlot = 4
	// callSlotTimeout is how long an unanswered call keeps its slot. After that it only waits for
	// the worker and needs no CPU. A worker answers in 4 ms.
	callSlotTimeout = 50 * time.Millisecond
	// holdSlotTimeout is the same for holds, which mostly wait for a task to end.
	holdSlotTimeout = 20 * time.Millisecond
	// maxStartAge is how old the decision behind a start may be when it is sent. It relies on
	// state that may be outdated by then, above all that the worker was not draining, and a
	// draining worker must get no starts after 2 s.
	maxStartAge = time.Second
)

// callLimiter limits concurrent calls, so that waiting for this daemon's CPU does not use up a
// call's timeout. Without it thousands of starts that become possible at the same moment are
// sent at once, over half of them time out before their answers are read, and the work is
// repeated; answers to holds are read too late as well, so that task leases expire.
type callLimiter struct {
	slots       chan struct{}
	slotTimeout time.Duration // after which a slot is released even without an answer
}

// newCallLimiter returns a limiter with perCore slots for each core, at least minSlots.
func newCallLimiter(perCore, cores float64, slotTimeout time.Duration) callLimiter {
	return callLimiter{make(chan struct{}, max(minSlots, int(perCore*cores))), slotTimeout}
}

// acquire blocks until a slot is free; ok is false if ctx ended first. The slot is released by
// release or after slotTimeout, whichever is first.
func (l callLimiter) acquire(ctx context.Context) (release func(), ok bool) {
	select {
	case l.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, false
	}
	free := sync.OnceFunc(func() { <-l.slots })
	expiry := time.AfterFunc(l.slotTimeout, free)
	return func() {
		expiry.Stop()
		free()
	}, true
}
