package job

import (
	"fmt"

	"github.com/postmount/postmount/jobs/apikey"
)

// Tenant is an organization whose callers submit jobs.
type Tenant struct {
	Name string
	// Weight is the tenant's share in jobs per second. Jobs beyond it yield free capacity to
	// other tenants. 0: the share is not limited.
	Weight float64
	// Limit bounds the resources of its running tasks over all workers; 0: the resource is not
	// limited.
	Limit Resources
}

// SetTenants sets the tenants and their keys: keys[n] are those of tenants[n]. Errors give the
// index of the invalid entry and never contain a key.
func (c *Catalog) SetTenants(tenants []Tenant, keys [][]string) error {
	keyring := apikey.Keyring{}
	names := map[string]bool{}
	for n, t := range tenants {
		switch {
		case t.Name == "" || names[t.Name]:
			return fmt.Errorf("tenants[%d]: name %q is empty or not unique", n, t.Name)
		case t.Weight < 0:
			return fmt.Errorf("tenants[%d]: weight %v is negative", n, t.Weight)
		case t.Limit.CPUMilli < 0 || t.Limit.MemMB < 0 || t.Limit.GPU < 0:
			return fmt.Errorf("tenants[%d]: limit is negative: %s", n, t.Limit)
		}
		names[t.Name] = true
		for k, key := range keys[n] {
			if err := keyring.Add(key, t.Name); err != nil {
				return fmt.Errorf("tenants[%d]: key %d: %w", n, k, err)
			}
		}
	}
	c.Tenants, c.Keys = tenants, keyring
	return nil
}

// CheckTenantLimit returns an error if the job can never run within the limit of its tenant.
// Only gangs are checked, as their tasks need their resources at the same time; a single task
// larger than the limit runs alone.
func (c *Catalog) CheckTenantLimit(j *Job) error {
	for _, t := range c.Tenants {
		if t.Name != j.Tenant {
			continue
		}
		for n, s := range j.Steps {
			if all := s.Need.Times(s.Count); s.Gang && s.Count > 1 && !all.Within(t.Limit) {
				return fmt.Errorf("the gang of step %d needs %s at once, the limit of tenant %q is %s", n, all, t.Name, t.Limit)
			}
		}
	}
	return nil
}

// MayAccess reports whether a caller of one tenant may read and cancel a job of jobTenant. A
// tenant is "" if the call or the job came through a public queue. A job without a tenant is
// accessible to everybody.
func MayAccess(caller, jobTenant string) bool { return jobTenant == "" || jobTenant == caller }
