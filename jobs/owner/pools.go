package owner

import (
	"maps"
	"time"

	"github.com/postmount/postmount/jobs/capacity"
)

// poolState is the demand and supply of the pool of one service.
type poolState struct {
	waitingCores          float64   // cores that tasks wait for, as of the last scheduling pass
	lateWaitingCores      float64   // of these, for jobs that are late or over their tenant's share
	waitingSince          time.Time // since when tasks have waited without a break; zero: none waits
	lastPassAt            time.Time // time of the last scheduling pass
	waitingJobs           int       // jobs with tasks to place when that pass began
	lowestStartedPriority int       // highest priority number, which is the least urgent, of a started task
	arrivalRate           capacity.RateEstimator
	arrivingInstances     int          // instances moving to the pool, as of the last resizing
	reservedForWave       int          // workers reserved for maintenance, as of the last resizing
	places                wantedPlaces // room that a wave lacks
	estimateRatio         estimateRatio

	placementQueue []*jobState  // jobs that may have tasks to place
	entries        []queueEntry // buffer reused by each scheduling pass
	free           freeIndex    // index of usable workers by free capacity
	supply         poolSupply   // totals over its instances
}

// sizingInterval is the interval between two resizings of the pools, short compared with the
// duration of a move.
const sizingInterval = 100 * time.Millisecond

// pool returns the state of a service's pool and creates it on first use.
func (c *Core) pool(service string) *poolState {
	p := c.pools[service]
	if p == nil {
		p = &poolState{}
		c.pools[service] = p
	}
	return p
}

// addWaiting counts n tasks of a step that found no free capacity.
func (p *poolState) addWaiting(s *stepState, n int) {
	cores := float64(n) * float64(s.spec.ReservedResources().CPUMilli) / 1000
	p.waitingCores += cores
	if s.job.band >= bandOverShare {
		p.lateWaitingCores += cores
	}
}

// firstWaitingBand returns the lowest band in which tasks may wait for free capacity, one above the
// last band if none wait.
func (p *poolState) firstWaitingBand() priorityBand {
	switch {
	case p.waitingCores == 0:
		return bandLate + 1
	case p.waitingCores > p.lateWaitingCores:
		return bandOnTime
	}
	return bandOverShare
}

// updateWaitingSince sets or clears waitingSince after a scheduling pass.
func (p *poolState) updateWaitingSince(now time.Time) {
	if p.waitingCores == 0 {
		p.waitingSince = time.Time{}
	} else if p.waitingSince.IsZero() {
		p.waitingSince = now
	}
}

// waitingFor returns how long tasks have waited without a break.
func (p *poolState) waitingFor(now time.Time) time.Duration {
	if p.waitingCores == 0 {
		return 0
	}
	return now.Sub(p.waitingSince)
}

// estimateRatio is the ratio of measured to estimated core-seconds of completed tasks, kept as
// two exponentially decaying sums.
type estimateRatio struct{ measured, estimated float64 }

// ratioDecay is the factor applied to the sums at each completed task. About the last 100
// tasks count.
const ratioDecay = 0.99

// maxEstimateRatio limits the ratio and its inverse, so that a few outliers can't distort it.
const maxEstimateRatio = 4

func (e *estimateRatio) add(took, estimated float64) {
	e.measured = e.measured*ratioDecay + took
	e.estimated = e.estimated*ratioDecay + estimated
}

// factor returns the ratio of measured to estimated work; 1 without data.
func (e *estimateRatio) factor() float64 {
	if e.estimated <= 0 || e.measured <= 0 {
		return 1
	}
	return min(maxEstimateRatio, max(1.0/maxEstimateRatio, e.measured/e.estimated))
}

// resizePools orders moves of instances between pools according to their demand.
func (c *Core) resizePools(now time.Time) {
	if !c.canSendInstanceOrders(now) || now.Before(c.nextSizingAt) {
		return
	}
	c.nextSizingAt = now.Add(sizingInterval)
	c.removeFinishedMoves(now)
	pools, spare := c.poolSnapshots(now)
	c.updateSupplyCounts(pools)
	for _, m := range capacity.Plan(c.opt.PoolPolicy, c.opt.Weights, pools, spare, c.returnAllowance(now)) {
		c.orderMove(m, now)
	}
}

// updateSupplyCounts updates the counts by which waitCause explains why tasks of a pool wait.
func (c *Core) updateSupplyCounts(pools []capacity.Pool) {
	for _, p := range pools {
		s := c.pool(p.Name)
		s.arrivingInstances, s.reservedForWave = max(0, p.Arriving), 0
	}
	for _, w := range c.maintenanceWorkers {
		c.pool(w.Service).reservedForWave++
	}
}

// hasJoinedPool reports whether the instance's worker has answered a hold of this owner. An
// instance of a spare pool needs no worker.
func (c *Core) hasJoinedPool(i *Instance) bool {
	if s := c.catalog.Service(i.Pool); s != nil && s.Spare {
		return true
	}
	w := c.workers[i.Worker]
	return w != nil && w.answeredThisOwner
}

// poolSnapshots returns the pools as input for capacity.Plan, the spare pool separately.
func (c *Core) poolSnapshots(now time.Time) (pools []capacity.Pool, spare capacity.Pool) {
	snapshots := map[string]*capacity.Pool{}
	for _, s := range c.catalog.Services {
		p := c.pool(s.Name)
		wanted, wantedFor := p.places.at(now)
		snapshots[s.Name] = &capacity.Pool{Name: s.Name, WaitingCores: p.waitingCores + wanted, LateWaitingCores: p.lateWaitingCores, WaitingFor: max(p.waitingFor(now), wantedFor), ArrivalRate: p.arrivalRate.WorkPerSecond(p.supply.instances+p.arrivingInstances, now) * p.estimateRatio.factor()}
	}
	c.updateIndexes(now)
	for name, v := range snapshots {
		c.pool(name).supply.fillSnapshot(v)
		for _, i := range c.reliableFirst(c.pool(name).supply.idle, now) {
			v.Instances = append(v.Instances, c.idleSnapshot(i, now))
		}
		for _, i := range c.pool(name).supply.evacuatedIdle {
			v.EvacuatedIdle = append(v.EvacuatedIdle, c.idleSnapshot(i, now))
		}
	}
	c.countZones(snapshots)
	for _, m := range c.moves {
		if v := snapshots[m.toPool]; v != nil {
			v.Arriving++
		}
	}
	for _, s := range c.catalog.Services {
		if s.Spare {
			spare = *snapshots[s.Name]
			continue
		}
		pools = append(pools, *snapshots[s.Name])
	}
	return pools, spare
}

// countZones counts the instances of each pool by availability zone, with those that are moving to
// it, if the loss of a zone has to be tolerated. Otherwise plans do not look at zones.
func (c *Core) countZones(pools map[string]*capacity.Pool) {
	if c.opt.ToleratedZones == 0 {
		return
	}
	for name, v := range pools {
		v.ByZone = maps.Clone(c.pool(name).supply.byZone)
		if v.ByZone == nil {
			v.ByZone = map[string]int{}
		}
	}
	for id, m := range c.moves {
		if v, i := pools[m.toPool], c.instances[id]; v != nil && i != nil {
			v.ByZone[i.Zone]++
		}
	}
}

// isUnderMaintenance reports whether a wave has taken the instance down.
func (c *Core) isUnderMaintenance(id InstanceID) bool {
	for _, ws := range c.waves {
		if _, down := ws.down[id]; down {
			return true
		}
	}
	return false
}
