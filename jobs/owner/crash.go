package owner

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/postmount/postmount/jobs/job"
)

// A task may crash each worker that starts it. What ran there is lost with it, so that such
// a task has to be found and given up, at the price of few workers, and nothing else may be
// given up in its place. Each run that is on a worker when contact to it is lost counts as a
// possible crash of its task; what became of the worker decides. A task with an early one is
// a suspect: it starts with nothing beside it, and what happens then convicts or clears it.

// Figures of crashes.
const (
	// atStartTime is how long after a run was confirmed a crash counts as early. A crash at
	// the start shows within milliseconds; the answer may wait for the owner's processor.
	atStartTime = 150 * time.Millisecond
	// lossDecisionDelay is how long after the end of a life it is decided whether a task may have
	// been the cause: other workers of a rack that failed are seen to be lost by then.
	lossDecisionDelay = 400 * time.Millisecond
	// maxLossDecisionTime bounds how long a task waits for it before it starts once more: the
	// fate of a worker is known within about three seconds, or it is cut off.
	maxLossDecisionTime = 6 * time.Second
	// unseenWorkerWait is how long a new owner waits for the lists to show a worker that an
	// earlier one lost contact to.
	unseenWorkerWait = 2500 * time.Millisecond
	// lostWorkerRetention is how long the end of a life is remembered for these decisions: the longest
	// wait for one, and some seconds.
	lostWorkerRetention = maxLossDecisionTime + 2*time.Second
	// longRunningClearTime is how long a long-running task has to be at work to be cleared.
	longRunningClearTime = 10 * time.Second
)

// lostAtStart reports whether the run's worker was lost as soon as the run began, as far as is
// known.
func (r *run) lostAtStart() bool {
	return !r.firstSentAt.IsZero() && (r.phase == starting || r.aliveAfterStart() <= atStartTime)
}

// onContactLost takes note of a call to the worker without an answer. What was started there a
// moment ago may be the cause: that is recorded before the worker's fate is known, so that
// the next owner knows of it.
func (c *Core) onContactLost(w *worker, a Answer, now time.Time) {
	if !w.markContactLost(a, now) || c.isStarved(now) {
		return
	}
	for _, r := range runsByNumber(w) {
		if r.lostAtStart() {
			c.recordPossibleCrash(r, now)
		}
	}
}

// recordPossibleCrash records that the run may have crashed its worker, or that the worker has crashed
// for another reason.
func (c *Core) recordPossibleCrash(r *run, now time.Time) {
	t := r.task
	if r.neverStarted || t.done || t.step.job.state.Final() || r.worker.endsAsPlanned() {
		return
	}
	k := job.Crash{Run: r.number, Worker: r.worker.incarnation().String(), AtStart: r.lostAtStart(), TimeKnown: r.worker.contactLoss.connFailed, SoleSuspect: r.isOnlyCause()}
	if known := t.crashes.Find(r.number); known != nil {
		*known = k
	} else {
		c.addUnconfirmedCrash(t, k)
		c.note(Decision{Event: "crash-possible", Job: t.step.job.spec.ID, Task: t.id().String(), Worker: r.worker.Worker, Run: r.number, Reason: r.describeContact()})
	}
	c.markCrashDirty(t.step.job)
}

// addUnconfirmedCrash adds a crash that is open.
func (c *Core) addUnconfirmedCrash(t *task, k job.Crash) {
	t.crashes = append(t.crashes, k)
	l := parseIncarnation(k.Worker)
	c.openCrashes[l] = append(c.openCrashes[l], t)
}

// isOnlyCause reports whether no run of another job explains the loss of the worker as well.
func (r *run) isOnlyCause() bool {
	early := r.lostAtStart()
	for _, o := range r.worker.runs {
		if o.task.step.job != r.task.step.job && (!early || o.lostAtStart()) {
			return false
		}
	}
	return true
}

// endsAsPlanned reports whether the worker's life ends as planned: moved, maintained or drained.
func (w *worker) endsAsPlanned() bool {
	return w.endOrdered || w.Draining || w.reserved == reservedMove
}

// investigateLoss decides later whether a task may have ended a life.
func (c *Core) investigateLoss(w *worker, now time.Time) {
	if w.contactLoss.lostAt.IsZero() {
		w.contactLoss = contactLoss{lostAt: now, lastAnswerAt: w.lastAnswerAt}
	}
	for _, r := range runsByNumber(w) {
		c.recordPossibleCrash(r, now)
	}
	w.crashSuspects = slices.Clone(c.openCrashes[w.incarnation()])
	c.recentlyEnded = append(c.recentlyEnded, w)
	if len(c.openCrashes[w.incarnation()]) > 0 {
		c.crashDecisionsDue.add(now.Add(lossDecisionDelay), w)
	}
}

