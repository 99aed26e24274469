package node

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/uber-go/tally/v4"

	"github.com/postmount/postmount/jobs/owner"
)

// hangingWorkers lets every start time out.
type hangingWorkers struct {
	owner.WorkerClient
	mu   sync.Mutex
	sent []time.Time
}

func (w *hangingWorkers) Start(ctx context.Context, _ owner.Start) owner.Answer {
	w.mu.Lock()
	w.sent = append(w.sent, time.Now())
	w.mu.Unlock()
	<-ctx.Done()
	return owner.Answer{Outcome: owner.Unanswered, Err: ctx.Err()}
}

// TestStaleStartIsNotSent: a start that waits for its slot for more than maxStartAge is not sent,
// as its decision may be outdated, and the core gets the outcome NotSent.
func TestStaleStartIsNotSent(t *testing.T) {
	const starts = 400
	synctest.Test(t, func(t *testing.T) {
		n, r := newTestTerm(t, 1)
		workers := &hangingWorkers{}
		n.platform.Workers = workers
		n.metrics = NewMetrics(tally.NoopScope, nil)
		r.startCalls = newCallLimiter(startSlotsPerCore, 0, callSlotTimeout)
		r.events = make(chan event, starts)
		began := time.Now()
		r.dispatch(owner.Effects{Starts: slices.Repeat([]owner.Start{{Timeout: owner.OrderTimeout}}, starts)})
		time.Sleep(10 * time.Second)
		synctest.Wait()
		assert.Len(t, r.events, starts, "the core gets an outcome for each")
		assert.Less(t, len(workers.sent), starts)
		assert.Greater(t, len(workers.sent), minSlots)
		newest := workers.sent[len(workers.sent)-1]
		assert.LessOrEqual(t, newest.Sub(began), maxStartAge)
	})
}
