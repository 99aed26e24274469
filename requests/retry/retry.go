// Package retry decides whether and when a failed request is tried again.
// Everything here is pure.
package retry

import (
	"math/rand/v2"
	"time"

	"github.com/postmount/postmount/verdict"
)

// Policy selects what bounds retries.
type Policy string

// Policies. Unbudgeted is the baseline that the measurements compare with.
const (
	PolicyBudgeted   Policy = "budgeted"
	PolicyUnbudgeted Policy = "unbudgeted"
)

// Options bound retries.
type Options struct {
	Policy Policy
	// Ratio is how many retries each first attempt earns.
	Ratio float64
	// Burst bounds the saved-up budget and is what a new budget starts with.
	Burst float64
	// MaxAttempts bounds the tries of one request.
	MaxAttempts int
	// InitialBackoff and MaxBackoff bound the pause before a retry; the pause is
	// drawn at random up to a bound that doubles with each attempt.
	InitialBackoff, MaxBackoff time.Duration
}

// DefaultOptions allow one retry for every ten requests.
var DefaultOptions = Options{
	Policy:         PolicyBudgeted,
	Ratio:          0.1,
	Burst:          10,
	MaxAttempts:    3,
	InitialBackoff: 10 * time.Millisecond,
	MaxBackoff:     200 * time.Millisecond,
}

// Budget bounds the retries of one service by its successful traffic. It is
// not safe for concurrent use.
type Budget struct {
	opts   Options
	tokens float64
}

// NewBudget returns a budget that is full.
func NewBudget(opts Options) *Budget { return &Budget{opts: opts, tokens: opts.Burst} }

// RecordSuccess earns a part of a retry.
func (b *Budget) RecordSuccess() { b.tokens = min(b.tokens+b.opts.Ratio, b.opts.Burst) }

// Attempt is a failed try that may be repeated.
type Attempt struct {
	Number     int // 1 for the first try
	Verdict    verdict.Verdict
	Idempotent bool
	Overloaded bool          // the worker said that it is overloaded
	Remaining  time.Duration // until the request's deadline
}

// Next decides whether a failed try is repeated, and after which pause. What
// may have run is repeated only if it is idempotent; an overload never is.
func (b *Budget) Next(a Attempt, rnd *rand.Rand) (pause time.Duration, again bool) {
	repeatable := a.Verdict == verdict.NotRun || a.Idempotent
	if !repeatable || a.Overloaded || a.Number >= b.opts.MaxAttempts {
		return 0, false
	}
	pause = b.backoff(a.Number, rnd)
	if pause >= a.Remaining {
		return 0, false
	}
	if b.opts.Policy == PolicyUnbudgeted {
		return pause, true
	}
	if b.tokens < 1 {
		return 0, false
	}
	b.tokens--
	return pause, true
}

func (b *Budget) backoff(attempt int, rnd *rand.Rand) time.Duration {
	bound := min(b.opts.InitialBackoff<<(attempt-1), b.opts.MaxBackoff)
	return time.Duration(rnd.Int64N(int64(bound) + 1))
}
