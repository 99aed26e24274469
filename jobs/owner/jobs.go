package owner

import (
	"slices"
	"time"

	"github.com/postmount/postmount/jobs/job"
)

// loadJob takes over a job from the store.
func (c *Core) loadJob(l Loaded, now time.Time) {
	j := c.addJob(l.Job, now)
	j.inherited = true
	j.loadedFromStore = true
	if l.Progress != nil {
		c.restoreProgress(j, l.Progress, now)
		c.failIfCrashProven(j, now)
	}
	if l.Cancelled {
		c.Cancel(j.spec.ID, now)
	}
}

func (c *Core) restoreProgress(j *jobState, p *job.Progress, now time.Time) {
	j.version, j.storedVersion = 1, 1
	for _, sp := range p.Steps {
		c.createOccurrences(j, sp.Occurrence)
		s := j.step(sp.Occurrence, sp.Step)
		if s == nil {
			continue
		}
		for _, t := range s.tasks {
			t.failures = sp.Failed[t.index]
			for _, run := range t.failures {
				s.failures = s.failures.With(run)
			}
			t.checkpoint = sp.Checkpoint[t.index]
			c.restoreCrashes(t, sp.Crashed[t.index])
			if sp.Done.Has(t.index) {
				c.completeTask(t)
			}
		}
		j.started = true
	}
	if p.State.Final() {
		j.state = p.State
		j.endedAt = now
		j.storedVersion = j.version
		delete(c.openJobs, j.spec.ID)
		delete(c.dirtyJobs, j.spec.ID)
	}
	c.updatePendingCount(j)
}

// replayArrivals lets the pools know of the newest arrivals in the store, so that a new
// owner sizes them by the rate from the first moment on.
func (c *Core) replayArrivals(loaded []Loaded, now time.Time) {
	list := slices.Clone(loaded)
	slices.SortStableFunc(list, func(a, b Loaded) int { return a.Job.AcceptedAt.Compare(b.Job.AcceptedAt) })
	for _, l := range list {
		c.chargeShare(c.jobs[l.Job.ID])
		c.recordArrival(c.jobs[l.Job.ID], l.Job.AcceptedAt, now)
	}
}

// recordArrival takes note of the work of a job that runs once and is accepted to be
// done at once.
func (c *Core) recordArrival(j *jobState, at, now time.Time) {
	if len(j.spec.Steps) == 0 || j.spec.Repeat > 0 || j.spec.Steps[0].LongRunning || at.After(now) {
		return
	}
	if !c.quotaAllows(j.spec, &j.spec.Steps[0], 1, now) {
		return // what its tenant may not run is no demand
	}
	c.pool(j.service).arrivalRate.Add(j.work, at)
}

// submitHandoverWindow is how long after a change of owner jobs may still reach the
// earlier one. It holds each worker twice a second, and ends at the first that
// has seen the new fencing token.
const submitHandoverWindow = time.Second

// Submit adds a job that was accepted.
func (c *Core) Submit(spec *job.Job, now time.Time) {
	if c.jobs[spec.ID] != nil {
		return
	}
	j := c.addJob(spec, now)
	// An earlier owner that does not know yet that it is none may have started it.
	j.inherited = c.opt.Term > 1 && now.Sub(c.startedAt) < submitHandoverWindow
	c.note(Decision{Event: "job-known", Job: spec.ID, Reason: j.service})
	c.chargeShare(j)
	c.recordArrival(j, now, now)
	c.resolveUnknownJob(j, now)
	if _, cancelled := c.earlyCancels[spec.ID]; cancelled {
		delete(c.earlyCancels, spec.ID)
		c.Cancel(spec.ID, now)
	}
}

func (c *Core) addJob(spec *job.Job, now time.Time) *jobState {
	j := &jobState{spec: spec, service: spec.Service, state: job.Queued, knownAt: now}
	c.jobs[spec.ID] = j
	c.openJobs[spec.ID] = j
	c.refreshQueue(j)
	j.criticalPath, j.work = estimateChainAndWork(spec)
	c.updatePendingCount(j)
	c.createDueOccurrences(j, now)
	return j
}

// isLongRunning reports whether the job runs until it is cancelled. Its tasks are never done, so that
// the end of every lease that they can have proves that they run nowhere.
func (j *jobState) isLongRunning() bool {
	for _, s := range j.spec.Steps {
		if !s.LongRunning {
			return false
		}
	}
	return true
}

// refreshQueue takes the newest settings of the job's queue. A queue that is no
// longer configured keeps its last ones.
func (c *Core) refreshQueue(j *jobState) {
	if c.catalog == nil {
		return
	}
	before := j.service
	j.applyQueueSettings(c.catalog)
	if j.service != before {
		j.queuedForPlacement = false // it leaves the queue of the service before
	}
	c.queueForPlacement(j)
}

// applyQueueSettings takes the settings of the job's queue.
func (j *jobState) applyQueueSettings(catalog *job.Catalog) {
	if q := catalog.Queue(j.spec.Queue); q != nil {
		j.queue = *q
		j.service = q.Service
	}
}

// estimateChainAndWork returns the longest chain of steps by the estimates, and the
// core-seconds of one occurrence.
func estimateChainAndWork(spec *job.Job) (chain time.Duration, work float64) {
	ends := make([]time.Duration, len(spec.Steps))
	for i, s := range spec.Steps {
		var from time.Duration
		for _, a := range s.After {
			from = max(from, ends[a])
		}
		ends[i] = from + s.Estimate
		chain = max(chain, ends[i])
		work += float64(s.Count) * float64(s.Need.CPUMilli) / 1000 * s.Estimate.Seconds()
	}
	return chain, work
}

