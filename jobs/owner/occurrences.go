package owner

import (
	"cmp"
	"fmt"
	"slices"
	"sort"
	"time"
)

// The steps of an occurrence exist while it is open: from the time when it is due until its tasks are done and their
// runs have ended. Of the others a job keeps only which are done. Thus neither an overdue schedule nor one that has run
// for long costs more than its work at hand.

// Bounds of the open occurrences of a job. An occurrence of which an earlier owner started a task is opened beyond them.
const (
	// maxUnbegunOccurrences bounds those without a run or a done task. Further ones are created as these begin.
	maxUnbegunOccurrences = 64
	// maxOpenTasks bounds the tasks of all: two occurrences of the largest size.
	maxOpenTasks = 20_000
)

// findOccurrence returns the index of the occurrence's first step in j.steps, or where it would be inserted.
func (j *jobState) findOccurrence(k int) (at int, open bool) {
	n := len(j.spec.Steps)
	if n == 0 {
		return 0, false
	}
	i, open := sort.Find(len(j.steps)/n, func(i int) int { return cmp.Compare(k, j.steps[i*n].occurrence) })
	return i * n, open
}

// step returns a step of an open occurrence, nil if there is none.
func (j *jobState) step(occurrence, index int) *stepState {
	at, open := j.findOccurrence(occurrence)
	if !open || index < 0 || index >= len(j.spec.Steps) {
		return nil
	}
	return j.steps[at+index]
}

// openOccurrence creates the steps of occurrence k, unless it is open or done or the job does not have it.
func (c *Core) openOccurrence(j *jobState, k int) {
	at, open := j.findOccurrence(k)
	if open || k < 0 || k >= j.spec.Occurrences() || j.doneOccurrences.Has(k) {
		return
	}
	steps := make([]*stepState, len(j.spec.Steps))
	for i := range j.spec.Steps {
		s := &stepState{job: j, spec: &j.spec.Steps[i], occurrence: k, index: i}
		s.remaining, s.withoutRun = s.spec.Count, s.spec.Count
		s.openDependencies = len(s.spec.After)
		steps[i] = s
	}
	j.steps = slices.Insert(j.steps, at, steps...)
	j.advanceNextOccurrence()
	c.queueForPlacement(j)
}

// advanceNextOccurrence moves nextOccurrence to the first occurrence that is neither open nor done.
func (j *jobState) advanceNextOccurrence() {
	for {
		j.nextOccurrence = j.doneOccurrences.NextMissing(j.nextOccurrence)
		if _, open := j.findOccurrence(j.nextOccurrence); !open {
			return
		}
		j.nextOccurrence++
	}
}

// closeIfDone frees the steps of a repeating job's occurrence once its tasks are done and have no runs.
func (c *Core) closeIfDone(j *jobState, occurrence int) {
	at, open := j.findOccurrence(occurrence)
	if !open || j.spec.Repeat == 0 || j.state.Final() {
		return
	}
	end := at + len(j.spec.Steps)
	if slices.ContainsFunc(j.steps[at:end], func(s *stepState) bool { return s.remaining > 0 || s.runs > 0 }) {
		return
	}
	j.steps = slices.Delete(j.steps, at, end)
	j.doneOccurrences = j.doneOccurrences.With(occurrence)
	j.advanceNextOccurrence()
}

// hasOverdueOccurrence reports whether an occurrence is due that was not created yet.
func (j *jobState) hasOverdueOccurrence(now time.Time) bool {
	return j.nextOccurrence < j.spec.Occurrences() && !j.spec.Due(j.nextOccurrence).After(now)
}

// countOverdue returns about how many occurrences are due that were not created yet. Those that were created out of
// order, for runs of an earlier owner, count as well.
func (j *jobState) countOverdue(now time.Time) int {
	if !j.hasOverdueOccurrence(now) || j.spec.Interval <= 0 {
		return 0
	}
	return 1 + int(min(now.Sub(j.spec.Due(j.nextOccurrence))/j.spec.Interval, time.Duration(j.spec.Occurrences()-1-j.nextOccurrence)))
}

