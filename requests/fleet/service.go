package fleet

import (
	"slices"
	"time"
)

// ServiceName names a service that callers reach through postmount.
type ServiceName string

// ClassName names a priority class of a service.
type ClassName string

// Class is one priority class of a service's traffic.
type Class struct {
	Name ClassName
	// Weight is the class's share of slots relative to the other classes of
	// the service while several of them wait. At least 1.
	Weight int
	// Objective is the class's service level.
	Objective Objective
}

// Objective is a service level that the burn report is measured against.
type Objective struct {
	// Availability is the share of requests that must be answered well and in
	// time, for example 0.999. Zero means no objective.
	Availability float64
	// Latency is the bound under which an answer counts as in time; zero means
	// that every whole answer counts.
	Latency time.Duration
}

// Service is a set of pools whose backend servers answer the same requests.
type Service struct {
	Name    ServiceName
	Classes []Class
}

// Class returns the named class, or nil.
func (s *Service) Class(name ClassName) *Class {
	for i := range s.Classes {
		if s.Classes[i].Name == name {
			return &s.Classes[i]
		}
	}
	return nil
}

// Route maps requests to a service and class.
type Route struct {
	Host    string // "" matches every host
	Prefix  string // path prefix, starts with "/"
	Service ServiceName
	Class   ClassName
	// Idempotent marks the route's requests as safe to repeat whatever their
	// method is.
	Idempotent bool
	// Timeout bounds one request when the caller names no deadline.
	Timeout time.Duration
}

// Team owns jobs and has a quota over the whole fleet.
type Team struct {
	Name  string
	Quota Resources
}

// Config is the operators' configuration that is not tied to one pool.
type Config struct {
	Services []Service
	Routes   []Route
	Teams    []Team
	Weights  Weights
	Applied  CommandLog `json:",omitempty"`
}

// Weights rank the three measures: a plan minimises their weighted sum.
type Weights struct {
	RollOut float64 // per unit of roll-out time over its ideal
	Buffer  float64 // per unit of spare capacity over its ideal
	Moves   float64 // per unit of relocations over their ideal
}

// Clone returns a deep copy of c.
func (c *Config) Clone() *Config {
	n := *c
	n.Services = slices.Clone(c.Services)
	for i := range n.Services {
		n.Services[i].Classes = slices.Clone(c.Services[i].Classes)
	}
	n.Routes = slices.Clone(c.Routes)
	n.Teams = slices.Clone(c.Teams)
	n.Applied = slices.Clone(c.Applied)
	return &n
}

// Service returns the named service, or nil.
func (c *Config) Service(name ServiceName) *Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}

// Team returns the named team, or nil.
func (c *Config) Team(name string) *Team {
	for i := range c.Teams {
		if c.Teams[i].Name == name {
			return &c.Teams[i]
		}
	}
	return nil
}
