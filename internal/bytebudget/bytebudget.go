// Package bytebudget bounds the memory of requests that are being received, over all connections.
package bytebudget

import (
	"context"
	"errors"
	"slices"
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
	maxWait = 5 * time.Second
	// evictionInterval is how often shares that others need the memory of are looked for.
	evictionInterval = 50 * time.Millisecond
	// nextEviction is the pause after an eviction.
	nextEviction = 5 * time.Millisecond
)

// Budget is a number of bytes that shares take parts of.
type Budget struct {
	total   int64
	reserve int64 // part of total for small requests
	minIdle time.Duration

	mu       sync.Mutex // guards the following
	used     int64
	freeing  int64 // held by evicted shares
	complete int   // shares
	opened   int64 // shares that have begun to take memory
	shares   map[*Share]struct{}
	small    []*Share // wait for memory, and go first
	large    []*Share // wait for memory, in the order of Share.order
	ticking  bool     // evict will run
}

// New returns a budget of total bytes. minIdle is how long a request must not have progressed before its memory is
// taken for others.
func New(total int64, minIdle time.Duration) *Budget {
	return NewWithReserve(total, total/reservePart, minIdle)
}

// NewWithReserve is like New with a reserve in bytes for small requests.
func NewWithReserve(total, reserve int64, minIdle time.Duration) *Budget {
	return &Budget{total: total, reserve: reserve, minIdle: minIdle, shares: map[*Share]struct{}{}}
}

