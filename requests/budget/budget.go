// Package budget decides whether an availability budget allows one more
// instance to be out. It is pure.
package budget

import (
	"fmt"
	"slices"
	"strings"

	"github.com/postmount/postmount/requests/fleet"
)

// Status is the state of one pool's budget.
type Status struct {
	Pool    fleet.PoolName
	Size    int // members that count; joining ones do not
	Allowed int // how many may be out
	// Claimed are members out by a recorded disruption, Failed those out
	// without one. Failed ones count first.
	Claimed, Failed []fleet.InstanceID
	// ZoneReserve is kept for the loss of the largest availability zone, if asked.
	ZoneReserve int
	// available counts the members in service by zone.
	available map[fleet.AvailabilityZone]int
	budget    fleet.AvailabilityBudget
}

// Out returns how many members are out.
func (a Status) Out() int { return len(a.Claimed) + len(a.Failed) }

// Headroom returns how many more members may be taken out; it is negative
// while the budget is broken.
func (a Status) Headroom() int { return a.Allowed - a.Out() - a.ZoneReserve }

// HeadroomAfterRemoval returns the headroom left if one member in service left
// the pool for good: the pool is smaller by one, and the member is out until
// its record has changed.
func (a Status) HeadroomAfterRemoval() int {
	return min(a.budget.Allowed(a.Size-1), a.Allowed) - a.Out() - a.ZoneReserve - 1
}

// Explain says in one line what uses the budget up.
func (a Status) Explain() string {
	var parts []string
	if len(a.Claimed) > 0 {
		parts = append(parts, "in maintenance: "+joinIDs(a.Claimed))
	}
	if len(a.Failed) > 0 {
		parts = append(parts, "failed: "+joinIDs(a.Failed))
	}
	if a.ZoneReserve > 0 {
		parts = append(parts, fmt.Sprintf("%d kept for the loss of a zone", a.ZoneReserve))
	}
	text := fmt.Sprintf("pool %s has %d of %d out", a.Pool, a.Out(), a.Allowed)
	if len(parts) > 0 {
		text += " (" + strings.Join(parts, "; ") + ")"
	}
	return text
}

func joinIDs(ids []fleet.InstanceID) string {
	text := make([]string, len(ids))
	for i, id := range ids {
		text[i] = string(id)
	}
	return strings.Join(text, ", ")
}

// Compute works out the account of a pool from its members, its record and the
// newest instance list. A member that the list lacks counts as failed.
func Compute(p *fleet.Pool, members []fleet.Membership, instances map[fleet.InstanceID]fleet.Instance) Status {
	a := Status{Pool: p.Name, budget: p.Budget, available: map[fleet.AvailabilityZone]int{}}
	for _, m := range members {
		if m.Joining {
			continue
		}
		a.Size++
		inst := instances[m.Instance]
		switch {
		case p.Disruption(m.Instance) != nil:
			a.Claimed = append(a.Claimed, m.Instance)
		case !inst.Serving():
			a.Failed = append(a.Failed, m.Instance)
		default:
			a.available[inst.Zone]++
		}
	}
	a.Allowed = p.Budget.Allowed(a.Size)
	if p.Budget.SurviveZone {
		a.ZoneReserve = a.largestZoneSize()
	}
	slices.Sort(a.Claimed)
	slices.Sort(a.Failed)
	return a
}

func (a Status) largestZoneSize() int {
	most := 0
	for _, n := range a.available {
		most = max(most, n)
	}
	return most
}
