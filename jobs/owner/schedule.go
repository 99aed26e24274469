package owner

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// priorityBand is the first sort key of waiting jobs; lower bands are placed first.
type priorityBand int

const (
	bandLongRunning priorityBand = iota // serves users continuously
	bandOnTime                          // can still meet its objective
	bandOverShare                       // can still meet its objective, but exceeds its tenant's share
	bandLate                            // can no longer meet its objective
)

// queueEntry is a job with tasks to place, and its sort keys.
type queueEntry struct {
	job           *jobState
	band          priorityBand
	priority      int
	remainingWork float64       // core-seconds left, by the estimates
	slack         time.Duration // time to spare before the job misses its objective, by the estimates; negative: it will miss it
	acceptedAt    time.Time
}

// queueEntryOf computes the sort keys of a job and sets its band.
func (c *Core) queueEntryOf(j *jobState, now time.Time) queueEntry {
	e := queueEntry{job: j, band: bandOnTime, priority: j.queue.Priority, remainingWork: j.workLeft, acceptedAt: j.spec.AcceptedAt}
	e.slack = j.deadline().Sub(now.Add(j.criticalPathLeft))
	switch {
	case j.spec.Steps[0].LongRunning:
		e.band = bandLongRunning
	case e.slack < 0:
		e.band = bandLate
	case j.overShare:
		e.band = bandOverShare
	}
	j.band = e.band
	return e
}

// SchedulingPolicy is the order in which waiting jobs are placed.
type SchedulingPolicy string

// Scheduling policies. SchedulePriority is for production; the others are baselines to compare
// it with in measurements. Every policy places long-running jobs first.
const (
	SchedulePriority      SchedulingPolicy = "worth"              // on-time before late, then by priority, then least remaining work
	ScheduleFIFO          SchedulingPolicy = "first-in-first-out" // by acceptance time
	ScheduleShortestFirst SchedulingPolicy = "shortest"           // least remaining work
	ScheduleLeastSlack    SchedulingPolicy = "slack"              // on-time before late, then by priority, then least slack
)

// compare returns a negative number if a is placed before b.
func (a queueEntry) compare(b queueEntry, policy SchedulingPolicy) int {
	if (a.band == bandLongRunning) != (b.band == bandLongRunning) {
		return trueFirst(a.band == bandLongRunning)
	}
	if policy != ScheduleFIFO && policy != ScheduleShortestFirst {
		if order := cmp.Or(cmp.Compare(a.band, b.band), cmp.Compare(a.priority, b.priority)); order != 0 {
			return order
		}
	}
	order := 0
	switch policy {
	case ScheduleFIFO:
		order = a.acceptedAt.Compare(b.acceptedAt)
	case ScheduleLeastSlack:
		order = cmp.Or(cmp.Compare(a.slack, b.slack), cmp.Compare(a.remainingWork, b.remainingWork))
	default:
		order = cmp.Compare(a.remainingWork, b.remainingWork)
	}
	return cmp.Or(order, cmp.Compare(a.job.spec.ID, b.job.spec.ID))
}

// Minimum time between two scheduling passes of a service with waiting tasks. One pass places
// tasks on the capacity of all runs that ended since the pass before.
const (
	// minScheduleInterval is the base interval: a hundredth of a small task's duration.
	minScheduleInterval = 5 * time.Millisecond
	// scheduleIntervalPerJob is added for each waiting job: thirty times the cost of examining
	// one, so that a long queue takes only a small part of the CPU time.
	scheduleIntervalPerJob = 60 * time.Microsecond
)

// schedule runs a pass for each service in changedServices that is due.
func (c *Core) schedule(now time.Time) {
	if c.fenced || len(c.changedServices) == 0 || c.areRegistrationsStale(now) {
		return
	}
	c.updateIndexes(now)
	c.startWindow.expire(now)
	var due []*schedulingPass
	for _, service := range slices.Sorted(maps.Keys(c.changedServices)) { // sorted, so that test runs are reproducible
		pool := c.pool(service)
		if pool.recentlyScheduled(now) || c.startWindow.deferred[service] && !c.startWindow.hasHeadroom() {
			continue
		}
		delete(c.changedServices, service)
		delete(c.startWindow.deferred, service)
		due = append(due, c.newSchedulingPass(service, pool, now))
	}
	for _, p := range due {
		p.placeLongRunning()
	}
	for _, p := range due {
		p.placeRemaining()
	}
}

// recentlyScheduled reports whether the last pass left tasks waiting and the minimum
// interval since then has not passed.
func (p *poolState) recentlyScheduled(now time.Time) bool {
	return p.waitingCores > 0 && now.Sub(p.lastPassAt) < minScheduleInterval+time.Duration(p.waitingJobs)*scheduleIntervalPerJob
}

// newSchedulingPass returns a pass over the service's waiting jobs, sorted by the policy.
func (c *Core) newSchedulingPass(service string, pool *poolState, now time.Time) *schedulingPass {
	entries := c.queueEntries(service, pool, now)
	pool.waitingCores, pool.lateWaitingCores = 0, 0
	pool.lastPassAt = now
	pool.waitingJobs = len(entries)
	slices.SortFunc(entries, func(a, b queueEntry) int { return a.compare(b, c.opt.SchedulingPolicy) })
	return &schedulingPass{core: c, service: service, pool: pool, now: now, entries: entries}
}

