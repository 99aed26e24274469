package owner

import (
	"time"

	"github.com/postmount/postmount/jobs/capacity"
)

// poolState is what is known of the demand of a service.
type poolState struct {
	waiting    float64   // cores that tasks wait for, at the last placement
	late       float64   // of these, for jobs that are late already
	since      time.Time // when the first of them began to; zero: none waits
	placedAt   time.Time // the last placement
	jobs       int       // that waited then
	lowest     int       // greatest number of a priority of which a task was started
	arrivals   capacity.Rate
	arriving   int // instances on their way to it, at the last sizing
	maintained int // its instances that are kept for a wave, likewise
	trend      estimateTrend

	queue  []*jobState  // that may have tasks to place
	claims []queueEntry // the memory of the last placement's, to be used again
	free   freeIndex    // workers that may get tasks
	supply poolSupply   // its instances
}

// sizeEvery is how often pools are sized: short against the time of a move.
const sizeEvery = 100 * time.Millisecond

func (c *Core) pool(service string) *poolState {
	p := c.pools[service]
	if p == nil {
		p = &poolState{}
		c.pools[service] = p
	}
	return p
}

// wait adds n tasks of a step that found no room.
func (p *poolState) wait(s *stepState, n int) {
	cores := float64(n) * float64(s.spec.Occupies().CPUMilli) / 1000
	p.waiting += cores
	if s.job.band >= bandOverShare {
		p.late += cores
	}
}

// settle notes since when tasks have waited, after a placement.
func (p *poolState) settle(now time.Time) {
	if p.waiting == 0 {
		p.since = time.Time{}
	} else if p.since.IsZero() {
		p.since = now
	}
}

func (p *poolState) waitsFor(now time.Time) time.Duration {
	if p.waiting == 0 {
		return 0
	}
	return now.Sub(p.since)
}

// estimateTrend compares how long tasks took with their estimates.
type estimateTrend struct{ took, estimated float64 } // core-seconds of tasks that are done

// trendKept is the share of what is known that each end leaves: the last hundred
// or so count.
const trendKept = 0.99

// maxTrend bounds the correction by a few odd tasks, either way.
const maxTrend = 4

func (e *estimateTrend) add(took, estimated float64) {
	e.took = e.took*trendKept + took
	e.estimated = e.estimated*trendKept + estimated
}

// factor returns how many times its estimate a core-second of work takes.
func (e *estimateTrend) factor() float64 {
	if e.estimated <= 0 || e.took <= 0 {
		return 1
	}
	return min(maxTrend, max(1.0/maxTrend, e.took/e.estimated))
}

// size moves instances between pools by demand.
func (c *Core) size(now time.Time) {
	if !c.mayDoDuty(now) || now.Before(c.nextSizingAt) {
		return
	}
	c.nextSizingAt = now.Add(sizeEvery)
	c.settleMoves(now)
	pools, spare := c.poolViews(now)
	c.noteSupply(pools)
	for _, m := range capacity.Plan(c.opt.PoolPolicy, c.opt.Weights, pools, spare, c.mayGiveBack(now)) {
		c.orderMove(m, now)
	}
}

// noteSupply keeps what explains why tasks of a pool wait.
func (c *Core) noteSupply(pools []capacity.Pool) {
	for _, p := range pools {
		s := c.pool(p.Name)
		s.arriving, s.maintained = max(0, p.Arriving), 0
	}
	for _, w := range c.maintenanceWorkers {
		c.pool(w.Service).maintained++
	}
}

// joined reports whether the instance's worker takes tasks; one of a spare
// pool has none.
func (c *Core) joined(i *Instance) bool {
	if s := c.catalog.Service(i.Pool); s != nil && s.Spare {
		return true
	}
	w := c.workers[i.Worker]
	return w != nil && w.heldByUs
}

// poolViews returns the pools as the plan sees them.
func (c *Core) poolViews(now time.Time) (pools []capacity.Pool, spare capacity.Pool) {
	views := map[string]*capacity.Pool{}
	for _, s := range c.catalog.Services {
		p := c.pool(s.Name)
		views[s.Name] = &capacity.Pool{Name: s.Name, Waiting: p.waiting, WaitingLate: p.late, WaitsFor: p.waitsFor(now), Rate: p.arrivals.Cores(p.supply.instances+p.arriving, now) * p.trend.factor()}
	}
	c.updateIndexes(now)
	for name, v := range views {
		c.pool(name).supply.fill(v)
		for _, i := range c.pool(name).supply.idle {
			v.Instances = append(v.Instances, c.idleView(i, now))
		}
		for _, i := range c.pool(name).supply.closedIdle {
			v.Closed = append(v.Closed, c.idleView(i, now))
		}
	}
	for _, m := range c.moves {
		if v := views[m.to]; v != nil {
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

// underMaintenance reports whether a wave has the instance down.
func (c *Core) underMaintenance(id InstanceID) bool {
	for _, ws := range c.waves {
		if _, down := ws.down[id]; down {
			return true
		}
	}
	return false
}
