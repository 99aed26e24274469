// Package budget computes how many more instances of a pool may be out of service
// under its availability budget. It does no I/O.
package budget

import (
	"fmt"
	"slices"
	"strings"

	"github.com/postmount/postmount/requests/fleet"
)

// Status is the state of a pool's availability budget.
type Status struct {
	Pool    fleet.PoolName
	Size    int // number of members without those that are joining
	Allowed int // maximum number of members out of service at a time
	// Disrupted are the members with a recorded disruption, such as maintenance;
	// Failed are those out of service without one. Both are sorted and use up the
	// budget.
	Disrupted, Failed []fleet.InstanceID
	// ZoneReserve is the part of the budget reserved for the loss of the zone with
	// the most members in service; 0 unless the budget asks for it.
	ZoneReserve int
	// available is the number of members in service in each zone.
	available map[fleet.AvailabilityZone]int
	budget    fleet.AvailabilityBudget
}

// OutOfService returns the number of members out of service.
func (s Status) OutOfService() int { return len(s.Disrupted) + len(s.Failed) }

// Headroom returns how many more members may be taken out of service. It is
// negative while the budget is exceeded.
func (s Status) Headroom() int { return s.Allowed - s.OutOfService() - s.ZoneReserve }

// HeadroomAfterRemoval returns the headroom if one member in service is removed
// from the pool: the pool shrinks by one, and the member also counts as out of
// service until its record has changed.
func (s Status) HeadroomAfterRemoval() int {
	return min(s.budget.Allowed(s.Size-1), s.Allowed) - s.OutOfService() - s.ZoneReserve - 1
}

// Explain describes in one line what uses the budget.
func (s Status) Explain() string {
	var parts []string
	if len(s.Disrupted) > 0 {
		parts = append(parts, "in maintenance: "+joinIDs(s.Disrupted))
	}
	if len(s.Failed) > 0 {
		parts = append(parts, "failed: "+joinIDs(s.Failed))
	}
	if s.ZoneReserve > 0 {
		parts = append(parts, fmt.Sprintf("%d reserved for the loss of a zone", s.ZoneReserve))
	}
	text := fmt.Sprintf("pool %s has %d of %d out", s.Pool, s.OutOfService(), s.Allowed)
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

// Compute returns the budget status of a pool from its record, its members and the
// latest instance list. A member missing from the list counts as failed.
func Compute(p *fleet.Pool, members []fleet.Membership, instances map[fleet.InstanceID]fleet.Instance) Status {
	s := Status{Pool: p.Name, budget: p.Budget, available: map[fleet.AvailabilityZone]int{}}
	for _, m := range members {
		if m.Joining {
			continue
		}
		s.Size++
		inst := instances[m.Instance]
		switch {
		case p.Disruption(m.Instance) != nil:
			s.Disrupted = append(s.Disrupted, m.Instance)
		case !inst.Serving():
			s.Failed = append(s.Failed, m.Instance)
		default:
			s.available[inst.Zone]++
		}
	}
	s.Allowed = p.Budget.Allowed(s.Size)
	if p.Budget.SurviveZone {
		s.ZoneReserve = s.largestAvailableZone()
	}
	slices.Sort(s.Disrupted)
	slices.Sort(s.Failed)
	return s
}

// largestAvailableZone returns the number of members in service in the zone that has
// the most of them.
func (s Status) largestAvailableZone() int {
	most := 0
	for _, n := range s.available {
		most = max(most, n)
	}
	return most
}
