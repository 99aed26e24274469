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
	// usableShare is the share of an instance's processors that tasks of mixed sizes
	// usableShare.
	usableShare = 0.9
	// headroomFactor is how much more work than there is, or comes, a pool is sized for: tasks of
	// mixed sizes leave gaps, and the next steps of running jobs come.
	headroomFactor = 1.15
	// movesPerReturn is how many moves an instance's idle time must have cost
	// before it is given back: away, and back at the pool's next turn.
	movesPerReturn = 2
	// minInstances is how many instances a pool keeps without any work: with none, the
	// size of its instances is not known, and the next job waits for a move.
	minInstances = 1
	// stuckAfter is how long tasks wait before a pool gets one more instance
	// though it has cores enough: they may need other workers than those that run
	// tasks of their step already.
	stuckAfter = 500 * time.Millisecond
	// lateWorkWeight is how much the work of jobs that are late already counts while another
	// pool is short of room for jobs that can still be in time: a late job is worth a
	// fourteenth of one in time on the users' sheets, and must not wait for ever.
	lateWorkWeight = 0.25
	// minReturnsPerPlan is how many instances a plan takes at least from a pool that has too many, and
	// sharePerPlan the share of the pool above that. With ten plans a second a large pool loses half
	// of what idles in 17 s, whatever its size: for some turns of traffic it has room for one, and
	// none waits for instances on their way.
	minReturnsPerPlan  = 2
	returnSharePerPlan = 0.004
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

// lateWork says which work counts.
type lateWork int

const (
	lateWorkFull    lateWork = iota
	lateWorkReduced          // work of jobs that are late already counts lateShare
)

// weightedWaiting returns the cores that tasks wait for, as far as they count.
func (p *Pool) weightedWaiting(late lateWork) float64 {
	if late == lateWorkFull {
		return p.WaitingCores
	}
	return p.WaitingCores - (1-lateWorkWeight)*p.LateWaitingCores
}

// neededInstances is how many instances the pool's work fills: what there is now, or what
// the rate of arrivals will keep busy, whichever is more.
func (p *Pool) neededInstances(late lateWork) int {
	if p.CoresPerInstance <= 0 {
		return 0
	}
	present := headroomFactor*p.BusyCores + p.weightedWaiting(late)
	coming := p.LongRunningCores + headroomFactor*p.ArrivalRate
	return int(math.Ceil(max(present, coming)/(p.CoresPerInstance*usableShare) + p.MissingCores/p.CoresPerInstance))
}

// surplus is how many instances the pool can do without. A pool with tasks that count
// in full and wait has none to spare.
func (p *Pool) surplus(late lateWork) int {
	if late == lateWorkFull && p.WaitingCores > 0 || p.WaitingCores > p.LateWaitingCores {
		return 0
	}
	return p.Size() + p.Arriving - max(minInstances, p.neededInstances(late))
}

// shortage is how many instances the pool lacks.
func (p *Pool) shortage(late lateWork) int {
	short := max(0, p.neededInstances(late)-p.Size()-p.Arriving)
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
	weights     Weights
	pools       []Pool
	spare       Pool
	moves       []Move
	taken       map[string]bool
	returnsLeft int // instances that may still be given back

	threshold bool // the baseline that looks at no more than queues and idleness
}

// Plan returns the moves that the pools' demand calls for. spare holds
// instances that cost nothing; the others are paid for, of which mayGiveBack may be
// given back at most.
func Plan(policy Policy, w Weights, pools []Pool, spare Pool, maxReturns int) []Move {
	if policy == Fixed {
		return nil
	}
	p := &planner{threshold: policy == Threshold, weights: w, pools: append([]Pool(nil), pools...), spare: spare, taken: map[string]bool{}, returnsLeft: maxReturns}
	for _, late := range []lateWork{lateWorkReduced, lateWorkFull} {
		sort.SliceStable(p.pools, func(a, b int) bool { return p.pools[a].weightedWaiting(late) > p.pools[b].weightedWaiting(late) })
		for i := range p.pools {
			p.coverShortage(&p.pools[i], late)
		}
	}
	for i := range p.pools {
		p.returnIdle(&p.pools[i])
	}
	return p.moves
}

