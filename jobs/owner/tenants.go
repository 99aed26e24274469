package owner

import (
	"time"

	"github.com/postmount/postmount/jobs/job"
)

// What a tenant has running is counted from the order of a start until its run is over for
// certain: answered or not, while it is being stopped, and while its worker is lost. A new
// owner does not know at first what runs; until it does, all that an earlier one may have
// started counts as well.

// setTenants takes the limits and the shares of a newer configuration.
func (c *Core) setTenants(tenants []job.Tenant) {
	c.quotas.SetLimits(tenants)
	c.shares.SetWeights(tenants)
}

// chargeShare finds out whether the job lies within its tenant's share. One that does not takes
// no room that jobs within theirs could use in time.
func (c *Core) chargeShare(j *jobState) {
	if !j.isLongRunning() {
		j.overShare = !c.shares.Take(j.spec.Tenant, j.spec.AcceptedAt)
	}
}

// presumedUsage is what may run of each tenant beside the runs that are known.
type presumedUsage struct {
	byTenant   map[string]job.Resources
	computedAt time.Time // when it was summed up
}

// presumedUsageTTL is how long a sum serves: each goes over all open jobs. What becomes known
// meanwhile counts twice, which is on the safe side.
const presumedUsageTTL = 50 * time.Millisecond

// addRun accounts for a run that was ordered, or that a worker lists.
func (c *Core) addRun(r *run) {
	r.task.addRun(r)
	c.quotas.Add(r.task.step.job.spec.Tenant, r.task.step.spec.Need)
}

// removeRun is its inverse. Work that waited for the tenant's limit may go on.
func (c *Core) removeRun(r *run) {
	if !r.task.removeRun(r) {
		return
	}
	for _, service := range c.quotas.Remove(r.task.step.job.spec.Tenant, r.task.step.spec.Need) {
		c.changedServices[service] = true
	}
}

// quotaAllows reports whether the tenant of a job may start n tasks of a step more.
func (c *Core) quotaAllows(spec *job.Job, s *job.Step, n int, now time.Time) bool {
	if !c.quotas.Limited(spec.Tenant) {
		return true
	}
	return c.quotas.Allows(spec.Tenant, s.Need, n, c.presumedRunning(spec.Tenant, now))
}

// presumedRunning returns what an earlier owner may have started for the tenant and is not known
// yet: of its inherited jobs every task that is not done and has no known run.
func (c *Core) presumedRunning(tenant string, now time.Time) job.Resources {
	if c.knowsAllRuns(now) {
		return job.Resources{}
	}
	if c.presumedUsage.byTenant == nil || now.Sub(c.presumedUsage.computedAt) >= presumedUsageTTL {
		c.presumedUsage = presumedUsage{c.sumInheritedUsage(), now}
	}
	return c.presumedUsage.byTenant[tenant]
}

// knowsAllRuns reports whether all that an earlier owner started is known, for every service.
func (c *Core) knowsAllRuns(now time.Time) bool {
	for _, s := range c.catalog.Services {
		if !s.Spare && !c.earlierRunsKnown(s.Name, now) {
			return false
		}
	}
	return true
}

func (c *Core) sumInheritedUsage() map[string]job.Resources {
	out := map[string]job.Resources{}
	for _, j := range c.openJobs {
		if !j.inherited || !c.quotas.Limited(j.spec.Tenant) {
			continue
		}
		for _, s := range j.steps {
			out[j.spec.Tenant] = out[j.spec.Tenant].Add(s.spec.Need.Times(s.withoutRun))
		}
	}
	return out
}

// withinTenantLimit reports whether n tasks more of the step may start, and takes note if not. What
// its tenant may not run asks for no instances, and pushes nothing aside.
func (p *schedulingPass) withinTenantLimit(s *stepState, n int) bool {
	spec := s.job.spec
	if p.core.quotaAllows(spec, s.spec, n, p.now) {
		return true
	}
	p.core.quotas.Wait(spec.Tenant, p.service)
	s.addWaitTime(CauseTenantLimit, p.now)
	p.core.logTenantLimit(s)
	return false
}

// logTenantLimit says once for each job that a task of it waits for its tenant's limit.
func (c *Core) logTenantLimit(s *stepState) {
	j := s.job
	if j.waitLogged {
		return
	}
	j.waitLogged = true
	used, limit := c.quotas.Used(j.spec.Tenant)
	c.note(Decision{Event: "job-waits", Job: j.spec.ID,
		Reason: "tenant " + j.spec.Tenant + " has " + used.String() + " running, its limit is " + limit.String()})
}
