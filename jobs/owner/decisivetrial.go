package owner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/postmount/postmount/jobs/job"
)

// Decisive trials: conviction needs evidence, and evidence costs workers. A task that has crashed several
// workers without being convicted, since others were lost at the same time, is not tried again at once, into the
// same seconds. It waits until another crash would decide: losses around its crashes are explained by
// then, or have become old.

const (
	// crashesBeforeDecisiveTrial is the number of crashes from which only a decisive trial is worth another worker.
	// Unconfirmed ones are included, and those put down to a rack: when many workers are lost, two of a rack
	// may be lost at the same time by chance.
	crashesBeforeDecisiveTrial = 4
	// maxTrialWait is how long after its last crash a task waits at most: losses before that crash no longer
	// count for the rate then.
	maxTrialWait = lossRateWindow
	// trialMargin multiplies the probability of coincidence of the next crash: by then other workers will have
	// been lost.
	trialMargin = 2
)

// awaitsEvidence reports whether the task may have crashed its workers and is not started until more is known of
// that.
func (t *task) awaitsEvidence(c *Core, now time.Time) bool {
	return len(t.crashes) > 0 && (t.awaitsAttribution(c, now) || t.awaitsDecisiveTrial(c, now))
}

// awaitsDecisiveTrial reports whether the task waits until another crash would decide, and until it is known what
// became of its past workers. Only tasks that are likely to crash their workers wait: others have lost several
// by chance, and must not stand idle. Long-running tasks, which have to be restored within seconds, do not wait
// either.
func (t *task) awaitsDecisiveTrial(c *Core, now time.Time) bool {
	if t.step.spec.LongRunning || len(t.crashes)+t.excusedCrashes < crashesBeforeDecisiveTrial || !c.isLikelyCause(t) {
		return false
	}
	c.reassessCrashes(t)
	waited := now.Sub(laterOf(t.crashedAt, c.startedAt))
	if !t.isGivenUp() && !t.hasPendingAttribution(c, now) && (waited >= maxTrialWait || c.wouldDecide(t, now)) {
		return false
	}
	c.trialWaiters[t] = true
	return true
}

// giveUpTrialWaiters gives up the tasks that wait for a decisive trial and whose crashes have become conclusive
// without one.
func (c *Core) giveUpTrialWaiters(now time.Time) {
	for t := range c.trialWaiters {
		c.reassessCrashes(t)
		if !t.isGivenUp() {
			delete(c.trialWaiters, t)
		}
	}
	conclusive := slices.SortedFunc(maps.Keys(c.trialWaiters), func(a, b *task) int { return cmp.Compare(a.id().String(), b.id().String()) })
	clear(c.trialWaiters)
	for _, t := range conclusive {
		c.giveUpIfConclusive(t, now)
	}
}

// hasPendingAttribution reports whether one of the task's crashes may still be confirmed or cleared.
func (t *task) hasPendingAttribution(c *Core, now time.Time) bool {
	return slices.ContainsFunc(t.crashes, func(k job.Crash) bool {
		return k.Unconfirmed() && c.isAttributionPending(parseIncarnation(k.Worker), now)
	})
}

// wouldDecide reports whether the task's crashes would be conclusive with another one now, after as long a run
// as the longest of them.
func (c *Core) wouldDecide(t *task, now time.Time) bool {
	next := job.Crash{SoleSuspect: true, Exposure: minExposure}
	for _, k := range t.crashes {
		next.Exposure = max(next.Exposure, k.Exposure)
	}
	next.Coincidence = trialMargin * c.coincidence(t, "", next.Exposure, now)
	return append(slices.Clone(t.crashes), next).Conclusive()
}
