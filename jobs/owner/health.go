package owner

import "time"

// Figures of the search for bad workers. They come from the faults that the
// platform names: a worker that fails all it starts, and one whose tasks
// stand still.
const (
	// endHistoryLen is how many recent ends a worker is judged by.
	endHistoryLen = 8
	// endHistoryAge is how old these may be.
	endHistoryAge = 5 * time.Second
	// minFailuresToAvoid in that window, and half of its ends at least, put a
	// worker aside; one failure alone is often the task's own fault.
	minFailuresToAvoid = 2
	// minAvoidTime and maxPenalty bound how long; it doubles each time.
	minAvoidTime = time.Second
	maxAvoidTime = 8 * time.Second
	// stallTimeout without progress shows that a task stands still: a task of 5 s
	// on a worker eight times slow still moves by 1% in 400 ms, and a worker is
	// asked once a second.
	stallTimeout = 1600 * time.Millisecond
	// startupStallTimeout is stallTime for a long-running task that starts up.
	startupStallTimeout = 3500 * time.Millisecond
	// stallRecheckInterval is the pause between two looks at a run that has been without progress
	// for that long, until its worker's list proves it.
	stallRecheckInterval = 25 * time.Millisecond
	// maxStallsBlamedOnWorkers is how often a task may stand still by the fault of its workers: from
	// then on none is put aside for it, and each time it is left alone for twice as long.
	maxStallsBlamedOnWorkers = 2
	// maxStallDoublings bounds that.
	maxStallDoublings = 5
	// maxAvoidedShare of a service's workers may be put aside at most.
	maxAvoidedShare = 0.34
)

// endHistory holds the newest ends on a worker.
type endHistory struct {
	failed [endHistoryLen]bool
	at     [endHistoryLen]time.Time
	next   int

	failedAt time.Time // newest failure
}

func (e *endHistory) add(kind EndKind, now time.Time) {
	if kind != EndDone && kind != EndFailed {
		return
	}
	e.failed[e.next] = kind == EndFailed
	if kind == EndFailed {
		e.failedAt = now
	}
	e.at[e.next] = now
	e.next = (e.next + 1) % endHistoryLen
}

// failures returns how many of the newest ends were failures.
func (e *endHistory) failures(now time.Time) int {
	if now.Sub(e.failedAt) > endHistoryAge {
		return 0
	}
	failed, _ := e.count(now)
	return failed
}

func (e *endHistory) count(now time.Time) (failed, all int) {
	for i, at := range e.at {
		if at.IsZero() || now.Sub(at) > endHistoryAge {
			continue
		}
		all++
		if e.failed[i] {
			failed++
		}
	}
	return failed, all
}

// avoidIfFailing puts a worker aside if too much failed on it.
func (c *Core) avoidIfFailing(w *worker, now time.Time) {
	failed, all := w.recentEnds.count(now)
	if failed < minFailuresToAvoid || failed*2 < all {
		return
	}
	c.avoidWorker(w, "its tasks fail", now)
}

// avoidWorker keeps new tasks from a worker for a while, unless too many of its
// service are put aside already.
func (c *Core) avoidWorker(w *worker, reason string, now time.Time) {
	if now.Before(w.avoidUntil) {
		return
	}
	all, aside := 0, 0
	for _, o := range c.workersByService[w.Service] {
		if o.ended || !o.registered {
			continue
		}
		all++
		if now.Before(o.avoidUntil) {
			aside++
		}
	}
	if float64(aside+1) > maxAvoidedShare*float64(all) {
		return
	}
	w.avoidPenalty = min(maxAvoidTime, max(minAvoidTime, 2*w.avoidPenalty))
	c.avoidWorkerUntil(w, now.Add(w.avoidPenalty))
	c.note(Decision{Event: "worker-avoided", Worker: w.Worker, Reason: reason + " for " + w.avoidPenalty.String()})
}

