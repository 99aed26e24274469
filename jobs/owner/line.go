package owner

import (
	"time"

	"github.com/postmount/postmount/jobs/job"
)

// line is the starts that are ordered and without an outcome, and how fast outcomes come.
// What is ordered waits for its turn behind what was ordered before, whatever is more
// urgent by then: so no more is ordered than can be sent at once.
type line struct {
	most  int             // starts that may be without an outcome; 0: any number
	limit float64         // how many may be now, by the time that answers take
	cutAt time.Time       // when the limit was last lowered
	held  map[string]bool // services with tasks that could start but for these

	waiting map[uint64]bool // starts in the line, by their numbers
	ordered []lineEntry     // all that may be in it, in the order in which they were ordered
	newest  uint64

	rate    float64 // outcomes a second, of late
	counted int     // outcomes since
	since   time.Time
}

// lineEntry is a start and when it was ordered.
type lineEntry struct {
	number uint64
	at     time.Time
}

// inLine is how long a start without an outcome counts as being in the line: what takes
// longer waits for its worker, and keeps nothing else from being sent.
const inLine = 100 * time.Millisecond

// Figures of the rate.
const (
	// rateEvery is how often the rate is worked out, and rateKept the share of it that
	// each time leaves: the last two seconds count for the most.
	rateEvery = 500 * time.Millisecond
	rateKept  = 0.6
	// rateForgotten without an outcome means that nothing waits for the line.
	rateForgotten = 4 * rateEvery
)

// Figures of the limit: additive increase, multiplicative decrease, as in TCP. How many
// orders a daemon's processor and its link bear is not known beforehand.
const (
	// slowOrder is the mean time of answers that shows that orders wait on their way: thirty
	// times what one takes, and a third of its timeout. Single workers may be slow.
	slowOrder = 120 * time.Millisecond
	// limitCut is the share that is left of the limit then, and limitPause the time until it
	// is lowered again: what was ordered before is answered by then.
	limitCut   = 0.7
	limitPause = 200 * time.Millisecond
	// leastLimit keeps some starts under way.
	leastLimit = 8
)

func newLine(most int) line {
	return line{most: most, limit: float64(most), held: map[string]bool{}, waiting: map[uint64]bool{}}
}

// order takes note that a start is ordered, and returns its number.
func (l *line) order(now time.Time) uint64 {
	l.newest++
	l.waiting[l.newest] = true
	l.ordered = append(l.ordered, lineEntry{l.newest, now})
	return l.newest
}

// letGo takes those out of the line that were ordered long ago.
func (l *line) letGo(now time.Time) {
	n := 0
	for n < len(l.ordered) && now.Sub(l.ordered[n].at) >= inLine {
		delete(l.waiting, l.ordered[n].number)
		n++
	}
	l.ordered = l.ordered[n:]
}

// answered takes note of the outcome of a start.
func (l *line) answered(number uint64, now time.Time) {
	delete(l.waiting, number)
	l.counted++
	passed := now.Sub(l.since)
	if passed < rateEvery {
		return
	}
	newest := float64(l.counted) / passed.Seconds()
	switch {
	case passed >= rateForgotten:
		l.rate = 0 // not known
	case l.rate == 0:
		l.rate = newest
	default:
		l.rate = rateKept*l.rate + (1-rateKept)*newest
	}
	l.counted, l.since = 0, now
}

// adapt sets the limit by the mean time of answers, after each of them.
func (l *line) adapt(mean time.Duration, now time.Time) {
	switch {
	case mean <= slowOrder:
		l.limit = min(float64(l.most), l.limit+1/l.limit)
	case now.Sub(l.cutAt) > limitPause:
		l.limit = max(min(leastLimit, float64(l.most)), limitCut*l.limit)
		l.cutAt = now
	}
}

// isFull reports whether no further start may be ordered.
func (l *line) isFull() bool { return l.most > 0 && len(l.waiting) >= int(l.limit) }

// isShort reports whether it is worth while to look again at services that were held
// back: for each start alone a look would cost more than the start.
func (l *line) isShort() bool { return len(l.waiting) <= int(l.limit)/2 }

// isBehind reports whether tasks wait for the line, and outcomes come by which it can be
// told for how long.
func (l *line) isBehind(now time.Time) bool {
	return len(l.held) > 0 && l.rate > 0 && now.Sub(l.since) <= rateForgotten
}

// IsBacklogged reports whether work waits for its orders to be sent.
func (c *Core) IsBacklogged(now time.Time) bool { return c.line.isBehind(now) }

// ExpectedLateness returns by how much a job that was accepted now would be late, because starts that
// go before its own wait to be sent; 0 if it would not be, or does not run now.
func (c *Core) ExpectedLateness(spec *job.Job, now time.Time) time.Duration {
	if !c.line.isBehind(now) || spec.Repeat > 0 || spec.Steps[0].LongRunning {
		return 0
	}
	fresh := *spec
	fresh.AcceptedAt = now
	j := &jobState{spec: &fresh}
	j.takeQueue(c.catalog)
	if !c.line.held[j.service] {
		return 0
	}
	j.criticalPath, j.workLeft = chainAndWork(spec)
	j.criticalPathLeft = j.criticalPath
	ahead := len(c.line.waiting) + readyBefore(c.pool(j.service).claims, c.claimOf(j, now), c.opt.JobOrder)
	wait := time.Duration(float64(ahead) / c.line.rate * float64(time.Second))
	return max(0, wait-j.deadline().Sub(now.Add(j.criticalPath)))
}

// readyBefore counts the tasks that can start and go before those of a claim, of jobs that
// wait in this order.
func readyBefore(waiting []claim, cl claim, policy SchedulingPolicy) int {
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