// decideLosses decides on the lives that ended a moment ago.
func (c *Core) decideLosses(now time.Time) {
	for _, w := range c.crashDecisionsDue.popAllDue(now) {
		c.decideLoss(w, now)
	}
	c.decideUnseenWorkers(now)
	c.recentlyEnded = slices.DeleteFunc(c.recentlyEnded, func(w *worker) bool { return now.Sub(w.contactLoss.lostAt) > lostWorkerRetention })
}

// decideLoss decides on a life that ended. Silence of the others of its rack is waited out:
// on a way that is cut for seconds each crash of a task would be put down to the rack.
func (c *Core) decideLoss(w *worker, now time.Time) {
	if w.endsAsPlanned() {
		c.clearCrashes(w.incarnation(), "it ended as planned")
		return
	}
	correlation := c.lossCorrelationOf(w)
	switch {
	case correlation == possiblyCorrelated && now.Sub(w.contactLoss.lostAt) < maxLossDecisionTime:
		c.crashDecisionsDue.add(now.Add(lossDecisionDelay), w)
	case correlation == uncorrelated:
		c.confirmCrashes(w.incarnation(), now)
	default:
		c.clearCrashes(w.incarnation(), "its rack or zone failed")
	}
}

// decideUnseenWorkers decides on workers to which an earlier owner lost contact, and which have
// not answered this one: if the instance list does not show such a life it is over.
func (c *Core) decideUnseenWorkers(now time.Time) {
	if len(c.openCrashes) == 0 || now.Sub(c.startedAt) < unseenWorkerWait || c.instanceListAt.IsZero() || c.registrationsAt.IsZero() {
		return
	}
	for _, l := range slices.SortedFunc(maps.Keys(c.openCrashes), compareIncarnations) {
		if !c.isUnderInvestigation(l) && c.isUnseenLifeOver(l) {
			c.confirmCrashes(l, now)
		}
	}
}

// isUnseenLifeOver reports whether a life that has not answered this owner is over.
func (c *Core) isUnseenLifeOver(l incarnation) bool {
	w := c.workers[l.worker]
	if w != nil && w.relationTo(l.startedMs) != sameIncarnation {
		return true // another one has followed
	}
	return (w == nil || !w.heldByUs && !w.ended) && !c.isOnInstanceList(l.worker)
}

// isOnInstanceList reports whether the instance list shows the worker as present.
func (c *Core) isOnInstanceList(id WorkerID) bool {
	i := c.instances[c.instanceOfWorker[id]]
	return i != nil && i.Worker == id
}

// isUnderInvestigation reports whether a decision on the life is due by itself.
func (c *Core) isUnderInvestigation(l incarnation) bool {
	for _, e := range c.crashDecisionsDue.entries {
		if e.value.incarnation() == l {
			return true
		}
	}
	return false
}

// confirmCrashes counts the crash of a worker under the tasks that ran there.
func (c *Core) confirmCrashes(l incarnation, now time.Time) {
	tasks := c.openCrashes[l]
	delete(c.openCrashes, l)
	c.counts.Crashes++
	if i := c.instances[c.instanceOfWorker[l.worker]]; i != nil {
		i.crashedAt, i.suspects = now, tasks
	}
	for _, t := range tasks {
		c.confirmCrash(t, l, now)
	}
}

func (c *Core) confirmCrash(t *task, l incarnation, now time.Time) {
	j := t.step.job
	if t.done || j.state.Final() {
		return
	}
	for n := range t.crashes {
		if k := &t.crashes[n]; k.Worker == l.String() {
			k.Worker = ""
			c.note(Decision{Event: "task-crashed-with-worker", Job: j.spec.ID, Task: t.id().String(), Worker: l.worker, Run: k.Run, Reason: crashReason(t.crashes, k)})
		}
	}
	c.markDirty(j)
	c.queueForPlacement(j)
	c.giveUpIfProven(t, now)
}

func crashReason(all job.Crashes, k *job.Crash) string {
	return fmt.Sprintf("%d so far; early %t, exact %t, alone %t", all.Confirmed(), k.AtStart, k.TimeKnown, k.SoleSuspect)
}

// giveUpIfProven gives a task up that crashes its workers beyond doubt. Its job fails, unless
// other long-running tasks of it are at work: these go on serving, without it.
func (c *Core) giveUpIfProven(t *task, now time.Time) {
	j := t.step.job
	if j.state.Final() || !t.isGivenUp() {
		return
	}
	serves := t.step.spec.LongRunning && j.isServing(now)
	outcome := "its job fails"
	if serves {
		outcome = "the others of its job go on"
	}
	c.counts.GivenUp++
	c.note(Decision{Event: "task-given-up", Job: j.spec.ID, Task: t.id().String(),
		Reason: fmt.Sprintf("%d workers have crashed under it; %s", t.crashes.Confirmed(), outcome)})
	if !serves {
		c.finishJob(j, job.Failed, now)
	}
}

