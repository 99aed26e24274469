package owner

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/postmount/postmount/jobs/job"
)

// Crash attribution: a task may crash every worker that starts it, and all other runs on the
// worker are lost with it. Such a task has to be found before it has crashed many workers, and
// no other task may be given up in its place. If contact to a worker is lost, an unconfirmed
// crash is recorded for each task that may have caused it. The crash is confirmed or cleared
// once it is known whether the worker has crashed. A task with a crash at its start, or with
// repeated ones that are hardly a coincidence, is risky (see job.CrashRisk): it is started in isolation,
// on a worker without runs of other jobs, so that the next crash has only one suspect. The task is
// given up once coincidence is ruled out (see job.Crashes.Conclusive and lossRate).

// Parameters of crash attribution.
const (
	// atStartTime is how long after a run was confirmed a crash still counts as a crash at its
	// start. Such a crash happens within milliseconds, but the confirming answer may be read
	// late by an owner that is short of CPU.
	atStartTime = 150 * time.Millisecond
	// attributionDelay is the time from the end of a worker's incarnation until its crash is
	// attributed to a task or not: if its rack failed, the other losses are known by then.
	attributionDelay = 400 * time.Millisecond
	// maxAttributionTime is how long a task waits at most for the attribution before it is
	// started again: whether a worker has ended is known within about 3 s unless it is
	// partitioned.
	maxAttributionTime = 6 * time.Second
	// unseenWorkerWait is how long a new owner waits for a worker to which an earlier owner
	// lost contact to appear in the registrations and the instance list.
	unseenWorkerWait = 2500 * time.Millisecond
	// lostWorkerRetention is how long ended incarnations are kept for the attribution: the
	// longest wait plus a margin.
	lostWorkerRetention = maxAttributionTime + 2*time.Second
	// longRunningClearTime is how long a long-running task has to serve until its crashes are
	// cleared.
	longRunningClearTime = 10 * time.Second
)

// lostAtStart reports whether the run's worker was lost at the start of the run, as far as is
// known.
func (r *run) lostAtStart() bool {
	return r.phase != ended && !r.firstSentAt.IsZero() && (r.phase == starting || r.aliveAfterStart() <= atStartTime)
}

// onContactLost handles an unanswered call to the worker. Runs that have just started there
// may have crashed it. An unconfirmed crash is recorded immediately, before it is known whether the
// worker has crashed, so that the next owner knows of it if this one fails.
func (c *Core) onContactLost(w *worker, a Answer, now time.Time) {
	if !w.markContactLost(a, now) {
		return
	}
	c.correlationsStale = true
	if c.isStarved(now) {
		return
	}
	suspects := newLossSuspects(w)
	for _, r := range runsByNumber(w) {
		if r.lostAtStart() {
			c.recordUnconfirmedCrash(r, suspects, now)
		}
	}
}

// recordUnconfirmedCrash records or updates an unconfirmed crash for the run: the worker may
// have crashed for another reason, or not at all. The suspects are those on its worker.
func (c *Core) recordUnconfirmedCrash(r *run, suspects lossSuspects, now time.Time) {
	t := r.task
	if r.neverStarted || r.phase == ended || t.done || t.step.job.state.Final() || r.worker.endsAsPlanned() {
		return
	}
	k := job.Crash{Run: r.number, Worker: r.worker.incarnation().String(), Instance: string(c.instanceOfWorker[r.worker.Worker]), AtStart: r.lostAtStart(), SoleSuspect: !suspects.includeOthersThan(r), Exposure: r.exposure()}
	k.Coincidence = c.coincidence(t, r.worker.Worker, k.Exposure, now)
	if known := t.crashes.Find(r.number); known != nil {
		*known = k
	} else {
		c.addUnconfirmedCrash(t, k)
		c.logDecision(Decision{Event: "crash-possible", Job: t.step.job.spec.ID, Task: t.id().String(), Worker: r.worker.Worker, Run: r.number, Reason: r.describeContact() + "; " + r.crashDetail().String()})
	}
	r.accepted = nil
	d := r.crashDetail()
	d.suspects = suspects.asLikelyAs(r)
	t.setCrashDetail(d)
	if c.isLikelyCause(t) {
		c.lossHistory.forgetLossesBy(t)
	}
	c.markCrashDirty(t.step.job)
}

