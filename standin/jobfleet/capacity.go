package jobfleet

import (
	"time"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/owner"
)

// capacityUpdateBound is the time after a decrease of a worker's capacity in which starts may
// still assume the old one: they, or its registration, are in flight.
const capacityUpdateBound = time.Second

// configure sets which services' workers start tasks beyond their capacity.
func (f *Fleet) configure(c *job.Catalog) {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.unenforced)
	for _, s := range c.Services {
		f.unenforced[s.Name] = !s.EnforcesCapacity
	}
}

// ReduceCapacity reduces the capacity of an instance's worker to a share of the instance's
// capacity for d. Running tasks go on.
func (f *Fleet) ReduceCapacity(id owner.InstanceID, share float64, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[f.instances[id].Worker]
	if w == nil || w.dead {
		return
	}
	scale := func(n int) int { return int(share * float64(n)) }
	full := w.instance.capacity
	f.resize(w, job.Resources{CPUMilli: scale(full.CPUMilli), MemMB: scale(full.MemMB), GPU: scale(full.GPU)})
	w.shrank = time.Now()
	time.AfterFunc(d, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if !w.dead {
			f.resize(w, full)
		}
	})
}

func (f *Fleet) resize(w *worker, capacity job.Resources) {
	w.reg.Capacity = capacity
	f.publish(string(w.reg.Worker), &w.reg)
}

// checkCapacity records a start beyond the capacity of a worker, unless this was reduced just
// before.
func (c *Checker) checkCapacity(t job.TaskID, w *worker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !w.shrank.IsZero() && time.Since(w.shrank) <= capacityUpdateBound {
		return
	}
	c.addViolation("task %s starts on %s, which has no capacity left for it", t, w.reg.Worker)
}
