package owner

import (
	"slices"
	"time"

	"github.com/postmount/postmount/jobs/job"
)

// loadJob adds a job that was in the store when this term began. No steps are created for a job that has ended or
// was cancelled: the store keeps ended jobs for long, and each may have thousands of tasks.
func (c *Core) loadJob(l StoredJob, now time.Time) {
	j := newJobState(l.Job, now)
	j.inherited = true
	j.loadedFromStore = true
	if l.Progress != nil {
		j.version, j.storedVersion = 1, 1
		j.restoreServices(l.Progress.OtherServices)
	}
	if l.Progress != nil && l.Progress.State.Final() {
		c.loadEndedJob(j, l.Progress, now)
		return
	}
	c.addOpenJob(j)
	if l.Cancelled {
		c.Cancel(j.spec.ID, now)
		return
	}
	if l.Progress != nil {
		c.restoreProgress(j, l.Progress)
		c.failIfCrashesConclusive(j, now)
	}
	if !j.state.Final() {
		c.createDueOccurrences(j, now)
	}
}

// loadEndedJob adds a job whose end is stored as p. It is kept for its callers, and for runs that workers still have.
func (c *Core) loadEndedJob(j *jobState, p *job.Progress, now time.Time) {
	c.jobs[j.spec.ID] = j
	if c.catalog != nil {
		j.applyQueueSettings(c.catalog)
	}
	j.state = p.State
	j.endedAt = p.EndedAt
	if p.EndedAt.IsZero() || p.EndedAt.After(now) { // it is not known, or the owners' clocks differ
		j.endedAt = now
	}
	c.restoreCause(j, p.Cause)
	c.dropSteps(j)
	c.scheduleRemoval(j)
}

// retainSpec keeps the specifications of an ended job's steps until no run of an earlier owner is left.
func (c *Core) retainSpec(j *jobState) {
	if !j.specRetained {
		j.specRetained = true
		c.retainedSpecs = append(c.retainedSpecs, j)
	}
}

// dropRetainedSpecs frees what retainSpec has kept once the leases of all runs of earlier owners have expired,
// or were renewed by this one, which knows the runs.
func (c *Core) dropRetainedSpecs(now time.Time) {
	if c.earlierRunsGone || !c.earlierLeasesExpired(now) {
		return
	}
	c.earlierRunsGone = true
	for _, j := range c.retainedSpecs {
		c.dropSteps(j)
	}
	c.retainedSpecs = nil
}

// restoreProgress applies the stored progress p to an open job.
func (c *Core) restoreProgress(j *jobState, p *job.Progress) {
	j.doneOccurrences = slices.Clone(p.DoneOccurrences)
	j.advanceNextOccurrence()
	j.started = len(p.DoneOccurrences) > 0
	for _, sp := range p.OpenSteps() {
		c.openOccurrence(j, sp.Occurrence)
		s := j.step(sp.Occurrence, sp.Step)
		if s == nil {
			continue
		}
		s.restoreTasks(&sp)
		for _, t := range s.tasks {
			t.failures = sp.Failed[t.index]
			for _, run := range t.failures {
				s.failures = s.failures.With(run)
			}
			t.checkpoint = sp.Checkpoint[t.index]
			c.restoreCrashes(t, sp.Crashed[t.index])
			c.restoreAcceptedStarts(t, sp.Accepted[t.index])
			if sp.Done.Has(t.index) {
				c.markTaskDone(t)
			}
		}
		j.started = true
	}
	j.updateRemaining()
	c.updatePendingCount(j)
}

// replayArrivals adds the stored jobs, in the order of their acceptance, to the arrival rates of
// the pools and the usage of tenants' shares, so that a new owner knows these from the start.
func (c *Core) replayArrivals(loaded []StoredJob, now time.Time) {
	list := slices.Clone(loaded)
	slices.SortStableFunc(list, func(a, b StoredJob) int { return a.Job.AcceptedAt.Compare(b.Job.AcceptedAt) })
	for _, l := range list {
		c.chargeShare(c.jobs[l.Job.ID])
		c.recordArrival(c.jobs[l.Job.ID], l.Job.AcceptedAt, now)
	}
}