// addUnconfirmedCrash adds an unconfirmed crash to the task and the task to unconfirmedCrashes.
func (c *Core) addUnconfirmedCrash(t *task, k job.Crash) {
	t.crashes = append(t.crashes, k)
	inc := parseIncarnation(k.Worker)
	c.unconfirmedCrashes[inc] = append(c.unconfirmedCrashes[inc], t)
}

const (
	// minExposure is the shortest exposure assumed. An exposure is overestimated otherwise: a start is sent
	// after firstSentAt, and a loss is noticed after it happened.
	minExposure = 5 * time.Millisecond
	// lossNoticeDelay is how long after a worker's end its broken connection may be noticed.
	lossNoticeDelay = 20 * time.Millisecond
)

// exposure returns the longest time that the run can have been on its worker before contact to that
// was lost. It returns 0 if that is not known: an earlier owner started the run, or contact was
// lost before the start.
func (r *run) exposure() time.Duration {
	loss := &r.worker.contactLoss
	if r.firstSentAt.IsZero() || loss.lostAt.Before(r.firstSentAt) {
		return 0
	}
	from := r.firstSentAt
	if r.phase == starting && loss.lastAnswerAt.Before(from) { // the worker may have been lost before the start reached it
		from = loss.lastAnswerAt
		if r.sentDuringHold && loss.connFailed && !loss.connRefused {
			from = laterOf(from, r.firstSentAt.Add(-lossNoticeDelay)) // the hold failed only later
		}
	}
	return max(minExposure, loss.lostAt.Sub(from))
}

// crashSuspects are tasks that may have crashed a worker. All runs on the worker share them: there may be thousands.
type crashSuspects struct {
	tasks []*task
	byJob map[*jobState]int // how many of tasks
}

func (s *crashSuspects) add(t *task) {
	if s.byJob == nil {
		s.byJob = map[*jobState]int{}
	}
	s.tasks = append(s.tasks, t)
	s.byJob[t.step.job]++
}

// includeOpenBeside reports whether a task that does not fail together with t is suspected and not done.
func (s *crashSuspects) includeOpenBeside(t *task) bool {
	return s != nil && slices.ContainsFunc(s.tasks, func(o *task) bool { return !o.done && !t.failsWith(o) })
}

// lossSuspects are the suspects in the loss of a worker.
type lossSuspects struct {
	all     *crashSuspects // tasks of all its runs
	atStart *crashSuspects // of those that were lost at their start
}

// newLossSuspects returns the suspects among the runs on the worker.
func newLossSuspects(w *worker) lossSuspects {
	s := lossSuspects{&crashSuspects{}, &crashSuspects{}}
	for _, r := range runsByNumber(w) {
		if r.phase == ended {
			continue
		}
		s.all.add(r.task)
		if r.lostAtStart() {
			s.atStart.add(r.task)
		}
	}
	return s
}

// asLikelyAs returns the suspects that are as likely to have crashed the worker as the task of r, which is one of them.
func (s lossSuspects) asLikelyAs(r *run) *crashSuspects {
	if r.lostAtStart() {
		return s.atStart
	}
	return s.all
}

// includeOthersThan reports whether one of those as likely as the task of r does not fail together with it.
func (s lossSuspects) includeOthersThan(r *run) bool {
	suspects, with := s.asLikelyAs(r), 1
	if r.task.step.failsWithJob() {
		with = suspects.byJob[r.task.step.job]
	}
	return len(suspects.tasks) > with
}

// failsWith reports whether both tasks are given up together, so that it does not matter which of
// them crashes a worker.
func (t *task) failsWith(o *task) bool {
	return t == o || t.step.failsWithJob() && t.step.job == o.step.job
}

// failsWithJob reports whether the job fails if one of the step's tasks is given up. If a
// long-running task is given up, the others of its job go on.
func (s *stepState) failsWithJob() bool { return !s.spec.LongRunning || s.spec.Gang }

// endsAsPlanned reports whether an order or a drain ends the incarnation.
func (w *worker) endsAsPlanned() bool {
	return w.endOrdered || w.Draining || w.reserved == reservedMove
}

