package fleet

import (
	"slices"
	"time"
)

// JobName names a job within its pool.
type JobName string

// JobState is how far a job has come.
type JobState string

// States of a job.
const (
	JobPending     JobState = "pending"     // waits for room
	JobPlaced      JobState = "placed"      // a worker was chosen; the start is due or done
	JobDone        JobState = "done"        // finished well
	JobCancelled   JobState = "cancelled"   // by an operator
	JobUnplaceable JobState = "unplaceable" // no worker of the pool can ever hold it
	JobFailed      JobState = "failed"      // ran out of attempts
)

// Ended reports whether the job takes no more scheduling.
func (s JobState) Ended() bool {
	return s == JobDone || s == JobCancelled || s == JobUnplaceable || s == JobFailed
}

// Job is work for one worker of a pool.
type Job struct {
	Name     JobName
	Team     string
	Need     Resources
	Urgent   bool
	Deadline time.Time // zero means none
	RunFor   time.Duration
	State    JobState
	Reason   string     `json:",omitempty"` // why it is pending or unplaceable
	Worker   InstanceID `json:",omitempty"` // set while JobPlaced
	// Attempt counts placements. A worker refuses a start whose attempt is
	// not newer than the last one it knows of the job.
	Attempt int
	// Failures counts attempts that ended badly.
	Failures int
	PlacedAt time.Time
	// LostAt is when the worker of a placed job was first found unreachable or
	// without the task; zero otherwise. The job is placed anew only after the
	// task's lease has certainly lapsed.
	LostAt    time.Time
	Submitted time.Time
}

// JobSet is the record of one pool's jobs.
type JobSet struct {
	Pool    PoolName
	Jobs    []Job
	Applied CommandLog `json:",omitempty"`
}

// Clone returns a deep copy of s.
func (s *JobSet) Clone() *JobSet {
	c := *s
	c.Jobs = slices.Clone(s.Jobs)
	c.Applied = slices.Clone(s.Applied)
	return &c
}

// Job returns the named job, or nil.
func (s *JobSet) Job(name JobName) *Job {
	for i := range s.Jobs {
		if s.Jobs[i].Name == name {
			return &s.Jobs[i]
		}
	}
	return nil
}

// TaskState is what a worker reports of one task.
type TaskState string

// States of a task on a worker.
const (
	TaskRunning TaskState = "running"
	TaskDone    TaskState = "done"
	TaskFailed  TaskState = "failed"
)

// Task is one attempt of a job as its worker reports it.
type Task struct {
	Pool    PoolName
	Job     JobName
	Attempt int
	State   TaskState
	Used    Resources // observed use, reported with a lag
}
