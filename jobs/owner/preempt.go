package owner

import (
	"time"

	"github.com/postmount/postmount/jobs/placement"
)

// Parameters of preemption.
const (
	// preemptDelay is how long a task waits for capacity before it preempts less urgent runs.
	// Most tasks get capacity sooner, as other tasks end.
	preemptDelay = 300 * time.Millisecond
	// preemptDelayLongRunning is the same for long-running tasks, which must be restored
	// within 3 s and may preempt any task that ends on its own.
	preemptDelayLongRunning = 700 * time.Millisecond
	// preemptInterval is the time between two preemptions for a step, as a worker takes up to a
	// second to stop a run.
	preemptInterval = 1200 * time.Millisecond
	// preemptSearchInterval is the time between two searches for runs to preempt, as each search
	// examines all runs of the service.
	preemptSearchInterval = 200 * time.Millisecond
	// checkpointLossShare is the share of its work that a run loses when it is stopped, if its
	// task can resume from a checkpoint.
	checkpointLossShare = 0.2
)

// preempt stops less urgent runs on one worker if the step has waited for capacity for its
// preemption delay. The worker is kept for the step for preemptInterval.
func (p *schedulingPass) preempt(s *stepState, req *placement.Request) {
	now := p.now
	if s.waitingSince.IsZero() {
		s.waitingSince = now
	}
	if s.job.band >= bandOverShare || now.Sub(s.waitingSince) < s.preemptionDelay() || s.recentlyPreempted(now) {
		return
	}
	if now.Sub(s.preemptCheckedAt) < preemptSearchInterval || !p.pool.mayHaveVictims(s) {
		return
	}
	s.preemptCheckedAt = now
	view := p.workersFor(s)
	runs := make([][]*run, len(view.workers))
	occupants := make([][]placement.PreemptibleRun, len(view.workers))
	for i, w := range view.workers {
		for _, r := range runsByNumber(w) {
			if r.preemptibleBy(s) {
				runs[i] = append(runs[i], r)
				occupants[i] = append(occupants[i], placement.PreemptibleRun{Need: r.task.step.spec.ReservedResources(), LostWork: r.preemptionCost(now)})
			}
		}
	}
	preemption, ok := placement.Preempt(view.views, occupants, *req)
	if !ok {
		return
	}
	s.preemptedAt = now
	w := view.workers[preemption.Worker]
	w.preemptedFor, w.preemptedUntil = s, now.Add(preemptInterval)
	for _, i := range preemption.Victims {
		p.core.stop(runs[preemption.Worker][i], "preempted by "+string(s.job.spec.ID), now)
	}
}

// recordStartedPriority updates lowestStartedPriority for a job that has a run in the pool.
func (p *poolState) recordStartedPriority(j *jobState) {
	p.lowestStartedPriority = max(p.lowestStartedPriority, j.queue.Priority)
}

// mayHaveVictims reports whether the pool may have runs that the step may preempt.
func (p *poolState) mayHaveVictims(s *stepState) bool {
	return s.spec.LongRunning || p.lowestStartedPriority > s.job.queue.Priority
}

// recentlyPreempted reports whether runs were just stopped to free capacity for the step.
func (s *stepState) recentlyPreempted(now time.Time) bool {
	return now.Sub(s.preemptedAt) < preemptInterval
}

// preemptionDelay returns how long the step waits for capacity before it preempts other runs.
func (s *stepState) preemptionDelay() time.Duration {
	if s.spec.LongRunning {
		return preemptDelayLongRunning
	}
	return preemptDelay
}

// preemptibleBy reports whether the run may be preempted for a task of s. Members of a gang may
// not be, since the rest of the gang would end, too.
func (r *run) preemptibleBy(s *stepState) bool {
	own := r.task.step
	if r.phase != running || own.spec.LongRunning || own.spec.Gang || own.job == s.job {
		return false
	}
	return s.spec.LongRunning || own.job.queue.Priority > s.job.queue.Priority
}

// preemptionCost returns the core-seconds of work lost if the run is stopped now.
func (r *run) preemptionCost(now time.Time) float64 {
	spec := r.task.step.spec
	lostWork := float64(spec.ReservedResources().CPUMilli) / 1000 * now.Sub(r.confirmedAt).Seconds()
	if spec.Checkpoints {
		lostWork *= checkpointLossShare
	}
	return lostWork
}

// isKeptForOther reports whether the worker is kept for another step after a
// preemption, or isolated from the step's job.
func (w *worker) isKeptForOther(s *stepState, now time.Time) bool {
	return w.isIsolatedFrom(s, now) || w.preemptedFor != nil && w.preemptedFor != s && now.Before(w.preemptedUntil) && !w.preemptedFor.job.state.Final()
}
