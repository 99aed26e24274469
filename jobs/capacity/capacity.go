// Package capacity plans the moves of instances between pools. A plan depends only on the state
// of the pools, the weights and the policy.
package capacity

import (
	"math"
	"sort"
	"time"
)

// Weights are the costs that a plan balances, in the unit of the users' specification sheets.
// Only their ratio matters.
type Weights struct {
	InstanceSecond float64 // one second of an instance in a pool
	Move           float64 // one instance changing its pool
}

// DefaultWeights are the means of the two users' specification sheets.
var DefaultWeights = Weights{InstanceSecond: 0.0625, Move: 0.071}

// Parameters of a plan.
const (
	// usableShare is the fraction of an instance's cores that tasks of mixed sizes can use.
	usableShare = 0.9
	// headroomFactor multiplies the present and the expected work that a pool is sized for: tasks
	// of mixed sizes leave gaps, and running jobs have further steps.
	headroomFactor = 1.15
	// movesPerReturn is the number of moves that a return to the spare pool causes: the return
	// itself, and the move back at the next demand. An instance is returned once its idle time
	// has cost as much as these moves.
	movesPerReturn = 2
	// minInstances is the number of instances that a pool keeps while it has no work. With none,
	// the size of its instances would be unknown, and the next job would wait for a move.
	minInstances = 1
	// stuckWaitTime is how long tasks must have waited for a pool with enough cores to get one
	// more instance: they may need workers that don't run tasks of their step yet.
	stuckWaitTime = 500 * time.Millisecond
	// lateWorkWeight is the weight of work that is already late, as long as another pool lacks
	// capacity for work that can still be on time. The users' specification sheets value a late job
	// at 1/14 of one on time; the weight is higher so that late jobs are not starved.
	lateWorkWeight = 0.25
	// A plan returns at most the share returnSharePerPlan of a pool's instances to the spare pool,
	// or minReturnsPerPlan instances if that is more. At ten plans per second a large pool of any
	// size returns half of its idle instances in 17 s, so that it keeps capacity for traffic that
	// comes back soon, and no task waits for instances that are moving.
	minReturnsPerPlan  = 2
	returnSharePerPlan = 0.004
)

// Instance is an instance of a pool.
type Instance struct {
	ID      string
	Zone    string
	IdleFor time.Duration // how long it has been idle
	Movable bool          // it is idle and not reserved for anything else
}

// Pool is the supply and demand of one service.
type Pool struct {
	Name          string
	Instances     []Instance // instances that are up, except those counted in BusyInstances
	BusyInstances int        // instances that are up but not movable, as tasks run on them
	EvacuatedIdle []Instance // idle instances in evacuated zones, which add no capacity
	Arriving      int        // instances moving to the pool; a plan subtracts those that it moves away
	// ByZone is the number of instances in each availability zone, up or moving to the pool. If it
	// is set, a plan chooses instances so that the loss of one zone takes few from the pool.
	ByZone           map[string]int
	CoresPerInstance float64
	MissingCores     float64 // cores that undersized workers don't offer at present
	BusyCores        float64 // cores in use
	WaitingCores     float64 // cores that tasks wait for
	// LateWaitingCores is the part of WaitingCores for work that is already late.
	LateWaitingCores float64
	LongRunningCores float64       // part of BusyCores in use by long-running tasks
	ArrivalRate      float64       // core-seconds of work arriving per second
	WaitingFor       time.Duration // how long there have been waiting tasks without interruption
}

// Move is a planned move of an instance to another pool.
type Move struct {
	Instance string
	From, To string
	Reason   string
}

// Size returns the number of instances that are up.
func (p *Pool) Size() int { return len(p.Instances) + p.BusyInstances }

// lateWork selects how work that is already late is weighted.
type lateWork int

const (
	lateWorkFull    lateWork = iota // like other work
	lateWorkReduced                 // by lateWorkWeight
)

// weightedWaiting returns the cores that tasks wait for, with late work weighted as given.
func (p *Pool) weightedWaiting(late lateWork) float64 {
	if late == lateWorkFull {
		return p.WaitingCores
	}
	return p.WaitingCores - (1-lateWorkWeight)*p.LateWaitingCores
}

// neededInstances returns how many instances the pool needs for its present work or for the
// work expected from the arrival rate, whichever is more.
func (p *Pool) neededInstances(late lateWork) int {
	if p.CoresPerInstance <= 0 {
		return 0
	}
	present := headroomFactor*p.BusyCores + p.weightedWaiting(late)
	expected := p.LongRunningCores + headroomFactor*p.ArrivalRate
	return int(math.Ceil(max(present, expected)/(p.CoresPerInstance*usableShare) + p.MissingCores/p.CoresPerInstance))
}

// surplus returns how many instances the pool can give up: none while tasks wait whose weight is
// not reduced.
func (p *Pool) surplus(late lateWork) int {
	if late == lateWorkFull && p.WaitingCores > 0 || p.WaitingCores > p.LateWaitingCores {
		return 0
	}
	return p.Size() + p.Arriving - max(minInstances, p.neededInstances(late))
}

// shortage returns how many instances the pool lacks.
func (p *Pool) shortage(late lateWork) int {
	short := max(0, p.neededInstances(late)-p.Size()-p.Arriving)
	if short == 0 && p.WaitingFor > stuckWaitTime && p.Arriving <= 0 {
		return 1
	}
	return short
}

// Policy selects how pools are sized.
type Policy string

