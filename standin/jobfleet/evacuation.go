package jobfleet

import (
	"time"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/owner"
)

// evacuationBound is how long after a request to evacuate a zone tasks may still start there.
const evacuationBound = 5 * time.Second

// SetZone sets the availability zone of an instance.
func (f *Fleet) SetZone(id owner.InstanceID, zone string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := f.instances[id]
	i.Zone = zone
	if w := f.workers[i.Worker]; w != nil && !w.dead {
		w.reg.Zone = zone
		f.publish(string(w.reg.Worker), &w.reg)
	}
}

// ZoneOf returns the availability zone of a worker, "" if it has none or is not known.
func (f *Fleet) ZoneOf(id owner.WorkerID) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.workers[id]; w != nil {
		return w.reg.Zone
	}
	return ""
}

// Evacuate requests the evacuation of a zone, as an operator does. No new tasks may start there.
func (in *Installation) Evacuate(zone string) {
	in.Store.Put(in.encoding.EvacuationPrefix+zone, []byte("{}"))
	in.Checker.setEvacuated(zone, time.Now())
}

// EndEvacuation ends the evacuation of a zone.
func (in *Installation) EndEvacuation(zone string) {
	in.Checker.setEvacuated(zone, time.Time{})
	in.Store.Remove(in.encoding.EvacuationPrefix + zone)
}

func (c *Checker) setEvacuated(zone string, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evacuated[zone] = since
}

// ExtendEvacuationBound adds to evacuationBound, for tests with store outages.
func (c *Checker) ExtendEvacuationBound(by time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.extraEvacuationTime = by
}

// checkZone checks that a task doesn't start in a zone that is evacuated.
func (c *Checker) checkZone(t job.TaskID, zone string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	since := c.evacuated[zone]
	if !since.IsZero() && time.Since(since) > evacuationBound+c.extraEvacuationTime {
		c.addViolation("task %s starts in zone %s, %s after its evacuation was requested", t, zone, time.Since(since))
	}
	if !since.IsZero() {
		c.lastEvacuatedStart = time.Since(since)
	}
}

// LastStartInEvacuatedZone returns the time from the request to the newest start in an evacuated
// zone, 0 if there was none.
func (c *Checker) LastStartInEvacuatedZone() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastEvacuatedStart
}