// isServing reports whether a long-running task of the job is at work.
func (j *jobState) isServing(now time.Time) bool {
	for _, s := range j.steps {
		for _, t := range s.tasks {
			if s.spec.LongRunning && t.isServing(now) {
				return true
			}
		}
	}
	return false
}

// isGivenUp reports whether the task crashes its workers beyond doubt: it is not started any
// more.
func (t *task) isGivenUp() bool { return t.crashes.Conclusive() }

// restoreCrashes takes over what an earlier owner held against the task.
func (c *Core) restoreCrashes(t *task, crashes job.Crashes) {
	for _, k := range crashes {
		if k.Unconfirmed() {
			c.addUnconfirmedCrash(t, k)
		} else {
			t.crashes = append(t.crashes, k)
		}
	}
}

// failIfCrashProven fails a job if an earlier owner had proof against one of its tasks. Whether
// long-running ones of it serve is not known yet: they are left to go on.
func (c *Core) failIfCrashProven(j *jobState, now time.Time) {
	for _, s := range j.steps {
		for _, t := range s.tasks {
			if !s.spec.LongRunning {
				c.giveUpIfProven(t, now)
			}
		}
	}
}

// clearCrashes takes back what was held against tasks because contact to a worker was lost.
func (c *Core) clearCrashes(l incarnation, why string) {
	for _, t := range c.openCrashes[l] {
		before := len(t.crashes)
		t.crashes = t.crashes.Without(func(k job.Crash) bool { return k.Worker == l.String() })
		if len(t.crashes) < before {
			c.queueForPlacement(t.step.job)
		}
	}
	delete(c.openCrashes, l)
	c.note(Decision{Event: "crash-ruled-out", Worker: l.worker, Reason: why})
}

// clearCrashesOfAnswering takes back what was held against the tasks of a worker that answers, but
// for those that have just started.
func (c *Core) clearCrashesOfAnswering(w *worker, now time.Time) {
	l := w.incarnation()
	tasks := c.openCrashes[l]
	if len(tasks) == 0 {
		return
	}
	left := tasks[:0]
	for _, t := range tasks {
		t.crashes = t.crashes.Without(func(k job.Crash) bool {
			r := t.findRun(k.Run, w)
			return k.Worker == l.String() && (r == nil || r.isStable(now))
		})
		if t.hasUnconfirmedCrashOn(l) {
			left = append(left, t)
		}
	}
	if len(left) == 0 {
		delete(c.openCrashes, l)
		return
	}
	c.openCrashes[l] = left
}

// dropUnconfirmedCrash takes back what was held against the task for a run.
func (t *task) dropUnconfirmedCrash(run uint64) {
	t.crashes = t.crashes.Without(func(k job.Crash) bool { return k.Run == run && k.Unconfirmed() })
}

func (t *task) hasUnconfirmedCrashOn(l incarnation) bool {
	for _, k := range t.crashes {
		if k.Worker == l.String() {
			return true
		}
	}
	return false
}

// awaitsLossDecision reports whether the task has to wait for the fate of workers: one more start
// before it is known could be one too many.
func (t *task) awaitsLossDecision(c *Core, now time.Time) bool {
	if len(t.crashes) < minCrashesForProof {
		return false
	}
	for _, k := range t.crashes {
		if k.Unconfirmed() && c.isLossUndecided(parseIncarnation(k.Worker), now) {
			return true
		}
	}
	return false
}

// minCrashesForProof is how many crashes may convict a task.
const minCrashesForProof = 2

// isLossUndecided reports whether it will be known soon what became of the worker.
func (c *Core) isLossUndecided(l incarnation, now time.Time) bool {
	if w := c.currentWorker(l); w != nil {
		return now.Sub(w.contactLoss.lostAt) < maxLossDecisionTime
	}
	for _, w := range c.recentlyEnded {
		if w.incarnation() == l {
			return now.Sub(w.contactLoss.lostAt) < maxLossDecisionTime
		}
	}
	return now.Sub(c.startedAt) < maxLossDecisionTime
}

// clearLongRunning clears a long-running task that has been at work for long enough: what befell
// it before says nothing of it any more.
func (c *Core) clearLongRunning(r *run, now time.Time) {
	t := r.task
	if !t.step.spec.LongRunning || r.percent < 100 || now.Sub(r.confirmedAt) < longRunningClearTime {
		return
	}
	t.consecutiveRetries, t.stalls = 0, 0
	if len(t.crashes) > 0 {
		t.crashes = nil
		c.markDirty(t.step.job)
	}
}