// isUnbegun reports whether no task of the step is done or has a run.
func (s *stepState) isUnbegun() bool { return s.runs == 0 && s.remaining == s.spec.Count }

// openOccurrenceRoom returns how many more occurrences of the job may be opened.
func (j *jobState) openOccurrenceRoom() int {
	n := len(j.spec.Steps)
	unbegun := 0
	for steps := range slices.Chunk(j.steps, n) {
		if !slices.ContainsFunc(steps, func(s *stepState) bool { return !s.isUnbegun() }) {
			unbegun++
		}
	}
	return min(maxUnbegunOccurrences-unbegun, maxOpenTasks/j.spec.TasksPerOccurrence()-len(j.steps)/n)
}

// catchUpAfter is how long after its due time an occurrence counts as left over. It is longer than a change of owner
// takes, and than a short outage of the store.
const catchUpAfter = 10 * time.Second

// catchUpBudget limits the rate at which left-over occurrences are opened, so that schedules that catch up leave the
// owner time for the jobs of others. It is a token bucket that holds one second's tasks.
type catchUpBudget struct {
	tasks      float64
	refilledAt time.Time
}

// take reports whether tasks more may be opened at now, at the given rate of tasks per second; 0: no limit.
func (b *catchUpBudget) take(tasks int, perSec float64, now time.Time) bool {
	b.tasks = min(perSec, b.tasks+perSec*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	if perSec > 0 && b.tasks <= 0 {
		return false
	}
	b.tasks -= float64(tasks) // below zero for a large occurrence, which the next ones make up for
	return true
}

// mayOpenNext reports whether the next occurrence, which is due, may be opened now. A job of which nothing is open goes
// on at any rate.
func (c *Core) mayOpenNext(j *jobState, now time.Time) bool {
	leftOver := j.spec.Repeat > 0 && now.Sub(j.spec.Due(j.nextOccurrence)) > catchUpAfter
	return !leftOver || c.catchUp.take(j.spec.TasksPerOccurrence(), c.opt.CatchUpTasksPerSec, now) || len(j.steps) == 0
}

// createDueOccurrences creates due occurrences of the job, in their order and within its bounds. The scheduling passes
// create the others, as the job stays in their queue until then. A timer is set for the first one that is not due yet.
func (c *Core) createDueOccurrences(j *jobState, now time.Time) {
	if len(j.spec.Steps) == 0 {
		return
	}
	overdueBefore := j.overdue
	if j.hasOverdueOccurrence(now) {
		for room := j.openOccurrenceRoom(); room > 0 && j.hasOverdueOccurrence(now) && c.mayOpenNext(j, now); room-- {
			c.openOccurrence(j, j.nextOccurrence)
		}
	}
	j.overdue = j.countOverdue(now)
	j.updateRemaining()
	if overdueBefore == 0 && j.overdue > 0 {
		c.logDecision(Decision{Event: "occurrences-overdue", Job: j.spec.ID, Reason: fmt.Sprintf("%d occurrences are due and not begun, %d are open", j.overdue, len(j.steps)/len(j.spec.Steps))})
	}
	if j.nextOccurrence < j.spec.Occurrences() && j.overdue == 0 && !j.dueTimerSet {
		j.dueTimerSet = true
		c.occurrencesDue.add(j.spec.Due(j.nextOccurrence), j)
	}
}

// createAllDueOccurrences creates the due occurrences of all jobs.
func (c *Core) createAllDueOccurrences(now time.Time) {
	for _, j := range c.occurrencesDue.popAllDue(now) {
		j.dueTimerSet = false
		if c.openJobs[j.spec.ID] == j && !j.state.Final() {
			c.createDueOccurrences(j, now)
		}
	}
}
