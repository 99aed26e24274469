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
	waiting map[string]bool // services in which the tenant's tasks wait for its limit
}

// New returns a ledger without limits.
func New() *Tracker { return &Tracker{tenants: map[string]*tenantUsage{}} }

func (l *Tracker) tenant(tenant string) *tenantUsage {
	a := l.tenants[tenant]
	if a == nil {
		a = &tenantUsage{waiting: map[string]bool{}}
		l.tenants[tenant] = a
	}
	return a
}

// SetLimits applies the limits of a newer configuration. A tenant that is no longer named
// keeps its last limit, since its accepted jobs are still run.
func (l *Tracker) SetLimits(tenants []job.Tenant) {
	for _, t := range tenants {
		l.tenant(t.Name).limit = t.Limit
	}
}

// AddRun adds a run to the tenant's usage. It counts as soon as it is ordered, whether or not
// the order was answered.
func (l *Tracker) AddRun(tenant string, need job.Resources) {
	if tenant == "" {
		return
	}
	a := l.tenant(tenant)
	a.used = a.used.Add(need)
	a.runs++
}

// RemoveRun removes a run whose end is certain from the tenant's usage. It returns the services
// in which tasks of the tenant waited for its limit, and forgets them.
func (l *Tracker) RemoveRun(tenant string, need job.Resources) []string {
	if tenant == "" {
		return nil
	}
	a := l.tenant(tenant)
	a.used = a.used.Sub(need)
	a.runs--
	var wake []string
	for service := range a.waiting {
		wake = append(wake, service)
	}
	clear(a.waiting)
	return wake
}

// HasLimit reports whether the tenant has any limit.
func (l *Tracker) HasLimit(tenant string) bool {
	return tenant != "" && l.tenant(tenant).limit != job.Resources{}
}

// Allows reports whether the tenant may start n tasks at once that need this much each.
// presumed are resources of runs that may exist without being known. A single task larger
// than the limit may start if the tenant has no other run, since it could never start
// otherwise; platforms allow one task beyond the limit.
func (l *Tracker) Allows(tenant string, need job.Resources, n int, presumed job.Resources) bool {
	if !l.HasLimit(tenant) {
		return true
	}
	a := l.tenant(tenant)
	if n == 1 && a.runs == 0 && presumed == (job.Resources{}) {
		return true
	}
	return a.used.Add(presumed).Add(need.Times(n)).Within(a.limit)
}

// AddWaiter records that tasks of the tenant wait in a service for its limit.
func (l *Tracker) AddWaiter(tenant, service string) { l.tenant(tenant).waiting[service] = true }

// Usage returns the resources that the tenant uses, and its limit.
func (l *Tracker) Usage(tenant string) (used, limit job.Resources) {
	a := l.tenant(tenant)
	return a.used, a.limit
}