// scheduleAttribution records unconfirmed crashes for an incarnation that has ended, and
// schedules their attribution.
func (c *Core) scheduleAttribution(w *worker, now time.Time) {
	if w.contactLoss.lostAt.IsZero() {
		w.beginContactLoss(now)
	}
	c.countUnplannedEnd(w)
	suspects := newLossSuspects(w)
	for _, r := range runsByNumber(w) {
		c.recordUnconfirmedCrash(r, suspects, now)
	}
	w.crashSuspects = slices.Clone(c.unconfirmedCrashes[w.incarnation()])
	c.recordLoss(w, now)
	c.recentlyEnded = append(c.recentlyEnded, w)
	if len(c.unconfirmedCrashes[w.incarnation()]) > 0 {
		c.attributionsDue.add(now.Add(attributionDelay), w)
	}
}

// attributeLosses handles the attributions that are due.
func (c *Core) attributeLosses(now time.Time) {
	for _, w := range c.attributionsDue.popAllDue(now) {
		c.attributeLoss(w, now)
	}
	c.attributeUnseenLosses(now)
	c.recentlyEnded = slices.DeleteFunc(c.recentlyEnded, func(w *worker) bool { return now.Sub(w.contactLoss.lostAt) > lostWorkerRetention })
}

// attributeLoss confirms or clears the unconfirmed crashes of an incarnation that has ended. It
// waits while other workers of its rack or zone are silent: during a network partition of some
// seconds a crash by a task would otherwise be attributed to the rack.
func (c *Core) attributeLoss(w *worker, now time.Time) {
	if w.endsAsPlanned() {
		c.clearCrashes(w.incarnation(), "the worker ended as planned")
		return
	}
	correlation := c.lossCorrelationOf(w)
	switch {
	case correlation == possiblyCorrelated && now.Sub(w.contactLoss.lostAt) < maxAttributionTime:
		c.attributionsDue.add(now.Add(attributionDelay), w)
	case correlation == uncorrelated:
		c.confirmCrashes(w.incarnation(), now)
	default:
		for _, t := range c.unconfirmedCrashes[w.incarnation()] {
			t.excusedCrashes++
		}
		c.clearCrashes(w.incarnation(), "the worker's rack or zone failed")
	}
}

// attributeUnseenLosses confirms the crashes of workers to which an earlier owner lost contact
// and which have not answered this one, once it is known that they have ended.
func (c *Core) attributeUnseenLosses(now time.Time) {
	if len(c.unconfirmedCrashes) == 0 || now.Sub(c.startedAt) < unseenWorkerWait || c.instanceListAt.IsZero() || c.registrationsAt.IsZero() {
		return
	}
	for _, inc := range slices.SortedFunc(maps.Keys(c.unconfirmedCrashes), compareIncarnations) {
		if !c.isAttributionScheduled(inc) && c.hasUnseenIncarnationEnded(inc) {
			c.confirmCrashes(inc, now)
		}
	}
}

// hasUnseenIncarnationEnded reports whether an incarnation that has not answered this owner has
// ended: another one followed, or the instance list does not show it or shows its instance down.
func (c *Core) hasUnseenIncarnationEnded(inc incarnation) bool {
	w := c.workers[inc.worker]
	if w != nil && w.relationTo(inc.startedMs) != sameIncarnation {
		return true // a later incarnation is known
	}
	return (w == nil || !w.answeredThisOwner && !w.ended) && (!c.instanceListShows(inc.worker) || c.isOnDownInstance(inc.worker))
}

// instanceListShows reports whether the instance list shows the worker.
func (c *Core) instanceListShows(id WorkerID) bool {
	i := c.instances[c.instanceOfWorker[id]]
	return i != nil && i.Worker == id
}

// isOnDownInstance reports whether the instance list shows the worker on an instance that is down.
func (c *Core) isOnDownInstance(id WorkerID) bool {
	return c.instanceListShows(id) && c.instances[c.instanceOfWorker[id]].State == InstanceDown
}

// isAttributionScheduled reports whether the loss of the incarnation is in attributionsDue.
func (c *Core) isAttributionScheduled(inc incarnation) bool {
	for _, e := range c.attributionsDue.entries {
		if e.value.incarnation() == inc {
			return true
		}
	}
	return false
}

// confirmCrashes confirms the crash of an incarnation for all tasks that may have caused it.
func (c *Core) confirmCrashes(inc incarnation, now time.Time) {
	tasks := c.unconfirmedCrashes[inc]
	delete(c.unconfirmedCrashes, inc)
	c.counts.Crashes++
	if i := c.instances[c.instanceOfWorker[inc.worker]]; i != nil {
		i.crashedAt, i.suspects = now, tasks
	}
	for _, t := range tasks {
		c.confirmCrash(t, inc, now)
	}
}