// createDueOccurrences begins the occurrences whose time has come, and looks again when that of the
// next one has.
func (c *Core) createDueOccurrences(j *jobState, now time.Time) {
	for j.nextOccurrence < j.spec.Occurrences() && !j.spec.Due(j.nextOccurrence).After(now) {
		c.createOccurrences(j, j.nextOccurrence)
	}
	if j.nextOccurrence < j.spec.Occurrences() {
		c.occurrencesDue.add(j.spec.Due(j.nextOccurrence), j)
	}
}

// createAllDueOccurrences begins the occurrences of all jobs whose time has come.
func (c *Core) createAllDueOccurrences(now time.Time) {
	for _, j := range c.occurrencesDue.popAllDue(now) {
		if c.openJobs[j.spec.ID] == j && !j.state.Final() {
			c.createDueOccurrences(j, now)
		}
	}
}

// createOccurrences creates the steps of all occurrences up to k.
func (c *Core) createOccurrences(j *jobState, k int) {
	if k >= j.spec.Occurrences() {
		return
	}
	for ; j.nextOccurrence <= k; j.nextOccurrence++ {
		for i := range j.spec.Steps {
			s := &stepState{job: j, spec: &j.spec.Steps[i], occurrence: j.nextOccurrence, index: i}
			s.remaining, s.withoutRun = s.spec.Count, s.spec.Count
			s.openPredecessors = len(s.spec.After)
			for n := range s.spec.Count {
				s.tasks = append(s.tasks, &task{step: s, index: n})
			}
			j.steps = append(j.steps, s)
		}
	}
	j.updateRemaining()
	c.queueForPlacement(j)
}

// completeTask marks a task as done and unblocks what waits for its step.
func (c *Core) completeTask(t *task) {
	if t.done {
		return
	}
	t.done = true
	t.checkpoint = ""
	t.crashes = nil
	s := t.step
	j := s.job
	s.remaining--
	if len(t.runs) == 0 {
		s.withoutRun--
	}
	j.updateRemaining()
	if s.remaining > 0 {
		return
	}
	for i := range j.spec.Steps {
		for _, a := range j.spec.Steps[i].After {
			if a == s.index {
				j.step(s.occurrence, i).openPredecessors--
			}
		}
	}
	c.queueForPlacement(j)
}

// finishIfDone moves a job to completed once all its occurrences are done.
func (c *Core) finishIfDone(j *jobState, now time.Time) {
	if j.state.Final() || j.nextOccurrence < j.spec.Occurrences() {
		return
	}
	for _, s := range j.steps {
		if s.remaining > 0 {
			return
		}
	}
	c.finishJob(j, job.Completed, now)
}

func (c *Core) finishJob(j *jobState, state job.State, now time.Time) {
	j.state = state
	j.endedAt = now
	c.updatePendingCount(j)
	c.markDirty(j)
	c.toWrite.add(j) // among those that ended
	c.note(Decision{Event: "job-" + string(state), Job: j.spec.ID})
	c.noteLateJob(j, now)
	for _, s := range j.steps {
		for _, t := range s.tasks {
			for _, r := range t.runs {
				c.stop(r, "job "+string(state), now)
			}
		}
	}
}

// Cancel ends a job for its caller. The cancellation may be heard of before the
// job itself is.
func (c *Core) Cancel(id job.ID, now time.Time) {
	j := c.jobs[id]
	if j == nil {
		c.earlyCancels[id] = now
		return
	}
	if !j.state.Final() {
		c.finishJob(j, job.Cancelled, now)
	}
}

// earlyCancellationTTL is how long the cancellation of a job that stays unknown is kept.
const earlyCancellationTTL = time.Minute

func (c *Core) expireEarlyCancellations(now time.Time) {
	for id, at := range c.earlyCancels {
		if now.Sub(at) > earlyCancellationTTL {
			delete(c.earlyCancels, id)
		}
	}
}

// State returns what the caller of a job may be told: a final state only once
// it is in the store.
func (c *Core) State(id job.ID) (job.State, bool) {
	j := c.jobs[id]
	if j == nil {
		return "", false
	}
	if j.state == job.Cancelled {
		return job.Cancelled, true // the caller's request is in the store
	}
	if j.state.Final() && j.storedVersion == j.version {
		return j.state, true
	}
	if j.started {
		return job.Running, true
	}
	return job.Queued, true
}

// TenantOf returns whose job it is, "" for one that came by a public queue or is not known.
func (c *Core) TenantOf(id job.ID) string {
	if j := c.jobs[id]; j != nil {
		return j.spec.Tenant
	}
	return ""
}

// PendingJobs counts the jobs of a queue of which no task is known to have started.
func (c *Core) PendingJobs(queue string) int { return c.pendingPerQueue[queue] }

// updatePendingCount counts the job among the pending ones, or no longer, after a change of its state.
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

// Configure takes a newer configuration.
func (c *Core) Configure(catalog *job.Catalog) {
	c.catalog = catalog
	c.setTenants(catalog.Tenants)
	for _, j := range c.openJobs {
		c.refreshQueue(j)
	}
	c.registerNewlyConfigured()
}
