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
	// Weight is the class's share of slots relative to the other classes of the
	// service while requests of several classes wait. At least 1.
	Weight int
	// Objective is the class's service level objective.
	Objective Objective
}

// Objective is a service level objective, for which burn rates are computed.
type Objective struct {
	// Availability is the share of requests that must succeed within Latency, for
	// example 0.999. Zero means no objective.
	Availability float64
	// Latency is the time within which an answer counts as good; zero means that
	// every complete answer does.
	Latency time.Duration
}

// Service is a set of pools whose backend servers serve the same requests.
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
	// Timeout bounds a request if the caller sets no deadline.
	Timeout time.Duration
}

// Team owns jobs and has a fleet-wide quota.
type Team struct {
	Name  string
	Quota Resources
}

// Config is the configuration that does not belong to one pool.
type Config struct {
	Services []Service
	Routes   []Route
	Teams    []Team
	Weights  Weights
	Applied  CommandLog `json:",omitempty"`
}

// Weights are the weights of three costs. Planning minimises their weighted sum; see
// wave.ChooseConcurrency and placement.Input.PreferTightFit.
type Weights struct {
	RollOut float64 // roll-out time relative to its ideal
	Buffer  float64 // spare capacity relative to its ideal
	Moves   float64 // relocations relative to their ideal
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
