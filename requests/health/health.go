// Package health puts workers that fail their requests aside and probes them
// at growing intervals. Everything here is pure.
package health

import (
	"time"

	"github.com/postmount/postmount/requests/fleet"
)

// Options of the rule.
type Options struct {
	// ConsecutiveFailures is how many failures in a row put a worker aside.
	ConsecutiveFailures int
	// InitialProbeInterval and MaxProbeInterval bound the time until an ejected worker is tried
	// again; it doubles with each failed probe.
	InitialProbeInterval, MaxProbeInterval time.Duration
	// MinUsableShare is the share of a service's workers that is never put aside.
	MinUsableShare float64
}

// DefaultOptions keep at least half of the workers in use.
var DefaultOptions = Options{ConsecutiveFailures: 3, InitialProbeInterval: 500 * time.Millisecond, MaxProbeInterval: 30 * time.Second, MinUsableShare: 0.5}

type ejectionState struct {
	failures      int
	ejected       bool
	probeInterval time.Duration
	probeAt       time.Time
	probing       bool
}

// latencyAverage is a moving average of how long a worker's requests took.
type latencyAverage struct {
	mean time.Duration
	at   time.Time // of the last observation
	// oldestPending is when a request was sent that has not been answered, nor any
	// after it; zero if there is none.
	oldestPending time.Time
}

// OutlierDetector judges the workers of one service. It is not safe for concurrent use.
type OutlierDetector struct {
	opts      Options
	workers   map[fleet.InstanceID]*ejectionState
	latencies map[fleet.InstanceID]latencyAverage
	ejected   int
}

// New returns a core that trusts every worker.
func New(opts Options) *OutlierDetector {
	return &OutlierDetector{opts: opts, workers: map[fleet.InstanceID]*ejectionState{}, latencies: map[fleet.InstanceID]latencyAverage{}}
}

// RecordFailure notes a failure of worker id, one of total in the service. It reports
// whether the worker was put aside by it.
func (c *OutlierDetector) RecordFailure(now time.Time, id fleet.InstanceID, total int) bool {
	r := c.workers[id]
	if r == nil {
		r = &ejectionState{}
		c.workers[id] = r
	}
	r.failures++
	r.probing = false
	if r.ejected {
		r.probeInterval = min(2*r.probeInterval, c.opts.MaxProbeInterval)
		r.probeAt = now.Add(r.probeInterval)
		return false
	}
	mayEject := float64(total-c.ejected-1) >= c.opts.MinUsableShare*float64(total)
	if r.failures < c.opts.ConsecutiveFailures || !mayEject {
		return false
	}
	r.ejected = true
	r.probeInterval = c.opts.InitialProbeInterval
	r.probeAt = now.Add(r.probeInterval)
	c.ejected++
	return true
}

// RecordSuccess notes a whole answer of worker id. It reports whether the worker
// came back into use by it.
func (c *OutlierDetector) RecordSuccess(id fleet.InstanceID) bool {
	r := c.workers[id]
	if r == nil {
		return false
	}
	delete(c.workers, id)
	if r.ejected {
		c.ejected--
	}
	return r.ejected
}

// Of a worker's latency: the weight of the newest observation, and how long the
// average counts without a new one, so that a worker that was slow is tried
// again.
const (
	latencyNewWeight = 0.3
	latencyMaxAge    = 5 * time.Second
)

// ObserveLatency notes how long a request took on worker id.
func (c *OutlierDetector) ObserveLatency(now time.Time, id fleet.InstanceID, took time.Duration) {
	l := c.latencies[id]
	if l.at.IsZero() || now.Sub(l.at) > latencyMaxAge {
		l.mean = took
	}
	l.mean += time.Duration(latencyNewWeight * float64(took-l.mean))
	l.at = now
	l.oldestPending = time.Time{}
	c.latencies[id] = l
}

// Latency returns how long requests on worker id lately took, or how long one
// has been waiting if that is longer; 0 if nothing is known.
func (c *OutlierDetector) Latency(now time.Time, id fleet.InstanceID) time.Duration {
	l := c.latencies[id]
	known := time.Duration(0)
	if now.Sub(l.at) <= latencyMaxAge {
		known = l.mean
	}
	if !l.oldestPending.IsZero() {
		known = max(known, now.Sub(l.oldestPending))
	}
	return known
}

// Usable reports whether worker id may be picked, and whether that would be a
// probe: one request that decides whether it comes back.
func (c *OutlierDetector) Usable(now time.Time, id fleet.InstanceID) (usable, probe bool) {
	r := c.workers[id]
	if r == nil || !r.ejected {
		return true, false
	}
	due := !r.probing && !now.Before(r.probeAt)
	return due, due
}

// RecordSent notes that a request is on its way to worker id; if the worker is put
// aside it is a probe.
func (c *OutlierDetector) RecordSent(now time.Time, id fleet.InstanceID) {
	if l := c.latencies[id]; l.oldestPending.IsZero() {
		l.oldestPending = now
		c.latencies[id] = l
	}
	if r := c.workers[id]; r != nil {
		r.probing = true
	}
}

// CancelSent notes that a request to worker id was given up before it was sent.
func (c *OutlierDetector) CancelSent(id fleet.InstanceID) {
	if l, ok := c.latencies[id]; ok {
		l.oldestPending = time.Time{}
		c.latencies[id] = l
	}
	if r := c.workers[id]; r != nil {
		r.probing = false
	}
}

// RemoveAbsent drops what is known of workers that are no longer there.
func (c *OutlierDetector) RemoveAbsent(present map[fleet.InstanceID]int) {
	for id := range c.latencies {
		if _, ok := present[id]; !ok {
			delete(c.latencies, id)
		}
	}
	for id, r := range c.workers {
		if _, ok := present[id]; ok {
			continue
		}
		if r.ejected {
			c.ejected--
		}
		delete(c.workers, id)
	}
}

// Ejected returns how many workers are put aside.
func (c *OutlierDetector) Ejected() int { return c.ejected }
