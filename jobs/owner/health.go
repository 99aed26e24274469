package owner

import (
	"time"

	"github.com/postmount/postmount/jobs/placement"
)

// Parameters for detecting faulty workers. The platform documents two faults: every task on a
// worker fails, or its tasks make no progress.
const (
	// endHistoryLen is how many recent ends of runs are kept per worker.
	endHistoryLen = 8
	// endHistoryAge is how long an end counts as recent.
	endHistoryAge = 5 * time.Second
	// minFailuresToAvoid is the number of recent failures from which a worker is avoided, if
	// they are at least half of its recent ends. A single failure is often the task's own
	// fault.
	minFailuresToAvoid = 2
	// minAvoidTime and maxAvoidTime bound the time for which a worker is avoided, which doubles
	// each time.
	minAvoidTime = time.Second
	maxAvoidTime = 8 * time.Second
	// maxAvoidedShare is the largest share of a service's workers that may be avoided.
	maxAvoidedShare = 0.34
	// avoidedUseDelay is how long a step waits before an avoided worker is used for it, if no other
	// one is large enough. The others may be back soon, and attempts are limited.
	avoidedUseDelay = time.Second
)

// endHistory is a ring buffer of the newest completed and failed runs on a worker.
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

// failures returns how many of the recent ends were failures.
func (e *endHistory) failures(now time.Time) int {
	if now.Sub(e.failedAt) > endHistoryAge {
		return 0
	}
	failed, _ := e.count(now)
	return failed
}

// count returns how many ends are recent, and how many of them were failures.
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

// avoidIfFailing avoids a worker on which too many recent tasks failed.
func (c *Core) avoidIfFailing(w *worker, now time.Time) {
	failed, all := w.recentEnds.count(now)
	if failed < minFailuresToAvoid || failed*2 < all {
		return
	}
	c.avoidWorker(w, "its tasks fail", now)
}

// avoidWorker keeps new tasks from a worker for a while, unless too many workers of its
// service are avoided already.
func (c *Core) avoidWorker(w *worker, reason string, now time.Time) {
	if now.Before(w.avoidUntil) {
		return
	}
	all, avoided := 0, 0
	for _, o := range c.workersByService[w.Service] {
		if o.ended || !o.registered {
			continue
		}
		all++
		if now.Before(o.avoidUntil) {
			avoided++
		}
	}
	if float64(avoided+1) > maxAvoidedShare*float64(all) {
		return
	}
	w.avoidPenalty = min(maxAvoidTime, max(minAvoidTime, 2*w.avoidPenalty))
	c.avoidWorkerUntil(w, now.Add(w.avoidPenalty))
	c.logDecision(Decision{Event: "worker-avoided", Worker: w.Worker, Reason: reason + "; avoided for " + w.avoidPenalty.String()})
}

// useAvoidedWorker ends the avoidance of a worker that is large enough for a waiting step, if no usable
// worker is. Most workers of the service may have ended since it was avoided.
func (p *schedulingPass) useAvoidedWorker(s *stepState, req *placement.Request) {
	if s.waitingSince.IsZero() {
		s.waitingSince = p.now
	}
	if p.now.Sub(s.waitingSince) < avoidedUseDelay || p.pool.free.size() > 0 && p.pool.free.couldFit(req) {
		return
	}
	var first *worker
	for _, w := range p.avoidedWorkers() {
		fits := placement.Feasible(&placement.Worker{Capacity: w.Capacity, Labels: w.Labels}, req)
		if fits && (first == nil || w.avoidUntil.Before(first.avoidUntil)) {
			first = w
		}
	}
	if first == nil {
		return
	}
	first.avoidUntil = time.Time{}
	p.avoidedListed, p.avoided = false, nil
	p.core.markWorkerChanged(first)
	p.core.changedServices[p.service] = true
	p.core.logDecision(Decision{Event: "worker-not-avoided", Worker: first.Worker, Reason: "no other worker is large enough for waiting tasks", Job: s.job.spec.ID})
}

// avoidedWorkers returns the service's workers that are usable but for their avoidance, as of the first
// call in the pass: every waiting step asks for them.
func (p *schedulingPass) avoidedWorkers() []*worker {
	if p.avoidedListed {
		return p.avoided
	}
	p.avoidedListed = true
	for _, w := range p.core.workersByService[p.service] {
		if p.now.Before(w.avoidUntil) && p.core.isUsableUnlessAvoided(w, p.now) {
			p.avoided = append(p.avoided, w)
		}
	}
	return p.avoided
}

// updateRemaining recomputes the remaining work and critical path. Call it after a task was done
// or an occurrence was created.
func (j *jobState) updateRemaining() {
	j.workLeft = j.remainingWork()
	j.criticalPathLeft = j.remainingCriticalPath()
}

// remainingWork returns the core-seconds of the due occurrences that are not done, by the estimates.
func (j *jobState) remainingWork() float64 {
	sum := float64(j.overdue) * j.work
	for _, s := range j.steps {
		sum += float64(s.remaining) * float64(s.spec.Need.CPUMilli) / 1000 * s.spec.Estimate.Seconds()
	}
	return sum
}

// remainingCriticalPath returns the estimated duration of the longest chain of dependent steps
// that are not done, over all open occurrences.
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

// deadline returns the latest time at which the job may end and still meet its objective.
func (j *jobState) deadline() time.Time {
	allowed := time.Duration(j.queue.ObjectiveFactor*float64(j.criticalPath)) + j.queue.ObjectiveOffset
	from := j.spec.AcceptedAt
	if j.spec.Repeat > 0 {
		from = j.spec.Due(max(0, j.nextOccurrence-1))
	}
	return from.Add(allowed)
}
