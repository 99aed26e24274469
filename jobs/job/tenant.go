package job

import (
	"fmt"

	"github.com/postmount/postmount/jobs/apikey"
)

// Tenant is an organisation whose callers submit jobs.
type Tenant struct {
	Name string
	// Weight is its share when all is full, against those of the others: so many jobs a second
	// are its due.
	Weight float64
	// Limit is what it may have running over all workers; 0: no limit of that resource.
	Limit Resources
}

// SetTenants takes over the tenants and the ring of their keys, or says what is wrong. An
// error names the place, never a key.
func (c *Catalog) SetTenants(tenants []Tenant, keys [][]string) error {
	ring := apikey.Ring{}
	names := map[string]bool{}
	for n, t := range tenants {
		switch {
		case t.Name == "" || names[t.Name]:
			return fmt.Errorf("tenants[%d]: its name %q is empty, or another's", n, t.Name)
		case t.Weight < 0:
			return fmt.Errorf("tenants[%d]: its weight is %v", n, t.Weight)
		case t.Limit.CPUMilli < 0 || t.Limit.MemMB < 0 || t.Limit.GPU < 0:
			return fmt.Errorf("tenants[%d]: its limit is less than nothing: %s", n, t.Limit)
		}
		names[t.Name] = true
		for k, key := range keys[n] {
			if err := ring.Add(key, t.Name); err != nil {
				return fmt.Errorf("tenants[%d]: key %d: %w", n, k, err)
			}
		}
	}
	c.Tenants, c.Keys = tenants, ring
	return nil
}

// CheckTenantLimit returns why the tenant's limit never lets the job run, nil if it may. Only the tasks
// of a gang need room at the same time; a single task larger than the limit runs alone.
func (c *Catalog) CheckTenantLimit(j *Job) error {
	for _, t := range c.Tenants {
		if t.Name != j.Tenant {
			continue
		}
		for n, s := range j.Steps {
			if all := s.Need.Times(s.Count); s.Gang && s.Count > 1 && !all.Within(t.Limit) {
				return fmt.Errorf("the gang of step %d needs %s at once, its tenant may have %s running", n, all, t.Limit)
			}
		}
	}
	return nil
}

// MayAccess reports whether a call with a key of one tenant, "" if it came by a public queue,
// may see and cancel a job of another. A job that came by a public queue is anybody's.
func MayAccess(caller, of string) bool { return of == "" || of == caller }
