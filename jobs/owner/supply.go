package owner

import (
	"cmp"
	"slices"
	"time"

	"github.com/postmount/postmount/jobs/capacity"
	"github.com/postmount/postmount/jobs/job"
)

// instanceState is an instance of the platform's list and its contribution to its pool.
type instanceState struct {
	Instance
	counted supplyContribution // included in the totals of the pool
	worker  *worker            // its worker when it was counted; nil: none is known

	crashedAt time.Time // latest crash that a task may have caused
	suspects  []*task   // tasks that ran on it then
}

// supplyContribution is what an instance adds to the totals of its pool. Instances that are
// not up or are moving add nothing. Sizes are in millicores.
type supplyContribution struct {
	pool             string // "": it is not counted
	zone             string
	cpuMilli         int  // size of the instance
	missingMilli     int  // part of cpuMilli that its worker does not offer at present
	busyMilli        int  // in use
	longRunningMilli int  // of these, in use by long-running tasks
	idle             bool // nothing runs on it
	evacuated        bool // its zone is evacuated, so it takes no new tasks
}

// poolSupply holds totals over the instances of a pool. It is updated with each change of an
// instance, so that the cost of a resizing depends on the number of idle instances only. Sizes
// are in millicores.
type poolSupply struct {
	instances                   int // outside evacuated zones
	busyMilli, longRunningMilli int
	missingMilli                int // of undersized workers
	undersized                  map[InstanceID]*instanceState
	sizes                       map[int]int      // number of instances by size
	byZone                      map[string]int   // number of instances by availability zone
	idle                        []*instanceState // outside evacuated zones, ordered by ID
	evacuated                   int              // instances in evacuated zones
	evacuatedIdle               []*instanceState // of these, the idle ones, ordered by ID
}

// add adds n times the contribution of the instance; n is 1 or -1.
func (s *poolSupply) add(i *instanceState, contribution *supplyContribution, n int) {
	s.busyMilli += n * contribution.busyMilli
	s.longRunningMilli += n * contribution.longRunningMilli
	if contribution.evacuated {
		s.evacuated += n
		if contribution.idle {
			s.evacuatedIdle = insertOrRemove(s.evacuatedIdle, i, n > 0)
		}
		return
	}
	s.instances += n
	s.missingMilli += n * contribution.missingMilli
	s.trackUndersized(i, contribution.missingMilli > 0 && n > 0)
	if s.sizes == nil {
		s.sizes = map[int]int{}
	}
	if s.sizes[contribution.cpuMilli] += n; s.sizes[contribution.cpuMilli] == 0 {
		delete(s.sizes, contribution.cpuMilli)
	}
	if s.byZone == nil {
		s.byZone = map[string]int{}
	}
	s.byZone[contribution.zone] += n
	if contribution.idle {
		s.idle = insertOrRemove(s.idle, i, n > 0)
	}
}

// insertOrRemove inserts the instance into a list ordered by ID, or removes it.
func insertOrRemove(list []*instanceState, i *instanceState, in bool) []*instanceState {
	at, found := slices.BinarySearchFunc(list, i, func(a, b *instanceState) int { return cmp.Compare(a.ID, b.ID) })
	switch {
	case in && !found:
		return slices.Insert(list, at, i)
	case !in && found:
		return slices.Delete(list, at, at+1)
	}
	return list
}

func (s *poolSupply) trackUndersized(i *instanceState, undersized bool) {
	if !undersized {
		delete(s.undersized, i.ID)
		return
	}
	if s.undersized == nil {
		s.undersized = map[InstanceID]*instanceState{}
	}
	s.undersized[i.ID] = i
}

// couldFitAtFullSize reports whether an undersized worker could run a task with this need once
// it offers the full size of its instance again.
func (s *poolSupply) couldFitAtFullSize(need job.Resources) bool {
	for _, i := range s.undersized {
		if i.Capacity.Fits(need) {
			return true
		}
	}
	return false
}

// fillSnapshot sets the totals of the pool in the input for capacity.Plan.
func (s *poolSupply) fillSnapshot(v *capacity.Pool) {
	v.BusyInstances = s.instances - len(s.idle)
	v.BusyCores = float64(s.busyMilli) / 1000
	v.LongRunningCores = float64(s.longRunningMilli) / 1000
	v.MissingCores = float64(s.missingMilli) / 1000
	for size := range s.sizes {
		v.CoresPerInstance = max(v.CoresPerInstance, float64(size)/1000)
	}
}

