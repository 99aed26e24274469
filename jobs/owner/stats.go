package owner

import "time"

// Stats are figures of the owner for the metrics.
type Stats struct {
	Counts                  // since the term began
	OpenJobs        int     // accepted, and not recorded as ended
	UnrecordedJobs  int     // jobs with something to be written
	Workers         int     // that answered our token
	UsableWorkers   int     // that may get new tasks
	SilentWorkers   int     // that do not answer
	RunningTasks    int     // tasks on workers
	MovingInstances int     // instances on their way to another pool
	WaitingCores    float64 // cores that tasks wait for
	Pools           []PoolStats
}

// PoolStats are figures of one pool.
type PoolStats struct {
	Name         string
	Instances    int     // up, and with nothing planned for them
	Arriving     int     // on their way to it, less those that leave
	BusyCores    float64 // cores in use
	WaitingCores float64 // cores that tasks wait for
	ArrivalRate  float64 // core-seconds of work that arrive a second
}

// Stats returns the figures at now.
func (c *Core) Stats(now time.Time) Stats {
	s := Stats{Counts: c.counts, OpenJobs: len(c.openJobs), UnrecordedJobs: len(c.dirtyJobs), MovingInstances: len(c.moves)}
	for _, w := range c.workers {
		if w.ended {
			continue
		}
		s.RunningTasks += len(w.runs)
		if w.heldByUs {
			s.Workers++
		}
		if c.isUsable(w, now) {
			s.UsableWorkers++
		}
		if w.isSilent() {
			s.SilentWorkers++
		}
	}
	for _, p := range c.pools {
		s.WaitingCores += p.waitingCores
	}
	s.Pools = c.poolStats(now)
	return s
}

func (c *Core) poolStats(now time.Time) []PoolStats {
	if c.catalog == nil {
		return nil
	}
	pools, spare := c.poolSnapshots(now)
	var out []PoolStats
	for _, p := range append(pools, spare) {
		out = append(out, PoolStats{Name: p.Name, Instances: p.Size(), Arriving: p.Arriving, BusyCores: p.BusyCores, WaitingCores: p.WaitingCores, ArrivalRate: p.ArrivalRate})
	}
	return out
}
