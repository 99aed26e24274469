package owner

import (
	"time"

	"github.com/postmount/postmount/jobs/capacity"
)

// poolState is what is known of the demand of a service.
type poolState struct {
	waitingCores          float64   // cores that tasks wait for, at the last placement
	lateWaitingCores      float64   // of these, for jobs that are late already
	waitingSince          time.Time // when the first of them began to; zero: none waits
	placedAt              time.Time // the last placement
	waitingJobs           int       // that waited then
	lowestStartedPriority int       // greatest number of a priority of which a task was started
	arrivalRate           capacity.Rate
	arrivingInstances     int // instances on their way to it, at the last sizing
	reservedForWave       int // its instances that are kept for a wave, likewise
	estimateRatio         estimateRatio

	queue  []*jobState  // that may have tasks to place
	claims []queueEntry // the memory of the last placement's, to be used again
	free   freeIndex    // workers that may get tasks
	supply poolSupply   // its instances
}

// sizingInterval is how often pools are sized: short against the time of a move.
const sizingInterval = 100 * time.Millisecond

func (c *Core) pool(service string) *poolState {
	p := c.pools[service]
	if p == nil {
		p = &poolState{}
		c.pools[service] = p
	}
	return p
}

// addWaiting adds n tasks of a step that found no room.
func (p *poolState) addWaiting(s *stepState, n int) {
	cores := float64(n) * float64(s.spec.ReservedResources().CPUMilli) / 1000
	p.waitingCores += cores
	if s.job.band >= bandOverShare {
		p.lateWaitingCores += cores
	}
}

// updateWaitingSince notes since when tasks have waited, after a placement.
func (p *poolState) updateWaitingSince(now time.Time) {
	if p.waitingCores == 0 {
		p.waitingSince = time.Time{}
	} else if p.waitingSince.IsZero() {
		p.waitingSince = now
	}
}

func (p *poolState) waitingFor(now time.Time) time.Duration {
	if p.waitingCores == 0 {
		return 0
	}
	return now.Sub(p.waitingSince)
}

// estimateRatio compares how long tasks took with their estimates.
type estimateRatio struct{ took, estimated float64 } // core-seconds of tasks that are done

// ratioDecay is the share of what is known that each end leaves: the last hundred
// or so count.
const ratioDecay = 0.99

// maxEstimateRatio bounds the correction by a few odd tasks, either way.
const maxEstimateRatio = 4

func (e *estimateRatio) add(took, estimated float64) {
	e.took = e.took*ratioDecay + took
	e.estimated = e.estimated*ratioDecay + estimated
}

// factor returns how many times its estimate a core-second of work takes.
func (e *estimateRatio) factor() float64 {
	if e.estimated <= 0 || e.took <= 0 {
		return 1
	}
	return min(maxEstimateRatio, max(1.0/maxEstimateRatio, e.took/e.estimated))
}

// resizePools moves instances between pools by demand.
func (c *Core) resizePools(now time.Time) {
	if !c.canSendInstanceOrders(now) || now.Before(c.nextSizingAt) {
		return
	}
	c.nextSizingAt = now.Add(sizingInterval)
	c.removeFinishedMoves(now)
	pools, spare := c.poolSnapshots(now)
	c.updateSupplyCounts(pools)
	for _, m := range capacity.Plan(c.opt.PoolPolicy, c.opt.Weights, pools, spare, c.releaseAllowance(now)) {
		c.orderMove(m, now)
	}
}

// updateSupplyCounts keeps what explains why tasks of a pool wait.
func (c *Core) updateSupplyCounts(pools []capacity.Pool) {
	for _, p := range pools {
		s := c.pool(p.Name)
		s.arrivingInstances, s.reservedForWave = max(0, p.Arriving), 0
	}
	for _, w := range c.maintenanceWorkers {
		c.pool(w.Service).reservedForWave++
	}
}

// hasJoinedPool reports whether the instance's worker takes tasks; one of a spare
// pool has none.
func (c *Core) hasJoinedPool(i *Instance) bool {
	if s := c.catalog.Service(i.Pool); s != nil && s.Spare {
		return true
	}
	w := c.workers[i.Worker]
	return w != nil && w.heldByUs
}

// poolSnapshots returns the pools as the plan sees them.
func (c *Core) poolSnapshots(now time.Time) (pools []capacity.Pool, spare capacity.Pool) {
	views := map[string]*capacity.Pool{}
	for _, s := range c.catalog.Services {
		p := c.pool(s.Name)
		views[s.Name] = &capacity.Pool{Name: s.Name, WaitingCores: p.waitingCores, LateWaitingCores: p.lateWaitingCores, WaitingFor: p.waitingFor(now), ArrivalRate: p.arrivalRate.WorkPerSecond(p.supply.instances+p.arrivingInstances, now) * p.estimateRatio.factor()}
	}
	c.updateIndexes(now)
	for name, v := range views {
		c.pool(name).supply.fillSnapshot(v)
		for _, i := range c.pool(name).supply.idle {
			v.Instances = append(v.Instances, c.idleSnapshot(i, now))
		}
		for _, i := range c.pool(name).supply.evacuatedIdle {
			v.EvacuatedIdle = append(v.EvacuatedIdle, c.idleSnapshot(i, now))
		}
	}
	for _, m := range c.moves {
		if v := views[m.toPool]; v != nil {
			v.Arriving++
		}
	}
	for _, s := range c.catalog.Services {
		if s.Spare {
			spare = *views[s.Name]
			continue
		}
		pools = append(pools, *views[s.Name])
	}
	return pools, spare
}

// isUnderMaintenance reports whether a wave has the instance down.
func (c *Core) isUnderMaintenance(id InstanceID) bool {
	for _, ws := range c.waves {
		if _, down := ws.down[id]; down {
			return true
		}
	}
	return false
}
