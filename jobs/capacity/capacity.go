// Package capacity decides which instances move between pools. It is pure: a
// plan follows from the demand of the pools and from the weights.
package capacity

import (
	"math"
	"sort"
	"time"
)

// Weights say what is worth how much. The figures are in the same unit, that
// of the users' sheets.
type Weights struct {
	InstanceSecond float64 // one second of an instance in a pool
	Move           float64 // one instance changing its pool
}

// DefaultWeights are the means of the two users' sheets.
var DefaultWeights = Weights{InstanceSecond: 0.0625, Move: 0.071}

// Figures of the plan.
const (
	// fill is the share of an instance's processors that tasks of mixed sizes
	// fill.
	fill = 0.9
	// headroom is how much more work than there is, or comes, a pool is sized for: tasks of
	// mixed sizes leave gaps, and the next steps of running jobs come.
	headroom = 1.15
	// giveBackMoves is how many moves an instance's idle time must have cost
	// before it is given back: away, and back at the pool's next turn.
	giveBackMoves = 2
	// smallest is how many instances a pool keeps without any work: with none, the
	// size of its instances is not known, and the next job waits for a move.
	smallest = 1
	// stuckAfter is how long tasks wait before a pool gets one more instance
	// though it has cores enough: they may need other workers than those that run
	// tasks of their step already.
	stuckAfter = 500 * time.Millisecond
	// lateShare is how much the work of jobs that are late already counts while another
	// pool is short of room for jobs that can still be in time: a late job is worth a
	// fourteenth of one in time on the users' sheets, and must not wait for ever.
	lateShare = 0.25
	// perPlan is how many instances a plan takes at least from a pool that has too many, and
	// sharePerPlan the share of the pool above that. With ten plans a second a large pool loses half
	// of what idles in 17 s, whatever its size: for some turns of traffic it has room for one, and
	// none waits for instances on their way.
	perPlan      = 2
	sharePerPlan = 0.004
)

// Instance is one that could be moved.
type Instance struct {
	ID      string
	IdleFor time.Duration // nothing ran on it; 0: something does
	Movable bool          // nothing runs on it, and nothing else is planned for it
}

// Pool is a service's instances and their work.
type Pool struct {
	Name             string
	Instances        []Instance // those that are up, but for BusyInstances
	BusyInstances    int        // those that are up and cannot be moved, as something runs on them
	EvacuatedIdle    []Instance // those on which nothing runs, nor will for now: they are no room
	Arriving         int        // on their way to it
	CoresPerInstance float64    // of one instance
	MissingCores     float64    // cores that its instances lack, as workers have shrunk for a while
	BusyCores        float64    // cores in use
	WaitingCores     float64    // cores that tasks wait for now
	// LateWaitingCores is the part of Waiting of jobs that are late already.
	LateWaitingCores float64
	LongRunningCores float64       // cores of Busy that long-running tasks use
	ArrivalRate      float64       // core-seconds of work that arrive a second
	WaitingFor       time.Duration // since when some task has waited without a break
}

// Move is one instance that changes its pool, and why.
type Move struct {
	Instance string
	From, To string
	Reason   string
}

// Size returns how many instances are up.
func (p *Pool) Size() int { return len(p.Instances) + p.BusyInstances }

// urgency says which work counts.
type urgency int

const (
	allWork urgency = iota
	inTime          // work of jobs that are late already counts lateShare
)

// waiting returns the cores that tasks wait for, as far as they count.
func (p *Pool) waiting(u urgency) float64 {
	if u == allWork {
		return p.WaitingCores
	}
	return p.WaitingCores - (1-lateShare)*p.LateWaitingCores
}

// need is how many instances the pool's work fills: what there is now, or what
// the rate of arrivals will keep busy, whichever is more.
func (p *Pool) need(u urgency) int {
	if p.CoresPerInstance <= 0 {
		return 0
	}
	present := headroom*p.BusyCores + p.waiting(u)
	coming := p.LongRunningCores + headroom*p.ArrivalRate
	return int(math.Ceil(max(present, coming)/(p.CoresPerInstance*fill) + p.MissingCores/p.CoresPerInstance))
}

// surplus is how many instances the pool can do without. A pool with tasks that count
// in full and wait has none to spare.
func (p *Pool) surplus(u urgency) int {
	if u == allWork && p.WaitingCores > 0 || p.WaitingCores > p.LateWaitingCores {
		return 0
	}
	return p.Size() + p.Arriving - max(smallest, p.need(u))
}

// shortage is how many instances the pool lacks.
func (p *Pool) shortage(u urgency) int {
	short := max(0, p.need(u)-p.Size()-p.Arriving)
	if short == 0 && p.WaitingFor > stuckAfter && p.Arriving <= 0 {
		return 1
	}
	return short
}

// Policy says how pools are sized.
type Policy string

