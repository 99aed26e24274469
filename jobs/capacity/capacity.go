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
	// fill; measured on quiet days.
	fill = 0.9
	// headroom is how much more work than there is a pool is sized for: tasks of
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
	// emptyWithin bounds how long the tasks on an instance may still take for it to be
	// emptied: a pool that is short by then will have got instances that idle.
	emptyWithin = 2 * time.Second
	// perPlan is how many instances a plan takes from pools that have too many.
	perPlan = 2
)

// Instance is one that could be moved.
type Instance struct {
	ID      string
	IdleFor time.Duration // nothing ran on it; 0: something does
	Movable bool          // nothing runs on it, and nothing else is planned for it
	// EmptyIn is how long the tasks on it take to end, by their estimates; 0: they do
	// not end by themselves, or something else is planned for it.
	EmptyIn  time.Duration
	Emptying bool // it gets no new tasks already
}

// Pool is a service's instances and their work.
type Pool struct {
	Name      string
	Instances []Instance    // those that are up
	Arriving  int           // on their way to it
	Cores     float64       // of one instance
	Busy      float64       // cores in use
	Waiting   float64       // cores that tasks wait for now
	Lasting   float64       // cores of Busy that long-running tasks use
	Rate      float64       // core-seconds of work that arrive a second
	WaitsFor  time.Duration // since when some task has waited without a break
}

// Move is one instance that changes its pool, and why.
type Move struct {
	Instance string
	From, To string
	Reason   string
	// Empty says that tasks still run on the instance. It is to get no new ones, so
	// that it can be moved by a later plan.
	Empty bool
}

// need is how many instances the pool's work fills: what there is now, or what
// the rate of arrivals will keep busy, whichever is more.
func (p *Pool) need() int {
	if p.Cores <= 0 {
		return 0
	}
	present := headroom*p.Busy + p.Waiting
	coming := p.Lasting + p.Rate
	return int(math.Ceil(max(present, coming) / (p.Cores * fill)))
}

// surplus is how many instances the pool can do without.
func (p *Pool) surplus() int {
	if p.Waiting > 0 {
		return 0
	}
	return len(p.Instances) + p.Arriving - max(smallest, p.need())
}

// shortage is how many instances the pool lacks.
func (p *Pool) shortage() int {
	short := max(0, p.need()-len(p.Instances)-p.Arriving)
	if short == 0 && p.WaitsFor > stuckAfter && p.Arriving <= 0 {
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

	threshold bool // the baseline that looks at no more than queues and idleness
}

// Plan returns the moves that the pools' demand calls for. spare holds
// instances that cost nothing; the others are paid for.
func Plan(policy Policy, w Weights, pools []Pool, spare Pool) []Move {
	if policy == Fixed {
		return nil
	}
	p := &planner{threshold: policy == Threshold, w: w, pools: append([]Pool(nil), pools...), spare: spare, taken: map[string]bool{}}
	sort.SliceStable(p.pools, func(a, b int) bool { return p.pools[a].Waiting > p.pools[b].Waiting })
	for i := range p.pools {
		p.supply(&p.pools[i])
	}
	for i := range p.pools {
		p.giveBack(&p.pools[i])
	}
	return p.moves
}

func (p *planner) shortage(to *Pool) int {
	switch {
	case !p.threshold:
		return to.shortage()
	case to.Waiting > 0 && to.Arriving <= 0:
		return 1
	}
	return 0
}

func (p *planner) surplus(from *Pool) int {
	switch {
	case !p.threshold:
		return from.surplus()
	case from.Waiting > 0:
		return 0
	}
	return len(from.Instances) + from.Arriving - smallest
}

// supply brings instances to a pool whose tasks wait: spare ones first, then
// idle ones of pools that can do without them.
func (p *planner) supply(to *Pool) {
	short := p.shortage(to)
	for _, i := range p.spare.Instances {
		if short == 0 {
			return
		}
		if p.take(&p.spare, to, i, "tasks wait") {
			short--
		}
	}
	for d := range p.pools {
		donor := &p.pools[d]
		if donor.Name == to.Name {
			continue
		}
		for _, i := range byIdleTime(donor.Instances) {
			if short == 0 || p.surplus(donor) <= 0 {
				break
			}
			if p.take(donor, to, i, "tasks wait, and it idles elsewhere") {
				short--
			}
		}
	}
	p.empty(to, short)
}

// empty picks busy instances of pools that have too many: without new tasks they can
// be moved soon.
func (p *planner) empty(to *Pool, short int) {
	if p.threshold {
		return
	}
	for d := range p.pools {
		donor := &p.pools[d]
		if donor.Name == to.Name {
			continue
		}
		for _, i := range byEmptyTime(donor.Instances) {
			if short <= 0 || p.surplus(donor) <= 0 {
				break
			}
			if i.EmptyIn <= 0 || i.EmptyIn > emptyWithin || p.taken[i.ID] {
				continue
			}
			p.add(donor, to, i, "tasks wait, and its pool has too many")
			p.moves[len(p.moves)-1].Empty = true
			short--
		}
	}
}

// byEmptyTime orders instances by when they will be empty; those that get no new tasks
// already come first.
func byEmptyTime(list []Instance) []Instance {
	out := append([]Instance(nil), list...)
	sort.SliceStable(out, func(a, b int) bool {
		if out[a].Emptying != out[b].Emptying {
			return out[a].Emptying
		}
		return out[a].EmptyIn < out[b].EmptyIn
	})
	return out
}

// giveBack makes instances spare that have idled for longer than it costs to
// move them away and back.
func (p *planner) giveBack(from *Pool) {
	if p.spare.Name == "" || p.w.InstanceSecond <= 0 {
		return
	}
	patience := time.Duration(giveBackMoves * p.w.Move / p.w.InstanceSecond * float64(time.Second))
	n := 0
	for _, i := range byIdleTime(from.Instances) {
		if n == perPlan || p.surplus(from) <= 0 || i.IdleFor < patience {
			return
		}
		if p.take(from, &p.spare, i, "it idles") {
			n++
		}
	}
}

func byIdleTime(list []Instance) []Instance {
	out := append([]Instance(nil), list...)
	sort.SliceStable(out, func(a, b int) bool { return out[a].IdleFor > out[b].IdleFor })
	return out
}

func (p *planner) take(from, to *Pool, i Instance, reason string) bool {
	if !i.Movable || p.taken[i.ID] {
		return false
	}
	p.add(from, to, i, reason)
	return true
}

func (p *planner) add(from, to *Pool, i Instance, reason string) {
	p.taken[i.ID] = true
	from.Arriving--
	to.Arriving++
	p.moves = append(p.moves, Move{Instance: i.ID, From: from.Name, To: to.Name, Reason: reason})
}
