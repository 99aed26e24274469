package quota

import (
	"time"

	"github.com/postmount/postmount/jobs/job"
)

// shareBurst is the time of a tenant's share that it may use at once: callers do not come at
// even times.
const shareBurst = time.Second

// Shares tells which jobs lie within their tenant's share, so many a second as its weight says.
// What it sends beyond that has no claim on room that others could use.
type Shares struct {
	buckets map[string]*bucket
}

// bucket is a token bucket: a job takes a token, tokens come back at the tenant's weight.
type bucket struct {
	weight float64 // a second; 0: no share is stated, everything is within it
	tokens float64
	at     time.Time
}

// NewShares returns shares of nobody.
func NewShares() *Shares { return &Shares{buckets: map[string]*bucket{}} }

// SetWeights takes the weights of a newer configuration.
func (s *Shares) SetWeights(tenants []job.Tenant) {
	for _, t := range tenants {
		b := s.buckets[t.Name]
		if b == nil {
			b = &bucket{tokens: burst(t.Weight)}
			s.buckets[t.Name] = b
		}
		b.weight = t.Weight
	}
}

// Take accounts for a job that was accepted at a time, and reports whether it lies within its
// tenant's share. Jobs come nearly in the order of these times.
func (s *Shares) Take(tenant string, at time.Time) bool {
	b := s.buckets[tenant]
	if b == nil || b.weight == 0 {
		return true
	}
	if passed := at.Sub(b.at); passed > 0 {
		b.tokens = min(burst(b.weight), b.tokens+b.weight*passed.Seconds())
		b.at = at
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// burst returns how many jobs a tenant may send at once, one at least.
func burst(weight float64) float64 { return max(1, weight*shareBurst.Seconds()) }
