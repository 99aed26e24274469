package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/postmount/postmount/internal/sleep"
	"github.com/postmount/postmount/jobs/ledger"
)

// An instance may drop to a fraction of its speed, because another process on its host takes the
// CPU or because it is throttled. Its daemon still renews its lease and answers, but late, and as
// the owner it delays all work. The daemon therefore measures its own speed by timing a fixed
// amount of work, a probe. Unlike the daemon's load or the latency that peers see, the duration of
// a probe does not depend on how much other work there is.

// Parameters of the measurement.
const (
	// probeInterval is the time between two probes of an owner, and of any other daemon after a
	// slow probe. Otherwise the other daemons only need to maintain their baseline, and probe
	// every idleProbeInterval. A probe takes at least 10 µs, and waking the daemon takes as long.
	probeInterval     = 50 * time.Millisecond
	idleProbeInterval = time.Second
	// probeWindow is the number of recent probes of which the shortest counts. That excludes
	// probes that another thread interrupted: one probe at the usual speed proves that speed.
	probeWindow = 5
	// maxBaselineSamples is the number of samples, one per second, whose median is the baseline,
	// and minBaselineSamples how many are needed for one: a process that has just started may run
	// at two to three times its later speed. Samples of a slow instance are not added until it has
	// been slow for rebaselineAfter; then a new baseline is measured.
	maxBaselineSamples = 60
	minBaselineSamples = 10
	rebaselineAfter    = 30 * time.Second
	// slowFactor is how many times slower than the baseline an owner must be, for slowAfter
	// without interruption, to hand over. It hands over early, before a backlog builds up, as a
	// change of owner itself takes a third of a second.
	slowFactor = 2.5
	slowAfter  = 100 * time.Millisecond
	// slowYieldCPUFactor is how many times more CPU another daemon must get at present, according
	// to its entry in the store, for a slow owner to yield. If all are slow, a change of owner
	// costs time and gains nothing.
	slowYieldCPUFactor = 2.0
	// minTermDuration is the minimum age of a term for a handover: a takeover keeps the CPU busy,
	// so that the measured speed says little about the instance.
	minTermDuration = 2 * time.Second
)

// slowdownDetector measures how much slower than usual the instance is, from the durations of a
// fixed amount of work.
type slowdownDetector struct {
	mu              sync.Mutex
	recent          []time.Duration // the last probeWindow probes
	baselineSamples []time.Duration // the shortest of recent, once per second
	sampledAt       time.Time       // when a sample was last due
	baseline        time.Duration   // 0: not known yet
	slowSince       time.Time       // zero: not slow
}

// addProbe adds the duration of a probe that ended at now.
func (s *slowdownDetector) addProbe(took time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recent = append(s.recent, took)
	if len(s.recent) > probeWindow {
		s.recent = s.recent[1:]
	}
	if len(s.recent) < probeWindow {
		return
	}
	s.updateBaseline(now)
	switch {
	case s.currentFactor() < slowFactor:
		s.slowSince = time.Time{}
	case s.slowSince.IsZero():
		s.slowSince = now
	}
}

// updateBaseline adds a sample to the baseline once per second.
func (s *slowdownDetector) updateBaseline(now time.Time) {
	if now.Sub(s.sampledAt) < time.Second {
		return
	}
	s.sampledAt = now
	if !s.slowSince.IsZero() && now.Sub(s.slowSince) < rebaselineAfter {
		return
	}
	if !s.slowSince.IsZero() {
		s.baselineSamples, s.baseline, s.slowSince = nil, 0, time.Time{}
	}
	s.baselineSamples = append(s.baselineSamples, slices.Min(s.recent))
	if len(s.baselineSamples) > maxBaselineSamples {
		s.baselineSamples = s.baselineSamples[1:]
	}
	if len(s.baselineSamples) >= minBaselineSamples {
		s.baseline = slices.Sorted(slices.Values(s.baselineSamples))[len(s.baselineSamples)/2]
	}
}

// currentFactor returns the shortest recent probe as a multiple of the baseline, 1 if there is no
// baseline. The caller holds mu.
func (s *slowdownDetector) currentFactor() float64 {
	if s.baseline == 0 {
		return 1
	}
	return float64(slices.Min(s.recent)) / float64(s.baseline)
}

// sustainedFactor returns how many times slower than usual the instance is, 1 unless it has been
// slow for slowAfter.
func (s *slowdownDetector) sustainedFactor(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slowSince.IsZero() || now.Sub(s.slowSince) < slowAfter {
		return 1
	}
	return s.currentFactor()
}

// currentCores returns the CPU that this daemon gets at present, in cores.
func (n *Node) currentCores() float64 {
	return n.settings.Cores / n.slowdown.sustainedFactor(n.clock.Now())
}

// monitorSpeed measures the instance's speed, and yields if this daemon is the owner and slow.
func (n *Node) monitorSpeed(ctx context.Context) {
	previous := 1.0
	for sleep.For(ctx, n.probePause()) {
		now := n.clock.Now()
		n.slowdown.addProbe(n.platform.CPUProbe(), now)
		factor := n.slowdown.sustainedFactor(now)
		if (factor > 1) != (previous > 1) {
			n.log.Warn("instance-speed", zap.Float64("slower-by", factor))
			go n.publishSpeed(ctx)
		}
		previous = factor
		n.metrics.slowdown(factor)
		if factor > 1 {
			n.yieldIfSlow(ctx, factor)
		}
	}
}

// probePause returns the time until the next probe.
func (n *Node) probePause() time.Duration {
	if n.term.Load() != nil || n.slowdown.suspected() {
		return probeInterval
	}
	return idleProbeInterval
}

// suspected reports whether the last probe was slow, or there are too few probes.
func (s *slowdownDetector) suspected() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.recent) < probeWindow {
		return true
	}
	newest := s.recent[len(s.recent)-1]
	return s.baseline > 0 && float64(newest) >= slowFactor*float64(s.baseline)
}

// publishSpeed updates this daemon's member entry with the CPU that it gets at present, so that no
// owner yields to a slow daemon.
func (n *Node) publishSpeed(ctx context.Context) {
	id := ledger.LeaseID(n.lease.Load())
	if id == 0 {
		return // written when the lease is granted
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	n.writeMemberEntry(ctx, id)
}

// yieldIfSlow releases the lock if this daemon is the owner and another one gets more CPU at
// present. factor is how many times slower than usual this daemon is. The list of daemons is read
// again first: if all have become slow they have published that by then, and if the store is
// unavailable no other daemon can take over.
func (n *Node) yieldIfSlow(ctx context.Context, factor float64) {
	t := n.term.Load()
	if t == nil || n.stopping.Load() || n.store.Unavailable() || n.clock.Now().Sub(t.startedAt) < minTermDuration || !n.hasPeerWithMoreCPU(slowYieldCPUFactor) {
		return
	}
	if !n.listMembers(ctx) || !n.hasPeerWithMoreCPU(slowYieldCPUFactor) {
		return
	}
	n.log.Info("yield", zap.Uint64("term", t.term.Number), zap.Float64("slower-by", factor), zap.String("why", "the owner's instance is slow, and another daemon's is not"))
	if !t.handOver() && !n.store.Unavailable() {
		n.revokeLease() // the store removes the lock with it
	}
}
