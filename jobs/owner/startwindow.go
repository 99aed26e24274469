package owner

import (
	"time"

	"github.com/postmount/postmount/jobs/job"
)

// startWindow limits the outstanding starts, those ordered and without an outcome, and measures
// how fast outcomes arrive. Orders queue behind earlier ones even if more urgent, so no more
// are ordered than can be sent at once.
type startWindow struct {
	maxOutstanding int             // upper bound of limit; 0: unlimited
	limit          float64         // current limit, adapted to answer latency
	decreasedAt    time.Time       // last decrease of limit
	deferred       map[string]bool // services with startable tasks that wait for the window

	outstanding map[uint64]bool // outstanding starts, by sequence number
	sent        []sentStart     // starts in the order in which they were ordered; some have an outcome
	lastSeq     uint64

	outcomeRate   float64 // recent outcomes per second; 0: unknown
	outcomes      int     // since rateUpdatedAt
	rateUpdatedAt time.Time
}

// sentStart is a start and the time of its order.
type sentStart struct {
	seq uint64
	at  time.Time
}

// maxOutstandingAge is how long a start without an outcome counts as outstanding. One that
// takes longer waits for its worker and does not delay other sends.
const maxOutstandingAge = 100 * time.Millisecond

// Parameters of outcomeRate.
const (
	// rateInterval is the update interval, and rateDecay the weight of the old value in each
	// update: the last two seconds dominate.
	rateInterval = 500 * time.Millisecond
	rateDecay    = 0.6
	// rateExpiry is how long the rate stays valid without an outcome; after that nothing
	// waits for the window.
	rateExpiry = 4 * rateInterval
)

// Parameters of the limit, which follows additive increase, multiplicative decrease as in
// TCP: how many orders a daemon's processor and link can carry is not known in advance.
const (
	// congestedLatency is the mean answer latency that indicates queuing on the way to the
	// workers: thirty times an order's normal latency and a third of its timeout. The mean
	// is used because single workers may be slow.
	congestedLatency = 120 * time.Millisecond
	// limitDecrease is the factor of a decrease, and limitDecreaseInterval the least time
	// between two: starts sent before the first are answered by then.
	limitDecrease         = 0.7
	limitDecreaseInterval = 200 * time.Millisecond
	// minLimit keeps some starts outstanding.
	minLimit = 8
)

func newStartWindow(maxOutstanding int) startWindow {
	return startWindow{maxOutstanding: maxOutstanding, limit: float64(maxOutstanding), deferred: map[string]bool{}, outstanding: map[uint64]bool{}}
}

// add records a start that is being ordered and returns its sequence number.
func (w *startWindow) add(now time.Time) uint64 {
	w.lastSeq++
	w.outstanding[w.lastSeq] = true
	w.sent = append(w.sent, sentStart{w.lastSeq, now})
	return w.lastSeq
}

// expire drops starts older than maxOutstandingAge.
func (w *startWindow) expire(now time.Time) {
	n := 0
	for n < len(w.sent) && now.Sub(w.sent[n].at) >= maxOutstandingAge {
		delete(w.outstanding, w.sent[n].seq)
		n++
	}
	w.sent = w.sent[n:]
}

// onOutcome records the outcome of a start and updates the rate.
func (w *startWindow) onOutcome(seq uint64, now time.Time) {
	delete(w.outstanding, seq)
	w.outcomes++
	elapsed := now.Sub(w.rateUpdatedAt)
	if elapsed < rateInterval {
		return
	}
	rate := float64(w.outcomes) / elapsed.Seconds()
	switch {
	case elapsed >= rateExpiry:
		w.outcomeRate = 0 // unknown
	case w.outcomeRate == 0:
		w.outcomeRate = rate
	default:
		w.outcomeRate = rateDecay*w.outcomeRate + (1-rateDecay)*rate
	}
	w.outcomes, w.rateUpdatedAt = 0, now
}

// adjust adapts the limit to the mean answer latency; called after each answer.
func (w *startWindow) adjust(mean time.Duration, now time.Time) {
	switch {
	case mean <= congestedLatency:
		w.limit = min(float64(w.maxOutstanding), w.limit+1/w.limit)
	case now.Sub(w.decreasedAt) > limitDecreaseInterval:
		w.limit = max(min(minLimit, float64(w.maxOutstanding)), limitDecrease*w.limit)
		w.decreasedAt = now
	}
}

// isFull reports whether no further start may be ordered.
func (w *startWindow) isFull() bool {
	return w.maxOutstanding > 0 && len(w.outstanding) >= int(w.limit)
}

// hasHeadroom reports whether enough of the window is free for another pass over deferred
// services: a pass per freed slot would cost more than the start.
func (w *startWindow) hasHeadroom() bool { return len(w.outstanding) <= int(w.limit)/2 }

// isBacklogged reports whether services are deferred and the outcome rate is current, so
// that their wait can be estimated.
func (w *startWindow) isBacklogged(now time.Time) bool {
	return len(w.deferred) > 0 && w.outcomeRate > 0 && now.Sub(w.rateUpdatedAt) <= rateExpiry
}

// IsBacklogged reports whether tasks wait for their start orders to be sent.
func (c *Core) IsBacklogged(now time.Time) bool { return c.startWindow.isBacklogged(now) }

// ExpectedLateness returns how late a job accepted now would be because of starts that are
// sent before its own; 0 if it would be on time, repeats, is long-running or its service is
// not deferred.
func (c *Core) ExpectedLateness(spec *job.Job, now time.Time) time.Duration {
	if !c.startWindow.isBacklogged(now) || spec.Repeat > 0 || spec.Steps[0].LongRunning {
		return 0
	}
	accepted := *spec
	accepted.AcceptedAt = now
	j := &jobState{spec: &accepted}
	j.applyQueueSettings(c.catalog)
	if !c.startWindow.deferred[j.service] {
		return 0
	}
	j.criticalPath, j.workLeft = estimateCriticalPathAndWork(spec)
	j.criticalPathLeft = j.criticalPath
	ahead := len(c.startWindow.outstanding) + countTasksAhead(c.pool(j.service).entries, c.queueEntryOf(j, now), c.opt.SchedulingPolicy)
	wait := time.Duration(float64(ahead) / c.startWindow.outcomeRate * float64(time.Second))
	return max(0, wait-j.deadline().Sub(now.Add(j.criticalPath)))
}

// countTasksAhead counts the startable tasks of jobs that sort before the entry; waiting is
// sorted by the policy.
func countTasksAhead(waiting []queueEntry, e queueEntry, policy SchedulingPolicy) int {
	n := 0
	for _, other := range waiting {
		if other.compare(e, policy) > 0 {
			break
		}
		for _, s := range other.job.steps {
			if s.ready() {
				n += s.withoutRun
			}
		}
	}
	return n
}
