package wave

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/postmount/postmount/requests/budget"
	"github.com/postmount/postmount/requests/fleet"
)

// grantDisruptions adds disruptions for operators' requests and running waves, as
// far as the pool's budget allows.
//
// Invariant: a disruption is added only while the budget, computed with every
// recorded disruption, has headroom. This holds because all disruptions of a pool
// are in one record: if two daemons grant at the same time, one of them fails its
// compare-and-swap and plans again.
func (p *planner) grantDisruptions() {
	waiting := p.grantRequests()
	if waiting {
		p.note("", "waves wait until the operators' requests are granted")
		return
	}
	for _, w := range p.in.Waves {
		if w.State != fleet.WaveRunning {
			p.note("", "wave %s is %s: takes no more instances out", w.Name, w.State)
			continue
		}
		p.grantWave(w)
	}
}

// grantRequests grants the operators' drains and moves, oldest first. It
// reports whether one of them waits for the budget. Waves then get none of the budget;
// otherwise the request might wait forever.
func (p *planner) grantRequests() (waiting bool) {
	for _, r := range p.in.Pool.Requests {
		inst := p.in.Instances[r.Instance]
		switch {
		case !slices.ContainsFunc(p.in.Members, func(m fleet.Membership) bool { return m.Instance == r.Instance }):
			p.note(r.Instance, "is no longer in the pool: its %s is dropped", r.Kind)
			p.removeRequest(r.Instance)
		case p.next.Disruption(r.Instance) != nil:
			p.note(r.Instance, "%s waits until the instance is back", r.Kind)
		case inst.ID == "":
			p.note(r.Instance, "%s waits: the platform does not list the instance", r.Kind)
		case !p.budgetAllows(r, inst):
			account := budget.Compute(p.next, p.in.Members, p.in.Instances)
			p.note(r.Instance, "%s waits: %s", r.Kind, account.Explain())
			waiting = true
		default:
			p.removeRequest(r.Instance)
			p.addDisruption(fleet.Disruption{Instance: r.Instance, Kind: r.Kind, Target: r.Target})
		}
	}
	return waiting
}

func (p *planner) removeRequest(id fleet.InstanceID) {
	p.next.RemoveRequest(id)
	p.poolChanged = true
}

// budgetAllows reports whether the budget has headroom for a request. An instance that
// is already out of service uses no more of the budget. A move shrinks the pool
// permanently, so the budget of the smaller pool must hold too.
func (p *planner) budgetAllows(r fleet.Request, inst fleet.Instance) bool {
	account := budget.Compute(p.next, p.in.Members, p.in.Instances)
	headroom := account.Headroom()
	if r.Kind == fleet.DisruptByMove {
		headroom = min(headroom, account.HeadroomAfterRemoval()+1)
	}
	if !inst.Serving() {
		headroom++
	}
	return headroom > 0
}

// addDisruption records a disruption together with its drain command.
func (p *planner) addDisruption(d fleet.Disruption) {
	d.Phase = fleet.PhaseDrain
	d.Command = fleet.Command{ID: p.in.NewID(), Action: fleet.ActionDrain, Generation: p.in.Instances[d.Instance].Generation}
	d.Since = p.in.Now
	d.PhaseAt = p.in.Now
	p.next.Disruptions = append(p.next.Disruptions, d)
	p.poolChanged = true
}

// grantWave adds disruptions for wave w until the budget, the concurrency limit or
// the deadline stops it.
func (p *planner) grantWave(w *fleet.Wave) {
	for _, m := range p.candidates(w) {
		account := budget.Compute(p.next, p.in.Members, p.in.Instances)
		if account.Headroom() <= 0 {
			p.note(m.Instance, "wave %s waits: %s", w.Name, account.Explain())
			return
		}
		limit := p.concurrencyLimit(w, account)
		if out := p.disruptedBy(w.Name); out >= limit {
			p.note(m.Instance, "wave %s waits: %d instances are out, it takes at most %d at the same time", w.Name, out, limit)
			return
		}
		if late := p.missesDeadline(w); late {
			p.note(m.Instance, "wave %s takes no more instances out: this one would not be back before %s", w.Name, w.Deadline.Format(time.RFC3339))
			return
		}
		p.addDisruption(fleet.Disruption{Instance: m.Instance, Kind: fleet.DisruptByWave, Wave: w.Name})
	}
}

// disruptedBy returns how many instances of the pool wave w has out of service.
func (p *planner) disruptedBy(w fleet.WaveName) int {
	n := 0
	for _, d := range p.next.Disruptions {
		if d.Wave == w {
			n++
		}
	}
	return n
}

