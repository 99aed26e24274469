package owner

import "time"

// adoptRun takes over a run that an earlier owner started, or stops it.
func (c *Core) adoptRun(w *worker, j *jobState, a ActiveRun, now time.Time) {
	delete(w.unknownRuns, a.Task)
	c.begin(j, a.Task.Occurrence)
	s := j.step(a.Task.Occurrence, a.Task.Step)
	if s == nil || a.Task.Index >= len(s.tasks) {
		return
	}
	if a.Run > c.opt.Term*runsPerTerm {
		c.stopUnexpectedRun(w, a, "it was given up for certain")
		return
	}
	t := s.tasks[a.Task.Index]
	r := &run{task: t, number: a.Run, worker: w, phase: running, sentAt: now, confirmedAt: now, progressAt: now, percent: a.Percent, throttlePercent: 100}
	other := t.activeRun()
	c.addRun(r)
	c.markWorkerChanged(w)
	c.scheduleStallCheck(r)
	c.pool(j.service).noteStarted(j)
	c.noteStarted(r, now)
	switch {
	case j.state.Final() || t.done:
		c.stop(r, "its task is over", now)
	case other != nil:
		c.stop(r, "its task runs elsewhere", now)
	default:
		c.note(Decision{Event: "run-adopted", Job: j.spec.ID, Task: a.Task.String(), Worker: w.Worker, Run: a.Run})
	}
}

// stopUnexpectedRun stops a run that must not go on, and of which nothing more is known.
func (c *Core) stopUnexpectedRun(w *worker, a ActiveRun, why string) {
	c.note(Decision{Event: "run-unexpected", Job: a.Task.Job, Task: a.Task.String(), Worker: w.Worker, Run: a.Run, Reason: why})
	c.effects.Stops = append(c.effects.Stops, Stop{Target: c.target(w), Task: a.Task, Run: a.Run, Timeout: OrderTimeout})
}

// resolveUnknownJob handles what workers said of a job before it was known.
func (c *Core) resolveUnknownJob(j *jobState, now time.Time) {
	for _, w := range c.workersWithUnknownJobs.sorted() {
		for n, we := range w.unknownEnds {
			if we.end.Task.Job != j.spec.ID {
				continue
			}
			delete(w.unknownEnds, n)
			c.applyEnd(w, j, we.end, now)
			for i := range w.unacked {
				if w.unacked[i].seq == n {
					w.unacked[i].job, w.unacked[i].version = j, j.version
				}
			}
		}
		c.advanceAck(w, now)
		c.workersWithUnknownJobs.put(w, len(w.unknownRuns)+len(w.unknownEnds) > 0)
	}
}

// expireUnknownJobs gives up on jobs that stay unknown: their runs are stopped
// and their ends forgotten.
func (c *Core) expireUnknownJobs(now time.Time) {
	for _, w := range c.workersWithUnknownJobs.sorted() {
		for n, we := range w.unknownEnds {
			if now.Sub(we.since) > unknownJobGrace {
				delete(w.unknownEnds, n)
				c.note(Decision{Event: "end-of-unknown-job", Task: we.end.Task.String(), Worker: w.Worker})
				c.advanceAck(w, now)
			}
		}
		for id, s := range w.unknownRuns {
			if now.Sub(s.since) > unknownJobGrace {
				w.unknownRuns[id] = unknownRun{s.run, now}
				c.note(Decision{Event: "run-of-unknown-job", Task: id.String(), Worker: w.Worker, Run: s.run})
				c.effects.Stops = append(c.effects.Stops, Stop{Target: c.target(w), Task: id, Run: s.run, Timeout: OrderTimeout})
			}
		}
	}
}

// maxLeaseDuration is how long after its term any lease that an owner gave can last.
func (c *Core) maxLeaseDuration() time.Duration {
	return time.Duration(float64(c.opt.TaskLease)/(1-maxClockSlowdown)) + leaseMargin
}

// earlierRunsKnown reports whether every run that an earlier owner may have started for
// the service is known: each instance up in its pool answered our token, or
// all its leases have run out. An owner that is short of processor time waits for the
// instances: what was done there may be in answers that it has not read.
func (c *Core) earlierRunsKnown(service string, now time.Time) bool {
	if c.opt.Term == 1 || c.takeoverDone[service] {
		return true
	}
	unheard := c.unconfirmedInstance(service)
	if unheard != "" && (now.Sub(c.startedAt) <= c.maxLeaseDuration() || c.isStarved(now)) {
		c.logTakeoverWait(service, unheard, now)
		return false
	}
	c.takeoverDone[service] = true
	c.accountTakeoverWait(service, now)
	why := "every worker has answered"
	if unheard != "" {
		why = "all leases have ended"
	}
	c.note(Decision{Event: "inherited-tasks-go", Reason: service + ": " + why + " after " + now.Sub(c.startedAt).Round(time.Millisecond).String()})
	return true
}

// accountTakeoverWait accounts for the time that inherited jobs of the service have waited.
func (c *Core) accountTakeoverWait(service string, now time.Time) {
	for _, j := range c.openJobs {
		if j.inherited && j.service == service && !j.state.Final() {
			j.addWaitTime(CauseTakeover, now)
		}
	}
}

// takeoverWaitLogInterval is the least time between two lines on what a service waits for.
const takeoverWaitLogInterval = 500 * time.Millisecond

// takeoverWait is what the log says that a service's inherited tasks wait for.
type takeoverWait struct {
	waitsFor string
	loggedAt time.Time
}

func (c *Core) logTakeoverWait(service, whom string, now time.Time) {
	said := c.loggedTakeoverWaits[service]
	if said.waitsFor == whom || now.Sub(said.loggedAt) < takeoverWaitLogInterval {
		return
	}
	c.loggedTakeoverWaits[service] = takeoverWait{whom, now}
	c.note(Decision{Event: "inherited-tasks-wait", Reason: service + " for " + whom})
}

// unconfirmedInstance names an instance of the service that may run tasks and has not
// answered our token yet, "" if there is none. Registrations of lives that the
// instance list does not show are left over: these lives are over.
func (c *Core) unconfirmedInstance(service string) string {
	if c.instanceListAt.IsZero() {
		return "the instance list"
	}
	if known := c.lastUnconfirmed[service]; known != "" && c.isUnconfirmed(service, c.instances[known]) {
		return "instance " + string(known)
	}
	first := InstanceID("")
	for _, i := range c.instances {
		if c.isUnconfirmed(service, i) && (first == "" || i.ID < first) {
			first = i.ID
		}
	}
	c.lastUnconfirmed[service] = first
	if first == "" {
		return ""
	}
	return "instance " + string(first)
}

// isUnconfirmed reports whether the instance may run tasks of the service and has not
// answered our token yet.
func (c *Core) isUnconfirmed(service string, i *instanceState) bool {
	if i == nil || i.Pool != service || i.State != InstanceUp || i.Worker == "" {
		return false
	}
	w := c.workers[i.Worker]
	return w == nil || !w.heldByUs && !w.ended
}
