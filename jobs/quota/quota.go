// Package quota counts what each tenant has running over all workers, and says what it may
// start. It knows no time and does no I/O.
package quota

import "github.com/postmount/postmount/jobs/job"

// Ledger is the account of all tenants. Jobs of public queues have no tenant and no limit.
type Ledger struct {
	tenants map[string]*tenantUsage
}

// tenantUsage is that of one tenant.
type tenantUsage struct {
	limit   job.Resources   // 0: no limit of that resource
	used    job.Resources   // of all runs that are not over for certain
	runs    int             // how many these are
	waiting map[string]bool // services in which work of it waits for its limit
}

// New returns a ledger without limits.
func New() *Ledger { return &Ledger{tenants: map[string]*tenantUsage{}} }

func (l *Ledger) tenant(tenant string) *tenantUsage {
	a := l.tenants[tenant]
	if a == nil {
		a = &tenantUsage{waiting: map[string]bool{}}
		l.tenants[tenant] = a
	}
	return a
}

// SetLimits takes the limits of a newer configuration. A tenant that it does not name any more
// keeps its last one: what it was accepted for is still run.
func (l *Ledger) SetLimits(tenants []job.Tenant) {
	for _, t := range tenants {
		l.tenant(t.Name).limit = t.Limit
	}
}

// AddRun accounts for a run. It counts from its order on, whether that was answered or not.
func (l *Ledger) AddRun(tenant string, need job.Resources) {
	if tenant == "" {
		return
	}
	a := l.tenant(tenant)
	a.used = a.used.Add(need)
	a.runs++
}

// RemoveRun accounts for the end of a run, once it is certain. It returns the services in which
// work of the tenant has waited for that.
func (l *Ledger) RemoveRun(tenant string, need job.Resources) []string {
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
func (l *Ledger) HasLimit(tenant string) bool {
	return tenant != "" && l.tenant(tenant).limit != job.Resources{}
}

// Allows reports whether the tenant may start n tasks that need so much each, all at once,
// while perhaps may run without being known. A single task larger than the limit runs when
// nothing else of the tenant does, and would else never run; platforms allow one task beyond
// the limit.
func (l *Ledger) Allows(tenant string, need job.Resources, n int, possible job.Resources) bool {
	if !l.HasLimit(tenant) {
		return true
	}
	a := l.tenant(tenant)
	if n == 1 && a.runs == 0 && possible == (job.Resources{}) {
		return true
	}
	return a.used.Add(possible).Add(need.Times(n)).Within(a.limit)
}

// AddWaiter takes note that work of the tenant waits in a service for its limit.
func (l *Ledger) AddWaiter(tenant, service string) { l.tenant(tenant).waiting[service] = true }

// Usage returns what the tenant has running, and its limit.
func (l *Ledger) Usage(tenant string) (used, limit job.Resources) {
	a := l.tenant(tenant)
	return a.used, a.limit
}
