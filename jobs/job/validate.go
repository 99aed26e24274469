package job

import (
	"errors"
	"fmt"
	"time"
)

// Limits of a job.
const (
	// MaxTasks bounds the tasks of one occurrence. A daemon has 64 MB in all and needs a few
	// hundred bytes per task.
	MaxTasks = 10_000
	// minInterval is the shortest time between the occurrences of a job.
	minInterval = time.Millisecond
	// maxSpan bounds durations of a job, and the time from its first occurrence to its last: 100 years. A
	// time.Duration holds 292 years.
	maxSpan = 100 * 365 * 24 * time.Hour
	// minYear and maxYear bound times of a job: the store's encoding of a time has four digits for the year.
	minYear, maxYear = 1, 9999
)

// Validate returns an error that names the invalid field, for a job that no worker could ever run.
func (j *Job) Validate() error {
	if len(j.Steps) == 0 {
		return errors.New("job has no steps")
	}
	if j.Repeat > 1 && j.Interval < minInterval {
		return fmt.Errorf("interval is %s, want at least %s", j.Interval, minInterval)
	}
	if err := j.validateTimes(); err != nil {
		return err
	}
	tasks := 0
	for n := range j.Steps {
		s := &j.Steps[n]
		if err := s.validate(n); err != nil {
			return fmt.Errorf("step %d: %w", n, err)
		}
		tasks += s.Count
		if tasks > MaxTasks {
			return fmt.Errorf("job has %d tasks or more, want at most %d", tasks, MaxTasks)
		}
	}
	return nil
}

// validateTimes checks the times of the occurrences.
func (j *Job) validateTimes() error {
	if y := j.StartAt.Year(); y < minYear || y > maxYear {
		return fmt.Errorf("start time is in the year %d, want %d to %d", y, minYear, maxYear)
	}
	if j.Repeat > 1 && j.Interval > maxSpan/time.Duration(j.Repeat-1) {
		return fmt.Errorf("%d occurrences with an interval of %s take longer than %s", j.Repeat, j.Interval, maxSpan)
	}
	return nil
}

// validate checks the step with the given index.
func (s *Step) validate(index int) error {
	if s.Count < 1 || s.Count > MaxTasks {
		return fmt.Errorf("count is %d, want 1 to %d", s.Count, MaxTasks)
	}
	if err := s.Need.Validate(); err != nil {
		return fmt.Errorf("requested resources: %w", err)
	}
	if s.Estimate < 0 || s.Estimate > maxSpan {
		return fmt.Errorf("estimate is %s, want 0s to %s", s.Estimate, maxSpan)
	}
	for _, a := range s.After {
		if a < 0 || a >= index {
			return fmt.Errorf("depends on step %d, want an earlier step", a)
		}
	}
	return nil
}

// Validate returns an error if p cannot be the progress of j.
func (p *Progress) Validate(j *Job) error {
	switch p.State {
	case Queued, Running, Completed, Failed, Cancelled:
	default:
		return fmt.Errorf("unknown state %q", p.State)
	}
	if err := p.DoneOccurrences.validate(j.Occurrences()); err != nil {
		return fmt.Errorf("done occurrences: %w", err)
	}
	for _, s := range p.OpenSteps() {
		if s.Occurrence < 0 || s.Occurrence >= j.Occurrences() || s.Step < 0 || s.Step >= len(j.Steps) {
			return fmt.Errorf("progress is of step %d in occurrence %d, which the job does not have", s.Step, s.Occurrence)
		}
	}
	return nil
}
