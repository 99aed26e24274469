// Package health puts workers that fail their requests aside and probes them
// at growing intervals. Everything here is pure.
package health

import (
	"time"

	"github.com/postmount/postmount/requests/fleet"
)

// Options of the rule.
type Options struct {
	// Failures is how many failures in a row put a worker aside.
	Failures int
	// FirstProbe and MaxProbe bound the time until an ejected worker is tried
	// again; it doubles with each failed probe.
	FirstProbe, MaxProbe time.Duration
	// Floor is the share of a service's workers that is never put aside.
	Floor float64
}

// DefaultOptions keep at least half of the workers in use.
var DefaultOptions = Options{Failures: 3, FirstProbe: 500 * time.Millisecond, MaxProbe: 30 * time.Second, Floor: 0.5}

type record struct {
	failures int
	ejected  bool
	interval time.Duration
	probeAt  time.Time
	probing  bool
}

// latency is a moving average of how long a worker's requests took.
type latency struct {
	mean time.Duration
	at   time.Time // of the last observation
	// waiting is when a request was sent that has not been answered, nor any
	// after it; zero if there is none.
	waiting time.Time
}

// Core judges the workers of one service. It is not safe for concurrent use.
type Core struct {
	opts      Options
	workers   map[fleet.InstanceID]*record
	latencies map[fleet.InstanceID]latency
	ejected   int
}

// New returns a core that trusts every worker.
func New(opts Options) *Core {
	return &Core{opts: opts, workers: map[fleet.InstanceID]*record{}, latencies: map[fleet.InstanceID]latency{}}
}

// Failed notes a failure of worker id, one of total in the service. It reports
// whether the worker was put aside by it.
func (c *Core) Failed(now time.Time, id fleet.InstanceID, total int) bool {
	r := c.workers[id]
	if r == nil {
		r = &record{}
		c.workers[id] = r
	}
	r.failures++
	r.probing = false
	if r.ejected {
		r.interval = min(2*r.interval, c.opts.MaxProbe)
		r.probeAt = now.Add(r.interval)
		return false
	}
	mayEject := float64(total-c.ejected-1) >= c.opts.Floor*float64(total)
	if r.failures < c.opts.Failures || !mayEject {
		return false
	}
	r.ejected = true
	r.interval = c.opts.FirstProbe
	r.probeAt = now.Add(r.interval)
	c.ejected++
	return true
}

// Succeeded notes a whole answer of worker id. It reports whether the worker
// came back into use by it.
func (c *Core) Succeeded(id fleet.InstanceID) bool {
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
	latencyWeight = 0.3
	latencyMaxAge = 5 * time.Second
)

// Took notes how long a request took on worker id.
func (c *Core) Took(now time.Time, id fleet.InstanceID, took time.Duration) {
	l := c.latencies[id]
	if l.at.IsZero() || now.Sub(l.at) > latencyMaxAge {
		l.mean = took
	}
	l.mean += time.Duration(latencyWeight * float64(took-l.mean))
	l.at = now
	l.waiting = time.Time{}
	c.latencies[id] = l
}

// Latency returns how long requests on worker id lately took, or how long one
// has been waiting if that is longer; 0 if nothing is known.
func (c *Core) Latency(now time.Time, id fleet.InstanceID) time.Duration {
	l := c.latencies[id]
	known := time.Duration(0)
	if now.Sub(l.at) <= latencyMaxAge {
		known = l.mean
	}
	if !l.waiting.IsZero() {
		known = max(known, now.Sub(l.waiting))
	}
	return known
}

// Usable reports whether worker id may be picked, and whether that would be a
// probe: one request that decides whether it comes back.
func (c *Core) Usable(now time.Time, id fleet.InstanceID) (usable, probe bool) {
	r := c.workers[id]
	if r == nil || !r.ejected {
		return true, false
	}
	due := !r.probing && !now.Before(r.probeAt)
	return due, due
}

// Sent notes that a request is on its way to worker id; if the worker is put
// aside it is a probe.
func (c *Core) Sent(now time.Time, id fleet.InstanceID) {
	if l := c.latencies[id]; l.waiting.IsZero() {
		l.waiting = now
		c.latencies[id] = l
	}
	if r := c.workers[id]; r != nil {
		r.probing = true
	}
}

// NotSent notes that a request to worker id was given up before it was sent.
func (c *Core) NotSent(id fleet.InstanceID) {
	if l, ok := c.latencies[id]; ok {
		l.waiting = time.Time{}
		c.latencies[id] = l
	}
	if r := c.workers[id]; r != nil {
		r.probing = false
	}
}

// Forget drops what is known of workers that are no longer there.
func (c *Core) Forget(present map[fleet.InstanceID]int) {
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
func (c *Core) Ejected() int { return c.ejected }
