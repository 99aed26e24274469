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
	counted contribution
	life    *worker // its worker when it was counted; nil: it has none that is known

	crashedAt time.Time // newest crash that a task may have caused
	suspects  []*task   // that ran there then
}

// contribution is what an instance adds to the sums of its pool; those that are away or
// about to leave add nothing.
type contribution struct {
	pool    string // "": it is not counted
	room    int    // thousandths of a core of the instance
	missing int    // of these, what its worker has lost for a while
	busy    int    // of these, in use
	lasting int    // of these, by long-running tasks
	idle    bool   // nothing runs on it
	closed  bool   // its zone is evacuated: it is no room for what comes
}

// poolSupply sums up the instances of a pool. It is kept as they change, so that sizing a
// pool costs what idles in it, not what there is.
type poolSupply struct {
	instances     int
	busy, lasting int // thousandths of a core
	missing       int // likewise, of workers that have shrunk
	shrunk        map[InstanceID]*instanceState
	rooms         map[int]int      // instances by what they have, likewise
	idle          []*instanceState // in the order of their ids
	closed        int              // instances of evacuated zones, which are not among instances
	closedIdle    []*instanceState // of these, those on which nothing runs, likewise
}

func (s *poolSupply) add(i *instanceState, k *contribution, n int) {
	s.busy += n * k.busy
	s.lasting += n * k.lasting
	if k.closed {
		s.closed += n
		if k.idle {
			s.closedIdle = withOrWithout(s.closedIdle, i, n > 0)
		}
		return
	}
	s.instances += n
	s.missing += n * k.missing
	s.noteShrunk(i, k.missing > 0 && n > 0)
	if s.rooms == nil {
		s.rooms = map[int]int{}
	}
	if s.rooms[k.room] += n; s.rooms[k.room] == 0 {
		delete(s.rooms, k.room)
	}
	if k.idle {
		s.idle = withOrWithout(s.idle, i, n > 0)
	}
}

// withOrWithout returns a list in the order of ids with the instance in it, or without.
func withOrWithout(list []*instanceState, i *instanceState, in bool) []*instanceState {
	at, found := slices.BinarySearchFunc(list, i, func(a, b *instanceState) int { return cmp.Compare(a.ID, b.ID) })
	switch {
	case in && !found:
		return slices.Insert(list, at, i)
	case !in && found:
		return slices.Delete(list, at, at+1)
	}
	return list
}

func (s *poolSupply) noteShrunk(i *instanceState, shrunk bool) {
	if !shrunk {
		delete(s.shrunk, i.ID)
		return
	}
	if s.shrunk == nil {
		s.shrunk = map[InstanceID]*instanceState{}
	}
	s.shrunk[i.ID] = i
}

// couldTake reports whether a worker that has shrunk could take as much once it has grown
// again.
func (s *poolSupply) couldTake(need job.Resources) bool {
	for _, i := range s.shrunk {
		if i.Capacity.Fits(need) {
			return true
		}
	}
	return false
}

// fill sets what the plan has to know of the pool as a whole.
func (s *poolSupply) fill(v *capacity.Pool) {
	v.BusyInstances = s.instances - len(s.idle)
	v.BusyCores = float64(s.busy) / 1000
	v.LongRunningCores = float64(s.lasting) / 1000
	v.MissingCores = float64(s.missing) / 1000
	for room := range s.rooms {
		v.CoresPerInstance = max(v.CoresPerInstance, float64(room)/1000)
	}
}

// count brings the sums of the instance's pool up to date.
func (c *Core) count(i *instanceState) {
	i.life = c.workers[i.Worker]
	k := c.contributionOf(i)
	if k == i.counted {
		return
	}
	c.discount(i)
	if k.pool != "" {
		c.pool(k.pool).supply.add(i, &k, 1)
	}
	i.counted = k
}

// discount takes the instance out of the sums.
func (c *Core) discount(i *instanceState) {
	if i.counted.pool != "" {
		c.pool(i.counted.pool).supply.add(i, &i.counted, -1)
	}
	i.counted = contribution{}
}

// countOfWorker does what count does for the instance that the worker is the life of.
func (c *Core) countOfWorker(w *worker) {
	if i := c.instances[c.instanceOfWorker[w.Worker]]; i != nil && i.Worker == w.Worker {
		c.count(i)
	}
}

func (c *Core) contributionOf(i *instanceState) contribution {
	if i.State != InstanceUp || c.moves[i.ID] != nil {
		return contribution{}
	}
	w := i.life
	closed := c.evacuatedZones[i.Zone]
	if w == nil {
		return contribution{pool: i.Pool, idle: i.Worker == "", closed: closed}
	}
	k := contribution{closed: closed, pool: i.Pool, busy: w.allocated.CPUMilli, lasting: w.longRunningCPUMilli, idle: len(w.runs)+len(w.unknownRuns) == 0}
	k.room, k.missing = i.roomOf(w)
	if !k.idle {
		w.idleSince = time.Time{}
	}
	return k
}

// shrunkBelow is the share of its instance's processors below which a worker counts as one
// that has shrunk: those of one kind differ by a few hundredths.
const shrunkBelow = 0.9

// roomOf returns the thousandths of a core that the instance has, and how many of them its
// worker lacks at present.
func (i *instanceState) roomOf(w *worker) (room, missing int) {
	has, whole := w.Capacity.CPUMilli, i.Capacity.CPUMilli
	if float64(has) >= shrunkBelow*float64(whole) {
		return has, 0
	}
	return whole, whole - has
}

// idleView returns an instance on which nothing runs as the plan sees it.
func (c *Core) idleView(i *instanceState, now time.Time) capacity.Instance {
	out := capacity.Instance{ID: string(i.ID)}
	w := i.life
	if w == nil {
		out.Movable = !c.isUnderMaintenance(i.ID) && c.mayOrder(i.ID, now)
		return out
	}
	if w.idleSince.IsZero() {
		w.idleSince = now
	}
	out.IdleFor = now.Sub(w.idleSince)
	out.Movable = w.heldByUs && w.registered && !w.ended && !w.Draining && w.reserved == "" && !w.isSilent() && c.mayOrder(i.ID, now)
	return out
}
