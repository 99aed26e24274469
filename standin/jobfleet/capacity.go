package jobfleet

import (
	"time"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/owner"
)

// capacityUpdateBound is how long after a decrease of a worker's capacity starts may still assume
// the old one, because they or the new registration are in flight.
const capacityUpdateBound = time.Second

// configure records which services' workers don't enforce their capacity.
func (f *Fleet) configure(c *job.Catalog) {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.overcommits)
	for _, s := range c.Services {
		f.overcommits[s.Name] = !s.EnforcesCapacity
	}
}

// ReduceCapacity reduces the capacity of an instance's worker to a share of the instance's
// capacity for d. Tasks that already run keep running.
func (f *Fleet) ReduceCapacity(id owner.InstanceID, share float64, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[f.instances[id].Worker]
	if w == nil || w.dead {
		return
	}
	scale := func(n int) int { return int(share * float64(n)) }
	full := w.instance.capacity
	f.setCapacity(w, job.Resources{CPUMilli: scale(full.CPUMilli), MemMB: scale(full.MemMB), GPU: scale(full.GPU)})
	w.reducedAt = time.Now()
	time.AfterFunc(d, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if !w.dead {
			f.setCapacity(w, full)
		}
	})
}

// setCapacity changes the capacity in a worker's registration.
func (f *Fleet) setCapacity(w *worker, capacity job.Resources) {
	w.reg.Capacity = capacity
	f.publish(string(w.reg.Worker), &w.reg)
}

// checkCapacity records a violation for a start beyond the capacity of a worker, unless the
// capacity was reduced less than capacityUpdateBound ago.
func (c *Checker) checkCapacity(t job.TaskID, w *worker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !w.reducedAt.IsZero() && time.Since(w.reducedAt) <= capacityUpdateBound {
		return
	}
	c.addViolation("task %s starts on %s, which has no capacity left for it", t, w.reg.Worker)
}
