package owner

import (
	"time"

	"github.com/postmount/postmount/jobs/job"
)

// adoptRun takes over a listed run that an earlier owner started. It stops the run if its task
// is done or already has another run, or if the job has no such task.
func (c *Core) adoptRun(w *worker, j *jobState, a ActiveRun, now time.Time) {
	delete(w.unknownRuns, a.Task)
	t := c.taskToAdopt(j, a.Task)
	if t == nil {
		c.stopUnexpectedRun(w, a, "the job has no such task, or has ended")
		return
	}
	if c.runs.isOwn(a.Run) {
		c.stopUnexpectedRun(w, a, "this owner has already released the run")
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

// earlierLeaseExpiry returns the time by which all leases granted by earlier owners have expired.
func (c *Core) earlierLeaseExpiry() time.Time {
	return c.startedAt.Add(c.opt.PriorLeaseLeft + c.maxLeaseDuration())
}

// earlierLeasesExpired reports whether all leases granted by earlier owners have expired, and no
// later owner can have renewed them before.
func (c *Core) earlierLeasesExpired(now time.Time) bool {
	expiry := c.earlierLeaseExpiry()
	return now.After(expiry) && c.ownership.provenAt(expiry)
}

// earlierRunsKnown reports whether every run that an earlier owner may have started for the
// service is known, and how it ended: the worker of each instance that is up in its pool has answered
// a hold of this owner with a complete list, or all leases of earlier owners have expired. A starved
// owner waits for the workers even after that, as answers that it has not read yet may report tasks as
// done. So does an owner for ends that a worker has not listed yet, as it has renewed that worker's lease.
func (c *Core) earlierRunsKnown(service string, now time.Time) bool {
	if c.opt.Term == 1 || c.takeoverDone[service] {
		return true
	}
	awaited := c.awaitedInstance(service)
	if awaited != "" && (!c.earlierLeasesExpired(now) || c.isStarved(now) || c.awaitsEnds(service)) {
		c.logTakeoverWait(service, awaited, now)
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