// confirmCrash confirms the crash of an incarnation for one task, and gives the task up if its
// crashes are conclusive.
func (c *Core) confirmCrash(t *task, inc incarnation, now time.Time) {
	j := t.step.job
	if t.done || j.state.Final() {
		return
	}
	if c.clearIfCorrelatedBefore(t, inc) || c.clearUnlessCrash(t, inc) {
		return
	}
	for n := range t.crashes {
		if k := &t.crashes[n]; k.Worker == inc.String() {
			k.Worker = ""
			if k.Instance == "" {
				k.Instance = string(c.instanceOfWorker[inc.worker])
			}
			t.crashedAt = now
			c.reassessCrashes(t)
			c.logDecision(Decision{Event: "task-crashed-with-worker", Job: j.spec.ID, Task: t.id().String(), Worker: inc.worker, Run: k.Run, Reason: crashReason(t.crashes, k) + "; " + t.crashDetail(k.Run).String()})
		}
	}
	c.markDirty(j)
	c.queueForPlacement(j)
	c.giveUpIfConclusive(t, now)
}

// crashReason describes a confirmed crash in the log.
func crashReason(all job.Crashes, k *job.Crash) string {
	return fmt.Sprintf("%d confirmed so far, alone on %d instances; instance %s, at start %t, sole suspect %t, probability of coincidence %.2g",
		all.Confirmed(), all.AloneOnInstances(), k.Instance, k.AtStart, k.SoleSuspect, k.Coincidence)
}

// giveUpIfConclusive gives the task up if its crashes are conclusive. Its job fails, unless it has
// other long-running tasks; these continue without it.
func (c *Core) giveUpIfConclusive(t *task, now time.Time) {
	j := t.step.job
	if j.state.Final() || !t.isGivenUp() {
		return
	}
	goesOn := !t.step.failsWithJob() && j.hasOtherLongRunning(t)
	outcome := "its job fails"
	if goesOn {
		outcome = "the other tasks of its job continue"
	}
	c.counts.GivenUp++
	c.logDecision(Decision{Event: eventTaskGivenUp, Job: j.spec.ID, Task: t.id().String(),
		Reason: fmt.Sprintf("%d workers crashed while running it; %s; %s; %d workers ended unplanned in the %s of this term", t.crashes.Confirmed(), outcome, t.listCrashes(), c.counts.UnplannedEnds, now.Sub(c.startedAt).Round(time.Millisecond))})
	if !goesOn {
		c.finishJob(j, job.Failed, failureCause{kind: failedByCrashes, task: t}, now)
	}
}

// hasOtherLongRunning reports whether the job has a long-running task other than t that was not given up. It
// may not be serving at the moment: workers fall, and a new owner does not know all runs yet.
func (j *jobState) hasOtherLongRunning(t *task) bool {
	for _, s := range j.steps {
		if s.spec.LongRunning && s.untouched() > 0 {
			return true
		}
		for _, o := range s.tasks {
			if o != t && s.spec.LongRunning && !o.isGivenUp() {
				return true
			}
		}
	}
	return false
}

// isGivenUp reports whether the task's crashes are conclusive, so that it is not started any
// more.
func (t *task) isGivenUp() bool { return t.crashes.Conclusive() }

// restoreCrashes restores the crashes that an earlier owner recorded for the task.
func (c *Core) restoreCrashes(t *task, crashes job.Crashes) {
	for _, k := range crashes {
		c.inheritLossRate(&k)
		if k.Unconfirmed() {
			c.addUnconfirmedCrash(t, k)
		} else {
			t.crashes = append(t.crashes, k)
		}
		t.setCrashDetail(crashDetail{run: k.Run, worker: k.Worker, loss: lossOfEarlierTerm})
	}
}

// restoreAcceptedStarts adds the starts that an earlier owner recorded as accepted to the task's unconfirmed
// crashes. The task is isolated until it is known what became of the worker.
func (c *Core) restoreAcceptedStarts(t *task, starts job.Crashes) {
	for _, k := range starts {
		if t.crashes.Find(k.Run) == nil {
			k.AtStart = true
			c.restoreCrashes(t, job.Crashes{k})
		}
	}
}