// recordArrival adds the work of a job to the arrival rate of its pool, unless the job repeats,
// is long-running, arrives in the future or is over its tenant's limit.
func (c *Core) recordArrival(j *jobState, at, now time.Time) {
	if len(j.spec.Steps) == 0 || j.spec.Repeat > 0 || j.spec.Steps[0].LongRunning || at.After(now) {
		return
	}
	if !c.tenantLimitAllows(j.spec, &j.spec.Steps[0], 1, now) {
		return // the tenant may not run it, so it does not count as demand
	}
	c.pool(j.service).arrivalRate.Add(j.work, at)
}

// submitHandoverWindow is how long after a change of owner new jobs may still reach the previous
// owner and be started by it. That owner sends each worker two holds a second and stops at the
// first answer from a worker that has seen the new fencing token.
const submitHandoverWindow = time.Second

// Submit adds an accepted job, unless it is known or withheld.
func (c *Core) Submit(spec *job.Job, now time.Time) {
	if c.jobs[spec.ID] != nil {
		return
	}
	if c.withheldJobs[spec.ID] {
		c.logDecision(Decision{Event: "job-withheld", Job: spec.ID, Reason: "its records cannot be read, and some of its tasks may be done"})
		return
	}
	j := newJobState(spec, now)
	c.addOpenJob(j)
	c.createDueOccurrences(j, now)
	// The previous owner may not know yet that it was replaced, and may have started the job.
	j.inherited = c.opt.Term > 1 && now.Sub(c.startedAt) < max(submitHandoverWindow, c.opt.PriorLeaseLeft)
	c.logDecision(Decision{Event: "job-known", Job: spec.ID, Reason: j.service})
	c.chargeShare(j)
	if !c.settleRefusal(j) {
		c.recordArrival(j, now, now)
	}
	c.resolveUnknownJob(j, now)
	if _, cancelled := c.earlyCancels[spec.ID]; cancelled {
		delete(c.earlyCancels, spec.ID)
		c.Cancel(spec.ID, now)
	}
}

// newJobState returns the state of a job that became known at now, with the queue's settings of its acceptance.
func newJobState(spec *job.Job, now time.Time) *jobState {
	j := &jobState{spec: spec, queue: spec.QueueWhenAccepted(), service: spec.Service, state: job.Queued, knownAt: now}
	j.criticalPath, j.work = estimateCriticalPathAndWork(spec)
	return j
}

// addOpenJob adds a job without its occurrences.
func (c *Core) addOpenJob(j *jobState) {
	c.jobs[j.spec.ID] = j
	c.openJobs[j.spec.ID] = j
	c.countOpen(j)
	c.refreshQueue(j)
	c.updatePendingCount(j)
}

// isLongRunning reports whether the job runs until it is cancelled. Its tasks are never done, so
// once all leases under which they may run have expired, it is certain that they do not run.
func (j *jobState) isLongRunning() bool {
	for _, s := range j.spec.Steps {
		if !s.LongRunning {
			return false
		}
	}
	return true
}

// refreshQueue applies the current settings of the job's queue. If the queue is no longer
// configured, the job keeps the last settings that this owner knew, or else those of its acceptance.
func (c *Core) refreshQueue(j *jobState) {
	if c.catalog == nil {
		return
	}
	before := j.service
	j.applyQueueSettings(c.catalog)
	if j.service != before {
		j.queuedForPlacement = false // no longer in the placement queue of the previous service
	}
	c.queueForPlacement(j)
}

// applyQueueSettings copies the settings of the job's queue from the catalog.
func (j *jobState) applyQueueSettings(catalog *job.Catalog) {
	if q := catalog.Queue(j.spec.Queue); q != nil {
		j.queue = *q
		j.service = q.Service
	}
}

// estimateCriticalPathAndWork returns the estimated duration of the longest chain of
// dependent steps, and the estimated core-seconds of one occurrence.
func estimateCriticalPathAndWork(spec *job.Job) (criticalPath time.Duration, work float64) {
	ends := make([]time.Duration, len(spec.Steps))
	for i, s := range spec.Steps {
		var from time.Duration
		for _, a := range s.After {
			from = max(from, ends[a])
		}
		ends[i] = from + s.Estimate
		criticalPath = max(criticalPath, ends[i])
		work += float64(s.Count) * float64(s.Need.CPUMilli) / 1000 * s.Estimate.Seconds()
	}
	return criticalPath, work
}

// completeTask marks a task as done and updates the work that is left.
func (c *Core) completeTask(t *task) {
	if !t.done {
		c.markTaskDone(t)
		t.step.job.updateRemaining()
	}
}