// updateSupply updates the totals of the instance's pool.
func (c *Core) updateSupply(i *instanceState) {
	i.worker = c.workers[i.Worker]
	contribution := c.contributionOf(i)
	if contribution == i.counted {
		return
	}
	c.removeFromSupply(i)
	if contribution.pool != "" {
		c.pool(contribution.pool).supply.add(i, &contribution, 1)
	}
	i.counted = contribution
}

// removeFromSupply removes the instance from the totals of its pool.
func (c *Core) removeFromSupply(i *instanceState) {
	if i.counted.pool != "" {
		c.pool(i.counted.pool).supply.add(i, &i.counted, -1)
	}
	i.counted = supplyContribution{}
}

// updateSupplyOfWorker calls updateSupply for the instance that the worker runs on.
func (c *Core) updateSupplyOfWorker(w *worker) {
	if i := c.instances[c.instanceOfWorker[w.Worker]]; i != nil && i.Worker == w.Worker {
		c.updateSupply(i)
	}
}

// contributionOf returns the instance's current contribution to the totals of its pool. It also
// clears idleSince of a worker that is busy.
func (c *Core) contributionOf(i *instanceState) supplyContribution {
	if i.State != InstanceUp || c.moves[i.ID] != nil {
		return supplyContribution{}
	}
	w := i.worker
	evacuated := c.evacuatedZones[i.Zone]
	if w == nil {
		return supplyContribution{pool: i.Pool, zone: i.Zone, idle: i.Worker == "", evacuated: evacuated}
	}
	contribution := supplyContribution{evacuated: evacuated, pool: i.Pool, zone: i.Zone, busyMilli: w.allocated.CPUMilli, longRunningMilli: w.longRunningCPUMilli, idle: len(w.runs)+len(w.unknownRuns) == 0 && !w.endsTruncated}
	contribution.cpuMilli, contribution.missingMilli = i.sizeWith(w)
	if !contribution.idle {
		w.idleSince = time.Time{}
	}
	return contribution
}

// undersizedBelow is the fraction of its instance's cores below which a worker counts as
// undersized. The sizes of instances of one type differ by a few percent.
const undersizedBelow = 0.9

// maxOversize is how many times the capacity of its instance a worker may offer. An instance is listed
// with its full size.
const maxOversize = 2

// isOversizedOn reports whether the worker offers so much more than the instance has that its
// registration cannot be right.
func (w *worker) isOversizedOn(i *instanceState) bool {
	full := i.Capacity
	return full != (job.Resources{}) && !full.Times(maxOversize).Fits(w.Capacity)
}

// isOversized reports whether the worker offers far more than its instance has. It gets no new tasks,
// as if its registration were invalid.
func (c *Core) isOversized(w *worker) bool {
	i := c.instances[c.instanceOfWorker[w.Worker]]
	return i != nil && i.Worker == w.Worker && w.isOversizedOn(i)
}

// updateOversized records whether the worker is oversized, and logs when that changes.
func (c *Core) updateOversized(w *worker) {
	oversized := c.isOversized(w)
	if oversized == w.oversized {
		return
	}
	w.oversized = oversized
	event := "worker-size-corrected"
	if oversized {
		event = "worker-oversized"
	}
	full := c.instances[c.instanceOfWorker[w.Worker]]
	reason := "offers " + w.Capacity.String()
	if full != nil {
		reason += ", its instance has " + full.Capacity.String()
	}
	c.logDecision(Decision{Event: event, Worker: w.Worker, Reason: reason})
}

// sizeWith returns the size of the instance in millicores, and how many of them its worker w
// doesn't offer at present.
func (i *instanceState) sizeWith(w *worker) (cpuMilli, missingMilli int) {
	offered, full := w.Capacity.CPUMilli, i.Capacity.CPUMilli
	switch {
	case w.isOversizedOn(i):
		return full, 0
	case float64(offered) >= undersizedBelow*float64(full):
		return offered, 0
	}
	return full, full - offered
}

// idleSnapshot returns an idle instance as input for capacity.Plan.
func (c *Core) idleSnapshot(i *instanceState, now time.Time) capacity.Instance {
	out := capacity.Instance{ID: string(i.ID), Zone: i.Zone}
	w := i.worker
	if w == nil {
		out.Movable = !c.isUnderMaintenance(i.ID) && c.mayOrderInstance(i.ID, now)
		return out
	}
	if w.idleSince.IsZero() {
		w.idleSince = now
	}
	out.IdleFor = now.Sub(w.idleSince)
	out.Movable = w.answeredThisOwner && w.registered && !w.ended && !w.Draining && w.reserved == "" && !w.isSilent() && c.mayOrderInstance(i.ID, now)
	return out
}
