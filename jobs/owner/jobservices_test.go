package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/job"
)

// routeTo configures the services s, t and u, and the queue at one of them; "" removes the queue.
func (r *rig) routeTo(service string) {
	c := &job.Catalog{Services: []job.Service{{Name: "s"}, {Name: "t"}, {Name: "u"}}}
	if service != "" {
		c.Queues = []job.Queue{{Name: "q", Service: service, MaxAttempts: 2}}
	}
	r.core.Configure(c)
}

// addWorkerPerService adds a worker of each service, with the service's name as its ID.
func (r *rig) addWorkerPerService(services ...string) {
	for _, s := range services {
		r.regs = append(r.regs, Registration{Worker: WorkerID(s), Service: s, Addr: s, Capacity: job.Resources{CPUMilli: 8000, MemMB: 8000}})
		r.inst = append(r.inst, Instance{ID: InstanceID("i-" + s), Pool: s, State: InstanceUp, Worker: WorkerID(s)})
	}
	r.publishLists()
}

// commit stores the pending records.
func (r *rig) commit() { r.core.OnCommitted(r.core.PendingRecords(100), r.now) }

// startInMovedQueue runs a task of a queue that was moved to service t after it had accepted the job, and then along
// the route. It returns the job as it is stored then, and the start.
func startInMovedQueue(t *testing.T, route []string) (StoredJob, Start) {
	r := newRig(t, 1)
	r.routeTo("t")
	r.addWorkerPerService("s", "t", "u")
	for _, id := range []WorkerID{"s", "t", "u"} {
		r.answerHold(id, nil)
	}
	j := r.submit(1, 1)
	r.commit()
	r.tick(100 * time.Millisecond)
	starts := r.confirmStarts()
	require.Len(t, starts, 1)
	require.EqualValues(t, "t", starts[0].Worker)
	for _, service := range route {
		r.routeTo(service)
		r.tick(100 * time.Millisecond)
		r.commit()
	}
	p := r.core.jobs[j.ID].progress()
	return StoredJob{Job: j, Progress: &p}, starts[0]
}

// TestNextOwnerWaitsForTheServicesOfAMovedQueue guards against tasks that run twice after a change of owner: the
// queue was moved to another service and back, or was removed then, and the next owner asks only the workers of
// the service of the job's acceptance for runs.
func TestNextOwnerWaitsForTheServicesOfAMovedQueue(t *testing.T) {
	for _, c := range []struct {
		name  string
		route []string // after the start in service t
		next  string   // service of the queue as the next owner knows it; "": the queue is removed
	}{
		{"moved", nil, "t"},
		{"moved there and back", []string{"s"}, "s"},
		{"moved and removed", []string{""}, ""},
		{"moved twice", []string{"u"}, "u"},
		{"moved once more by the time of the next owner", nil, "u"},
		{"back by the time of the next owner", nil, "s"},
	} {
		t.Run(c.name, func(t *testing.T) {
			stored, start := startInMovedQueue(t, c.route)
			r := newRig(t, 2, stored)
			r.routeTo(c.next)
			r.addWorkerPerService("s", "t", "u")
			r.answerHold("s", nil)
			r.answerHold("u", nil)
			r.tick(time.Second)
			r.commit()
			r.tick(100 * time.Millisecond)
			assert.Empty(t, r.confirmStarts(), "the task runs on a worker that has not answered yet")
			r.answerHold("t", []ActiveRun{{Task: start.Task, Run: start.Run, Percent: 50}})
			r.tick(time.Second)
			assert.Empty(t, r.confirmStarts(), "the task runs")
			assert.Empty(t, r.out.Stops, "its run is adopted")
		})
	}
}

// TestFirstStartInAnotherServiceIsStoredBefore guards against a start that the next owner does not look for, as
// the owner ended between the start and the write of the job's record.
func TestFirstStartInAnotherServiceIsStoredBefore(t *testing.T) {
	r := newRig(t, 1)
	r.routeTo("t")
	r.addWorkerPerService("t")
	r.answerHold("t", nil)
	j := r.submit(1, 1) // accepted with an older configuration, for service s
	r.tick(time.Second)
	require.Empty(t, r.out.Starts, "the store does not show yet that it may run in service t")
	records := r.core.PendingRecords(100)
	require.Len(t, records, 1)
	assert.Equal(t, []string{"t"}, records[0].Progress.OtherServices)
	assert.Equal(t, job.Queued, records[0].Progress.State, "no task has started")
	assert.Equal(t, 1, r.core.PendingJobs("q"))
	r.core.OnCommitted(records, r.now)
	r.core.React(r.now)
	r.collectEffects()
	require.Len(t, r.confirmStarts(), 1, "it starts at once after the write")
	assert.Empty(t, r.core.PendingRecords(100), "one write is enough")
	assert.EqualValues(t, "t", r.core.jobs[j.ID].service)
}

// TestUnmovedQueueNeedsNoWrite guards against a write of every job before its first start.
func TestUnmovedQueueNeedsNoWrite(t *testing.T) {
	r := newRig(t, 1)
	r.answerHold(r.worker("a"), nil)
	r.submit(1, 1)
	assert.Empty(t, r.core.PendingRecords(100))
	assert.Len(t, r.confirmStarts(), 1)
}

// TestTakeoverDoesNotWaitForForeignServices guards against a longer change of owner: a job waits for the workers
// of the services that may run its tasks, not for a silent worker of any other.
func TestTakeoverDoesNotWaitForForeignServices(t *testing.T) {
	p := job.Progress{State: job.Running, OtherServices: []string{"t"}}
	r := newRig(t, 2, StoredJob{Job: simpleJob(1, 1), Progress: &p})
	r.routeTo("s")
	r.addWorkerPerService("s", "t", "u")
	r.answerHold("s", nil)
	r.failHold("u")
	r.tick(100 * time.Millisecond)
	require.Empty(t, r.out.Starts, "it may run in service t")
	r.answerHold("t", nil)
	r.tick(100 * time.Millisecond)
	assert.Len(t, r.confirmStarts(), 1)
}
