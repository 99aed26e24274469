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

// Alert thresholds: a fast burn spends 2% of a 30-day error budget in one hour, a
// slow burn 5% in six hours.
const (
	FastBurnRate = 14.4
	SlowBurnRate = 6.0
)

const (
	bucketDuration = 30 * time.Second
	bucketCount    = int(6 * time.Hour / bucketDuration)
)

type bucket struct {
	number int64 // Unix time divided by bucketDuration
	total  int64
	bad    int64
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

// Record counts a request that ended at time now.
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

// Count is the number of requests of one key in one window.
type Count struct {
	Key
	Window     time.Duration
	Total, Bad int64
}

// Counts returns the counts of every key and window at time now.
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

// Alert is the active burn rate alert.
type Alert string

// Alerts.
const (
	AlertNone Alert = ""
	AlertFast Alert = "fast"
	AlertSlow Alert = "slow"
)

// EvaluateAlert returns the alert for the burn rates by window. Both windows of a
// pair must be above the threshold, so that the alert ends soon after its cause.
func EvaluateAlert(rate map[time.Duration]float64) Alert {
	switch {
	case rate[time.Hour] >= FastBurnRate && rate[5*time.Minute] >= FastBurnRate:
		return AlertFast
	case rate[6*time.Hour] >= SlowBurnRate && rate[30*time.Minute] >= SlowBurnRate:
		return AlertSlow
	default:
		return AlertNone
	}
}
