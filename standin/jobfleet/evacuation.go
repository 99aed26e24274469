package jobfleet

import (
	"time"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/owner"
)

// evacuationBound is how long after a request to evacuate a zone the last task may start there.
const evacuationBound = 5 * time.Second

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
	in.Store.Put(in.encoding.EvacuationPrefix+zone, []byte("{}"))
	in.Checker.setEvacuated(zone, time.Now())
}

// EndEvacuation takes that back.
func (in *Installation) EndEvacuation(zone string) {
	in.Checker.setEvacuated(zone, time.Time{})
	in.Store.Remove(in.encoding.EvacuationPrefix + zone)
}

func (j *Checker) setEvacuated(zone string, since time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.evacuated[zone] = since
}

// ExtendEvacuationBound allows so much more time, for days on which the store does not serve.
func (j *Checker) ExtendEvacuationBound(by time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.extraEvacuationTime = by
}

// checkZone checks that the zone of a start is not evacuated.
func (j *Checker) checkZone(t job.TaskID, zone string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	since := j.evacuated[zone]
	if !since.IsZero() && time.Since(since) > evacuationBound+j.extraEvacuationTime {
		j.violation("task %s starts in zone %s, which is evacuated since %s", t, zone, time.Since(since))
	}
	if !since.IsZero() {
		j.lastEvacuatedStart = time.Since(since)
	}
}

// LastStartInEvacuatedZone returns how long after the request the newest task started in a zone that
// is evacuated; 0: none did.
func (j *Checker) LastStartInEvacuatedZone() time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.lastEvacuatedStart
}
