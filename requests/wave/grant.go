package wave

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/postmount/postmount/requests/budget"
	"github.com/postmount/postmount/requests/fleet"
)

// grant takes further instances out for the running waves, as far as the
// pool's budget allows.
//
// Invariant: a disruption is only added while the account that includes every
// recorded one has headroom. Reason: the account and the new claim go into the
// same record, so of two daemons that grant at once one loses its
// compare-and-swap and plans again.
func (p *planner) grant() {
	waiting := p.grantRequests()
	if waiting {
		p.note("", "waves wait until the operators' requests are granted")
		return
	}
	for _, w := range p.in.Waves {
		if w.State != fleet.WaveRunning {
			p.note("", "wave %s is %s: nothing new is taken out", w.Name, w.State)
			continue
		}
		p.grantWave(w)
	}
}

// grantRequests grants the operators' drains and moves, oldest first. It
// reports whether one still waits for the budget: waves then take nothing, or
// the request might wait for ever.
func (p *planner) grantRequests() (waiting bool) {
	for _, r := range p.in.Pool.Requests {
		inst := p.in.Instances[r.Instance]
		switch {
		case !slices.ContainsFunc(p.in.Members, func(m fleet.Membership) bool { return m.Instance == r.Instance }):
			p.note(r.Instance, "is not in the pool any more: its %s is dropped", r.Kind)
			p.withdraw(r.Instance)
		case p.next.Disruption(r.Instance) != nil:
			p.note(r.Instance, "%s waits until the instance is back", r.Kind)
		case inst.ID == "":
			p.note(r.Instance, "%s waits: the platform does not list the instance", r.Kind)
		case !p.mayTake(r, inst):
			account := budget.Compute(p.next, p.in.Members, p.in.Instances)
			p.note(r.Instance, "%s waits: %s", r.Kind, account.Explain())
			waiting = true
		default:
			p.withdraw(r.Instance)
			p.take(fleet.Disruption{Instance: r.Instance, Kind: r.Kind, Target: r.Target})
		}
	}
	return waiting
}

func (p *planner) withdraw(id fleet.InstanceID) {
	p.next.RemoveRequest(id)
	p.touched = true
}

// mayTake asks the budget. An instance that is out by itself takes nothing
// more from it; one that moves away makes the pool smaller for good.
func (p *planner) mayTake(r fleet.Request, inst fleet.Instance) bool {
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

// take records a disruption together with the command to drain.
func (p *planner) take(d fleet.Disruption) {
	d.Phase = fleet.PhaseDrain
	d.Command = fleet.Command{ID: p.in.NewID(), Action: fleet.ActionDrain, Generation: p.in.Instances[d.Instance].Generation}
	d.Since = p.in.Now
	d.PhaseAt = p.in.Now
	p.next.Disruptions = append(p.next.Disruptions, d)
	p.touched = true
}

func (p *planner) grantWave(w *fleet.Wave) {
	for _, m := range p.candidates(w) {
		account := budget.Compute(p.next, p.in.Members, p.in.Instances)
		if account.Headroom() <= 0 {
			p.note(m.Instance, "wave %s waits: %s", w.Name, account.Explain())
			return
		}
		limit := p.width(w, account)
		if p.outBy(w.Name) >= limit {
			p.note(m.Instance, "wave %s waits: %d of %d at once are out", w.Name, limit, limit)
			return
		}
		if late := p.tooLate(w); late {
			p.note(m.Instance, "wave %s starts nothing more: it would not be back before %s", w.Name, w.Deadline.Format(time.RFC3339))
			return
		}
		p.take(fleet.Disruption{Instance: m.Instance, Kind: fleet.DisruptByWave, Wave: w.Name})
	}
}

func (p *planner) outBy(w fleet.WaveName) int {
	n := 0
	for _, d := range p.next.Disruptions {
		if d.Wave == w {
			n++
		}
	}
	return n
}

// width returns how many instances wave w may have out at once: what the weights
// prefer, at most what the settings allow. Near a deadline it is the whole
// budget.
func (p *planner) width(w *fleet.Wave, account budget.Status) int {
	left := len(p.candidates(w)) + p.outBy(w.Name)
	n := ChooseConcurrency(left, account.Allowed, p.in.Weights)
	if end, known := EstimateEnd(p.in.Now, p.next, left, n); known && !w.Deadline.IsZero() && end.After(w.Deadline) {
		n = account.Allowed
	}
	if p.in.Options.MaxConcurrent > 0 {
		n = min(n, p.in.Options.MaxConcurrent)
	}
	return n
}

// ChooseConcurrency chooses how many of n instances to take out at once, at most allowed.
// A wider wave is over sooner and holds more capacity back meanwhile: the width
// with the least weighted sum of roll-out time and of instances out is taken,
// each as a ratio to that of the whole budget. Without weights it is the whole
// budget.
func ChooseConcurrency(n, allowed int, w fleet.Weights) int {
	if allowed <= 1 || n <= 1 || (w.RollOut == 0 && w.Buffer == 0) {
		return allowed
	}
	rounds := func(width int) float64 { return math.Ceil(float64(n) / float64(width)) }
	best, least := allowed, math.Inf(1)
	for width := allowed; width >= 1; width-- {
		cost := w.RollOut*rounds(width)/rounds(allowed) + w.Buffer*float64(width)/float64(allowed)
		if cost < least {
			best, least = width, cost
		}
	}
	return best
}

// tooLate reports whether an instance taken out now would be back only after
// the wave's deadline.
func (p *planner) tooLate(w *fleet.Wave) bool {
	return !w.Deadline.IsZero() && p.in.Now.Add(p.next.MeanOut).After(w.Deadline)
}

// candidates lists the members that the wave still has to take out, zone by
// zone and rack by rack, so that what fails together is out together.
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
// Members that are down and not claimed are left out: there is nothing to do
// for them.
func Remaining(w fleet.WaveName, p *fleet.Pool, members []fleet.Membership, instances map[fleet.InstanceID]fleet.Instance) []fleet.InstanceID {
	var out []fleet.InstanceID
	for _, m := range members {
		inst := instances[m.Instance]
		claimed := p.Disruption(m.Instance)
		switch {
		case p.MaintainedBy(w, m.Instance):
		case claimed != nil || inst.Serving() && !m.Joining:
			out = append(out, m.Instance)
		}
	}
	return out
}

// The halt rule: a wave that loses more than one in haltShare of the instances
// it has taken out, and at least haltLeast, stops taking more.
const (
	haltShare = 10
	haltLeast = 2
)

// ShouldHalt applies the halt rule. forgiven failures are not counted.
func ShouldHalt(failures, granted, forgiven int) bool {
	n := failures - forgiven
	return n >= haltLeast && n*haltShare > granted
}

// EstimateEnd estimates when a wave ends in one pool: the remaining instances in
// rounds as wide as the budget allows, each as long as the pool's mean.
func EstimateEnd(now time.Time, p *fleet.Pool, remaining, allowed int) (time.Time, bool) {
	if p.MeanOut == 0 || allowed <= 0 {
		return time.Time{}, false
	}
	rounds := (remaining + allowed - 1) / allowed
	return now.Add(time.Duration(rounds) * p.MeanOut), true
}
