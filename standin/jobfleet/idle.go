package jobfleet

import (
	"maps"
	"slices"

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
