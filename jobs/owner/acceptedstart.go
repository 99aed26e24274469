package owner

import (
	"slices"
	"time"

	"github.com/postmount/postmount/jobs/job"
)

// Accepted starts: an owner that is lost in the same moment as a worker cannot record which tasks may have
// crashed it, and a task that crashes both would go on without end. So it is stored that a worker has accepted
// a run, for the tasks that matter: risky ones, and those of inherited jobs after a takeover at which a worker
// was found lost, as one of them may have been the cause. Such a record is an observation of the owner. It is
// no crash: the next owner makes one of it if it finds that the worker has ended.

const (
	// maxUnseenExposure is the longest time between an accepted start and the first sign of the worker's end
	// for which an isolated task is suspected. It covers the election of a new owner after its
	// predecessor's lease.
	maxUnseenExposure = 3 * time.Second
	// maxUnseenExposureBesideOthers is the same for a task that was not isolated.
	maxUnseenExposureBesideOthers = time.Second
)

// recordAcceptedStart stores that the run's worker has accepted it, if the next owner may need to know.
func (c *Core) recordAcceptedStart(r *run, now time.Time) {
	t := r.task
	isRisky := r.isolatedRisk != job.CrashRiskNone
	if !isRisky && !(t.step.job.inherited && c.unseenLoss) || r.firstSentAt.IsZero() {
		return
	}
	w := r.worker
	r.accepted = &job.Crash{
		Run: r.number, Worker: w.incarnation().String(), Instance: string(c.instanceOfWorker[w.Worker]), Rack: w.Rack, AcceptedAt: r.firstSentAt,
		SoleSuspect: isRisky && w.runsNothingElseThan(t, now),
	}
	w.acceptedRuns = append(w.acceptedRuns, r)
	c.markCrashDirty(t.step.job)
}

// clearStableStarts drops the accepted starts of runs that are stable on a worker that has answered.
func (c *Core) clearStableStarts(w *worker, now time.Time) {
	w.acceptedRuns = slices.DeleteFunc(w.acceptedRuns, func(r *run) bool {
		if w.runs[r.task.id()] == r && !r.isStable(now) {
			return false
		}
		c.clearAcceptedStart(r)
		return true
	})
}

// clearAcceptedStart drops the accepted start of a run, as the run has ended or is stable, or its worker is
// lost and that is recorded. In the store those beside other suspects may stay until the job is written
// next: they say little, and are soon too old to count.
func (c *Core) clearAcceptedStart(r *run) {
	if r.accepted != nil && r.accepted.SoleSuspect {
		c.markDirtyUnlessFinal(r.task.step.job)
	}
	r.accepted = nil
}

// acceptedStarts returns the accepted starts of the task's runs.
func (t *task) acceptedStarts() job.Crashes {
	var out job.Crashes
	for _, r := range t.runs {
		if r.accepted != nil {
			out = append(out, *r.accepted)
		}
	}
	return out
}

// runsNothingElseThan reports whether only the task, and those that fail with it, may crash the worker now:
// all other runs are stable, or there are none if the task may crash its worker at any time.
func (w *worker) runsNothingElseThan(t *task, now time.Time) bool {
	if t.crashRisk() == job.CrashRiskAnytime {
		return w.runsNothingElse(t)
	}
	return w.othersStable(t, now)
}

// noteUnseenLosses records whether workers were lost that this owner has not seen alive, so few that one task may
// have crashed them. It is called when the owner knows all workers that are up.
func (c *Core) noteUnseenLosses() {
	lost := map[WorkerID]bool{}
	for _, i := range c.instances {
		if s := c.service(i.Pool); i.State == InstanceDown && (s == nil || !s.Spare) {
			lost[i.Worker] = true
		}
	}
	for id, w := range c.workers {
		if !w.answeredThisOwner && (w.ended || w.isSilent()) && !w.endsAsPlanned() {
			lost[id] = true
		}
	}
	c.unseenLoss = len(lost) > 0 && !areSeries(len(lost), len(c.instances))
}

// judgeAcceptedStart turns an accepted start that an earlier owner recorded into a crash, as its worker has
// ended. It returns false if the end says nothing about the task.
func (c *Core) judgeAcceptedStart(t *task, k *job.Crash, inc incarnation) bool {
	if c.hasLostRack(t, k, inc) {
		return false
	}
	lostAt := c.firstSignOfEnd(inc)
	exposure := lostAt.Sub(k.AcceptedAt) + lossNoticeDelay
	limit := maxUnseenExposureBesideOthers
	if k.SoleSuspect {
		limit = maxUnseenExposure
	}
	if exposure <= 0 || exposure > limit {
		return false // long ago, or the owners' clocks differ
	}
	k.Exposure = max(minExposure, exposure)
	k.Coincidence = c.coincidence(t, inc.worker, k.Exposure, lostAt)
	k.AtStart, k.AcceptedAt, k.Rack = true, time.Time{}, ""
	return true
}

// clearUnlessCrash judges the task's accepted start on an incarnation that has ended, and removes it if the end
// says nothing about the task.
func (c *Core) clearUnlessCrash(t *task, inc incarnation) (cleared bool) {
	for n := range t.crashes {
		k := &t.crashes[n]
		if k.Worker != inc.String() || !k.IsAcceptedStart() || c.judgeAcceptedStart(t, k, inc) {
			continue
		}
		c.logRuledOut(t, *k, "it is not known what became of its worker while it ran")
		t.crashes = t.crashes.Without(func(o job.Crash) bool { return o.Run == k.Run })
		c.markDirtyUnlessFinal(t.step.job)
		c.queueForPlacement(t.step.job)
		return true
	}
	return false
}

// firstSignOfEnd returns the first time at which this owner found that an incarnation, which never answered
// it, does not answer or is not listed.
func (c *Core) firstSignOfEnd(inc incarnation) time.Time {
	if w := c.currentWorker(inc); w != nil && !w.contactLoss.lostAt.IsZero() {
		return w.contactLoss.lostAt
	}
	for _, w := range c.recentlyEnded {
		if w.incarnation() == inc {
			return w.contactLoss.lostAt
		}
	}
	return c.firstInstanceListAt
}

// hasLostRack reports whether most instances of the rack of an accepted start are not up, so that the rack may
// have failed. Instances are left out if t may have crashed their workers.
func (c *Core) hasLostRack(t *task, k *job.Crash, inc incarnation) bool {
	if k.Rack == "" {
		return false
	}
	rack := lossCount{min: minRackLosses}
	for _, i := range c.instances {
		if i.Rack != k.Rack {
			continue
		}
		w := c.workers[i.Worker]
		lost := i.State != InstanceUp || w == nil || !w.answeredThisOwner
		if i.Worker != inc.worker && lost && c.mayHaveCrashedInstance(t, i) {
			continue
		}
		rack.add(lost, lost)
	}
	return rack.correlation() == correlated
}

// mayHaveCrashedInstance reports whether a crash of the instance's last worker is recorded for the task.
func (c *Core) mayHaveCrashedInstance(t *task, i *instanceState) bool {
	return slices.Contains(i.suspects, t) || slices.ContainsFunc(t.crashes, func(k job.Crash) bool {
		return k.Unconfirmed() && c.instanceOfWorker[parseIncarnation(k.Worker).worker] == i.ID
	})
}
