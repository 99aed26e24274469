package bytebudget

import (
	"context"
	"slices"
	"sync"
)

// Queue is a number of bytes that are given out first come, first served. Who holds some must not wait for more.
type Queue struct {
	total int64

	mu      sync.Mutex // guards the following
	used    int64
	waiting []*ticket
}

type ticket struct {
	bytes int64
	held  bool
	ready chan struct{} // closed when it has them
}

// NewQueue returns a queue for total bytes.
func NewQueue(total int64) *Queue { return &Queue{total: total} }

// Acquire takes n bytes, or all if there are fewer, until release is called. It waits for them until ctx ends, maxWait
// at most; the error is ErrExhausted.
func (q *Queue) Acquire(ctx context.Context, n int64) (release func(), err error) {
	t := &ticket{bytes: min(n, q.total), ready: make(chan struct{})}
	q.mu.Lock()
	q.waiting = append(q.waiting, t)
	q.unlock()
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	select {
	case <-t.ready:
		return sync.OnceFunc(func() { q.release(t) }), nil
	case <-ctx.Done():
		q.release(t)
		return nil, ErrExhausted
	}
}

// release gives back the bytes of a ticket, or ends its wait.
func (q *Queue) release(t *ticket) {
	q.mu.Lock()
	defer q.unlock()
	if t.held {
		q.used -= t.bytes
		return
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(other *ticket) bool { return other == t })
}

// unlock gives free bytes to those who wait and unlocks q.mu.
func (q *Queue) unlock() {
	for len(q.waiting) > 0 && q.used+q.waiting[0].bytes <= q.total {
		q.used += q.waiting[0].bytes
		q.waiting[0].held = true
		close(q.waiting[0].ready)
		q.waiting = q.waiting[1:]
	}
	q.mu.Unlock()
}