// Share is what one request has taken of a budget.
type Share struct {
	budget *Budget
	abort  func()
	// The following are guarded by budget.mu.
	held       int64
	order      int64 // of the first memory, 0 if there is none
	large      bool
	progressed time.Time
	received   int           // bytes since then
	waiting    bool          // for memory: it cannot progress
	wants      int64         // bytes that it waits for
	woken      chan struct{} // closed when it need not wait any more
	complete   bool
	evicted    bool
	closed     bool
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

// Grow adds n bytes to the share, at most what one share may hold. It waits for memory until ctx ends; the request
// that began first goes first, a small one before all. To make room, the shares are evicted that have not progressed
// for the longest time; without such, if no complete request will free memory, the youngest that wait for more. The
// error is ErrExhausted or ErrEvicted.
func (s *Share) Grow(ctx context.Context, n int64) error {
	if s.TryGrow(n) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	select {
	case <-s.wait(n):
	case <-ctx.Done():
	}
	return s.endWait()
}

// SetLarge excludes the share from the reserve, whatever it holds yet: its request is known to become large.
func (s *Share) SetLarge() {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.large = true
}

// RemainsSmall reports whether the share may use the reserve to grow by n bytes.
func (s *Share) RemainsSmall(n int64) bool {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	return s.isSmall(n)
}

// isSmall reports whether the share remains small if it grows by n bytes. The caller holds budget.mu.
func (s *Share) isSmall(n int64) bool { return !s.large && s.held+n <= smallBytes }

// TryGrow adds n bytes if they are free and no share that goes first waits.
func (s *Share) TryGrow(n int64) bool {
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.order == 0 {
		b.opened++
		s.order = b.opened
	}
	queue := b.large
	if s.isSmall(n) {
		queue = b.small
	}
	if len(queue) > 0 && queue[0].order < s.order {
		return false
	}
	return s.take(n)
}

// take adds n bytes if they are free. The caller holds budget.mu.
func (s *Share) take(n int64) bool {
	n, missing := s.missing(n)
	if s.evicted || s.closed || missing > 0 {
		return false
	}
	s.budget.used += n
	s.held += n
	return true
}

// missing returns n, or less if one share may not hold so much, and how many bytes of it are not free. The caller holds
// budget.mu.
func (s *Share) missing(n int64) (int64, int64) {
	b := s.budget
	limit := b.total
	if !s.isSmall(n) {
		limit -= b.reserve
		n = max(0, min(n, limit-s.held))
	}
	return n, b.used + n - limit
}

// wait queues the share for n bytes. The channel is closed when it has them or is evicted.
func (s *Share) wait(n int64) <-chan struct{} {
	b := s.budget
	b.mu.Lock()
	defer b.unlock()
	s.waiting, s.wants, s.woken, s.progressed = true, n, make(chan struct{}), time.Now()
	if s.evicted || s.closed {
		s.wake()
		return s.woken
	}
	queue := &b.large
	if s.isSmall(n) {
		queue = &b.small
	}
	at, _ := slices.BinarySearchFunc(*queue, s, func(a, b *Share) int { return int(a.order - b.order) })
	*queue = slices.Insert(*queue, at, s)
	if !b.ticking {
		b.startTimer(0)
	}
	return s.woken
}

// endWait returns nil if the share has got what it waited for.
func (s *Share) endWait() error {
	b := s.budget
	b.mu.Lock()
	defer b.unlock()
	switch {
	case s.evicted || s.closed:
		return ErrEvicted
	case s.waiting:
		s.leave()
		return ErrExhausted
	}
	return nil
}

// leave ends the wait of the share. The caller holds budget.mu.
func (s *Share) leave() {
	is := func(other *Share) bool { return other == s }
	s.budget.small = slices.DeleteFunc(s.budget.small, is)
	s.budget.large = slices.DeleteFunc(s.budget.large, is)
	s.wake()
}

// wake ends the wait of a share that is in no queue. The caller holds budget.mu.
func (s *Share) wake() {
	s.waiting, s.progressed = false, time.Now()
	close(s.woken)
}

// unlock gives free memory to waiting shares and unlocks b.mu.
func (b *Budget) unlock() {
	for _, queue := range []*[]*Share{&b.small, &b.large} {
		for len(*queue) > 0 && (*queue)[0].take((*queue)[0].wants) {
			(*queue)[0].wake()
			*queue = (*queue)[1:]
		}
	}
	b.mu.Unlock()
}

// startTimer makes evict run after a pause. The caller holds b.mu.
func (b *Budget) startTimer(pause time.Duration) {
	b.ticking = true
	time.AfterFunc(pause, b.evict)
}

// evict aborts shares, so that those which wait can grow, and runs again while any wait.
func (b *Budget) evict() {
	b.mu.Lock()
	victims := b.chooseVictims()
	b.ticking = false
	switch {
	case len(victims) > 0:
		b.startTimer(nextEviction)
	case len(b.small)+len(b.large) > 0:
		b.startTimer(evictionInterval)
	}
	b.unlock()
	for _, s := range victims {
		s.abort()
	}
}

// chooseVictims marks shares as evicted, so that those which wait can grow. The caller holds b.mu.
func (b *Budget) chooseVictims() []*Share {
	if len(b.small)+len(b.large) == 0 {
		return nil
	}
	var out []*Share
	evict := func(candidates []*Share, missing int64) []*Share {
		for missing > 0 && len(candidates) > 0 {
			s := candidates[0]
			candidates = candidates[1:]
			missing -= s.held
			s.evict()
			out = append(out, s)
		}
		return candidates
	}
	idle := evict(b.idle(), b.missing(b.small))
	evict(idle, b.missing(b.large))
	evict(b.bigWaiting(), b.missing(b.small))
	if len(b.large) > 0 && b.blocked() {
		evict(b.youngestWaiting(), b.missing(b.large[:1]))
	}
	return out
}

// blocked reports whether the first large share will not get memory soon: no request is complete, and none is being
// received, or that has lasted for long. The caller holds b.mu.
func (b *Budget) blocked() bool {
	if b.complete > 0 {
		return false
	}
	if time.Since(b.large[0].progressed) >= b.minIdle {
		return true
	}
	for s := range b.shares {
		if s.held > 0 && !s.waiting && !s.evicted {
			return false
		}
	}
	return true
}

// evict marks the share as evicted and ends its wait. The caller holds budget.mu.
func (s *Share) evict() {
	s.evicted = true
	s.budget.freeing += s.held
	if s.waiting {
		s.leave()
	}
}

// missing returns how many bytes the shares of a queue lack, beyond those that evicted ones will free. The caller holds
// b.mu.
func (b *Budget) missing(queue []*Share) int64 {
	var wanted, missing int64
	for _, s := range queue {
		n, m := s.missing(s.wants)
		missing = wanted + m - b.freeing
		wanted += n
	}
	return missing
}

// idle returns the shares that have not progressed for b.minIdle, first those that have not for the longest time. The
// caller holds b.mu.
func (b *Budget) idle() []*Share {
	var out []*Share
	for s := range b.shares {
		if s.held > 0 && !s.complete && !s.evicted && !s.waiting && time.Since(s.progressed) >= b.minIdle {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b *Share) int { return a.progressed.Compare(b.progressed) })
	return out
}

// bigWaiting returns the shares in b.large that are large already, the youngest first. The caller holds b.mu.
func (b *Budget) bigWaiting() []*Share {
	var out []*Share
	for _, s := range slices.Backward(b.large) {
		if s.held > 0 && (s.large || s.held > smallBytes/2) {
			out = append(out, s)
		}
	}
	return out
}

// youngestWaiting returns the shares in b.large behind the first one, the youngest first. The caller holds b.mu.
func (b *Budget) youngestWaiting() []*Share {
	var out []*Share
	for _, s := range slices.Backward(b.large[1:]) {
		if s.held > 0 {
			out = append(out, s)
		}
	}
	return out
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
	if !s.complete && !s.closed {
		s.complete = true
		s.budget.complete++
	}
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
	defer s.budget.unlock()
	s.shrink()
}

func (s *Share) shrink() {
	s.budget.used -= s.held
	if s.evicted {
		s.budget.freeing -= s.held
	}
	s.held, s.order = 0, 0
}

// Close gives back the share.
func (s *Share) Close() {
	b := s.budget
	b.mu.Lock()
	defer b.unlock()
	if s.closed {
		return
	}
	s.closed = true
	s.shrink()
	if s.complete {
		b.complete--
	}
	if s.waiting {
		s.leave()
	}
	delete(b.shares, s)
}
