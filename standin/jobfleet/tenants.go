package jobfleet

import (
	"time"

	"github.com/postmount/postmount/jobs/job"
)

// Tolerances of the check on tenants' limits.
const (
	// limitUpdateBound is how long a limit may still apply after a newer configuration was written.
	limitUpdateBound = 3 * time.Second
	// limitTolerance is the factor by which a tenant may exceed its limit, in addition to one task.
	limitTolerance = 1.1
)

// tenantLimit is the limit of a tenant from a time on.
type tenantLimit struct {
	limit job.Resources
	at    time.Time
}

// configured records the limits of tenants and of attempts in a configuration.
func (c *Checker) configured(catalog *job.Catalog) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setMaxAttempts(catalog.Queues)
	for _, t := range catalog.Tenants {
		c.limits[t.Name] = append(c.limits[t.Name], tenantLimit{t.Limit, time.Now()})
	}
}

// checkTenantLimit checks the CPU use of a tenant's running tasks at a start against the highest
// limit that may apply. A limit of 0 means none.
func (c *Checker) checkTenantLimit(t job.TaskID, spec *job.Job) {
	limits := c.limits[spec.Tenant]
	if spec.Tenant == "" || len(limits) == 0 {
		return
	}
	highest := 0
	for n, l := range limits {
		replaced := n+1 < len(limits) && time.Since(limits[n+1].at) > limitUpdateBound
		if l.limit.CPUMilli == 0 {
			return
		}
		if !replaced {
			highest = max(highest, l.limit.CPUMilli)
		}
	}
	used := 0
	for id, r := range c.tasks {
		if of := c.jobs[id.Job]; of != nil && of.spec.Tenant == spec.Tenant {
			used += len(r.running) * of.spec.Steps[id.Step].Need.CPUMilli
		}
	}
	allowed := int(limitTolerance*float64(highest)) + spec.Steps[t.Step].Need.CPUMilli
	if used > allowed {
		c.addViolation("task %s starts: tenant %s uses %d millicores, %d are allowed", t, spec.Tenant, used, allowed)
	}
}

// UnknownKeyAnswered checks the status of the response to a call with an API key that is in no
// configuration.
func (c *Checker) UnknownKeyAnswered(status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if status >= 200 && status < 300 {
		c.addViolation("a call with an unknown API key was answered with status %d", status)
	}
}