// concurrencyLimit returns how many instances wave w may have out at the same time: the
// number that the weights prefer, or the whole budget if the wave would otherwise miss
// its deadline, but never more than Options.MaxConcurrent.
func (p *planner) concurrencyLimit(w *fleet.Wave, account budget.Status) int {
	left := len(p.candidates(w)) + p.disruptedBy(w.Name)
	n := ChooseConcurrency(left, account.Allowed, p.in.Weights)
	if end, known := EstimateEnd(p.in.Now, p.next, left, n); known && !w.Deadline.IsZero() && end.After(w.Deadline) {
		n = account.Allowed
	}
	if p.in.Options.MaxConcurrent > 0 {
		n = min(n, p.in.Options.MaxConcurrent)
	}
	return n
}

// ChooseConcurrency chooses how many of n instances to take out at the same time, at
// most allowed. A higher concurrency ends the wave sooner but takes more capacity out
// of service. The result minimises the weighted sum of roll-out time and instances out,
// each relative to its value at the full budget. Without weights, the result is
// allowed.
func ChooseConcurrency(n, allowed int, w fleet.Weights) int {
	if allowed <= 1 || n <= 1 || (w.RollOut == 0 && w.Buffer == 0) {
		return allowed
	}
	rounds := func(concurrency int) float64 { return math.Ceil(float64(n) / float64(concurrency)) }
	best, lowestCost := allowed, math.Inf(1)
	for concurrency := allowed; concurrency >= 1; concurrency-- {
		cost := w.RollOut*rounds(concurrency)/rounds(allowed) + w.Buffer*float64(concurrency)/float64(allowed)
		if cost < lowestCost {
			best, lowestCost = concurrency, cost
		}
	}
	return best
}

// missesDeadline reports whether an instance taken out now is expected back only
// after the wave's deadline.
func (p *planner) missesDeadline(w *fleet.Wave) bool {
	return !w.Deadline.IsZero() && p.in.Now.Add(p.next.MeanOut).After(w.Deadline)
}

// candidates lists the members that the wave still has to take out, sorted by
// zone and rack, so that instances of one failure domain are out together.
func (p *planner) candidates(w *fleet.Wave) []fleet.Membership {
	var out []fleet.Membership
	for _, m := range p.in.Members {
		inst := p.in.Instances[m.Instance]
		if m.Joining || p.next.MaintainedBy(w.Name, m.Instance) || p.next.Disruption(m.Instance) != nil || !inst.Serving() {
			continue
		}
		out = append(out, m)
	}
	slices.SortStableFunc(out, func(a, b fleet.Membership) int {
		x, y := p.in.Instances[a.Instance], p.in.Instances[b.Instance]
		return cmp.Or(cmp.Compare(x.Zone, y.Zone), cmp.Compare(x.Rack, y.Rack), cmp.Compare(a.Instance, b.Instance))
	})
	return out
}

// Remaining lists the members of a pool that wave w has not finished with.
// Members that are out of service without a disruption are omitted: the wave
// can't do anything for them.
func Remaining(w fleet.WaveName, p *fleet.Pool, members []fleet.Membership, instances map[fleet.InstanceID]fleet.Instance) []fleet.InstanceID {
	var out []fleet.InstanceID
	for _, m := range members {
		inst := instances[m.Instance]
		disruption := p.Disruption(m.Instance)
		switch {
		case p.MaintainedBy(w, m.Instance):
		case disruption != nil || inst.Serving() && !m.Joining:
			out = append(out, m.Instance)
		}
	}
	return out
}

// A wave is halted when at least haltMinFailures of its instances have failed and
// these are more than one in haltFailureRatio of those it has taken out.
const (
	haltFailureRatio = 10
	haltMinFailures  = 2
)

// ShouldHalt reports whether a wave must be halted. granted is the number of
// instances it has taken out; forgiven is the number of failures that are not
// counted (Wave.Forgiven).
func ShouldHalt(failures, granted, forgiven int) bool {
	n := failures - forgiven
	return n >= haltMinFailures && n*haltFailureRatio > granted
}

// EstimateEnd estimates when a wave ends in one pool if it takes out allowed
// instances per round and each round lasts Pool.MeanOut. It returns false if no
// estimate is possible.
func EstimateEnd(now time.Time, p *fleet.Pool, remaining, allowed int) (time.Time, bool) {
	if p.MeanOut == 0 || allowed <= 0 {
		return time.Time{}, false
	}
	rounds := (remaining + allowed - 1) / allowed
	return now.Add(time.Duration(rounds) * p.MeanOut), true
}
