// Package bytebudget bounds the memory of requests that are being received, over all connections.
package bytebudget

import (
	"context"
	"errors"
	"sync"
	"time"
)

// Errors of Share.Grow and Share.Complete.
var (
	// ErrExhausted means that no memory became free in time.
	ErrExhausted = errors.New("too many large requests are being received at present")
	// ErrEvicted means that the request made no progress while others needed its memory.
	ErrEvicted = errors.New("the request stalled while others needed its memory")
)

const (
	// smallBytes of each share may come from the reserve, which larger requests cannot use.
	smallBytes = 16 << 10
	// reservePart is the part of the budget, 1/reservePart, that is reserved.
	reservePart = 4
	// progressBytes are what must arrive to count as progress, so that single bytes do not keep memory.
	progressBytes = 1 << 10
	// maxWait bounds the wait for memory.
	maxWait = 2 * time.Second
	// evictionInterval is how often a waiting share looks for idle ones.
	evictionInterval = 50 * time.Millisecond
)

// Budget is a number of bytes that shares take parts of.
type Budget struct {
	total   int64
	minIdle time.Duration

	mu     sync.Mutex // guards the following
	used   int64
	shares map[*Share]struct{}
	freed  chan struct{} // closed and replaced whenever memory is freed
}

// New returns a budget of total bytes. minIdle is how long a request must not have progressed before its memory is
// taken for others.
func New(total int64, minIdle time.Duration) *Budget {
	return &Budget{total: total, minIdle: minIdle, shares: map[*Share]struct{}{}, freed: make(chan struct{})}
}

// Share is what one request has taken of a budget.
type Share struct {
	budget *Budget
	abort  func()
	// The following are guarded by budget.mu.
	held       int64
	large      bool
	progressed time.Time
	received   int  // bytes since then
	waiting    bool // for memory: it cannot progress
	complete   bool
	evicted    bool
}

// Open returns a share without memory. abort is called, once at most, if the request is evicted; it must make the
// request close its share soon, and must not block.
func (b *Budget) Open(abort func()) *Share {
	s := &Share{budget: b, abort: abort, progressed: time.Now()}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shares[s] = struct{}{}
	return s
}

// Grow adds n bytes to the share, at most what one share may hold. It waits for memory until ctx ends, and evicts
// the shares that have not progressed for the longest time; for a small request also those that wait for more. The
// error is ErrExhausted or ErrEvicted.
func (s *Share) Grow(ctx context.Context, n int64) error {
	if s.tryGrow(n) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	defer s.setWaiting(false)
	for {
		freed := s.setWaiting(true)
		if s.tryGrow(n) {
			return nil
		}
		if s.Evicted() {
			return ErrEvicted
		}
		s.budget.evictFor(s, n)
		select {
		case <-freed:
		case <-time.After(evictionInterval):
		case <-ctx.Done():
			return ErrExhausted
		}
	}
}

// SetLarge excludes the share from the reserve, whatever it holds yet: its request is known to become large.
func (s *Share) SetLarge() {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.large = true
}

// small reports whether the share remains small if it grows by n bytes. The caller holds budget.mu.
func (s *Share) small(n int64) bool { return !s.large && s.held+n <= smallBytes }

// tryGrow adds n bytes if they are free.
func (s *Share) tryGrow(n int64) bool {
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.evicted {
		return false
	}
	limit := b.total
	if !s.small(n) {
		limit -= b.total / reservePart
		n = max(0, min(n, limit-s.held))
	}
	if b.used+n > limit {
		return false
	}
	b.used += n
	s.held += n
	return true
}

// setWaiting returns a channel that is closed when memory is freed.
func (s *Share) setWaiting(waiting bool) <-chan struct{} {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	if s.waiting != waiting {
		s.waiting = waiting
		s.progressed = time.Now()
	}
	return s.budget.freed
}

// evictFor aborts the share that has not progressed for the longest time, if that is b.minIdle or more, so that s can
// grow by n bytes.
func (b *Budget) evictFor(s *Share, n int64) {
	b.mu.Lock()
	small := s.small(n)
	var idlest *Share
	for other := range b.shares {
		if other == s || !other.mayEvict(small) {
			continue
		}
		if idlest == nil || other.progressed.Before(idlest.progressed) {
			idlest = other
		}
	}
	if idlest != nil {
		idlest.evicted = true
	}
	b.mu.Unlock()
	if idlest != nil {
		idlest.abort()
	}
}

// mayEvict reports whether the share may be evicted for another one. The caller holds budget.mu.
func (s *Share) mayEvict(forSmall bool) bool {
	if s.held == 0 || s.complete || s.evicted {
		return false
	}
	if s.waiting {
		return forSmall && (s.large || s.held > smallBytes/2)
	}
	return time.Since(s.progressed) >= s.budget.minIdle
}

// Progress records that n bytes of the request have arrived.
func (s *Share) Progress(n int) {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	if s.received += n; s.received >= progressBytes {
		s.received, s.progressed = 0, time.Now()
	}
}

// Complete records that the whole request has arrived: the share is not evicted any more. The error is ErrEvicted
// if it was before.
func (s *Share) Complete() error {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	if s.evicted {
		return ErrEvicted
	}
	s.complete = true
	return nil
}

// Evicted reports whether the share was evicted.
func (s *Share) Evicted() bool {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	return s.evicted
}

// Shrink gives back all of the share's memory; a next request may use it.
func (s *Share) Shrink() {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.shrink()
}

func (s *Share) shrink() {
	if s.held == 0 {
		return
	}
	s.budget.used -= s.held
	s.held = 0
	close(s.budget.freed)
	s.budget.freed = make(chan struct{})
}

// Close gives back the share.
func (s *Share) Close() {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.shrink()
	delete(s.budget.shares, s)
}
