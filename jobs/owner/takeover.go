package owner

import (
	"slices"
	"time"

	"github.com/postmount/postmount/jobs/job"
)

// adoptRun takes over a listed run that an earlier owner started, or that this one has released. It stops the
// run if this owner has released it, if its task is done or already has another run, or if the job has no such task.
func (c *Core) adoptRun(w *worker, j *jobState, a ActiveRun, now time.Time) {
	delete(w.unknownRuns, a.Task)
	t := c.taskToAdopt(j, a.Task)
	if t == nil {
		c.stopUnexpectedRun(w, a, "the job has no such task, or has ended")
		return
	}
	if c.runs.isOwn(a.Run) && w.runs[a.Task] != nil {
		c.stopUnexpectedRun(w, a, "this owner has already released the run, and started another one there")
		return
	}
	s := t.step
	r := &run{task: t, number: a.Run, worker: w, phase: running, sentAt: now, confirmedAt: now, progressAt: now, percent: a.Percent, throttlePercent: 100, startConfirmed: true, listed: true}
	if s.spec.Filler {
		r.throttlePercent = unknownThrottle // the earlier owner may have throttled it
	}
	other := t.activeRun()
	c.addRun(r)
	c.markWorkerChanged(w)
	c.scheduleStallCheck(r)
	c.pool(j.service).recordStartedPriority(j)
	c.markJobStarted(r, now)
	switch {
	case c.runs.isOwn(a.Run):
		c.stop(r, "this owner has already released the run", now)
	case j.state.Final() || t.done:
		c.stop(r, "the task is done or its job has ended", now)
	case other != nil:
		c.stop(r, "the task has another run", now)
	default:
		c.logDecision(Decision{Event: "run-adopted", Job: j.spec.ID, Task: a.Task.String(), Worker: w.Worker, Run: a.Run})
	}
}

// taskToAdopt returns the task of a run that a worker lists, nil if the job has no such task or its steps are not
// known any more. If the state of the task is not kept, as its job has ended or its occurrence is done, it returns a
// task of its own that is done: the run holds its resources until it has been stopped.
func (c *Core) taskToAdopt(j *jobState, id job.TaskID) *task {
	if !j.spec.Has(id) {
		return nil
	}
	if !j.state.Final() {
		c.openOccurrence(j, id.Occurrence)
	}
	if s := j.step(id.Occurrence, id.Step); s != nil {
		return s.task(id.Index)
	}
	s := &stepState{job: j, spec: &j.spec.Steps[id.Step], occurrence: id.Occurrence, index: id.Step}
	return &task{step: s, index: id.Index, done: true}
}

// stopUnexpectedRun stops a listed run that must not continue and is not tracked by this core.
func (c *Core) stopUnexpectedRun(w *worker, a ActiveRun, reason string) {
	c.logDecision(Decision{Event: "run-unexpected", Job: a.Task.Job, Task: a.Task.String(), Worker: w.Worker, Run: a.Run, Reason: reason})
	c.effects.Stops = append(c.effects.Stops, Stop{Target: c.target(w), Task: a.Task, Run: a.Run, Timeout: OrderTimeout})
}

// resolveUnknownJob applies the run ends that workers listed for the job before this owner
// learned of it, and takes over the runs. Otherwise its tasks would be started again.
func (c *Core) resolveUnknownJob(j *jobState, now time.Time) {
	for _, w := range c.workersWithUnknownJobs.sorted() {
		for id, ur := range w.unknownRuns {
			if id.Job == j.spec.ID {
				c.adoptRun(w, j, ActiveRun{Task: id, Run: ur.run}, now)
			}
		}
		for seq, ue := range w.unknownEnds {
			if ue.end.Task.Job != j.spec.ID {
				continue
			}
			delete(w.unknownEnds, seq)
			c.applyEnd(w, j, ue.end, now)
			for i := range w.unacked {
				if w.unacked[i].seq == seq {
					w.unacked[i].job, w.unacked[i].version = j, j.version
				}
			}
		}
		c.advanceAck(w, now)
		c.workersWithUnknownJobs.put(w, len(w.unknownRuns)+len(w.unknownEnds) > 0)
	}
}

// expireUnknownJobs stops the runs of jobs that are still unknown after unknownJobGrace, and
// drops their run ends.
func (c *Core) expireUnknownJobs(now time.Time) {
	for _, w := range c.workersWithUnknownJobs.sorted() {
		for seq, ue := range w.unknownEnds {
			if now.Sub(ue.since) > unknownJobGrace {
				delete(w.unknownEnds, seq)
				c.logDecision(Decision{Event: "end-of-unknown-job", Task: ue.end.Task.String(), Worker: w.Worker})
				c.advanceAck(w, now)
			}
		}
		for id, ur := range w.unknownRuns {
			if now.Sub(ur.since) > unknownJobGrace {
				w.unknownRuns[id] = unknownRun{ur.run, now}
				c.logDecision(Decision{Event: "run-of-unknown-job", Task: id.String(), Worker: w.Worker, Run: ur.run})
				c.effects.Stops = append(c.effects.Stops, Stop{Target: c.target(w), Task: id, Run: ur.run, Timeout: OrderTimeout})
			}
		}
	}
}

