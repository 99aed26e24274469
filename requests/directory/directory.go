// Package directory derives the routing data of the entry path from the records
// and the instance list: the routes, and for each service the workers that may get
// new requests. It does no I/O; a directory is immutable.
package directory

import (
	"cmp"
	"slices"

	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/requests/route"
)

// Worker is a backend server that may get new requests.
type Worker struct {
	ID    fleet.InstanceID
	Addr  string // IP:port
	Zone  fleet.AvailabilityZone
	Slots int
}

// Service is the routing data of one service.
type Service struct {
	Name    fleet.ServiceName
	Classes []fleet.Class
	Workers []Worker // sorted by ID
	// Total is the number of members of the service's pools, whether they may get new
	// requests or not.
	Total int
}

// Directory is a snapshot of the routing data.
type Directory struct {
	Revision fleet.Revision
	Routes   *route.Table
	Services map[fleet.ServiceName]*Service
	// Slots is the number of slots of every listed worker whose pool belongs to a
	// service, whether it may get new requests or not.
	Slots map[fleet.InstanceID]int
	// Addrs is the address (IP:port) of each worker in Slots.
	Addrs map[fleet.InstanceID]string
}

// Empty returns a directory without routes and services.
func Empty() *Directory {
	return &Directory{
		Routes:   route.NewTable(nil),
		Services: map[fleet.ServiceName]*Service{},
		Slots:    map[fleet.InstanceID]int{},
		Addrs:    map[fleet.InstanceID]string{},
	}
}

// Build derives the directory from the records and the latest instance list.
//
// Invariant: a worker is in Service.Workers only if it has no recorded disruption
// and the instance list shows it as ready. Either source alone excludes it.
func Build(s *fleet.State, instances map[fleet.InstanceID]fleet.Instance) *Directory {
	d := Empty()
	d.Revision = s.Revision
	d.Routes = route.NewTable(s.Config.Value.Routes)
	for _, svc := range s.Config.Value.Services {
		d.Services[svc.Name] = &Service{Name: svc.Name, Classes: svc.Classes}
	}
	disrupted := disruptedInstances(s)
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

// disruptedInstances returns the instances with a recorded disruption in any pool.
func disruptedInstances(s *fleet.State) map[fleet.InstanceID]bool {
	out := map[fleet.InstanceID]bool{}
	for _, p := range s.Pools {
		for _, d := range p.Value.Disruptions {
			out[d.Instance] = true
		}
	}
	return out
}

// add adds the member m of a pool. inst is its entry in the instance list, the zero
// value if it is not listed.
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
