// Package directory derives what the entry path needs from the records and the
// instance list: routes, and the workers of each service that may get new
// requests. It is pure; a directory is immutable.
package directory

import (
	"cmp"
	"slices"

	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/requests/route"
)

// Worker is one backend server that may get new requests.
type Worker struct {
	ID    fleet.InstanceID
	Addr  string // IP:port
	Zone  fleet.AvailabilityZone
	Slots int
}

// Service is one service as the entry path sees it.
type Service struct {
	Name    fleet.ServiceName
	Classes []fleet.Class
	Workers []Worker // sorted by ID
	// Total counts the members of the service's pools, usable or not.
	Total int
}

// Directory is a snapshot of everything the entry path needs.
type Directory struct {
	Revision fleet.Revision
	Routes   *route.Table
	Services map[fleet.ServiceName]*Service
	// Slots holds the slots of every worker of any pool, usable or not.
	Slots map[fleet.InstanceID]int
	// Addrs holds the address of every worker of any pool.
	Addrs map[fleet.InstanceID]string
}

// Empty is a directory without routes.
func Empty() *Directory {
	return &Directory{
		Routes:   route.NewTable(nil),
		Services: map[fleet.ServiceName]*Service{},
		Slots:    map[fleet.InstanceID]int{},
		Addrs:    map[fleet.InstanceID]string{},
	}
}

// Build derives the directory from the records and the newest instance list.
//
// Invariant: a worker with a claimed disruption, or that the instance list
// does not show as ready, is not in a service's workers. Either source alone
// takes it out; only both together let it in.
func Build(s *fleet.State, instances map[fleet.InstanceID]fleet.Instance) *Directory {
	d := Empty()
	d.Revision = s.Revision
	d.Routes = route.NewTable(s.Config.Value.Routes)
	for _, svc := range s.Config.Value.Services {
		d.Services[svc.Name] = &Service{Name: svc.Name, Classes: svc.Classes}
	}
	disrupted := disruptions(s)
	for _, shard := range s.Shards {
		for _, m := range shard.Value.Members {
			d.add(s, m, instances[m.Instance], disrupted[m.Instance])
		}
	}
	for _, svc := range d.Services {
		slices.SortFunc(svc.Workers, func(a, b Worker) int { return cmp.Compare(a.ID, b.ID) })
	}
	return d
}

func disruptions(s *fleet.State) map[fleet.InstanceID]bool {
	out := map[fleet.InstanceID]bool{}
	for _, p := range s.Pools {
		for _, d := range p.Value.Disruptions {
			out[d.Instance] = true
		}
	}
	return out
}

func (d *Directory) add(s *fleet.State, m fleet.Membership, inst fleet.Instance, disrupted bool) {
	pool, ok := s.Pools[m.Pool]
	if !ok {
		return
	}
	svc := d.Services[pool.Value.Service]
	if svc == nil {
		return
	}
	svc.Total++
	if inst.ID == "" {
		return
	}
	d.Slots[inst.ID] = inst.Capacity.Slots
	d.Addrs[inst.ID] = inst.Addr
	if disrupted || !inst.Serving() {
		return
	}
	svc.Workers = append(svc.Workers, Worker{ID: inst.ID, Addr: inst.Addr, Zone: inst.Zone, Slots: inst.Capacity.Slots})
}
