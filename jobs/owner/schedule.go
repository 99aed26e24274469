package owner

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// priorityBand orders jobs before all else.
type priorityBand int

const (
	bandLongRunning priorityBand = iota // long-running: they serve users all the time
	bandOnTime                          // can still meet their objective
	bandOverShare                       // likewise, and beyond their tenant's share
	bandLate
)

// queueEntry is a job with tasks to place, and its place in the order.
type queueEntry struct {
	job           *jobState
	band          priorityBand
	priority      int
	remainingWork float64       // core-seconds that are left
	slack         time.Duration // until it would be late if all went by the estimates
	acceptedAt    time.Time
}

func (c *Core) queueEntryOf(j *jobState, now time.Time) queueEntry {
	cl := queueEntry{job: j, band: bandOnTime, priority: j.queue.Priority, remainingWork: j.workLeft, acceptedAt: j.spec.AcceptedAt}
	cl.slack = j.deadline().Sub(now.Add(j.criticalPathLeft))
	switch {
	case j.spec.Steps[0].LongRunning:
		cl.band = bandLongRunning
	case cl.slack < 0:
		cl.band = bandLate
	case j.overShare:
		cl.band = bandOverShare
	}
	j.band = cl.band
	return cl
}

// SchedulingPolicy says which of the waiting jobs gets room first.
type SchedulingPolicy string

// The policies. All but SchedulePriority are baselines that measurements compare
// with. Long-running jobs come first in each.
const (
	SchedulePriority      SchedulingPolicy = "worth"              // in time before late, then priority, then least work
	ScheduleFIFO          SchedulingPolicy = "first-in-first-out" // by when they were accepted
	ScheduleShortestFirst SchedulingPolicy = "shortest"           // least remaining work
	ScheduleLeastSlack    SchedulingPolicy = "slack"              // in time before late, then least time to spare
)

// compare orders claims; a comes first if it is negative.
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

// Pauses between two placements of a service in which tasks wait for room: ends
// that come meanwhile share one.
const (
	// minScheduleInterval is the least of them, a hundredth of what a small task takes.
	minScheduleInterval = 5 * time.Millisecond
	// scheduleIntervalPerJob is added for each job that waits: thirty times what looking at one takes, so
	// that a long queue leaves the processor to all else.
	scheduleIntervalPerJob = 60 * time.Microsecond
)

// schedule places waiting tasks of the services in which something changed.
func (c *Core) schedule(now time.Time) {
	if c.fenced || len(c.changedServices) == 0 || c.areRegistrationsStale(now) {
		return
	}
	c.updateIndexes(now)
	c.startWindow.expire(now)
	var due []*schedulingPass
	for _, service := range slices.Sorted(maps.Keys(c.changedServices)) { // the same in each play of a test
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

// recentlyScheduled reports whether the service had its turn a moment ago, and tasks
// were left without room.
func (p *poolState) recentlyScheduled(now time.Time) bool {
	return p.waitingCores > 0 && now.Sub(p.placedAt) < minScheduleInterval+time.Duration(p.waitingJobs)*scheduleIntervalPerJob
}

// newSchedulingPass returns a placement of the service's waiting tasks that has not begun.
func (c *Core) newSchedulingPass(service string, pool *poolState, now time.Time) *schedulingPass {
	claims := c.queueEntries(service, pool, now)
	pool.waitingCores, pool.lateWaitingCores = 0, 0
	pool.placedAt = now
	pool.waitingJobs = len(claims)
	slices.SortFunc(claims, func(a, b queueEntry) int { return a.compare(b, c.opt.JobOrder) })
	return &schedulingPass{core: c, service: service, pool: pool, now: now, entries: claims}
}

// queueForPlacement puts the job among those of its service that may have tasks to place.
func (c *Core) queueForPlacement(j *jobState) {
	c.changedServices[j.service] = true
	if !j.queuedForPlacement {
		j.queuedForPlacement = true
		p := c.pool(j.service)
		p.queue = append(p.queue, j)
	}
}

// queueEntries returns the jobs of the service with tasks to place, and takes those out of
// its queue that have none any more. Inherited jobs wait until it is known what an
// earlier owner started; they are not even looked at: with many of them, and workers that
// answer one by one, looking would use up a new owner's processor for longer than leases last.
func (c *Core) queueEntries(service string, pool *poolState, now time.Time) []queueEntry {
	takenOver := c.earlierRunsKnown(service, now)
	lapsed := takenOver || now.Sub(c.startedAt) > c.maxLeaseDuration()
	kept := pool.queue[:0]
	claims := pool.claims[:0]
	for _, j := range pool.queue {
		if !j.inherited || takenOver || lapsed && j.isLongRunning() {
			if j.state.Final() || j.service != service || !mayNeedPlacement(j) {
				j.clearQueued(service)
				continue
			}
			c.counts.JobsConsidered++
			if jobNeedsPlacement(j, now) {
				claims = append(claims, c.queueEntryOf(j, now))
			}
		}
		kept = append(kept, j)
	}
	clear(pool.queue[len(kept):])
	pool.queue, pool.claims = kept, claims
	return claims
}

// clearQueued says that the job is in no queue, unless it went over to another service's.
func (j *jobState) clearQueued(service string) {
	if j.service == service {
		j.queuedForPlacement = false
	}
}

// mayNeedPlacement reports whether the job has a task to place now or, if it has copies, later.
func mayNeedPlacement(j *jobState) bool {
	for _, s := range j.steps {
		if s.ready() && (s.withoutRun > 0 || s.spec.Speculative) {
			return true
		}
	}
	return false
}

// jobNeedsPlacement reports whether the job has a task to place.
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

func (t *task) needsPlacement(now time.Time) bool {
	return !t.done && len(t.runs) == 0 && !now.Before(t.notBefore) && !t.isGivenUp()
}

func (c *Core) nextRunNumber() uint64 {
	c.lastRun++
	return c.lastRun
}

func (c *Core) startRun(t *task, w *worker, number uint64, now time.Time) {
	r := &run{task: t, number: number, worker: w, phase: starting, throttlePercent: 100, firstSentAt: now}
	c.addRun(r)
	c.beginIsolation(r, now)
	c.markWorkerChanged(w)
	c.pool(t.step.job.service).noteStarted(t.step.job)
	c.counts.Starts++
	c.sendStart(r, now)
}

// Tick does what is due by now: it ends leases, sends holds and retries,
// begins occurrences, and places tasks.
func (c *Core) Tick(now time.Time) {
	c.detectOverload(now)
	c.expireLeases(now)
	c.decideLosses(now)
	c.expireUnknownJobs(now)
	c.expireEarlyCancellations(now)
	c.resendStops(now)
	c.stopStalledRuns(now)
	c.sendDueHolds(now)
	c.createAllDueOccurrences(now)
	c.throttleFillers(now)
	c.maintain(now)
	c.resizePools(now)
	c.markWaitingServices()
	c.schedule(now)
}

// markWaitingServices looks again at services whose waiting tasks may go on because time
// has passed.
func (c *Core) markWaitingServices() {
	for service, p := range c.pools {
		if len(p.queue) > 0 {
			c.changedServices[service] = true
		}
	}
}

// React sends what an event made possible, without waiting for the next tick.
func (c *Core) React(now time.Time) {
	c.sendDueHolds(now)
	c.schedule(now)
}
