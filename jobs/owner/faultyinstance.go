package owner

import (
	"slices"
	"time"
)

// A faulty instance crashes again and again under whatever runs there. So several crashes of one instance say nothing
// about the task that ran there (job.Crashes.Conclusive), and a task that may crash its workers is tried on instances
// that have not crashed under it, which can tell.

const (
	// otherInstanceWait is how long after its last crash a task with repeatedCrashes waits for an instance that has not
	// crashed under it: an instance takes about 3 s to change its pool.
	otherInstanceWait = 4 * time.Second
	// crashedInstanceAvoidTime is how long a crashed instance is used for risky tasks only if
	// there is no other. It may crash again on its own, and the crash would be attributed to the
	// task.
	crashedInstanceAvoidTime = 20 * time.Second
)

// isInstanceReliable reports whether the worker's instance has not crashed recently, other than
// by a task that was given up.
func (c *Core) isInstanceReliable(w *worker, now time.Time) bool {
	i := c.instances[c.instanceOfWorker[w.Worker]]
	return i == nil || !i.crashedRecently(now)
}

// crashedRecently reports whether the instance has crashed in the last crashedInstanceAvoidTime, other than by a
// task that was given up.
func (i *instanceState) crashedRecently(now time.Time) bool {
	return !i.crashedAt.IsZero() && now.Sub(i.crashedAt) <= crashedInstanceAvoidTime && !slices.ContainsFunc(i.suspects, (*task).isGivenUp)
}

// reliableFirst returns the instances with those last that have crashed recently: a pool that lacks instances, maybe
// for a task that crashed these, gets others first.
func (c *Core) reliableFirst(list []*instanceState, now time.Time) []*instanceState {
	crashed := func(i *instanceState) bool { return i.crashedRecently(now) }
	if !slices.ContainsFunc(list, crashed) {
		return list
	}
	out := slices.DeleteFunc(slices.Clone(list), crashed)
	for _, i := range list {
		if crashed(i) {
			out = append(out, i)
		}
	}
	return out
}

// crashesOnInstance returns how often the worker's instance has crashed under the task. known is false if it cannot
// be told, as the instance list does not show the worker yet.
func (c *Core) crashesOnInstance(t *task, w *worker) (n int, known bool) {
	id, listed := c.instanceOfWorker[w.Worker]
	if !listed {
		return 0, t.crashes.OnInstance("") == len(t.crashes)
	}
	return t.crashes.OnInstance(string(id)), true
}

// isNewInstanceFor reports whether the worker's instance has not crashed under the task, so that a crash there would
// be further evidence.
func (c *Core) isNewInstanceFor(t *task, w *worker) bool {
	n, known := c.crashesOnInstance(t, w)
	return known && n == 0
}

// mayRepeatOn reports whether the task may be started on the worker with regard to earlier crashes of its instance
// under the task. Another one would prove nothing, so that from its second crash on the task waits for another
// instance, the longer the more often it has crashed this one. A long-running task has to be restored within seconds.
func (c *Core) mayRepeatOn(t *task, w *worker, now time.Time) bool {
	n, known := c.crashesOnInstance(t, w)
	pause := otherInstanceWait
	switch {
	case known && (n == 0 || len(t.crashes) < repeatedCrashes):
		return true
	case t.step.spec.LongRunning:
		pause = soleSuspectWait
	case n >= crashesBeforeDecisiveTrial:
		pause = maxTrialWait
	}
	return now.Sub(laterOf(t.crashedAt, c.startedAt)) >= pause
}

// prefersOthers reports whether the task prefers other workers: it failed or made no progress on this one in this
// term, or its instance has crashed under the task.
func (c *Core) prefersOthers(t *task, w *worker) bool {
	return t.hasFailedOn(w) || t.hasStalledOn(w) || len(t.crashes) > 0 && !c.isNewInstanceFor(t, w)
}
