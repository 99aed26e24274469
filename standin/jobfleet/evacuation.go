package jobfleet

import (
	"time"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/owner"
)

// evacuateBound is how long after a request to evacuate a zone the last task may start there.
const evacuateBound = 5 * time.Second

// SetZone puts an instance into an availability zone.
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

// Evacuate asks for a zone to get no new tasks, as the operator does.
func (in *Installation) Evacuate(zone string) {
	in.Store.Put(in.lang.EvacuationPrefix+zone, []byte("{}"))
	in.Checker.evacuate(zone, time.Now())
}

// EndEvacuation takes that back.
func (in *Installation) EndEvacuation(zone string) {
	in.Checker.evacuate(zone, time.Time{})
	in.Store.Remove(in.lang.EvacuationPrefix + zone)
}

func (j *Checker) evacuate(zone string, since time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.evacuated[zone] = since
}

// ExtendEvacuationBound allows so much more time, for days on which the store does not serve.
func (j *Checker) ExtendEvacuationBound(by time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.evacuateStretch = by
}

// judgeZone checks that the zone of a start is not evacuated.
func (j *Checker) judgeZone(t job.TaskID, zone string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	since := j.evacuated[zone]
	if !since.IsZero() && time.Since(since) > evacuateBound+j.evacuateStretch {
		j.fail("task %s starts in zone %s, which is evacuated since %s", t, zone, time.Since(since))
	}
	if !since.IsZero() {
		j.lastInZone = time.Since(since)
	}
}

// LastStartInEvacuatedZone returns how long after the request the newest task started in a zone that
// is evacuated; 0: none did.
func (j *Checker) LastStartInEvacuatedZone() time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.lastInZone
}
