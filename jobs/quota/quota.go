// Package quota tracks the resources that each tenant uses on all workers and decides what it
// may start. It does no I/O and reads no clock.
package quota

import "github.com/postmount/postmount/jobs/job"

// Tracker holds the usage and the limits of all tenants. Jobs of public queues have the tenant
// "" and no limit.
type Tracker struct {
	tenants map[string]*tenantUsage
}

// tenantUsage is the usage and the limit of one tenant.
type tenantUsage struct {
	limit   job.Resources   // 0: no limit for that resource
	used    job.Resources   // by all runs that haven't ended for certain
	runs    int             // number of these runs
	waiting map[string]bool // services in which the tenant's tasks wait because of its limit
}

// New returns a tracker without limits.
func New() *Tracker { return &Tracker{tenants: map[string]*tenantUsage{}} }

// usageOf returns the usage of a tenant, which it creates if it is missing.
func (t *Tracker) usageOf(tenant string) *tenantUsage {
	u := t.tenants[tenant]
	if u == nil {
		u = &tenantUsage{waiting: map[string]bool{}}
		t.tenants[tenant] = u
	}
	return u
}

// SetLimits applies the limits of a newer configuration. A tenant that is no longer named
// keeps its last limit, since its accepted jobs are still run.
func (t *Tracker) SetLimits(tenants []job.Tenant) {
	for _, tenant := range tenants {
		t.usageOf(tenant.Name).limit = tenant.Limit
	}
}

// AddRun adds a run to the tenant's usage. It is called when the run is ordered, as the run may
// exist even if the order is never answered.
func (t *Tracker) AddRun(tenant string, need job.Resources) {
	if tenant == "" {
		return
	}
	u := t.usageOf(tenant)
	u.used = u.used.Add(need)
	u.runs++
}

// RemoveRun removes a run that has certainly ended from the tenant's usage. It returns the
// services recorded by AddWaiter since the last call, whose tasks may be able to start now.
func (t *Tracker) RemoveRun(tenant string, need job.Resources) []string {
	if tenant == "" {
		return nil
	}
	u := t.usageOf(tenant)
	u.used = u.used.Sub(need)
	u.runs--
	var services []string
	for service := range u.waiting {
		services = append(services, service)
	}
	clear(u.waiting)
	return services
}

// HasLimit reports whether the tenant has any limit.
func (t *Tracker) HasLimit(tenant string) bool {
	return tenant != "" && t.usageOf(tenant).limit != job.Resources{}
}

// Allows reports whether the tenant may start n tasks at the same time, each of which needs the
// given resources. presumed are the resources of runs that may exist but are not known. A single
// task larger than the limit may start if the tenant has no other run, since it could never start
// otherwise; platforms allow one task beyond the limit.
func (t *Tracker) Allows(tenant string, need job.Resources, n int, presumed job.Resources) bool {
	if !t.HasLimit(tenant) {
		return true
	}
	u := t.usageOf(tenant)
	if n == 1 && u.runs == 0 && presumed == (job.Resources{}) {
		return true
	}
	return u.used.Add(presumed).Add(need.Times(n)).Within(u.limit)
}

// AddWaiter records that tasks of the tenant in a service wait because of its limit.
func (t *Tracker) AddWaiter(tenant, service string) { t.usageOf(tenant).waiting[service] = true }

// Usage returns the resources that the tenant uses, and its limit.
func (t *Tracker) Usage(tenant string) (used, limit job.Resources) {
	u := t.usageOf(tenant)
	return u.used, u.limit
}
