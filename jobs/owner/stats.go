package owner

import "time"

// Stats are figures of the owner for the metrics.
type Stats struct {
	Counts              // since the term began
	OpenJobs    int     // accepted, and not recorded as ended
	Unrecorded  int     // jobs with something to be written
	Workers     int     // that answered our token
	Usable      int     // that may get new tasks
	Silent      int     // that do not answer
	Running     int     // tasks on workers
	Moving      int     // instances on their way to another pool
	WaitingCore float64 // cores that tasks wait for
}

// Stats returns the figures at now.
func (c *Core) Stats(now time.Time) Stats {
	s := Stats{Counts: c.counts, OpenJobs: len(c.open), Unrecorded: len(c.dirty), Moving: len(c.moves)}
	for _, w := range c.workers {
		if w.gone {
			continue
		}
		s.Running += len(w.runs)
		if w.held {
			s.Workers++
		}
		if w.usable(now) {
			s.Usable++
		}
		if w.silent() {
			s.Silent++
		}
	}
	for _, p := range c.pools {
		s.WaitingCore += p.waiting
	}
	return s
}
