package owner

import (
	"time"

	"github.com/postmount/postmount/jobs/job"
)

// startWindow is the starts that are ordered and without an outcome, and how fast outcomes come.
// What is ordered waits for its turn behind what was ordered before, whatever is more
// urgent by then: so no more is ordered than can be sent at once.
type startWindow struct {
	maxOutstanding int             // starts that may be without an outcome; 0: any number
	limit          float64         // how many may be now, by the time that answers take
	decreasedAt    time.Time       // when the limit was last lowered
	deferred       map[string]bool // services with tasks that could start but for these

	outstanding map[uint64]bool // starts in the line, by their numbers
	sent        []sentStart     // all that may be in it, in the order in which they were ordered
	lastSeq     uint64

	outcomeRate   float64 // outcomes a second, of late
	outcomes      int     // outcomes since
	rateUpdatedAt time.Time
}

// sentStart is a start and when it was ordered.
type sentStart struct {
	seq uint64
	at  time.Time
}

// maxOutstandingAge is how long a start without an outcome counts as being in the line: what takes
// longer waits for its worker, and keeps nothing else from being sent.
const maxOutstandingAge = 100 * time.Millisecond

// Figures of the rate.
const (
	// rateInterval is how often the rate is worked out, and rateKept the share of it that
	// each time leaves: the last two seconds count for the most.
	rateInterval = 500 * time.Millisecond
	rateDecay    = 0.6
	// rateExpiry without an outcome means that nothing waits for the line.
	rateExpiry = 4 * rateInterval
)

// Figures of the limit: additive increase, multiplicative decrease, as in TCP. How many
// orders a daemon's processor and its link bear is not known beforehand.
const (
	// congestedLatency is the mean time of answers that shows that orders wait on their way: thirty
	// times what one takes, and a third of its timeout. Single workers may be slow.
	congestedLatency = 120 * time.Millisecond
	// limitDecrease is the share that is left of the limit then, and limitPause the time until it
	// is lowered again: what was ordered before is answered by then.
	limitDecrease         = 0.7
	limitDecreaseInterval = 200 * time.Millisecond
	// minLimit keeps some starts under way.
	minLimit = 8
)

func newStartWindow(most int) startWindow {
	return startWindow{maxOutstanding: most, limit: float64(most), deferred: map[string]bool{}, outstanding: map[uint64]bool{}}
}

// add takes note that a start is ordered, and returns its number.
func (l *startWindow) add(now time.Time) uint64 {
	l.lastSeq++
	l.outstanding[l.lastSeq] = true
	l.sent = append(l.sent, sentStart{l.lastSeq, now})
	return l.lastSeq
}

// expire takes those out of the line that were ordered long ago.
func (l *startWindow) expire(now time.Time) {
	n := 0
	for n < len(l.sent) && now.Sub(l.sent[n].at) >= maxOutstandingAge {
		delete(l.outstanding, l.sent[n].seq)
		n++
	}
	l.sent = l.sent[n:]
}

// onOutcome takes note of the outcome of a start.
func (l *startWindow) onOutcome(number uint64, now time.Time) {
	delete(l.outstanding, number)
	l.outcomes++
	passed := now.Sub(l.rateUpdatedAt)
	if passed < rateInterval {
		return
	}
	newest := float64(l.outcomes) / passed.Seconds()
	switch {
	case passed >= rateExpiry:
		l.outcomeRate = 0 // not known
	case l.outcomeRate == 0:
		l.outcomeRate = newest
	default:
		l.outcomeRate = rateDecay*l.outcomeRate + (1-rateDecay)*newest
	}
	l.outcomes, l.rateUpdatedAt = 0, now
}

// adjust sets the limit by the mean time of answers, after each of them.
func (l *startWindow) adjust(mean time.Duration, now time.Time) {
	switch {
	case mean <= congestedLatency:
		l.limit = min(float64(l.maxOutstanding), l.limit+1/l.limit)
	case now.Sub(l.decreasedAt) > limitDecreaseInterval:
		l.limit = max(min(minLimit, float64(l.maxOutstanding)), limitDecrease*l.limit)
		l.decreasedAt = now
	}
}

// isFull reports whether no further start may be ordered.
func (l *startWindow) isFull() bool {
	return l.maxOutstanding > 0 && len(l.outstanding) >= int(l.limit)
}

// hasHeadroom reports whether it is worth while to look again at services that were held
// back: for each start alone a look would cost more than the start.
func (l *startWindow) hasHeadroom() bool { return len(l.outstanding) <= int(l.limit)/2 }

// isBacklogged reports whether tasks wait for the line, and outcomes come by which it can be
// told for how long.
func (l *startWindow) isBacklogged(now time.Time) bool {
	return len(l.deferred) > 0 && l.outcomeRate > 0 && now.Sub(l.rateUpdatedAt) <= rateExpiry
}

// IsBacklogged reports whether work waits for its orders to be sent.
func (c *Core) IsBacklogged(now time.Time) bool { return c.startWindow.isBacklogged(now) }

// ExpectedLateness returns by how much a job that was accepted now would be late, because starts that
// go before its own wait to be sent; 0 if it would not be, or does not run now.
func (c *Core) ExpectedLateness(spec *job.Job, now time.Time) time.Duration {
	if !c.startWindow.isBacklogged(now) || spec.Repeat > 0 || spec.Steps[0].LongRunning {
		return 0
	}
	fresh := *spec
	fresh.AcceptedAt = now
	j := &jobState{spec: &fresh}
	j.applyQueueSettings(c.catalog)
	if !c.startWindow.deferred[j.service] {
		return 0
	}
	j.criticalPath, j.workLeft = estimateChainAndWork(spec)
	j.criticalPathLeft = j.criticalPath
	ahead := len(c.startWindow.outstanding) + countTasksAhead(c.pool(j.service).claims, c.queueEntryOf(j, now), c.opt.JobOrder)
	wait := time.Duration(float64(ahead) / c.startWindow.outcomeRate * float64(time.Second))
	return max(0, wait-j.deadline().Sub(now.Add(j.criticalPath)))
}

// countTasksAhead counts the tasks that can start and go before those of a claim, of jobs that
// wait in this order.
func countTasksAhead(waiting []queueEntry, cl queueEntry, policy SchedulingPolicy) int {
	n := 0
	for _, w := range waiting {
		if w.compare(cl, policy) > 0 {
			break
		}
		for _, s := range w.job.steps {
			if s.ready() {
				n += s.withoutRun
			}
		}
	}
	return n
}
