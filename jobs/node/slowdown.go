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

// An instance may go on at a fraction of its speed: another process of its host takes the
// processor, or it is throttled. Its daemon renews its lease and answers, late, and as the
// owner it holds up all work. How fast it is shows best from the inside, by a fixed piece of
// work: unlike its load and its peers' patience that says nothing of how much there is to do.

// Figures of the measurement.
const (
	// probeInterval is the time between two probes of an owner, and of another daemon once a
	// probe of it has taken long; otherwise that only has to know what is usual, and probes
	// itself each probeRarely. A probe takes 10 µs and more, and a daemon's wake-up as much.
	probeInterval     = 50 * time.Millisecond
	idleProbeInterval = time.Second
	// probeWindow are looked at together: the shortest of them leaves out those that another
	// thread interrupted, as one at the usual speed shows that it is still there.
	probeWindow = 5
	// maxBaselineSamples is how many seconds tell what is usual, by the median of their shortest
	// probes, and usualLeast how many have to be known: a process that has just started
	// may run at two to three times its later speed. What is slow for usualAfter is what the
	// instance has become; until then it tells nothing of what is usual.
	maxBaselineSamples = 60
	minBaselineSamples = 10
	rebaselineAfter    = 30 * time.Second
	// slowFactor is how many times slower than usual an owner has to be, for slowFor on end, to
	// hand over: before it falls behind its queue, as a change of owner takes a third of a second.
	slowFactor = 2.5
	slowAfter  = 100 * time.Millisecond
	// slowYieldCPUFactor is how much more of a processor another daemon has to get at present, by its
	// entry in the store, to take over: where all are slow a change only costs.
	slowYieldCPUFactor = 2.0
	// minTermDuration is how long a term lasts at least: a takeover keeps a processor busy, and
	// what it is then says little of the instance.
	minTermDuration = 2 * time.Second
)

// slowdownDetector tells how much slower than usual the instance is.
type slowdownDetector struct {
	mu              sync.Mutex
	recent          []time.Duration
	baselineSamples []time.Duration // the shortest of recent, once a second
	sampledAt       time.Time       // when that was last added to
	baseline        time.Duration   // zero: not known yet
	slowSince       time.Time       // zero: it is not slow
}

// addProbe takes a probe at now.
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

// updateBaseline adds to what is usual once a second.
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

// currentFactor returns how many times longer than usual a probe takes at present.
func (s *slowdownDetector) currentFactor() float64 {
	if s.baseline == 0 {
		return 1
	}
	return float64(slices.Min(s.recent)) / float64(s.baseline)
}

// sustainedFactor returns how many times slower than usual the instance is: 1 unless that has lasted.
func (s *slowdownDetector) sustainedFactor(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slowSince.IsZero() || now.Sub(s.slowSince) < slowAfter {
		return 1
	}
	return s.currentFactor()
}

// currentCores is what this daemon gets of a processor at present, in cores.
func (n *Node) currentCores() float64 {
	return n.settings.Cores / n.slowdown.sustainedFactor(n.clock.Now())
}

// monitorSpeed measures the instance's speed, and hands over if it is the owner and slow.
func (n *Node) monitorSpeed(ctx context.Context) {
	was := 1.0
	for sleep.For(ctx, n.probePause()) {
		now := n.clock.Now()
		n.slowdown.addProbe(n.platform.CPUProbe(), now)
		by := n.slowdown.sustainedFactor(now)
		if (by > 1) != (was > 1) {
			n.log.Warn("instance-speed", zap.Float64("slower-by", by))
			go n.publishSpeed(ctx)
		}
		was = by
		n.metrics.slowdown(by)
		if by > 1 {
			n.yieldIfSlow(ctx, by)
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

// suspected reports whether the newest probe took long, or too few are known.
func (s *slowdownDetector) suspected() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.recent) < probeWindow {
		return true
	}
	newest := s.recent[len(s.recent)-1]
	return s.baseline > 0 && float64(newest) >= slowFactor*float64(s.baseline)
}

// publishSpeed writes what this daemon gets of a processor to its entry in the store: nobody is
// to hand over to a slow one.
func (n *Node) publishSpeed(ctx context.Context) {
	id := ledger.LeaseID(n.lease.Load())
	if id == 0 {
		return // it is told when the lease is granted
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	n.writeMemberEntry(ctx, id)
}

// yieldIfSlow hands the lock over if another daemon gets more of a processor at present. The
// list is read anew before: where all have become slow they have told so by then, and without
// the store nobody can take over.
func (n *Node) yieldIfSlow(ctx context.Context, by float64) {
	t := n.term.Load()
	if t == nil || n.stopping.Load() || n.store.Unavailable() || n.clock.Now().Sub(t.startedAt) < minTermDuration || !n.hasPeerWithMoreCPU(slowYieldCPUFactor) {
		return
	}
	if !n.listMembers(ctx) || !n.hasPeerWithMoreCPU(slowYieldCPUFactor) {
		return
	}
	n.log.Info("yield", zap.Uint64("term", t.term.Number), zap.Float64("slower-by", by), zap.String("why", "its instance is slow, and that of another daemon is not"))
	if !t.handOver() && !n.store.Unavailable() {
		n.revokeLease() // the lock goes with it
	}
}
