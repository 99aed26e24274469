package jobfleet

import (
	"maps"
	"slices"
	"time"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/owner"
)

// IdleTasks returns the tasks of the first occurrence of a job that do not run.
func (c *Checker) IdleTasks(j *job.Job) []job.TaskID {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []job.TaskID
	for s := range j.Steps {
		for i := range j.Steps[s].Count {
			t := job.TaskID{Job: j.ID, Step: s, Index: i}
			if len(c.record(t).running) == 0 {
				out = append(out, t)
			}
		}
	}
	return out
}

// InstancesWithRoom returns the instances of a pool whose workers have room for need, ordered by ID.
func (f *Fleet) InstancesWithRoom(need job.Resources, pool string) []owner.InstanceID {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []owner.InstanceID
	for _, id := range slices.Sorted(maps.Keys(f.instances)) {
		i := f.instances[id]
		if w := f.workers[i.Worker]; w != nil && i.Pool == pool && f.freeCapacity(w).Fits(need) {
			out = append(out, id)
		}
	}
	return out
}

// UnacknowledgedEnds returns how many ended runs the worker of an instance keeps, and the age of the oldest. A worker
// that is down has none.
func (f *Fleet) UnacknowledgedEnds(id owner.InstanceID) (n int, oldest time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[f.instances[id].Worker]
	if w == nil || w.dead || len(w.ended) == 0 {
		return 0, 0
	}
	return len(w.ended), time.Since(w.endedAt[w.ended[0].Seq])
}
