package owner

import "time"

// Stats is a snapshot of the owner's state for the metrics.
type Stats struct {
	Counts                  // since the term began
	OpenJobs        int     // not yet stored in a final state
	DirtyJobs       int     // jobs with progress to be stored
	Workers         int     // answered a hold with this owner's token
	UsableWorkers   int     // may get new tasks
	SilentWorkers   int     // don't answer holds
	RunningTasks    int     // runs on workers, starting and stopping ones included
	Uncertain       bool    // another daemon may be the owner
	MovingInstances int     // instances moving to another pool
	BlockedWaves    int     // waves that cannot go on, as logged
	WaitingCores    float64 // cores that tasks wait for
	Pools           []PoolStats
	// MinCallTimeout and MaxCallTimeout are the range of the timeouts of starts over the workers.
	MinCallTimeout, MaxCallTimeout time.Duration
}

// PoolStats is a snapshot of one pool.
type PoolStats struct {
	Name         string
	Instances    int     // up, without those that are moving or in evacuated zones
	Arriving     int     // instances moving to it
	BusyCores    float64 // cores in use
	WaitingCores float64 // cores that tasks wait for
	ArrivalRate  float64 // core-seconds of work arriving per second
	// LargestZoneShare is the largest share of its instances in one availability zone, 0 if the loss of
	// a zone need not be tolerated.
	LargestZoneShare float64
}

// Stats returns the owner's state at now.
func (c *Core) Stats(now time.Time) Stats {
	s := Stats{Counts: c.counts, OpenJobs: len(c.openJobs), DirtyJobs: len(c.dirtyJobs), MovingInstances: len(c.moves), Uncertain: !c.ownership.heldAt(now)}
	for _, ws := range c.openWaves() {
		if ws.blockedLogged {
			s.BlockedWaves++
		}
	}
	for _, w := range c.workers {
		if w.ended {
			continue
		}
		s.RunningTasks += len(w.runs)
		if w.answeredThisOwner {
			s.Workers++
		}
		if c.isUsable(w, now) {
			s.UsableWorkers++
		}
		if w.isSilent() {
			s.SilentWorkers++
		}
		timeout := c.orderTimeout(w)
		s.MaxCallTimeout = max(s.MaxCallTimeout, timeout)
		if s.MinCallTimeout == 0 || timeout < s.MinCallTimeout {
			s.MinCallTimeout = timeout
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
		out = append(out, PoolStats{Name: p.Name, Instances: p.Size(), Arriving: p.Arriving, BusyCores: p.BusyCores, WaitingCores: p.WaitingCores, ArrivalRate: p.ArrivalRate, LargestZoneShare: p.LargestZoneShare()})
	}
	return out
}
