package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/postmount/postmount/verdict"
)

func TestRetriesOnlyRepeatableAttempts(t *testing.T) {
	retryable := Attempt{Number: 1, Verdict: verdict.NotRun, Remaining: time.Minute}
	for _, tc := range []struct {
		name   string
		change func(*Attempt)
		want   bool
	}{
		{"did not run", func(*Attempt) {}, true},
		{"may have run", func(a *Attempt) { a.Verdict = verdict.MayHaveRun }, false},
		{"may have run, idempotent", func(a *Attempt) { a.Verdict, a.Idempotent = verdict.MayHaveRun, true }, true},
		{"overload", func(a *Attempt) { a.Overloaded = true }, false},
		{"last attempt", func(a *Attempt) { a.Number = 3 }, false},
		{"no time left", func(a *Attempt) { a.Remaining = 0 }, false},
	} {
		a := retryable
		tc.change(&a)
		_, retry := NewBudget(DefaultOptions).AllowRetry(a, rand.New(rand.NewPCG(1, 1)))
		assert.Equal(t, tc.want, retry, tc.name)
	}
}

// TestRetryAmplificationIsLimited: if every attempt fails, the retries are limited
// to the initial budget.
func TestRetryAmplificationIsLimited(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	countAttempts := func(p Policy) (n int) {
		o := DefaultOptions
		o.Policy = p
		b := NewBudget(o)
		for range 1000 {
			for attempt := 1; ; attempt++ {
				n++
				if _, retry := b.AllowRetry(Attempt{Number: attempt, Verdict: verdict.NotRun, Remaining: time.Minute}, rnd); !retry {
					break
				}
			}
		}
		return n
	}
	assert.Equal(t, 1000+int(DefaultOptions.Burst), countAttempts(PolicyBudgeted))
	assert.Equal(t, 3000, countAttempts(PolicyUnbudgeted), "without a budget, retries triple the load")
}
