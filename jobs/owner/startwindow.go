package owner

import (
	"time"

	"github.com/postmount/postmount/jobs/job"
)

// startWindow limits the outstanding starts, which are ordered but have no outcome yet, and
// measures the rate of outcomes. An urgent order would queue behind all orders before it, so no
// more starts are ordered than can be sent immediately.
type startWindow struct {
	maxOutstanding int             // upper bound of limit; 0: unlimited
	limit          float64         // current limit, adapted to answer latency
	decreasedAt    time.Time       // last decrease of limit
	deferred       map[string]bool // services with startable tasks that wait for the window

	outstanding map[uint64]bool // outstanding starts, by sequence number
	sent        []sentStart     // starts in the order of their orders, including some with an outcome
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

// maxOutstandingAge is how long a start without an outcome counts as outstanding. After that it
// waits for its worker's answer, and no longer delays the sending of other starts.
const maxOutstandingAge = 100 * time.Millisecond

// Parameters of outcomeRate.
const (
	// rateInterval is the interval between updates, and rateDecay the weight of the previous
	// value in each update. The outcomes of the last two seconds dominate.
	rateInterval = 500 * time.Millisecond
	rateDecay    = 0.6
	// rateExpiry is how long the rate stays valid without an outcome. Without a valid rate no
	// wait is estimated.
	rateExpiry = 4 * rateInterval
)

// Parameters of the limit. It is adapted by additive increase and multiplicative decrease, as in
// TCP, since the number of orders that a daemon's CPU and link can handle is not known in advance.
const (
	// congestedLatency is the mean answer latency above which orders or answers queue up
	// between the owner and the workers: thirty times the normal latency, and a third of
	// OrderTimeout. The mean is used because single workers may be slow.
	congestedLatency = 120 * time.Millisecond
	// limitDecrease is the factor of a decrease, and limitDecreaseInterval the minimum time
	// between two decreases, in which the starts sent before the first one are answered.
	limitDecrease         = 0.7
	limitDecreaseInterval = 200 * time.Millisecond
	// minLimit is the lowest limit, so that some starts are always sent.
	minLimit = 8
)

// newStartWindow returns an empty window whose limit is maxOutstanding at first and at most; 0: no
// limit.
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
	case !w.isCongested(mean):
		w.limit = min(float64(w.maxOutstanding), w.limit+1/w.limit)
	case now.Sub(w.decreasedAt) > limitDecreaseInterval:
		w.limit = max(min(minLimit, float64(w.maxOutstanding)), limitDecrease*w.limit)
		w.decreasedAt = now
	}
}

// isCongested reports whether orders or answers queue up at this mean answer latency.
func (w *startWindow) isCongested(mean time.Duration) bool { return mean > congestedLatency }

// isFull reports whether no further start may be ordered.
func (w *startWindow) isFull() bool {
	return w.maxOutstanding > 0 && len(w.outstanding) >= int(w.limit)
}

// hasHeadroom reports whether at least half of the window is free. Deferred services are only
// scheduled again then: a scheduling pass for each freed slot would cost more than the start.
func (w *startWindow) hasHeadroom() bool { return len(w.outstanding) <= int(w.limit)/2 }

// isBacklogged reports whether services are deferred and the outcome rate is valid, so that
// their wait can be estimated.
func (w *startWindow) isBacklogged(now time.Time) bool {
	return len(w.deferred) > 0 && w.outcomeRate > 0 && now.Sub(w.rateUpdatedAt) <= rateExpiry
}

// IsBacklogged reports whether tasks wait for their start orders to be sent.
func (c *Core) IsBacklogged(now time.Time) bool { return c.startWindow.isBacklogged(now) }

// ExpectedLateness estimates by how much a job accepted now would miss its objective because
// other starts are sent before its own. It returns 0 if the job would be on time, repeats or is
// long-running, or if no starts of its service are deferred.
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

// countTasksAhead counts the startable tasks of the jobs that are placed before the entry.
// waiting is sorted by the policy.
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
