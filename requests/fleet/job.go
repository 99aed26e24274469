package fleet

import (
	"slices"
	"time"
)

// JobName names a job within its pool.
type JobName string

// JobState is the state of a job.
type JobState string

// States of a job.
const (
	JobPending     JobState = "pending"     // waits for capacity
	JobPlaced      JobState = "placed"      // a worker was chosen and is told to run it
	JobDone        JobState = "done"        // succeeded
	JobCancelled   JobState = "cancelled"   // by an operator
	JobUnplaceable JobState = "unplaceable" // too large for every worker of the pool
	JobFailed      JobState = "failed"      // used up its attempts
)

// Ended reports whether the state is final.
func (s JobState) Ended() bool {
	return s == JobDone || s == JobCancelled || s == JobUnplaceable || s == JobFailed
}

// Job is a unit of work that runs on one worker of a pool.
type Job struct {
	Name     JobName
	Team     string
	Need     Resources
	Urgent   bool
	Deadline time.Time     // zero means none
	RunFor   time.Duration // how long the task runs
	State    JobState
	Reason   string     `json:",omitempty"` // why it is pending, unplaceable or failed
	Worker   InstanceID `json:",omitempty"` // set while JobPlaced
	// Attempt counts placements. A worker refuses a start whose attempt is
	// not newer than the last one it knows of the job.
	Attempt int
	// Failures counts failed attempts.
	Failures int
	PlacedAt time.Time
	// LostAt is when the worker of a placed job was first found unreachable or
	// without the task; zero otherwise. The job is placed again only after the
	// task's lease has certainly expired.
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

// TaskState is the state of a task as its worker reports it.
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
	Used    Resources // usage observed by the worker, possibly out of date
}
