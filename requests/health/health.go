// Package health implements outlier detection: it ejects workers whose requests
// fail and probes them with exponential backoff. It also tracks worker latency.
// It does no I/O; time is passed in.
package health

import (
	"time"

	"github.com/postmount/postmount/requests/fleet"
)

// Options configure an OutlierDetector.
type Options struct {
	// ConsecutiveFailures is the number of failures in a row after which a worker is
	// ejected.
	ConsecutiveFailures int
	// InitialProbeInterval is the time from ejection to the first probe. It doubles
	// with each failed probe up to MaxProbeInterval.
	InitialProbeInterval, MaxProbeInterval time.Duration
	// MinUsableShare is the minimum share of a service's workers, from 0 to 1, that
	// stays usable: no worker is ejected if fewer would remain.
	MinUsableShare float64
}

// DefaultOptions are the production settings.
var DefaultOptions = Options{
	ConsecutiveFailures:  3,
	InitialProbeInterval: 500 * time.Millisecond,
	MaxProbeInterval:     30 * time.Second,
	MinUsableShare:       0.5,
}

// ejectionState is the state of a worker with a failure since its last success.
type ejectionState struct {
	failures      int // in a row
	ejected       bool
	probeInterval time.Duration
	probeAt       time.Time
	probing       bool // a probe has been sent and has no result yet
}

// workerLatency is the latency state of one worker.
type workerLatency struct {
	mean time.Duration // moving average
	at   time.Time     // time of the last sample
	// waitingSince is when the first request after the last answer was sent; zero
	// if there is none.
	waitingSince time.Time
}

// OutlierDetector tracks the health of one service's workers. It is not safe for
// concurrent use.
type OutlierDetector struct {
	opts      Options
	workers   map[fleet.InstanceID]*ejectionState
	latencies map[fleet.InstanceID]workerLatency
	ejected   int
}

// New returns a detector with no ejected workers.
func New(opts Options) *OutlierDetector {
	return &OutlierDetector{opts: opts, workers: map[fleet.InstanceID]*ejectionState{}, latencies: map[fleet.InstanceID]workerLatency{}}
}

// RecordFailure records a failed request on worker id. total is the number of the
// service's workers. It reports whether this ejected the worker.
func (d *OutlierDetector) RecordFailure(now time.Time, id fleet.InstanceID, total int) bool {
	r := d.workers[id]
	if r == nil {
		r = &ejectionState{}
		d.workers[id] = r
	}
	r.failures++
	r.probing = false
	if r.ejected {
		r.probeInterval = min(2*r.probeInterval, d.opts.MaxProbeInterval)
		r.probeAt = now.Add(r.probeInterval)
		return false
	}
	mayEject := float64(total-d.ejected-1) >= d.opts.MinUsableShare*float64(total)
	if r.failures < d.opts.ConsecutiveFailures || !mayEject {
		return false
	}
	r.ejected = true
	r.probeInterval = d.opts.InitialProbeInterval
	r.probeAt = now.Add(r.probeInterval)
	d.ejected++
	return true
}

// RecordSuccess records a successful request on worker id. It reports whether this
// restored an ejected worker.
func (d *OutlierDetector) RecordSuccess(id fleet.InstanceID) bool {
	r := d.workers[id]
	if r == nil {
		return false
	}
	delete(d.workers, id)
	if r.ejected {
		d.ejected--
	}
	return r.ejected
}

const (
	// latencySmoothing is the weight of the newest sample in the moving average.
	latencySmoothing = 0.3
	// latencyMaxAge is how long the average is valid without a new sample, so that
	// a slow worker is tried again.
	latencyMaxAge = 5 * time.Second
)

// ObserveLatency records how long a request took on worker id.
func (d *OutlierDetector) ObserveLatency(now time.Time, id fleet.InstanceID, took time.Duration) {
	l := d.latencies[id]
	if l.at.IsZero() || now.Sub(l.at) > latencyMaxAge {
		l.mean = took
	}
	l.mean += time.Duration(latencySmoothing * float64(took-l.mean))
	l.at = now
	l.waitingSince = time.Time{}
	d.latencies[id] = l
}

// Latency returns the recent average latency of worker id, or how long it has been
// without an answer since a request was sent if that is longer; 0 if neither is
// known.
func (d *OutlierDetector) Latency(now time.Time, id fleet.InstanceID) time.Duration {
	l := d.latencies[id]
	known := time.Duration(0)
	if now.Sub(l.at) <= latencyMaxAge {
		known = l.mean
	}
	if !l.waitingSince.IsZero() {
		known = max(known, now.Sub(l.waitingSince))
	}
	return known
}

// Usable reports whether worker id may get a request, and whether that request
// would be a probe, whose result decides whether the worker is restored.
func (d *OutlierDetector) Usable(now time.Time, id fleet.InstanceID) (usable, probe bool) {
	r := d.workers[id]
	if r == nil || !r.ejected {
		return true, false
	}
	due := !r.probing && !now.Before(r.probeAt)
	return due, due
}

// RecordSent records that a request is being sent to worker id. If the worker is
// ejected, the request is a probe.
func (d *OutlierDetector) RecordSent(now time.Time, id fleet.InstanceID) {
	if l := d.latencies[id]; l.waitingSince.IsZero() {
		l.waitingSince = now
		d.latencies[id] = l
	}
	if r := d.workers[id]; r != nil {
		r.probing = true
	}
}

// CancelSent records that a request to worker id was not sent after all, or that its
// result says nothing about the worker.
func (d *OutlierDetector) CancelSent(id fleet.InstanceID) {
	if l, ok := d.latencies[id]; ok {
		l.waitingSince = time.Time{}
		d.latencies[id] = l
	}
	if r := d.workers[id]; r != nil {
		r.probing = false
	}
}

// RemoveAbsent removes the state of workers that are not in present.
func (d *OutlierDetector) RemoveAbsent(present map[fleet.InstanceID]int) {
	for id := range d.latencies {
		if _, ok := present[id]; !ok {
			delete(d.latencies, id)
		}
	}
	for id, r := range d.workers {
		if _, ok := present[id]; ok {
			continue
		}
		if r.ejected {
			d.ejected--
		}
		delete(d.workers, id)
	}
}

// Ejected returns the number of ejected workers.
func (d *OutlierDetector) Ejected() int { return d.ejected }
