package jobfleet

import (
	"time"

	"github.com/postmount/postmount/jobs/job"
)

// Figures of the promise about tenants' limits.
const (
	// limitUpdateBound is how long after a configuration the one before may still be in force.
	limitUpdateBound = 3 * time.Second
	// limitOverage is by how much a tenant may be over its limit, beside one task.
	limitOverage = 1.1
)

// tenantLimit is a tenant's limit from a configuration on.
type tenantLimit struct {
	limit job.Resources
	at    time.Time
}

// configured takes note of the limits of a configuration.
func (j *Checker) configured(c *job.Catalog) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, t := range c.Tenants {
		j.limits[t.Name] = append(j.limits[t.Name], tenantLimit{t.Limit, time.Now()})
	}
}

// checkTenantLimit checks what the tenant of a task that has just started has running. Of the limits
// that may be in force the highest counts.
func (j *Checker) checkTenantLimit(t job.TaskID, spec *job.Job) {
	limits := j.limits[spec.Tenant]
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
	for id, r := range j.tasks {
		if of := j.jobs[id.Job]; of != nil && of.spec.Tenant == spec.Tenant {
			used += len(r.running) * of.spec.Steps[id.Step].Need.CPUMilli
		}
	}
	most := int(limitOverage*float64(highest)) + spec.Steps[t.Step].Need.CPUMilli
	if used > most {
		j.violation("task %s starts, tenant %s has %d thousandths of a core running, %d are allowed", t, spec.Tenant, used, most)
	}
}

// UnknownKeyAnswered says that a call with a key that no configuration has was answered.
func (j *Checker) UnknownKeyAnswered(status int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if status >= 200 && status < 300 {
		j.violation("a call with a key that nobody has was answered with %d", status)
	}
}