// The policies. All but Demand are baselines for measurements.
const (
	Demand    Policy = "demand"    // by present work and arrival rate
	Threshold Policy = "threshold" // one instance more while tasks wait, fewer while instances are idle
	Fixed     Policy = "fixed"     // pools stay as they are
)

// planner builds a plan.
type planner struct {
	weights     Weights
	pools       []Pool
	spare       Pool
	moves       []Move
	planned     map[string]bool // instances with a planned move
	returnsLeft int             // instances that may still be returned to the spare pool

	threshold bool // policy Threshold: only waiting tasks and idle instances count
}

// Plan returns the moves to make now. Instances of the spare pool cost nothing, those of the
// other pools w.InstanceSecond. At most maxReturns instances are returned to the spare pool.
// Late work first counts with a reduced weight, so that pools with work that can still be on time
// get instances first, and then in full.
func Plan(policy Policy, w Weights, pools []Pool, spare Pool, maxReturns int) []Move {
	if policy == Fixed {
		return nil
	}
	p := &planner{threshold: policy == Threshold, weights: w, pools: append([]Pool(nil), pools...), spare: spare, planned: map[string]bool{}, returnsLeft: maxReturns}
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

// shortage returns how many instances the pool lacks under the policy.
func (p *planner) shortage(to *Pool, late lateWork) int {
	switch {
	case !p.threshold:
		return to.shortage(late)
	case to.WaitingCores > 0 && to.Arriving <= 0:
		return 1
	}
	return 0
}

// surplus returns how many instances the pool can give up under the policy.
func (p *planner) surplus(from *Pool, late lateWork) int {
	switch {
	case !p.threshold:
		return from.surplus(late)
	case from.WaitingCores > 0:
		return 0
	}
	return from.Size() + from.Arriving - minInstances
}

// coverShortage moves instances to a pool that lacks some: first those that are due for return
// in other pools, which saves a move, then spare ones, then other idle instances of pools with a
// surplus.
func (p *planner) coverShortage(to *Pool, late lateWork) {
	short := p.shortage(to, late)
	if short > 0 && p.spare.Name != "" && p.weights.InstanceSecond > 0 {
		short = p.takeFromDonors(to, short, late, p.minIdleBeforeReturn())
	}
	short = p.take(&p.spare, to, p.spare.Instances, short, "tasks are waiting")
	p.takeFromDonors(to, short, late, 0)
}

// takeFromDonors moves instances that have been idle for at least minIdle from pools with a
// surplus, and returns how many are still lacking.
func (p *planner) takeFromDonors(to *Pool, short int, late lateWork, minIdle time.Duration) int {
	for d := range p.pools {
		donor := &p.pools[d]
		if donor.Name == to.Name || short == 0 || p.surplus(donor, late) <= 0 {
			continue
		}
		wanted := min(short, p.surplus(donor, late))
		left := p.take(donor, to, longestIdle(donor.Instances, minIdle), wanted, "tasks are waiting, and it is idle in its pool")
		short -= wanted - left
	}
	return short
}

// take moves up to n of the candidates from one pool to another, and returns how many are still
// lacking. The candidates are taken in the order that spread gives them.
func (p *planner) take(from, to *Pool, candidates []Instance, n int, reason string) int {
	for i := range spread(candidates, to.ByZone, toFewest) {
		if n <= 0 {
			break
		}
		if p.addMove(from, to, i, reason) {
			n--
		}
	}
	return n
}

// minIdleBeforeReturn returns how long an instance must be idle before its return to the
// spare pool: until its idle time has cost as much as movesPerReturn moves.
func (p *planner) minIdleBeforeReturn() time.Duration {
	return time.Duration(movesPerReturn * p.weights.Move / p.weights.InstanceSecond * float64(time.Second))
}

// returnIdle returns instances that have been idle for long enough to the spare pool.
func (p *planner) returnIdle(from *Pool) {
	if p.spare.Name == "" || p.weights.InstanceSecond <= 0 {
		return
	}
	for _, i := range longestIdle(from.EvacuatedIdle, p.minIdleBeforeReturn()) {
		if p.returnsLeft > 0 && p.addMove(from, &p.spare, i, "its zone is evacuated") {
			from.Arriving++ // undoes the changes in addMove: the instance did not count in its pool
			from.addToZone(i.Zone, 1)
			p.returnsLeft--
		}
	}
	if p.surplus(from, lateWorkFull) <= 0 {
		return
	}
	maxReturns := min(p.returnsLeft, max(minReturnsPerPlan, int(returnSharePerPlan*float64(from.Size()))))
	for i := range spread(longestIdle(from.Instances, p.minIdleBeforeReturn()), from.ByZone, fromMost) {
		if maxReturns == 0 || p.surplus(from, lateWorkFull) <= 0 {
			return
		}
		if p.addMove(from, &p.spare, i, "it is idle") {
			maxReturns--
			p.returnsLeft--
		}
	}
}

// longestIdle returns the movable instances that have been idle for at least minIdle, the
// longest idle ones first.
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

// addMove plans a move, unless the instance isn't movable or has a planned move already.
func (p *planner) addMove(from, to *Pool, i Instance, reason string) bool {
	if !i.Movable || p.planned[i.ID] {
		return false
	}
	p.planned[i.ID] = true
	from.Arriving--
	to.Arriving++
	from.addToZone(i.Zone, -1)
	to.addToZone(i.Zone, 1)
	p.moves = append(p.moves, Move{Instance: i.ID, From: from.Name, To: to.Name, Reason: reason})
	return true
}
