package owner

import "github.com/postmount/postmount/jobs/job"

// A task has a state of its own from the time when something happens to it: a start, a restored record, a run that a
// worker lists. The tasks of a step are started in their order, so that those without a state are the last ones. They
// wait, and cost nothing but a number: a job may have ten thousand, and many such jobs may wait.

// untouched returns how many tasks of the step have no state.
func (s *stepState) untouched() int { return s.spec.Count - len(s.tasks) }

// task returns the task with the given index. It creates the states of the tasks up to it.
func (s *stepState) task(index int) *task {
	for len(s.tasks) <= index {
		t := &task{step: s, index: len(s.tasks)}
		if s.sharedWait != nil {
			t.timeSpent, t.accountedUntil = s.sharedWait.timeSpent, s.sharedWait.accountedUntil
		}
		s.tasks = append(s.tasks, t)
	}
	return s.tasks[index]
}

// allTasks returns all tasks of the step, each with a state.
func (s *stepState) allTasks() []*task {
	s.task(s.spec.Count - 1)
	return s.tasks
}

// sharedWaitOfUntouched returns a task that stands for those without a state, for the time that they wait.
func (s *stepState) sharedWaitOfUntouched() *task {
	if s.sharedWait == nil {
		s.sharedWait = &task{step: s, index: len(s.tasks)}
	}
	return s.sharedWait
}

// restoreTasks creates the states of the tasks that the record names.
func (s *stepState) restoreTasks(p *job.StepProgress) {
	if last := p.LastTask(); last >= 0 {
		s.task(min(last, s.spec.Count-1))
	}
}
