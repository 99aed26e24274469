// Package lab runs postmount against stand-ins of its environment: it defines the fleets of two
// users, sends load to entry daemons and checks every response, and runs the experiments and the
// demo.
package lab

import (
	"fmt"
	"strings"

	"github.com/postmount/postmount/standin/worker"
)

// Service is a service of a user and the size of its pool.
type Service struct {
	Name    string
	Workers int
	Classes []Class
}

// Class is a class of requests to a service.
type Class struct {
	Name       string
	Weight     int
	Rate       float64 // requests per second
	ServiceMS  int     // processing time at the worker
	DeadlineMS int
	// Keyed requests are not idempotent and carry an idempotency key.
	Keyed bool
	// Availability is the objective in percent; LatencyMS is its latency bound, 0 for none.
	Availability float64
	LatencyMS    int
}

// Topology is the fleet of a user.
type Topology struct {
	Name     string
	Zones    []string
	Services []Service
}

// OrderDesks is the fleet of Halvorsen Jordan Clearing.
func OrderDesks() Topology {
	desk := func(name string, workers int) Service {
		return Service{Name: name, Workers: workers, Classes: []Class{
			{Name: "retail", Weight: 8, Rate: 40, ServiceMS: 10, DeadlineMS: 2000, Keyed: true, Availability: 99.9, LatencyMS: 500},
			{Name: "intraday", Weight: 4, Rate: 20, ServiceMS: 10, DeadlineMS: 2000, Availability: 99, LatencyMS: 1000},
			{Name: "bulk", Weight: 1, Rate: 20, ServiceMS: 40, DeadlineMS: 10000, Availability: 95},
		}}
	}
	return Topology{
		Name:  "order-desks",
		Zones: []string{"zone-a", "zone-b", "zone-c", "zone-d"},
		Services: []Service{
			desk("tidewater", 12), desk("harbour", 10), desk("northgate", 10), desk("meridian", 8),
			{Name: "settlement", Workers: 10, Classes: []Class{
				{Name: "margin", Weight: 4, Rate: 20, ServiceMS: 20, DeadlineMS: 5000, Keyed: true, Availability: 99.9},
				{Name: "rebuild", Weight: 1, Rate: 10, ServiceMS: 60, DeadlineMS: 20000, Availability: 95},
			}},
		},
	}
}

// AlumniHub is the fleet of Sen Vang Software.
func AlumniHub() Topology {
	service := func(name string, workers int, classes ...Class) Service {
		return Service{Name: name, Workers: workers, Classes: classes}
	}
	return Topology{
		Name:  "alumni-hub",
		Zones: []string{"zone-a", "zone-b", "zone-c"},
		Services: []Service{
			service("directory", 12, Class{Name: "search", Weight: 4, Rate: 80, ServiceMS: 8, DeadlineMS: 2000, Availability: 99.5, LatencyMS: 500}),
			service("giving", 8, Class{Name: "donation", Weight: 8, Rate: 30, ServiceMS: 15, DeadlineMS: 3000, Keyed: true, Availability: 99.95}),
			service("events", 10, Class{Name: "registration", Weight: 4, Rate: 40, ServiceMS: 12, DeadlineMS: 3000, Keyed: true, Availability: 99.9}),
			service("mailer", 10, Class{Name: "mailing", Weight: 1, Rate: 30, ServiceMS: 40, DeadlineMS: 10000, Keyed: true, Availability: 99}),
			service("admin", 10, Class{Name: "staff", Weight: 2, Rate: 20, ServiceMS: 15, DeadlineMS: 3000, Availability: 99}),
		},
	}
}

// TopologyByName returns the fleet of that name.
func TopologyByName(name string) (Topology, error) {
	for _, t := range []Topology{OrderDesks(), AlumniHub()} {
		if t.Name == name {
			return t, nil
		}
	}
	return Topology{}, fmt.Errorf("unknown fleet %q", name)
}

// Size of a worker, and the number of workers in a rack, for both users.
const (
	workerSlots       = 8
	workerConnections = 64
	workerCPUMilli    = 32_000
	workerMemoryMB    = 128 * 1024
	workersPerRack    = 4
)

// WorkerID returns the ID of the i-th worker of a service, counted from 1.
func WorkerID(service string, i int) string { return fmt.Sprintf("%s-%02d", service, i) }

// Workers returns the specs of all workers; each listens on a free port.
func (t Topology) Workers() []worker.Spec {
	var out []worker.Spec
	n := 0
	for _, s := range t.Services {
		for i := range s.Workers {
			zone := t.Zones[n%len(t.Zones)]
			out = append(out, worker.Spec{
				ID: WorkerID(s.Name, i+1), Zone: zone, Rack: fmt.Sprintf("%s-rack-%d", zone, n/len(t.Zones)/workersPerRack),
				Addr: "127.0.0.1:0", Slots: workerSlots, Connections: workerConnections, CPUMilli: workerCPUMilli, MemoryMB: workerMemoryMB,
			})
			n++
		}
	}
	return out
}

// Host returns the host name of a service.
func Host(service string) string { return service + ".example" }

// Statements returns the statements that create the fleet: services, routes, objectives, pools
// with max-unavailable 2, and their instances.
func (t Topology) Statements() string {
	var b strings.Builder
	for _, s := range t.Services {
		var classes []string
		for _, c := range s.Classes {
			classes = append(classes, fmt.Sprintf("class %s weight %d", c.Name, c.Weight))
		}
		fmt.Fprintf(&b, "create service %s %s;\n", s.Name, strings.Join(classes, ", "))
		for _, c := range s.Classes {
			idempotent := ""
			if !c.Keyed {
				idempotent = " idempotent"
			}
			fmt.Fprintf(&b, "create route \"%s/%s\" to service %s class %s%s timeout 10s;\n", Host(s.Name), c.Name, s.Name, c.Name, idempotent)
			latency := ""
			if c.LatencyMS > 0 {
				latency = fmt.Sprintf(" latency %dms", c.LatencyMS)
			}
			fmt.Fprintf(&b, "set objective service %s class %s availability %g%s;\n", s.Name, c.Name, c.Availability, latency)
		}
		fmt.Fprintf(&b, "create pool %s for service %s max-unavailable 2;\n", s.Name, s.Name)
		var ids []string
		for i := range s.Workers {
			ids = append(ids, WorkerID(s.Name, i+1))
		}
		fmt.Fprintf(&b, "add instance %s to pool %s;\n", strings.Join(ids, ", "), s.Name)
	}
	return b.String()
}