// The policies. All but Demand are baselines that measurements compare with.
const (
	Demand    Policy = "demand"    // by present work and the rate of arrivals
	Threshold Policy = "threshold" // one more while tasks wait, one less while one idles
	Fixed     Policy = "fixed"     // pools stay as they are
)

// planner is a plan in the making.
type planner struct {
	w     Weights
	pools []Pool
	spare Pool
	moves []Move
	taken map[string]bool
	left  int // instances that may still be given back

	threshold bool // the baseline that looks at no more than queues and idleness
}

// Plan returns the moves that the pools' demand calls for. spare holds
// instances that cost nothing; the others are paid for, of which mayGiveBack may be
// given back at most.
func Plan(policy Policy, w Weights, pools []Pool, spare Pool, mayGiveBack int) []Move {
	if policy == Fixed {
		return nil
	}
	p := &planner{threshold: policy == Threshold, w: w, pools: append([]Pool(nil), pools...), spare: spare, taken: map[string]bool{}, left: mayGiveBack}
	for _, u := range []urgency{inTime, allWork} {
		sort.SliceStable(p.pools, func(a, b int) bool { return p.pools[a].waiting(u) > p.pools[b].waiting(u) })
		for i := range p.pools {
			p.supply(&p.pools[i], u)
		}
	}
	for i := range p.pools {
		p.giveBack(&p.pools[i])
	}
	return p.moves
}

func (p *planner) shortage(to *Pool, u urgency) int {
	switch {
	case !p.threshold:
		return to.shortage(u)
	case to.WaitingCores > 0 && to.Arriving <= 0:
		return 1
	}
	return 0
}

func (p *planner) surplus(from *Pool, u urgency) int {
	switch {
	case !p.threshold:
		return from.surplus(u)
	case from.WaitingCores > 0:
		return 0
	}
	return from.Size() + from.Arriving - smallest
}

// supply brings instances to a pool whose tasks wait: those first that other pools are about to
// give back, which saves a move, then spare ones, then others that idle in pools that can do
// without them.
func (p *planner) supply(to *Pool, u urgency) {
	short := p.shortage(to, u)
	if short > 0 && p.spare.Name != "" && p.w.InstanceSecond > 0 {
		short = p.fetch(to, short, u, p.patience())
	}
	for _, i := range p.spare.Instances {
		if short == 0 {
			return
		}
		if p.take(&p.spare, to, i, "tasks wait") {
			short--
		}
	}
	p.fetch(to, short, u, 0)
}

// fetch brings instances that have idled for so long at least in pools that can do without them,
// and returns how many are still short.
func (p *planner) fetch(to *Pool, short int, u urgency, idle time.Duration) int {
	for d := range p.pools {
		donor := &p.pools[d]
		if donor.Name == to.Name || short == 0 || p.surplus(donor, u) <= 0 {
			continue
		}
		for _, i := range byIdleTime(donor.Instances, idle) {
			if short == 0 || p.surplus(donor, u) <= 0 {
				break
			}
			if p.take(donor, to, i, "tasks wait, and it idles elsewhere") {
				short--
			}
		}
	}
	return short
}

// patience is how long an instance has to idle to be given back: longer than it costs to move it
// away and back.
func (p *planner) patience() time.Duration {
	return time.Duration(giveBackMoves * p.w.Move / p.w.InstanceSecond * float64(time.Second))
}

// giveBack makes instances spare that have idled for long enough.
func (p *planner) giveBack(from *Pool) {
	if p.spare.Name == "" || p.w.InstanceSecond <= 0 {
		return
	}
	for _, i := range byIdleTime(from.EvacuatedIdle, p.patience()) {
		if p.left > 0 && p.take(from, &p.spare, i, "its zone is evacuated") {
			from.Arriving++ // it did not count in its pool
			p.left--
		}
	}
	if p.surplus(from, allWork) <= 0 {
		return
	}
	most := min(p.left, max(perPlan, int(sharePerPlan*float64(from.Size()))))
	for _, i := range byIdleTime(from.Instances, p.patience()) {
		if most == 0 || p.surplus(from, allWork) <= 0 {
			return
		}
		if p.take(from, &p.spare, i, "it idles") {
			most--
			p.left--
		}
	}
}

// byIdleTime returns the instances that can be moved and have idled for so long at least,
// those first that have longest.
func byIdleTime(list []Instance, least time.Duration) []Instance {
	var out []Instance
	for _, i := range list {
		if i.Movable && i.IdleFor >= least {
			out = append(out, i)
		}
	}
	sort.SliceStable(out, func(a, b int) bool { return out[a].IdleFor > out[b].IdleFor })
	return out
}

func (p *planner) take(from, to *Pool, i Instance, reason string) bool {
	if !i.Movable || p.taken[i.ID] {
		return false
	}
	p.taken[i.ID] = true
	from.Arriving--
	to.Arriving++
	p.moves = append(p.moves, Move{Instance: i.ID, From: from.Name, To: to.Name, Reason: reason})
	return true
}
