// Package quota counts what each tenant has running over all workers, and says what it may
// start. It knows no time and does no I/O.
package quota

import "github.com/postmount/postmount/jobs/job"

// Ledger is the account of all tenants. Jobs of public queues have no tenant and no limit.
type Ledger struct {
	tenants map[string]*account
}

// account is that of one tenant.
type account struct {
	limit   job.Resources   // 0: no limit of that resource
	used    job.Resources   // of all runs that are not over for certain
	runs    int             // how many these are
	waiting map[string]bool // services in which work of it waits for its limit
}

// New returns a ledger without limits.
func New() *Ledger { return &Ledger{tenants: map[string]*account{}} }

func (l *Ledger) account(tenant string) *account {
	a := l.tenants[tenant]
	if a == nil {
		a = &account{waiting: map[string]bool{}}
		l.tenants[tenant] = a
	}
	return a
}

// SetLimits takes the limits of a newer configuration. A tenant that it does not name any more
// keeps its last one: what it was accepted for is still run.
func (l *Ledger) SetLimits(tenants []job.Tenant) {
	for _, t := range tenants {
		l.account(t.Name).limit = t.Limit
	}
}

// Add accounts for a run. It counts from its order on, whether that was answered or not.
func (l *Ledger) Add(tenant string, need job.Resources) {
	if tenant == "" {
		return
	}
	a := l.account(tenant)
	a.used = a.used.Add(need)
	a.runs++
}

// Remove accounts for the end of a run, once it is certain. It returns the services in which
// work of the tenant has waited for that.
func (l *Ledger) Remove(tenant string, need job.Resources) []string {
	if tenant == "" {
		return nil
	}
	a := l.account(tenant)
	a.used = a.used.Sub(need)
	a.runs--
	var wake []string
	for service := range a.waiting {
		wake = append(wake, service)
	}
	clear(a.waiting)
	return wake
}

// Limited reports whether the tenant has any limit.
func (l *Ledger) Limited(tenant string) bool {
	return tenant != "" && l.account(tenant).limit != job.Resources{}
}

// Allows reports whether the tenant may start n tasks that need so much each, all at once,
// while perhaps may run without being known. A single task larger than the limit runs when
// nothing else of the tenant does, and would else never run; platforms allow one task beyond
// the limit.
func (l *Ledger) Allows(tenant string, need job.Resources, n int, perhaps job.Resources) bool {
	if !l.Limited(tenant) {
		return true
	}
	a := l.account(tenant)
	if n == 1 && a.runs == 0 && perhaps == (job.Resources{}) {
		return true
	}
	return a.used.Add(perhaps).Add(need.Times(n)).Within(a.limit)
}

// Wait takes note that work of the tenant waits in a service for its limit.
func (l *Ledger) Wait(tenant, service string) { l.account(tenant).waiting[service] = true }

// Used returns what the tenant has running, and its limit.
func (l *Ledger) Used(tenant string) (used, limit job.Resources) {
	a := l.account(tenant)
	return a.used, a.limit
}