// queueForPlacement marks the job's service as changed and adds the job to its queue
// unless it is there already.
func (c *Core) queueForPlacement(j *jobState) {
	c.changedServices[j.service] = true
	if !j.queuedForPlacement {
		j.queuedForPlacement = true
		p := c.pool(j.service)
		p.placementQueue = append(p.placementQueue, j)
	}
}

// queueEntries returns the service's jobs with tasks to place, and removes jobs without any from
// the placement queue. Inherited jobs are skipped until it is known which runs an earlier owner
// started. They are skipped before any other check: examining many inherited jobs again for
// each worker that answers would keep a new owner's CPU busy for longer than leases last.
func (c *Core) queueEntries(service string, pool *poolState, now time.Time) []queueEntry {
	earlier := c.newEarlierRuns(now)
	takenOver := earlier.known(service)
	kept := pool.placementQueue[:0]
	entries := pool.entries[:0]
	for _, j := range pool.placementQueue {
		if !j.inherited || (takenOver || j.isLongRunning()) && earlier.allowStartsOf(j) {
			if j.overdue > 0 && !j.state.Final() {
				c.createDueOccurrences(j, now)
			}
			if j.state.Final() || j.service != service || !mayNeedPlacement(j) && j.overdue == 0 {
				j.clearQueued(service)
				continue
			}
			c.counts.JobsConsidered++
			if jobNeedsPlacement(j, now) && c.mayStartInService(j) {
				entries = append(entries, c.queueEntryOf(j, now))
			}
		}
		kept = append(kept, j)
	}
	clear(pool.placementQueue[len(kept):])
	pool.placementQueue, pool.entries = kept, entries
	return entries
}

// clearQueued marks the job as not queued, unless it has moved to another service's queue.
func (j *jobState) clearQueued(service string) {
	if j.service == service {
		j.queuedForPlacement = false
	}
}

// mayNeedPlacement reports whether the job has a task to place now, or may need a
// speculative copy later.
func mayNeedPlacement(j *jobState) bool {
	for _, s := range j.steps {
		if s.ready() && (s.withoutRun > 0 || s.spec.Speculative) {
			return true
		}
	}
	return false
}

// jobNeedsPlacement reports whether the job has a task or a speculative copy to place now.
func jobNeedsPlacement(j *jobState, now time.Time) bool {
	for _, s := range j.steps {
		if !s.ready() {
			continue
		}
		if s.withoutRun > 0 {
			return true
		}
		if s.spec.Speculative && slices.ContainsFunc(s.tasks, func(t *task) bool { return t.copyNeed(now) != noCopy }) {
			return true
		}
	}
	return false
}

// needsPlacement reports whether the task has no run, is past its backoff and its wait for an outstanding
// start, and has not been given up.
func (t *task) needsPlacement(now time.Time) bool {
	return !t.done && len(t.runs) == 0 && !now.Before(t.notBefore) && !t.awaitsOutstandingStart(now) && !t.isGivenUp()
}

// startRun adds a run of the task and orders the worker to start it.
func (c *Core) startRun(t *task, w *worker, number uint64, now time.Time) {
	r := &run{task: t, number: number, worker: w, phase: starting, checkpoint: t.checkpoint, throttlePercent: 100, firstSentAt: now, sentDuringHold: w.holdInFlight}
	c.addRun(r)
	c.beginIsolation(r, now)
	c.markWorkerChanged(w)
	c.pool(t.step.job.service).recordStartedPriority(t.step.job)
	c.counts.Starts++
	c.sendStart(r, now)
}

// Tick does all time-driven work that is due: it expires leases, sends holds, repeats orders,
// creates occurrences of repeating jobs, advances waves, resizes pools and places tasks.
func (c *Core) Tick(now time.Time) {
	c.detectOverload(now)
	c.observeWorkerTime(now)
	c.expireLeases(now)
	c.attributeLosses(now)
	c.refreshCorrelations()
	c.giveUpTrialWaiters(now)
	c.expireUnknownJobs(now)
	c.expireEarlyCancellations(now)
	c.resendStops(now)
	c.stopStalledRuns(now)
	c.sendDueHolds(now)
	c.settleDue(now)
	c.createAllDueOccurrences(now)
	c.dropRetainedSpecs(now)
	c.throttleFillers(now)
	c.advanceWaves(now)
	c.resizePools(now)
	c.markWaitingServices()
	c.schedule(now)
	c.updateAdmission(now)
}

// markWaitingServices marks every service with queued jobs as changed, as backoffs and other
// waits of their tasks may have ended.
func (c *Core) markWaitingServices() {
	for service, p := range c.pools {
		if len(p.placementQueue) > 0 {
			c.changedServices[service] = true
		}
	}
}

// React is called after each event. It sends the holds that are due and places the tasks that
// have become placeable, without waiting for the next Tick.
func (c *Core) React(now time.Time) {
	c.sendDueHolds(now)
	c.schedule(now)
}