// maxLeaseDuration returns how long a lease granted by an earlier owner can last after this
// term has begun.
func (c *Core) maxLeaseDuration() time.Duration {
	return time.Duration(float64(c.opt.TaskLease)/(1-maxClockSlowdown)) + leaseMargin
}

// earlierLeaseExpiry returns the time by which all leases that earlier owners granted to settled incarnations
// have expired.
func (c *Core) earlierLeaseExpiry() time.Time {
	return c.startedAt.Add(c.opt.PriorLeaseLeft + c.maxLeaseDuration())
}

// latestEarlierOrder returns the time by which all orders of earlier owners that may start a run have been
// executed. An earlier owner that does not know of this one starts runs for as long as it renews leases.
func (c *Core) latestEarlierOrder() time.Time { return c.earlierLeaseExpiry().Add(maxOrderDelay) }

// unsettledLeaseExpiry returns the time by which all leases have expired that orders of earlier owners granted
// to incarnations that are not settled and do not answer.
func (c *Core) unsettledLeaseExpiry() time.Time {
	return c.latestEarlierOrder().Add(c.longestWorkerLease())
}

// earlierLeaseExpiryAt returns the time by which the worker's leases from earlier owners have expired. Of a
// worker that is not registered the incarnation is not known: it counts as settled if one was.
func (c *Core) earlierLeaseExpiryAt(id WorkerID) time.Time {
	if w := c.workers[id]; w != nil {
		foreign, _ := c.foreignLeaseExpiry(w)
		return laterOf(c.earlierLeaseExpiry(), foreign)
	}
	if c.mayBeUnsettled(id) {
		return c.unsettledLeaseExpiry()
	}
	return c.earlierLeaseExpiry()
}

// mayBeUnsettled reports whether the incarnation of a worker that is not registered may not be settled.
func (c *Core) mayBeUnsettled(id WorkerID) bool {
	if f, known := c.formerWorkers[id]; known {
		return len(f.pastStartsMs) > 0 || !c.wasSettled(incarnation{id, f.startedMs})
	}
	_, recorded := c.opt.Settled[id]
	return c.opt.Term > 1 && !recorded
}

// certainlyPast reports whether all leases that expire by the given time have expired, and no later owner can
// have renewed them before.
func (c *Core) certainlyPast(expiry, now time.Time) bool {
	return now.After(expiry) && c.ownership.provenAt(expiry)
}

// earlierLeasesOfServiceExpired reports whether all leases granted by earlier owners to workers of the service
// that have not answered this one have expired.
func (c *Core) earlierLeasesOfServiceExpired(service string, now time.Time) bool {
	if !c.earlierLeasesGone[service] && c.certainlyPast(c.earlierLeaseExpiry(), now) && c.unsettledWorker(service, now) == "" {
		c.earlierLeasesGone[service] = true
	}
	return c.earlierLeasesGone[service]
}

// earlierLeasesExpired reports the same for the workers of all services.
func (c *Core) earlierLeasesExpired(now time.Time) bool {
	if !c.certainlyPast(c.earlierLeaseExpiry(), now) {
		return false
	}
	return c.catalog == nil || !slices.ContainsFunc(c.catalog.Services, func(s job.Service) bool {
		return !s.Spare && !c.earlierLeasesOfServiceExpired(s.Name, now)
	})
}

// earlierRunsKnown reports whether every run that an earlier owner may have started for the
// service is known, and how it ended: the worker of each instance that is up in its pool has answered
// a hold of this owner with a complete list, or its leases of earlier owners have expired. A starved
// owner waits for the workers even after that, as answers that it has not read yet may report tasks as
// done. So does an owner for ends that a worker has not listed yet, as it has renewed that worker's lease.
func (c *Core) earlierRunsKnown(service string, now time.Time) bool {
	if c.opt.Term == 1 || c.takeoverDone[service] {
		return true
	}
	awaited := c.awaitedInstance(service)
	if waitsFor := c.takeoverBlocker(service, awaited, now); waitsFor != "" {
		c.logTakeoverWait(service, waitsFor, now)
		return false
	}
	c.takeoverDone[service] = true
	c.noteUnseenLosses()
	c.addTakeoverWait(service, now)
	reason := "all workers have answered"
	if awaited != "" {
		reason = "all leases of earlier owners have expired"
	}
	c.logDecision(Decision{Event: "takeover-complete", Reason: "service " + service + ": " + reason + " after " + now.Sub(c.startedAt).Round(time.Millisecond).String()})
	return true
}