// scheduleStallCheck lets the run be looked at once it may stand still, if it is one that can.
func (c *Core) scheduleStallCheck(r *run) {
	if r.stallWatched || r.phase != running || r.task.step.spec.Gang || r.percent >= 100 {
		return
	}
	r.stallWatched = true
	c.stallsDue.add(r.progressAt.Add(r.stallLimit()), r)
}

// stopStalledRuns stops tasks that make no progress, to run them elsewhere.
func (c *Core) stopStalledRuns(now time.Time) {
	for _, r := range c.stallsDue.popAllDue(now) {
		w := r.worker
		r.stallWatched = false
		if w.ended || w.runs[r.task.id()] != r {
			continue
		}
		if !w.silentSince.IsZero() || !isStalled(r, now) {
			c.rescheduleStallCheck(r, now)
			continue
		}
		if r.task.stalls < maxStallsBlamedOnWorkers {
			c.avoidWorker(w, "a task stands still", now)
		}
		r.task.stalls++
		c.stop(r, "no progress for "+now.Sub(r.progressAt).String(), now)
	}
}

// rescheduleStallCheck lets a run that does not stand still for certain be looked at again.
func (c *Core) rescheduleStallCheck(r *run, now time.Time) {
	if r.phase != running || r.percent >= 100 {
		return // it is watched anew if it falls back
	}
	r.stallWatched = true
	c.stallsDue.add(laterOf(r.progressAt.Add(r.stallLimit()), now.Add(stallRecheckInterval)), r)
}

// stallLimit is how long the run may be without progress.
func (r *run) stallLimit() time.Duration {
	limit := stallTimeout
	if spec := r.task.step.spec; spec.LongRunning || spec.Filler {
		limit = startupStallTimeout
	}
	return limit << min(maxStallDoublings, max(0, r.task.stalls-maxStallsBlamedOnWorkers+1))
}

func isStalled(r *run, now time.Time) bool {
	spec := r.task.step.spec
	if r.phase != running || spec.Gang || r.percent >= 100 || r.throttlePercent < 100 {
		return false
	}
	limit := r.stallLimit()
	// The hold that showed the last percentage may be old: only one that was
	// sent since then, and answered, proves the standstill.
	return now.Sub(r.progressAt) > limit && r.worker.answeredHoldSentAt.Sub(r.progressAt) > limit/2
}

// updateRemaining works out anew what is left of the job, after a task was done or an
// occurrence has begun.
func (j *jobState) updateRemaining() {
	j.workLeft = j.remainingWork()
	j.criticalPathLeft = j.remainingCriticalPath()
}

// remainingWork returns the core-seconds of a job that are not done, by its
// estimates.
func (j *jobState) remainingWork() float64 {
	sum := 0.0
	for _, s := range j.steps {
		sum += float64(s.remaining) * float64(s.spec.Need.CPUMilli) / 1000 * s.spec.Estimate.Seconds()
	}
	return sum
}

// remainingCriticalPath returns the longest chain of steps that are not done in the
// first unfinished occurrence, by the estimates.
func (j *jobState) remainingCriticalPath() time.Duration {
	n := len(j.spec.Steps)
	var longest time.Duration
	for first := 0; first < len(j.steps); first += n {
		ends := make([]time.Duration, n)
		for i := range n {
			s := j.steps[first+i]
			var from time.Duration
			for _, a := range s.spec.After {
				from = max(from, ends[a])
			}
			ends[i] = from
			if s.remaining > 0 {
				ends[i] += s.spec.Estimate
			}
			longest = max(longest, ends[i])
		}
	}
	return longest
}

// deadline is when the job stops being worth its whole value.
func (j *jobState) deadline() time.Time {
	allowed := time.Duration(j.queue.ObjectiveFactor*float64(j.criticalPath)) + j.queue.ObjectiveOffset
	from := j.spec.AcceptedAt
	if j.spec.Repeat > 0 {
		from = j.spec.Due(max(0, j.nextOccurrence-1))
	}
	return from.Add(allowed)
}
