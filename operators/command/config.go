package command

import (
	"strings"
	"time"

	"github.com/postmount/postmount/operators/query"
	"github.com/postmount/postmount/requests/budget"
	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/requests/record"
)

// create changes the configuration, or creates a pool.
func (p *planner) create(s *query.Create) (Plan, error) {
	if s.Pool != nil {
		return p.createPool(s.Pool)
	}
	cfg := p.state.Config
	if cfg.Value.Applied.Contains(p.ID) {
		return completed(cfg.Revision, "created")
	}
	next := cfg.Value.Clone()
	var err error
	switch {
	case s.Service != nil:
		err = addService(next, s.Service)
	case s.Route != nil:
		err = addRoute(next, s.Route)
	default:
		err = addTeam(next, s.Team)
	}
	if err != nil {
		return Plan{}, err
	}
	next.Applied = next.Applied.Append(p.ID)
	return planWrite(p, record.ConfigKey, cfg, next)
}

func addService(c *fleet.Config, s *query.CreateService) error {
	name := fleet.ServiceName(s.Name)
	if c.Service(name) != nil {
		return refuse(CodeExists, "service %q already exists", name)
	}
	svc := fleet.Service{Name: name}
	for _, class := range s.Classes {
		if svc.Class(fleet.ClassName(class.Name)) != nil || class.Weight < 1 {
			return refuse(CodeNotAllowed, "class %q: each class must be named once, with a weight of at least 1", class.Name)
		}
		svc.Classes = append(svc.Classes, fleet.Class{Name: fleet.ClassName(class.Name), Weight: class.Weight})
	}
	c.Services = append(c.Services, svc)
	return nil
}

func addRoute(c *fleet.Config, s *query.CreateRoute) error {
	svc := c.Service(fleet.ServiceName(s.Service))
	if svc == nil {
		return refuse(CodeUnknownName, "there is no service %q", s.Service)
	}
	if svc.Class(fleet.ClassName(s.Class)) == nil {
		return refuse(CodeUnknownName, "service %q has no class %q", s.Service, s.Class)
	}
	host, rest, found := strings.Cut(string(s.Match), "/")
	if !found {
		return refuse(CodeNotAllowed, "route %q: must be \"host/prefix\", or \"/prefix\" for every host", s.Match)
	}
	r := fleet.Route{
		Host: strings.ToLower(host), Prefix: "/" + rest, Service: svc.Name, Class: fleet.ClassName(s.Class),
		Idempotent: s.Idempotent, Timeout: time.Duration(s.Timeout),
	}
	for _, old := range c.Routes {
		if old.Host == r.Host && old.Prefix == r.Prefix {
			return refuse(CodeExists, "a route for %q already exists", s.Match)
		}
	}
	c.Routes = append(c.Routes, r)
	return nil
}

func addTeam(c *fleet.Config, s *query.CreateTeam) error {
	if c.Team(s.Name) != nil {
		return refuse(CodeExists, "team %q already exists", s.Name)
	}
	c.Teams = append(c.Teams, fleet.Team{Name: s.Name, Quota: resources(s.Quota)})
	return nil
}

// milliPerCore converts cores to millicores.
const milliPerCore = 1000

// resources converts the amounts of a statement. If a resource is given twice, the
// last amount counts.
func resources(amounts []*query.ResourceAmount) fleet.Resources {
	var r fleet.Resources
	for _, a := range amounts {
		switch {
		case a.CPU != nil:
			r.CPUMilli = int(*a.CPU * milliPerCore)
		case a.Memory != nil:
			r.MemoryMB = int(*a.Memory)
		case a.Accelerators != nil:
			r.Accelerators = *a.Accelerators
		case a.Slots != nil:
			r.Slots = *a.Slots
		}
	}
	return r
}

// availabilityBudget converts and checks the budget of a statement.
func availabilityBudget(b query.Budget) (fleet.AvailabilityBudget, error) {
	out, err := fleet.ParseMaxUnavailable(b.MaxUnavailable)
	if err != nil {
		return out, refuse(CodeNotAllowed, "%v", err)
	}
	out.MinAvailable = b.MinAvailable
	out.SurviveZone = b.SurviveZone
	return out, nil
}

func (p *planner) createPool(s *query.CreatePool) (Plan, error) {
	name := fleet.PoolName(s.Name)
	if old, ok := p.state.Pools[name]; ok {
		if old.Value.Applied.Contains(p.ID) {
			return completed(old.Revision, "pool %s created", name)
		}
		return Plan{}, refuse(CodeExists, "pool %q already exists", name)
	}
	if p.state.Config.Value.Service(fleet.ServiceName(s.Service)) == nil {
		return Plan{}, refuse(CodeUnknownName, "there is no service %q", s.Service)
	}
	b, err := availabilityBudget(s.Budget)
	if err != nil {
		return Plan{}, err
	}
	pool := &fleet.Pool{Name: name, Service: fleet.ServiceName(s.Service), Budget: b, Applied: fleet.CommandLog{p.ID}}
	return planWrite(p, record.PoolKey(name), fleet.Versioned[fleet.Pool]{}, pool)
}

// set changes the configuration, or the budget of a pool.
func (p *planner) set(s *query.Set) (Plan, error) {
	if s.Budget != nil {
		return p.setBudget(s.Budget)
	}
	cfg := p.state.Config
	if cfg.Value.Applied.Contains(p.ID) {
		return completed(cfg.Revision, "set")
	}
	next := cfg.Value.Clone()
	if s.Weights != nil {
		next.Weights = fleet.Weights{RollOut: float64(s.Weights.RollOut), Buffer: float64(s.Weights.Buffer), Moves: float64(s.Weights.Moves)}
	} else if err := setObjective(next, s.Objective); err != nil {
		return Plan{}, err
	}
	next.Applied = next.Applied.Append(p.ID)
	return planWrite(p, record.ConfigKey, cfg, next)
}

func setObjective(c *fleet.Config, s *query.SetObjective) error {
	svc := c.Service(fleet.ServiceName(s.Service))
	if svc == nil {
		return refuse(CodeUnknownName, "there is no service %q", s.Service)
	}
	class := svc.Class(fleet.ClassName(s.Class))
	if class == nil {
		return refuse(CodeUnknownName, "service %q has no class %q", s.Service, s.Class)
	}
	if s.Availability <= 0 || s.Availability >= 100 {
		return refuse(CodeNotAllowed, "availability %v: must be a percentage between 0 and 100, both excluded", s.Availability)
	}
	class.Objective = fleet.Objective{Availability: float64(s.Availability) / 100, Latency: time.Duration(s.Latency)}
	return nil
}

// setBudget changes a pool's budget. If more instances are already out than the new
// budget allows, none is brought back; no more are taken out until enough have
// returned.
func (p *planner) setBudget(s *query.SetBudget) (Plan, error) {
	v, err := p.pool(fleet.PoolName(s.Pool))
	if err != nil {
		return Plan{}, err
	}
	if v.Value.Applied.Contains(p.ID) {
		status := budget.Compute(v.Value, p.state.MembersOf(v.Value.Name), p.Snapshot.Instances)
		return completed(v.Revision, "budget of pool %s is %s: %s", s.Pool, v.Value.Budget, status.Explain())
	}
	b, err := availabilityBudget(s.Budget)
	if err != nil {
		return Plan{}, err
	}
	next := v.Value.Clone()
	next.Budget = b
	next.Applied = next.Applied.Append(p.ID)
	return planWrite(p, record.PoolKey(v.Value.Name), v, next)
}
