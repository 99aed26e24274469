package owner

import "time"

// Bounds of acknowledgements and quiet periods.
const (
	// lateAckAge is how long, and manyUnackedEnds how many, ends wait to be acknowledged until the next hold is
	// sent at once, before new starts, or until their worker gets a quiet period. The platform's workers list
	// 500 ends.
	lateAckAge      = 200 * time.Millisecond
	manyUnackedEnds = 100
	// quietHoldPause is the pause between holds while runs are not listed that hold up late acknowledgements.
	quietHoldPause = 5 * time.Millisecond
	// maxAckQuiet bounds a quiet period. Usually it takes two holds: one that lists the runs, and one that
	// acknowledges. A start without an answer takes longer.
	maxAckQuiet = 500 * time.Millisecond
)

// isQuiet reports whether no starts are sent to the worker for now, so that its ends can be acknowledged: that is not
// safe beside a run which it has not listed, and under load there always is one.
func (w *worker) isQuiet(now time.Time) bool { return now.Before(w.quietUntil) }

// acksAreLate reports whether ends that may be acknowledged have waited for long, or are many. Right after a list
// there may be no run that it lacks, which is no longer so once further ends are stored.
func (w *worker) acksAreLate(now time.Time) bool {
	return w.ackDue() && (now.Sub(w.ackDueSince) >= lateAckAge || w.lastAckedEnd-w.confirmedAckEnd >= manyUnackedEnds)
}

// confirmAcks records that the worker has executed the acknowledgement in the hold that it answered, which ends its
// quiet period.
func (c *Core) confirmAcks(w *worker, now time.Time) {
	if w.holdAckThrough <= w.confirmedAckEnd {
		return
	}
	w.confirmedAckEnd = w.holdAckThrough
	w.ackDueSince = time.Time{}
	if w.ackDue() {
		w.ackDueSince = now
	}
	if w.isQuiet(now) {
		w.quietUntil = now
		c.markWorkerChanged(w)
	}
}

// beginQuiet begins a quiet period if acknowledgements are late because of runs that the worker has not listed. Before
// that it gets starts for at least as long as the last one lasted.
func (c *Core) beginQuiet(w *worker, now time.Time) {
	if w.StartedMs == 0 || !w.acksAreLate(now) || !w.hasUnlistedRun(now) || w.isQuiet(now) || now.Sub(w.quietUntil) < w.quietUntil.Sub(w.quietSince) {
		return
	}
	w.quietSince, w.quietUntil = now, now.Add(maxAckQuiet)
	c.markWorkerChanged(w)
	c.avoidedDue.add(w.quietUntil, w)
}
