package owner

import "time"

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

// mayRunIn returns the services on whose workers tasks of the job may run or be started: that of its acceptance, those of
// its record, and the current one.
func (j *jobState) mayRunIn(yield func(service string) bool) {
	if !yield(j.spec.Service) || j.service != j.spec.Service && !yield(j.service) {
		return
	}
	for _, s := range j.otherServices {
		if s.name != j.service && !yield(s.name) {
			return
		}
	}
}

// earlierRuns tells at one time of which services the runs of earlier owners are known. Whether tasks of an inherited job
// may be started depends on all services on whose workers they may run.
type earlierRuns struct {
	core         *Core
	now          time.Time
	knownIn      map[string]bool // results of known
	noneActiveIn map[string]bool // results of noneActive
}

// newEarlierRuns returns what is known now.
func (c *Core) newEarlierRuns(now time.Time) *earlierRuns {
	return &earlierRuns{c, now, map[string]bool{}, map[string]bool{}}
}

// known reports whether every run that an earlier owner may have started in the service is known, and how it ended.
func (e *earlierRuns) known(service string) bool {
	return lookUp(e.knownIn, service, func() bool { return e.core.earlierRunsKnown(service, e.now) })
}

// noneActive reports whether every run that an earlier owner may have started in the service is known or has ended.
func (e *earlierRuns) noneActive(service string) bool {
	return lookUp(e.noneActiveIn, service, func() bool {
		return e.known(service) || e.core.earlierLeasesOfServiceExpired(service, e.now)
	})
}

// lookUp returns the value of the key, which it computes the first time.
func lookUp(values map[string]bool, key string, compute func() bool) bool {
	v, found := values[key]
	if !found {
		v = compute()
		values[key] = v
	}
	return v
}

// allowStartsOf reports whether tasks of an inherited job may be started. How earlier runs ended does not matter for
// tasks that last, as these are never done.
func (e *earlierRuns) allowStartsOf(j *jobState) bool {
	sufficient := e.known
	if j.isLongRunning() {
		sufficient = e.noneActive
	}
	for service := range j.mayRunIn {
		if !sufficient(service) {
			return false
		}
	}
	return true
}
