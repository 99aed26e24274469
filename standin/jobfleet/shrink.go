package jobfleet

import (
	"time"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/owner"
)

// capacityUpdateBound is how long after a worker's room has become less starts may still go by what
// it was: they are on their way, or its entry in the store is.
const capacityUpdateBound = time.Second

// configure takes which services' workers guard their room.
func (f *Fleet) configure(c *job.Catalog) {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.unenforced)
	for _, s := range c.Services {
		f.unenforced[s.Name] = !s.EnforcesCapacity
	}
}

// Shrink leaves a worker a share of its room for a while. What runs there runs on.
func (f *Fleet) Shrink(id owner.InstanceID, share float64, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[f.instances[id].Worker]
	if w == nil || w.dead {
		return
	}
	part := func(n int) int { return int(share * float64(n)) }
	full := w.instance.capacity
	f.resize(w, job.Resources{CPUMilli: part(full.CPUMilli), MemMB: part(full.MemMB), GPU: part(full.GPU)})
	w.shrank = time.Now()
	time.AfterFunc(d, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if !w.dead {
			f.resize(w, full)
		}
	})
}

func (f *Fleet) resize(w *worker, room job.Resources) {
	w.reg.Capacity = room
	f.publish(string(w.reg.Worker), &w.reg)
}

// checkCapacity judges a start that brings a worker over its room.
func (j *Checker) checkCapacity(t job.TaskID, w *worker) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !w.shrank.IsZero() && time.Since(w.shrank) <= capacityUpdateBound {
		return
	}
	j.violation("task %s starts on %s, which has no room for it", t, w.reg.Worker)
}