// takeoverBlocker describes what the takeover of the service waits for, given what it awaits; "" if it is complete.
func (c *Core) takeoverBlocker(service, awaited string, now time.Time) string {
	switch {
	case awaited == "":
		return ""
	case !c.certainlyPast(c.earlierLeaseExpiry(), now) || c.isStarved(now):
		return awaited
	}
	if unsettled := c.unsettledWorker(service, now); unsettled != "" {
		return unsettled
	}
	if c.awaitsEnds(service) {
		return awaited
	}
	return ""
}

// addTakeoverWait counts the time that inherited jobs of the service waited as
// CauseTakeover.
func (c *Core) addTakeoverWait(service string, now time.Time) {
	for _, j := range c.openJobs {
		if j.inherited && j.service == service && !j.state.Final() {
			j.addWaitTime(CauseTakeover, now)
		}
	}
}

// takeoverWaitLogInterval is the minimum time between two takeover-waits log lines of a service.
const takeoverWaitLogInterval = 500 * time.Millisecond

// takeoverWait is the last logged wait of a service's inherited tasks.
type takeoverWait struct {
	waitsFor string
	loggedAt time.Time
}

// logTakeoverWait logs what inherited tasks of the service wait for, if that has changed since the
// last line and the line is not too early.
func (c *Core) logTakeoverWait(service, awaited string, now time.Time) {
	last := c.loggedTakeoverWaits[service]
	if last.waitsFor == awaited || now.Sub(last.loggedAt) < takeoverWaitLogInterval {
		return
	}
	c.loggedTakeoverWaits[service] = takeoverWait{awaited, now}
	c.logDecision(Decision{Event: "takeover-waits", Reason: "service " + service + " waits for " + awaited})
}

// awaitedInstance describes what inherited tasks of the service wait for: the first instance
// list, or an instance whose worker may run tasks and has not answered a hold of this owner
// with a complete list yet. It returns "" if they wait for nothing. Registered workers that the instance list does
// not show are ignored: they have ended, and their registrations have not expired yet.
func (c *Core) awaitedInstance(service string) string {
	if c.instanceListAt.IsZero() {
		return "the instance list"
	}
	if last := c.lastAwaited[service]; last != "" && c.isAwaited(service, c.instances[last]) {
		return "instance " + string(last)
	}
	first := InstanceID("")
	for _, i := range c.instances {
		if c.isAwaited(service, i) && (first == "" || i.ID < first) {
			first = i.ID
		}
	}
	c.lastAwaited[service] = first
	if first == "" {
		return ""
	}
	return "instance " + string(first)
}

// unsettledWorker describes a worker that the takeover of the service awaits, and that may have a lease of earlier
// owners for longer than a settled one. It returns "" if there is none.
func (c *Core) unsettledWorker(service string, now time.Time) string {
	if c.instanceListAt.IsZero() {
		for _, w := range c.workersByService[service] {
			if !w.ended && !w.answeredThisOwner && c.mayHaveEarlierLease(w.Worker, now) {
				return "worker " + string(w.Worker) + ", which may be a new incarnation with a longer lease"
			}
		}
		return ""
	}
	id := c.lastUnsettled[service]
	if i := c.instances[id]; !c.isAwaited(service, i) || !c.mayHaveEarlierLease(i.Worker, now) {
		id = ""
		for _, i := range c.instances {
			if (id == "" || i.ID < id) && c.isAwaited(service, i) && c.mayHaveEarlierLease(i.Worker, now) {
				id = i.ID
			}
		}
		c.lastUnsettled[service] = id
	}
	if id == "" {
		return ""
	}
	return "instance " + string(id) + ", whose worker may be a new incarnation with a longer lease"
}

// mayHaveEarlierLease reports whether the worker may have a lease from an earlier owner.
func (c *Core) mayHaveEarlierLease(id WorkerID, now time.Time) bool {
	return !c.certainlyPast(c.earlierLeaseExpiryAt(id), now)
}

// awaitsEnds reports whether a worker of the service has not listed all ends of its runs yet.
func (c *Core) awaitsEnds(service string) bool {
	for _, i := range c.instances {
		if w := c.workers[i.Worker]; w != nil && w.endsTruncated && c.isAwaited(service, i) {
			return true
		}
	}
	return false
}

// isAwaited reports whether the instance may run tasks of the service and its worker has not
// answered a hold of this owner with a complete list yet.
func (c *Core) isAwaited(service string, i *instanceState) bool {
	if i == nil || i.Pool != service || i.State != InstanceUp || i.Worker == "" {
		return false
	}
	w := c.workers[i.Worker]
	return w == nil || !w.ended && (!w.answeredThisOwner || w.endsTruncated)
}
