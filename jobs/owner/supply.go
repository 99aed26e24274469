package owner

import (
	"cmp"
	"slices"
	"time"

	"github.com/postmount/postmount/jobs/capacity"
	"github.com/postmount/postmount/jobs/job"
)

// instanceState is an instance of the platform's list, and what its pool counts of it.
type instanceState struct {
	Instance
	counted supplyContribution
	worker  *worker // its worker when it was counted; nil: it has none that is known

	crashedAt time.Time // newest crash that a task may have caused
	suspects  []*task   // that ran there then
}

// supplyContribution is what an instance adds to the sums of its pool; those that are away or
// about to leave add nothing.
type supplyContribution struct {
	pool             string // "": it is not counted
	cpuMilli         int    // thousandths of a core of the instance
	missingMilli     int    // of these, what its worker has lost for a while
	busyMilli        int    // of these, in use
	longRunningMilli int    // of these, by long-running tasks
	idle             bool   // nothing runs on it
	evacuated        bool   // its zone is evacuated: it is no room for what comes
}

// poolSupply sums up the instances of a pool. It is kept as they change, so that sizing a
// pool costs what idles in it, not what there is.
type poolSupply struct {
	instances                   int
	busyMilli, longRunningMilli int // thousandths of a core
	missingMilli                int // likewise, of workers that have shrunk
	undersized                  map[InstanceID]*instanceState
	sizes                       map[int]int      // instances by what they have, likewise
	idle                        []*instanceState // in the order of their ids
	evacuated                   int              // instances of evacuated zones, which are not among instances
	evacuatedIdle               []*instanceState // of these, those on which nothing runs, likewise
}

func (s *poolSupply) add(i *instanceState, k *supplyContribution, n int) {
	s.busyMilli += n * k.busyMilli
	s.longRunningMilli += n * k.longRunningMilli
	if k.evacuated {
		s.evacuated += n
		if k.idle {
			s.evacuatedIdle = insertOrRemove(s.evacuatedIdle, i, n > 0)
		}
		return
	}
	s.instances += n
	s.missingMilli += n * k.missingMilli
	s.trackUndersized(i, k.missingMilli > 0 && n > 0)
	if s.sizes == nil {
		s.sizes = map[int]int{}
	}
	if s.sizes[k.cpuMilli] += n; s.sizes[k.cpuMilli] == 0 {
		delete(s.sizes, k.cpuMilli)
	}
	if k.idle {
		s.idle = insertOrRemove(s.idle, i, n > 0)
	}
}

// insertOrRemove returns a list in the order of ids with the instance in it, or without.
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

func (s *poolSupply) trackUndersized(i *instanceState, shrunk bool) {
	if !shrunk {
		delete(s.undersized, i.ID)
		return
	}
	if s.undersized == nil {
		s.undersized = map[InstanceID]*instanceState{}
	}
	s.undersized[i.ID] = i
}

// couldFitAtFullSize reports whether a worker that has shrunk could take as much once it has grown
// again.
func (s *poolSupply) couldFitAtFullSize(need job.Resources) bool {
	for _, i := range s.undersized {
		if i.Capacity.Fits(need) {
			return true
		}
	}
	return false
}

// fillSnapshot sets what the plan has to know of the pool as a whole.
func (s *poolSupply) fillSnapshot(v *capacity.Pool) {
	v.BusyInstances = s.instances - len(s.idle)
	v.BusyCores = float64(s.busyMilli) / 1000
	v.LongRunningCores = float64(s.longRunningMilli) / 1000
	v.MissingCores = float64(s.missingMilli) / 1000
	for room := range s.sizes {
		v.CoresPerInstance = max(v.CoresPerInstance, float64(room)/1000)
	}
}

// updateSupply brings the sums of the instance's pool up to date.
func (c *Core) updateSupply(i *instanceState) {
	i.worker = c.workers[i.Worker]
	k := c.contributionOf(i)
	if k == i.counted {
		return
	}
	c.removeFromSupply(i)
	if k.pool != "" {
		c.pool(k.pool).supply.add(i, &k, 1)
	}
	i.counted = k
}

// removeFromSupply takes the instance out of the sums.
func (c *Core) removeFromSupply(i *instanceState) {
	if i.counted.pool != "" {
		c.pool(i.counted.pool).supply.add(i, &i.counted, -1)
	}
	i.counted = supplyContribution{}
}

// updateSupplyOfWorker does what count does for the instance that the worker is the life of.
func (c *Core) updateSupplyOfWorker(w *worker) {
	if i := c.instances[c.instanceOfWorker[w.Worker]]; i != nil && i.Worker == w.Worker {
		c.updateSupply(i)
	}
}

func (c *Core) contributionOf(i *instanceState) supplyContribution {
	if i.State != InstanceUp || c.moves[i.ID] != nil {
		return supplyContribution{}
	}
	w := i.worker
	closed := c.evacuatedZones[i.Zone]
	if w == nil {
		return supplyContribution{pool: i.Pool, idle: i.Worker == "", evacuated: closed}
	}
	k := supplyContribution{evacuated: closed, pool: i.Pool, busyMilli: w.allocated.CPUMilli, longRunningMilli: w.longRunningCPUMilli, idle: len(w.runs)+len(w.unknownRuns) == 0}
	k.cpuMilli, k.missingMilli = i.sizeWith(w)
	if !k.idle {
		w.idleSince = time.Time{}
	}
	return k
}

// undersizedBelow is the share of its instance's processors below which a worker counts as one
// that has shrunk: those of one kind differ by a few hundredths.
const undersizedBelow = 0.9

// sizeWith returns the thousandths of a core that the instance has, and how many of them its
// worker lacks at present.
func (i *instanceState) sizeWith(w *worker) (room, missing int) {
	has, whole := w.Capacity.CPUMilli, i.Capacity.CPUMilli
	if float64(has) >= undersizedBelow*float64(whole) {
		return has, 0
	}
	return whole, whole - has
}

// idleSnapshot returns an instance on which nothing runs as the plan sees it.
func (c *Core) idleSnapshot(i *instanceState, now time.Time) capacity.Instance {
	out := capacity.Instance{ID: string(i.ID)}
	w := i.worker
	if w == nil {
		out.Movable = !c.isUnderMaintenance(i.ID) && c.mayOrderInstance(i.ID, now)
		return out
	}
	if w.idleSince.IsZero() {
		w.idleSince = now
	}
	out.IdleFor = now.Sub(w.idleSince)
	out.Movable = w.heldByUs && w.registered && !w.ended && !w.Draining && w.reserved == "" && !w.isSilent() && c.mayOrderInstance(i.ID, now)
	return out
}
