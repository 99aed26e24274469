package owner

import "time"

// line is the starts that are ordered and without an outcome, and how fast outcomes come.
// What is ordered waits for its turn behind what was ordered before, whatever is more
// urgent by then: so no more is ordered than can be sent at once.
type line struct {
	open  int             // starts without an outcome
	held  map[string]bool // services with tasks that could start but for these
	ready map[string]int  // tasks of each that can still be in time, at its last placement

	rate    float64 // outcomes a second, of late
	counted int     // outcomes since
	since   time.Time
}

// Figures of the rate.
const (
	// rateEvery is how often the rate is worked out, and rateKept the share of it that
	// each time leaves: the last two seconds count for the most.
	rateEvery = 500 * time.Millisecond
	rateKept  = 0.6
	// rateForgotten without an outcome means that nothing waits for the line.
	rateForgotten = 4 * rateEvery
)

func newLine() line { return line{held: map[string]bool{}, ready: map[string]int{}} }

// answered takes note of the outcome of a start.
func (l *line) answered(now time.Time) {
	l.open--
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

// hold takes note that tasks of the service wait for the line.
func (l *line) hold(service string, ready int) {
	l.held[service] = true
	l.ready[service] = ready
}

func (l *line) letGo(service string) {
	delete(l.held, service)
	delete(l.ready, service)
}

// wait returns how long it takes to start what is ready now.
func (l *line) wait() time.Duration {
	if len(l.held) == 0 || l.rate <= 0 {
		return 0
	}
	tasks := l.open
	for _, n := range l.ready {
		tasks += n
	}
	return time.Duration(float64(tasks) / l.rate * float64(time.Second))
}

// LineWait returns how long a task that becomes ready now waits until the owner has sent
// what comes before it; 0 if the owner keeps up.
func (c *Core) LineWait(now time.Time) time.Duration {
	if now.Sub(c.line.since) > rateForgotten {
		return 0
	}
	return c.line.wait()
}

// mayOrderStart reports whether another start may be ordered.
func (c *Core) mayOrderStart() bool {
	return c.opt.StartsAtOnce == 0 || c.line.open < c.opt.StartsAtOnce
}

// lineIsShort reports whether it is worth while to look again at services that were held
// back: for each start alone a look would cost more than the start.
func (c *Core) lineIsShort() bool { return c.line.open <= c.opt.StartsAtOnce/2 }

// readyTasks counts the tasks of claims that can start and would be in time.
func readyTasks(claims []claim) int {
	n := 0
	for _, cl := range claims {
		if cl.band == bandLate {
			continue
		}
		for _, s := range cl.job.steps {
			if s.ready() {
				n += s.idle
			}
		}
	}
	return n
}
