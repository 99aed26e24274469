package owner

import (
	"time"

	"github.com/postmount/postmount/jobs/job"
)

// Figures of copies of speculative tasks.
const (
	// copyDelayFactor is how many times its estimate a task may take, and copySlack how
	// much more, before a copy is started: estimates are off by half and more.
	copyDelayFactor = 1.8
	copyExtraDelay  = 400 * time.Millisecond
	// maxSpeculativeRuns of one task run at the same time.
	maxSpeculativeRuns = 2
)

// copyNeed says how much a task needs a second run.
type copyNeed int

const (
	noCopy     copyNeed = iota
	lateCopy            // it takes much longer than estimated
	urgentCopy          // its worker is silent, or the run is to end
)

// copyNeed reports whether a copy of a speculative task may be sooner.
func (t *task) copyNeed(now time.Time) copyNeed {
	spec := t.step.spec
	if !spec.Speculative || t.done || spec.LongRunning || len(t.runs) == 0 || len(t.runs) >= maxSpeculativeRuns {
		return noCopy
	}
	if len(t.crashes) >= minCrashesForProof {
		return noCopy // it may crash the worker of the copy, too
	}
	r := t.runs[0]
	if r.phase == stopping || r.worker.isSilent() {
		return urgentCopy
	}
	late := time.Duration(copyDelayFactor*float64(spec.Estimate)) + copyExtraDelay
	if r.phase == running && now.Sub(r.confirmedAt) > late && t.crashRisk() == job.CrashRiskNone {
		return lateCopy
	}
	return noCopy
}

// placeLateCopies starts copies of tasks that take long. It comes after all
// placements that left no task waiting: a copy is worth less than a first run.
func (p *schedulingPass) placeLateCopies(entries []queueEntry) {
	for _, e := range entries {
		for _, s := range e.job.steps {
			if s.ready() && s.spec.Speculative {
				p.placeCopies(s, lateCopy)
			}
		}
	}
}

// placeCopies starts copies of the step's tasks that need one so much. A copy of an
// inherited task may run beside a run that is not known yet; its step allows that.
func (p *schedulingPass) placeCopies(s *stepState, need copyNeed) {
	var sel *workerSelector
	for _, t := range s.tasks {
		if t.copyNeed(p.now) != need {
			continue
		}
		if p.deferStarts() || !p.core.quotaAllows(s.job.spec, s.spec, 1, p.now) {
			return
		}
		if sel == nil {
			sel = p.newWorkerSelector(s)
		}
		first := t.runs[0].worker
		excluded := func(o *worker) bool { return o == first }
		if t.crashRisk() != job.CrashRiskNone {
			p.placeSuspect(t, sel, excluded)
			continue
		}
		w := sel.pick(excluded)
		if w == nil {
			return
		}
		p.core.note(Decision{Event: "copy-started", Job: s.job.spec.ID, Task: t.id().String(), Worker: w.Worker, Reason: "its run on " + string(first.Worker) + " lags"})
		sel.start(t, w)
	}
}
