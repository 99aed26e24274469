// Package slo counts good and bad requests per service-level objective and
// computes error budget burn rates.
package slo

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/postmount/postmount/requests/fleet"
)

// Windows are the windows of the burn report, in order. 1 h with 5 min and 6 h with
// 30 min are the usual pairs for fast and slow burn alerts.
var Windows = []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour}

// Alert thresholds: burn rates at which a 30-day error budget loses 2% in one hour
// (fast) or 5% in six hours (slow).
const (
	FastBurnThreshold = 14.4
	SlowBurnThreshold = 6.0
)

// Requests are counted in a ring of buckets that spans the longest window.
const (
	bucketDuration = 30 * time.Second
	bucketCount    = int(6 * time.Hour / bucketDuration)
)

type bucket struct {
	number int64 // Unix time divided by bucketDuration
	total  int64 // requests
	bad    int64 // requests that missed the objective
}

// Key identifies a class of a service.
type Key struct {
	Service fleet.ServiceName
	Class   fleet.ClassName
}

// Recorder counts requests in buckets of bucketDuration. It is safe for concurrent
// use. Each key takes about 17 KB.
type Recorder struct {
	mu     sync.Mutex
	series map[Key]*[bucketCount]bucket
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder { return &Recorder{series: map[Key]*[bucketCount]bucket{}} }

// Record counts a request that ended at time now. good says whether it met the
// objective.
func (r *Recorder) Record(now time.Time, k Key, good bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.series[k]
	if s == nil {
		s = new([bucketCount]bucket)
		r.series[k] = s
	}
	n := now.UnixNano() / int64(bucketDuration)
	b := &s[n%int64(bucketCount)]
	if b.number != n {
		*b = bucket{number: n}
	}
	b.total++
	if !good {
		b.bad++
	}
}

// Count holds the numbers of requests of one key in one window.
type Count struct {
	Key
	Window     time.Duration
	Total, Bad int64
}

// Counts returns the counts of every key and window at time now, sorted by service,
// class and window. A window includes the current, incomplete bucket.
func (r *Recorder) Counts(now time.Time) []Count {
	r.mu.Lock()
	defer r.mu.Unlock()
	newest := now.UnixNano() / int64(bucketDuration)
	var out []Count
	for k, s := range r.series {
		for _, w := range Windows {
			c := Count{Key: k, Window: w}
			oldest := newest - int64(w/bucketDuration) + 1
			for _, b := range s {
				if b.number >= oldest && b.number <= newest {
					c.Total += b.total
					c.Bad += b.bad
				}
			}
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b Count) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Window, b.Window))
	})
	return out
}

// BurnRate returns how fast the error budget is being spent: at 1 it is used up
// exactly at the end of the objective's period. It returns 0 without requests or if
// objective is not between 0 and 1.
func BurnRate(total, bad int64, objective float64) float64 {
	if total == 0 || objective <= 0 || objective >= 1 {
		return 0
	}
	return float64(bad) / float64(total) / (1 - objective)
}

// Alert is the active burn rate alert of one class.
type Alert string

// Alerts.
const (
	AlertNone Alert = ""
	AlertFast Alert = "fast" // at least FastBurnThreshold over 1 h and 5 min
	AlertSlow Alert = "slow" // at least SlowBurnThreshold over 6 h and 30 min
)

// EvaluateAlert returns the alert for the burn rates by window. Both windows of a
// pair must be at the threshold or above, so that the alert ends soon after its cause.
func EvaluateAlert(rates map[time.Duration]float64) Alert {
	switch {
	case rates[time.Hour] >= FastBurnThreshold && rates[5*time.Minute] >= FastBurnThreshold:
		return AlertFast
	case rates[6*time.Hour] >= SlowBurnThreshold && rates[30*time.Minute] >= SlowBurnThreshold:
		return AlertSlow
	default:
		return AlertNone
	}
}
