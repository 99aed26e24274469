package owner

import (
	"time"

	"github.com/postmount/postmount/jobs/job"
)

// A run counts toward its tenant's usage from the order of its start until it has certainly ended.
// This includes the time while the start is unanswered, while the run is being stopped and
// while contact to its worker is lost. Until a new owner knows all runs, everything that an
// earlier owner may have started counts as well.

// setTenants applies the limits and weights of a new configuration.
func (c *Core) setTenants(tenants []job.Tenant) {
	c.tenantUsage.SetLimits(tenants)
	c.shares.SetWeights(tenants)
}

// chargeShare charges the job to its tenant's share and records whether it exceeds the share.
// Jobs over their share get no capacity that jobs within theirs need to be on time.
func (c *Core) chargeShare(j *jobState) {
	if !j.isLongRunning() {
		j.overShare = !c.shares.Take(j.spec.Tenant, j.spec.AcceptedAt)
	}
}

// presumedUsage is what each tenant may have running in addition to the known runs.
type presumedUsage struct {
	byTenant   map[string]job.Resources
	computedAt time.Time
}

// presumedUsageTTL is how long a computed presumedUsage is used, since computing it visits all
// open jobs. Runs that become known in this time count twice, so that a tenant may get less
// than its limit, but not more.
const presumedUsageTTL = 50 * time.Millisecond

// addRun adds a run that was ordered, or that a worker lists, to its task, worker and tenant.
func (c *Core) addRun(r *run) {
	r.task.addRun(r)
	c.tenantUsage.AddRun(r.task.step.job.spec.Tenant, r.task.step.spec.Need)
}

// removeRun undoes addRun. Services that waited for the tenant's limit are scheduled again.
func (c *Core) removeRun(r *run) {
	if !r.task.removeRun(r) {
		return
	}
	for _, service := range c.tenantUsage.RemoveRun(r.task.step.job.spec.Tenant, r.task.step.spec.Need) {
		c.changedServices[service] = true
	}
}

// tenantLimitAllows reports whether the job's tenant may start n more tasks of the step.
func (c *Core) tenantLimitAllows(spec *job.Job, s *job.Step, n int, now time.Time) bool {
	if !c.tenantUsage.HasLimit(spec.Tenant) {
		return true
	}
	return c.tenantUsage.Allows(spec.Tenant, s.Need, n, c.presumedRunning(spec.Tenant, now))
}

// presumedRunning returns what an earlier owner may have started for the tenant: all tasks of
// its inherited jobs that are not done and have no known run.
func (c *Core) presumedRunning(tenant string, now time.Time) job.Resources {
	if c.knowsAllRuns(now) {
		return job.Resources{}
	}
	if c.presumedUsage.byTenant == nil || now.Sub(c.presumedUsage.computedAt) >= presumedUsageTTL {
		c.presumedUsage = presumedUsage{c.sumInheritedUsage(), now}
	}
	return c.presumedUsage.byTenant[tenant]
}

// knowsAllRuns reports whether everything that an earlier owner started is known.
func (c *Core) knowsAllRuns(now time.Time) bool {
	for _, s := range c.catalog.Services {
		if !s.Spare && !c.earlierRunsKnown(s.Name, now) {
			return false
		}
	}
	return true
}

// sumInheritedUsage computes presumedUsage for the tenants with a limit.
func (c *Core) sumInheritedUsage() map[string]job.Resources {
	out := map[string]job.Resources{}
	for _, j := range c.openJobs {
		if !j.inherited || !c.tenantUsage.HasLimit(j.spec.Tenant) {
			continue
		}
		out[j.spec.Tenant] = out[j.spec.Tenant].Add(j.mayRunUnknown())
	}
	return out
}

// mayRunUnknown returns the resources of the job's tasks that an earlier owner may have started and that are not known
// to run. No steps are kept of a job that was cancelled before it was loaded.
func (j *jobState) mayRunUnknown() job.Resources {
	var sum job.Resources
	if j.state.Final() && len(j.steps) == 0 {
		for i := range j.spec.Steps {
			sum = sum.Add(j.spec.Steps[i].Need.Times(j.spec.Steps[i].Count))
		}
		return sum
	}
	for _, s := range j.steps {
		sum = sum.Add(s.spec.Need.Times(s.withoutRun))
	}
	return sum
}

// withinTenantLimit reports whether n more tasks of the step may start under the tenant's limit.
// If not, their waiting time is recorded, but they do not count as demand and preempt nothing.
func (p *schedulingPass) withinTenantLimit(s *stepState, n int) bool {
	spec := s.job.spec
	if p.core.tenantLimitAllows(spec, s.spec, n, p.now) {
		return true
	}
	p.core.tenantUsage.AddWaiter(spec.Tenant, p.service)
	s.addWaitTime(CauseTenantLimit, p.now)
	p.core.logTenantLimit(s)
	return false
}

// logTenantLimit logs once per job that one of its tasks waits for its tenant's limit.
func (c *Core) logTenantLimit(s *stepState) {
	j := s.job
	if j.waitLogged {
		return
	}
	j.waitLogged = true
	used, limit := c.tenantUsage.Usage(j.spec.Tenant)
	c.logDecision(Decision{Event: "job-waits", Job: j.spec.ID,
		Reason: "tenant " + j.spec.Tenant + " has " + used.String() + " running, its limit is " + limit.String()})
}