// failIfCrashesConclusive fails a job if crashes that an earlier owner recorded are conclusive.
// Long-running tasks are skipped: it is not known yet whether others of the job are serving.
func (c *Core) failIfCrashesConclusive(j *jobState, now time.Time) {
	for _, s := range j.steps {
		for _, t := range s.tasks {
			if !s.spec.LongRunning {
				c.giveUpIfConclusive(t, now)
			}
		}
	}
}

// clearCrashes removes the unconfirmed crashes on an incarnation.
func (c *Core) clearCrashes(inc incarnation, why string) {
	for _, t := range c.unconfirmedCrashes[inc] {
		before := len(t.crashes)
		t.crashes = t.crashes.Without(func(k job.Crash) bool {
			if k.Worker != inc.String() {
				return false
			}
			c.logRuledOut(t, k, why)
			return true
		})
		if len(t.crashes) < before {
			c.markDirtyUnlessFinal(t.step.job)
			c.queueForPlacement(t.step.job)
		}
	}
	delete(c.unconfirmedCrashes, inc)
}

// clearCrashesOfAnswering removes the unconfirmed crashes on a worker that has answered, except
// those of runs that are not stable yet.
func (c *Core) clearCrashesOfAnswering(w *worker, now time.Time) {
	inc := w.incarnation()
	tasks := c.unconfirmedCrashes[inc]
	if len(tasks) == 0 {
		return
	}
	left := tasks[:0]
	for _, t := range tasks {
		t.crashes = t.crashes.Without(func(k job.Crash) bool {
			r := t.findRun(k.Run, w)
			if k.Worker != inc.String() || r != nil && !r.isStable(now) {
				return false
			}
			c.logRuledOut(t, k, "the worker answers")
			c.markDirtyUnlessFinal(t.step.job)
			return true
		})
		if t.hasUnconfirmedCrashOn(inc) {
			left = append(left, t)
		}
	}
	if len(left) == 0 {
		delete(c.unconfirmedCrashes, inc)
		return
	}
	c.unconfirmedCrashes[inc] = left
}

// hasUnconfirmedCrashOn reports whether the task has an unconfirmed crash on the incarnation.
func (t *task) hasUnconfirmedCrashOn(inc incarnation) bool {
	for _, k := range t.crashes {
		if k.Worker == inc.String() {
			return true
		}
	}
	return false
}

// awaitsAttribution reports whether the task has to wait until the crashes of its past workers
// are attributed: they may turn out conclusive, and another start could crash one more worker.
func (t *task) awaitsAttribution(c *Core, now time.Time) bool {
	mayBecomeConclusive := t.crashes.MayBecomeConclusive()
	for n := range t.crashes {
		k := &t.crashes[n]
		undecided := mayBecomeConclusive || k.IsAcceptedStart() && k.SoleSuspect
		if undecided && k.Unconfirmed() && c.isAttributionPending(parseIncarnation(k.Worker), now) {
			return true
		}
	}
	return false
}

// isAttributionPending reports whether the loss of the incarnation is less than
// maxAttributionTime ago, so that its crashes may still be confirmed or cleared.
func (c *Core) isAttributionPending(inc incarnation, now time.Time) bool {
	if w := c.currentWorker(inc); w != nil && (w.answeredThisOwner || !w.contactLoss.lostAt.IsZero()) {
		return now.Sub(w.contactLoss.lostAt) < maxAttributionTime
	}
	for _, w := range c.recentlyEnded {
		if w.incarnation() == inc {
			return now.Sub(w.contactLoss.lostAt) < maxAttributionTime
		}
	}
	return now.Sub(c.startedAt) < maxAttributionTime
}

// clearLongRunning clears the crashes, stalls and retries of a long-running task that has
// served for longRunningClearTime.
func (c *Core) clearLongRunning(r *run, now time.Time) {
	t := r.task
	if !t.step.spec.LongRunning || r.phase != running || r.percent < 100 || now.Sub(r.confirmedAt) < longRunningClearTime {
		return
	}
	t.consecutiveRetries, t.stalls, t.stalledOn = 0, 0, nil
	if len(t.crashes) > 0 {
		t.crashes = nil
		c.markDirty(t.step.job)
	}
}