// markTaskDone marks a task as done that is not. If it was the last one of its step, the steps that
// depend on it are unblocked.
func (c *Core) markTaskDone(t *task) {
	t.done = true
	t.checkpoint = ""
	t.crashes, t.crashDetails = nil, nil
	s := t.step
	j := s.job
	s.remaining--
	if len(t.runs) == 0 {
		s.withoutRun--
	}
	if s.remaining > 0 {
		return
	}
	for i := range j.spec.Steps {
		for _, a := range j.spec.Steps[i].After {
			if a == s.index {
				j.step(s.occurrence, i).openDependencies--
			}
		}
	}
	c.queueForPlacement(j)
	c.closeIfDone(j, s.occurrence)
}

// finishIfDone completes a job once all its occurrences are done.
func (c *Core) finishIfDone(j *jobState, now time.Time) {
	if j.state.Final() || j.nextOccurrence < j.spec.Occurrences() {
		return
	}
	for _, s := range j.steps {
		if s.remaining > 0 {
			return
		}
	}
	c.finishJob(j, job.Completed, failureCause{}, now)
}

// finishJob moves a job to a final state and stops its remaining runs. cause is why it failed.
func (c *Core) finishJob(j *jobState, state job.State, cause failureCause, now time.Time) {
	reason := cause.String()
	j.state = state
	j.endedAt = now
	j.cause = job.BoundCause(reason)
	cause.count(&c.counts)
	c.updatePendingCount(j)
	c.markDirty(j)
	c.toWrite.add(j) // moves it to the class of ended jobs, which are written before open ones
	c.logDecision(Decision{Event: "job-" + string(state), Job: j.spec.ID, Reason: reason})
	c.logIfLate(j, now)
	for _, s := range j.steps {
		for _, t := range s.tasks {
			for _, r := range t.runs {
				c.stop(r, "job "+string(state), now)
			}
		}
	}
}

// Cancel cancels a job. The cancellation of a job that is not known yet is kept for
// earlyCancellationTTL.
func (c *Core) Cancel(id job.ID, now time.Time) {
	j := c.jobs[id]
	if j == nil {
		c.earlyCancels[id] = now
		return
	}
	if !j.state.Final() {
		c.finishJob(j, job.Cancelled, failureCause{}, now)
	}
}

// earlyCancellationTTL is how long the cancellation of an unknown job is kept.
const earlyCancellationTTL = time.Minute

func (c *Core) expireEarlyCancellations(now time.Time) {
	for id, at := range c.earlyCancels {
		if now.Sub(at) > earlyCancellationTTL {
			delete(c.earlyCancels, id)
		}
	}
}

// State returns the state of a job as shown to its caller. A final state is shown only
// once it is in the store. The result is false for an unknown job.
func (c *Core) State(id job.ID) (job.State, bool) {
	j := c.jobs[id]
	if j == nil {
		return "", false
	}
	if j.state == job.Cancelled {
		return job.Cancelled, true // the cancellation itself is in the store
	}
	if j.state.Final() && j.storedVersion == j.version {
		return j.state, true
	}
	if j.started {
		return job.Running, true
	}
	return job.Queued, true
}

// TenantOf returns the tenant of a job, "" if it came through a public queue or is not known.
func (c *Core) TenantOf(id job.ID) string {
	if j := c.jobs[id]; j != nil {
		return j.spec.Tenant
	}
	return ""
}

// PendingJobs returns the number of jobs of a queue without a task known to have started.
func (c *Core) PendingJobs(queue string) int { return c.pendingPerQueue[queue] }

// updatePendingCount updates the number of pending jobs of the job's queue after a change
// of the job's state.
func (c *Core) updatePendingCount(j *jobState) {
	pending := !j.started && !j.state.Final()
	switch {
	case pending && !j.countedPending:
		c.pendingPerQueue[j.spec.Queue]++
	case !pending && j.countedPending:
		c.pendingPerQueue[j.spec.Queue]--
	}
	j.countedPending = pending
}

// Configure applies a newer catalog.
func (c *Core) Configure(catalog *job.Catalog) {
	c.catalog = catalog
	c.setTenants(catalog.Tenants)
	for _, j := range c.openJobs {
		c.refreshQueue(j)
	}
	c.registerNewlyConfigured()
}