func (p *planner) shortage(to *Pool, late lateWork) int {
	switch {
	case !p.threshold:
		return to.shortage(late)
	case to.WaitingCores > 0 && to.Arriving <= 0:
		return 1
	}
	return 0
}

func (p *planner) surplus(from *Pool, late lateWork) int {
	switch {
	case !p.threshold:
		return from.surplus(late)
	case from.WaitingCores > 0:
		return 0
	}
	return from.Size() + from.Arriving - minInstances
}

// coverShortage brings instances to a pool whose tasks wait: those first that other pools are about to
// give back, which saves a move, then spare ones, then others that idle in pools that can do
// without them.
func (p *planner) coverShortage(to *Pool, late lateWork) {
	short := p.shortage(to, late)
	if short > 0 && p.spare.Name != "" && p.weights.InstanceSecond > 0 {
		short = p.takeFromDonors(to, short, late, p.minIdleBeforeReturn())
	}
	for _, i := range p.spare.Instances {
		if short == 0 {
			return
		}
		if p.addMove(&p.spare, to, i, "tasks wait") {
			short--
		}
	}
	p.takeFromDonors(to, short, late, 0)
}

// takeFromDonors brings instances that have idled for so long at least in pools that can do without them,
// and returns how many are still short.
func (p *planner) takeFromDonors(to *Pool, short int, late lateWork, minIdle time.Duration) int {
	for d := range p.pools {
		donor := &p.pools[d]
		if donor.Name == to.Name || short == 0 || p.surplus(donor, late) <= 0 {
			continue
		}
		for _, i := range longestIdle(donor.Instances, minIdle) {
			if short == 0 || p.surplus(donor, late) <= 0 {
				break
			}
			if p.addMove(donor, to, i, "tasks wait, and it idles elsewhere") {
				short--
			}
		}
	}
	return short
}

// minIdleBeforeReturn is how long an instance has to idle to be given back: longer than it costs to move it
// away and back.
func (p *planner) minIdleBeforeReturn() time.Duration {
	return time.Duration(movesPerReturn * p.weights.Move / p.weights.InstanceSecond * float64(time.Second))
}

// returnIdle makes instances spare that have idled for long enough.
func (p *planner) returnIdle(from *Pool) {
	if p.spare.Name == "" || p.weights.InstanceSecond <= 0 {
		return
	}
	for _, i := range longestIdle(from.EvacuatedIdle, p.minIdleBeforeReturn()) {
		if p.returnsLeft > 0 && p.addMove(from, &p.spare, i, "its zone is evacuated") {
			from.Arriving++ // it did not count in its pool
			p.returnsLeft--
		}
	}
	if p.surplus(from, lateWorkFull) <= 0 {
		return
	}
	most := min(p.returnsLeft, max(minReturnsPerPlan, int(returnSharePerPlan*float64(from.Size()))))
	for _, i := range longestIdle(from.Instances, p.minIdleBeforeReturn()) {
		if most == 0 || p.surplus(from, lateWorkFull) <= 0 {
			return
		}
		if p.addMove(from, &p.spare, i, "it idles") {
			most--
			p.returnsLeft--
		}
	}
}

// longestIdle returns the instances that can be moved and have idled for so long at least,
// those first that have longest.
func longestIdle(list []Instance, minIdle time.Duration) []Instance {
	var out []Instance
	for _, i := range list {
		if i.Movable && i.IdleFor >= minIdle {
			out = append(out, i)
		}
	}
	sort.SliceStable(out, func(a, b int) bool { return out[a].IdleFor > out[b].IdleFor })
	return out
}

func (p *planner) addMove(from, to *Pool, i Instance, reason string) bool {
	if !i.Movable || p.taken[i.ID] {
		return false
	}
	p.taken[i.ID] = true
	from.Arriving--
	to.Arriving++
	p.moves = append(p.moves, Move{Instance: i.ID, From: from.Name, To: to.Name, Reason: reason})
	return true
}
