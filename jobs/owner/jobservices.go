package owner

import (
	"slices"
	"time"
)

// Operators may move a queue to another service while its jobs are open, more than once, and back. Running
// tasks stay where they are, so that where a job's tasks may run does not follow from the queue's current
// service. It is part of the job's record: the service of its acceptance is in the submission, and every other
// one is added to the progress, and stored, before the first start on a worker of that service.

// jobService is a service, other than that of the job's acceptance, on whose workers its tasks may run.
type jobService struct {
	name    string
	version uint64 // of the job's record that first contained it
}

// mayStartInService reports whether the store shows that tasks of the job may run on workers of its current
// service. If it does not, the service is added to the job's record, and the job is scheduled again once that
// is stored.
func (c *Core) mayStartInService(j *jobState) bool {
	if j.service == j.spec.Service {
		return true
	}
	for _, s := range j.otherServices {
		if s.name == j.service {
			return j.storedVersion >= s.version
		}
	}
	c.markDirty(j)
	j.otherServices = append(j.otherServices, jobService{j.service, j.version})
	c.logDecision(Decision{Event: "job-changes-service", Job: j.spec.ID, Reason: "from " + j.spec.Service + " to " + j.service})
	return false
}

// scheduleAfterServiceStored schedules the job's service again after a write of the job's record, for which the
// job may have waited.
func (c *Core) scheduleAfterServiceStored(j *jobState) {
	if j.service != j.spec.Service {
		c.changedServices[j.service] = true
	}
}

// otherServiceNames returns the names of the services in otherServices.
func (j *jobState) otherServiceNames() []string {
	var out []string
	for _, s := range j.otherServices {
		out = append(out, s.name)
	}
	return out
}

// restoreServices restores the services that an earlier owner stored.
func (j *jobState) restoreServices(names []string) {
	for _, name := range names {
		j.otherServices = append(j.otherServices, jobService{name: name})
	}
}

// inheritedRunsKnown reports whether every run of the job that an earlier owner may have started is known: the
// runs of all services on whose workers its tasks may run are.
func (c *Core) inheritedRunsKnown(j *jobState, now time.Time) bool {
	return c.earlierRunsKnown(j.spec.Service, now) && !slices.ContainsFunc(j.otherServices, func(s jobService) bool { return !c.earlierRunsKnown(s.name, now) })
}
