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
	Pools       []PoolStats
}

// PoolStats are figures of one pool.
type PoolStats struct {
	Name      string
	Instances int     // up, and with nothing planned for them
	Arriving  int     // on their way to it, less those that leave
	Busy      float64 // cores in use
	Waiting   float64 // cores that tasks wait for
	Rate      float64 // core-seconds of work that arrive a second
}

// Stats returns the figures at now.
func (c *Core) Stats(now time.Time) Stats {
	s := Stats{Counts: c.counts, OpenJobs: len(c.openJobs), Unrecorded: len(c.dirtyJobs), Moving: len(c.moves)}
	for _, w := range c.workers {
		if w.ended {
			continue
		}
		s.Running += len(w.runs)
		if w.heldByUs {
			s.Workers++
		}
		if c.isUsable(w, now) {
			s.Usable++
		}
		if w.isSilent() {
			s.Silent++
		}
	}
	for _, p := range c.pools {
		s.WaitingCore += p.waiting
	}
	s.Pools = c.poolStats(now)
	return s
}

func (c *Core) poolStats(now time.Time) []PoolStats {
	if c.catalog == nil {
		return nil
	}
	pools, spare := c.poolViews(now)
	var out []PoolStats
	for _, p := range append(pools, spare) {
		out = append(out, PoolStats{Name: p.Name, Instances: p.Size(), Arriving: p.Arriving, Busy: p.Busy, Waiting: p.Waiting, Rate: p.Rate})
	}
	return out
}
