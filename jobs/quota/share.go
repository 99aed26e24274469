package quota

import (
	"time"

	"github.com/postmount/postmount/jobs/job"
)

// shareBurst is the period whose share a tenant may use in one burst, since jobs don't arrive
// evenly.
const shareBurst = time.Second

// Shares decides which jobs are within their tenant's share, which is as many jobs per second
// as its weight. Jobs beyond it yield free capacity to other tenants.
type Shares struct {
	buckets map[string]*bucket
}

// bucket is a token bucket: each job takes a token, and the weight is the refill rate.
type bucket struct {
	weight float64 // tokens per second; 0: no share configured, all jobs are within it
	tokens float64
	at     time.Time // last refill
}

// NewShares returns shares without any tenant.
func NewShares() *Shares { return &Shares{buckets: map[string]*bucket{}} }

// SetWeights applies the weights of a newer configuration.
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

// Take takes a token for a job accepted at the given time, and reports whether the job is
// within its tenant's share. Calls come nearly in the order of these times; an earlier time adds
// no tokens.
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

// Configured reports whether a tenant has a share.
func (s *Shares) Configured() bool {
	for _, b := range s.buckets {
		if b.weight > 0 {
			return true
		}
	}
	return false
}

// IsExceeded reports whether Take would report that a job is not within its tenant's share.
func (s *Shares) IsExceeded(tenant string, at time.Time) bool {
	b := s.buckets[tenant]
	if b == nil || b.weight == 0 {
		return false
	}
	return b.tokens+b.weight*max(0, at.Sub(b.at).Seconds()) < 1
}

// burst returns the capacity of a bucket: how many jobs a tenant may submit in one burst, at least
// one.
func burst(weight float64) float64 { return max(1, weight*shareBurst.Seconds()) }
