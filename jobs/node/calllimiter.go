package node

import (
	"context"
	"sync"
	"time"
)

// Slots for concurrent calls to workers, per CPU core of the daemon. A call, with the decisions
// before and after it, takes 0.1 ms of CPU, so a CPU core can make 10,000 per second. The slots and
// their timeouts limit new calls to about that rate even if no worker answers in time: 2,400
// starts, 6,000 holds and 1,200 others per second and core.
const (
	startSlotsPerCore = 120
	holdSlotsPerCore  = 120
	otherSlotsPerCore = 60
	// lossyHoldsPerCoreSecond limits the holds per second and CPU core on a lossy link, where each
	// hold is kept short. It is a tenth of the calls that a CPU core can make.
	lossyHoldsPerCoreSecond = 1000
	// catchUpTasksPerCoreSecond limits the tasks of overdue schedules per second and CPU core: the same share.
	catchUpTasksPerCoreSecond = 1000
	// minSlots is the minimum, so that a daemon with very little CPU makes progress.
	minSlots = 4
	// startsPerSlot is how many starts owner.Core may have pending per slot: one in flight, the
	// others to keep the slot busy until the next decisions. With more, a start would wait for
	// over 0.1 s after its decision.
	startsPerSlot = 4
	// callSlotTimeout is how long an unanswered call keeps its slot. After that it only waits for
	// the worker and needs no CPU. A worker answers in 4 ms.
	callSlotTimeout = 50 * time.Millisecond
	// holdSlotTimeout is the same for holds, which mostly wait for a task to end.
	holdSlotTimeout = 20 * time.Millisecond
	// maxStartAge is the maximum age of the decision behind a start when the start is sent. The
	// decision relies on state that may be outdated by then, above all that the worker was not
	// draining: a draining worker must get no more starts after 2 s.
	maxStartAge = time.Second
)

// callLimiter limits concurrent calls, so that waiting for this daemon's CPU does not use up a
// call's timeout. Without it, thousands of starts that become possible at the same moment would be
// sent together, and over half of them would time out before their answers are read and be
// repeated. Answers to holds would be read too late as well, so that task leases expire.
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
