package node

import (
	"context"
	"sync"
	"time"
)

// Figures of the calls to workers that are under way.
const (
	// orderSlots bounds them for each kind of call, so that a call's turns at this
	// daemon's processor do not use up its timeout: 96 calls of 0.3 ms at 0.8 of a core,
	// or 1.3 ms at 0.19, take 30 or 125 ms.
	orderSlots = 96
	// slotTime is when a call that has no answer yet gives its slot to the next one: it
	// waits for the worker and needs no processor. A worker answers in 4 ms.
	slotTime = 50 * time.Millisecond
)

// fanout bounds how many calls are on their way at the same time. Without it thousands
// of starts that become possible at one moment are sent at once, over half of them are
// given up before their answers are read, and the work is done again.
type fanout struct{ slots chan struct{} }

func newFanout() fanout { return fanout{make(chan struct{}, orderSlots)} }

// enter waits for a slot. leave gives it back, as slotTime does; ok is false if ctx
// ended before.
func (f fanout) enter(ctx context.Context) (leave func(), ok bool) {
	select {
	case f.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, false
	}
	free := sync.OnceFunc(func() { <-f.slots })
	expiry := time.AfterFunc(slotTime, free)
	return func() {
		expiry.Stop()
		free()
	}, true
}
