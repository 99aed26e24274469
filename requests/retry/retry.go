// Package retry decides whether and when a failed request is retried. It does no
// I/O and reads no clock.
package retry

import (
	"math/rand/v2"
	"time"

	"github.com/postmount/postmount/verdict"
)

// Policy selects what limits retries.
type Policy string

// Policies. PolicyUnbudgeted is the baseline for performance comparisons.
const (
	PolicyBudgeted   Policy = "budgeted"   // MaxAttempts and the retry budget
	PolicyUnbudgeted Policy = "unbudgeted" // only MaxAttempts
)

// Options limit retries.
type Options struct {
	Policy Policy
	// Ratio is the number of retries that each successful request adds to the
	// budget.
	Ratio float64
	// Burst is the maximum budget, and that of a new Budget.
	Burst float64
	// MaxAttempts is the maximum number of attempts per request.
	MaxAttempts int
	// The backoff is random, up to InitialBackoff before the second attempt and
	// doubling with each attempt up to MaxBackoff.
	InitialBackoff, MaxBackoff time.Duration
}

// DefaultOptions allow one retry per ten successful requests.
var DefaultOptions = Options{
	Policy:         PolicyBudgeted,
	Ratio:          0.1,
	Burst:          10,
	MaxAttempts:    3,
	InitialBackoff: 10 * time.Millisecond,
	MaxBackoff:     200 * time.Millisecond,
}

// Budget limits the retries of one service to a share of its successful requests.
// It is not safe for concurrent use.
type Budget struct {
	opts   Options
	tokens float64 // retries that the budget still allows
}

// NewBudget returns a full budget.
func NewBudget(opts Options) *Budget { return &Budget{opts: opts, tokens: opts.Burst} }

// RecordSuccess adds Ratio retries to the budget.
func (b *Budget) RecordSuccess() { b.tokens = min(b.tokens+b.opts.Ratio, b.opts.Burst) }

// Attempt is a failed attempt that may be retried.
type Attempt struct {
	Number     int // from 1
	Verdict    verdict.Verdict
	Idempotent bool
	Overloaded bool          // the worker reported that it is overloaded
	Remaining  time.Duration // time until the request's deadline
}

// AllowRetry reports whether a failed attempt is retried, and after which delay. A
// request that may have run is retried only if it is idempotent, and one refused by
// an overloaded worker never is. Under PolicyBudgeted each retry is taken from the
// budget.
func (b *Budget) AllowRetry(a Attempt, rnd *rand.Rand) (delay time.Duration, retry bool) {
	safeToRetry := a.Verdict == verdict.NotRun || a.Idempotent
	if !safeToRetry || a.Overloaded || a.Number >= b.opts.MaxAttempts {
		return 0, false
	}
	delay = b.backoff(a.Number, rnd)
	if delay >= a.Remaining {
		return 0, false
	}
	if b.opts.Policy == PolicyUnbudgeted {
		return delay, true
	}
	if b.tokens < 1 {
		return 0, false
	}
	b.tokens--
	return delay, true
}

// backoff returns a random delay before the attempt after the given one.
func (b *Budget) backoff(attempt int, rnd *rand.Rand) time.Duration {
	maxDelay := min(b.opts.InitialBackoff<<(attempt-1), b.opts.MaxBackoff)
	return time.Duration(rnd.Int64N(int64(maxDelay) + 1))
}
