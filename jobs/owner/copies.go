package owner

import (
	"time"

	"github.com/postmount/postmount/jobs/job"
)

// Parameters of speculative copies.
const (
	// A run is late, so that its task may get a copy, after copyDelayFactor times its estimate
	// plus copyExtraDelay: estimates are off by half and more.
	copyDelayFactor = 1.8
	copyExtraDelay  = 400 * time.Millisecond
	// maxSpeculativeRuns is how many runs of a task there may be at a time.
	maxSpeculativeRuns = 2
	// maxCrashesForCopy is the number of crashes of a task, unconfirmed ones and runs on workers out of
	// contact included, from which it gets no copies.
	maxCrashesForCopy = 2
)

// copyNeed is whether, and why, a task needs a second run.
type copyNeed int

const (
	noCopy     copyNeed = iota
	lateCopy            // the run takes much longer than estimated
	urgentCopy          // the run's worker seems unreachable, or the run is being stopped
)

// copyNeed returns whether a copy of a speculative task may complete before its run.
func (t *task) copyNeed(now time.Time) copyNeed {
	spec := t.step.spec
	if !spec.Speculative || t.done || spec.LongRunning || len(t.runs) == 0 || len(t.runs) >= maxSpeculativeRuns {
		return noCopy
	}
	if t.possibleCrashes() >= maxCrashesForCopy {
		return noCopy // the task may crash the copy's worker, too
	}
	r := t.runs[0]
	if r.phase == stopping || r.worker.seemsUnreachable(now) {
		return urgentCopy
	}
	late := time.Duration(copyDelayFactor*float64(spec.Estimate)) + copyExtraDelay
	if r.phase == running && now.Sub(r.confirmedAt) > late && t.crashRisk() == job.CrashRiskNone {
		return lateCopy
	}
	return noCopy
}

// possibleCrashes returns the number of crashes of the task, with those of workers that are out of contact and not
// recorded yet.
func (t *task) possibleCrashes() int {
	n := len(t.crashes)
	for _, r := range t.runs {
		if !r.worker.contactLoss.lostAt.IsZero() && t.crashes.Find(r.number) == nil {
			n++
		}
	}
	return n
}

// placeLateCopies starts copies of late runs. It is called only if no task waits for capacity: a
// first run has priority over a copy.
func (p *schedulingPass) placeLateCopies(entries []queueEntry) {
	for _, e := range entries {
		for _, s := range e.job.steps {
			if s.ready() && s.spec.Speculative {
				p.placeCopies(s, lateCopy)
			}
		}
	}
}

// placeCopies starts copies of the step's tasks with the given need. A copy of an inherited task
// may run at the same time as a run of an earlier owner that is not known yet, which
// speculative steps allow.
func (p *schedulingPass) placeCopies(s *stepState, need copyNeed) {
	if !p.core.ownership.heldAt(p.now) {
		return // a run on a silent worker may have ended, which another owner may know
	}
	var sel *workerSelector
	for _, t := range s.tasks {
		if t.copyNeed(p.now) != need {
			continue
		}
		if p.deferStarts() || !p.core.tenantLimitAllows(s.job.spec, s.spec, 1, p.now) {
			return
		}
		if sel == nil {
			sel = p.newWorkerSelector(s)
		}
		first := t.runs[0].worker
		excluded := func(o *worker) bool { return o == first }
		if t.crashRisk() != job.CrashRiskNone {
			p.placeIsolated(t, sel, excluded)
			continue
		}
		w := sel.pick(t, excluded)
		if w == nil {
			return
		}
		p.core.logDecision(Decision{Event: "copy-started", Job: s.job.spec.ID, Task: t.id().String(), Worker: w.Worker, Reason: "its run on " + string(first.Worker) + " is slow, silent or stopping"})
		sel.start(t, w)
	}
}
