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

// startInMovedQueue runs a task of a queue that has accepted the job for service s, is at ranIn when the task starts, and
// is moved along the route then. It returns the job as it is stored then, and the start.
func startInMovedQueue(t *testing.T, ranIn string, route []string, longRunning bool) (StoredJob, Start) {
	r := newRig(t, 1)
	r.routeTo(ranIn)
	r.addWorkerPerService("s", "t", "u")
	for _, id := range []WorkerID{"s", "t", "u"} {
		r.answerHold(id, nil)
	}
	j := simpleJob(1, 1)
	j.Steps[0].LongRunning = longRunning
	r.submitAll(j)
	r.commit()
	r.tick(100 * time.Millisecond)
	starts := r.confirmStarts()
	require.Len(t, starts, 1)
	require.EqualValues(t, ranIn, starts[0].Worker)
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
// the service of the job's acceptance, or of the queue's current one, for runs.
func TestNextOwnerWaitsForTheServicesOfAMovedQueue(t *testing.T) {
	for _, c := range []struct {
		name  string
		ranIn string   // service of the queue when the task started
		route []string // after the start
		next  string   // service of the queue as the next owner knows it; "": the queue is removed
	}{
		{"moved", "t", nil, "t"},
		{"moved there and back", "t", []string{"s"}, "s"},
		{"moved and removed", "t", []string{""}, ""},
		{"moved twice", "t", []string{"u"}, "u"},
		{"moved once more by the time of the next owner", "t", nil, "u"},
		{"back by the time of the next owner", "t", nil, "s"},
		{"moved after the start", "s", []string{"t"}, "t"},
		{"removed and added again elsewhere after the start", "s", []string{"", "t"}, "t"},
		{"moved after the start by the time of the next owner", "s", nil, "u"},
	} {
		for kind, longRunning := range map[string]bool{"with an end": false, "that lasts": true} {
			t.Run(c.name+", task "+kind, func(t *testing.T) {
				stored, start := startInMovedQueue(t, c.ranIn, c.route, longRunning)
				r := newRig(t, 2, stored)
				r.routeTo(c.next)
				r.addWorkerPerService("s", "t", "u")
				for _, id := range []WorkerID{"s", "t", "u"} {
					if id != start.Worker {
						r.answerHold(id, nil)
					}
				}
				r.tick(time.Second)
				r.commit()
				r.tick(100 * time.Millisecond)
				assert.Empty(t, r.confirmStarts(), "the task runs on a worker that has not answered yet")
				r.answerHold(start.Worker, []ActiveRun{{Task: start.Task, Run: start.Run, Percent: 50}})
				r.tick(time.Second)
				assert.Empty(t, r.confirmStarts(), "the task runs")
				assert.Empty(t, r.out.Stops, "its run is adopted")
			})
		}
	}
}

// TestTaskThatLastsWaitsForTheLeasesOfItsServices guards against a task that lasts and runs twice after a change of
// owner, and against one that waits for more than the leases under which it may run: that the ends of earlier runs are not
// known does not matter, as it is never done.
func TestTaskThatLastsWaitsForTheLeasesOfItsServices(t *testing.T) {
	stored, _ := startInMovedQueue(t, "s", []string{"t"}, true)
	r := newRig(t, 2, stored)
	r.routeTo("t")
	r.addWorkerPerService("s", "t", "u")
	answer := func(d time.Duration) {
		for end := r.now.Add(d); r.now.Before(end); {
			r.failHold("s")
			r.answerHold("t", nil)
			r.answerHold("u", nil)
			r.tick(100 * time.Millisecond)
			r.commit()
		}
	}
	answer(rigLease - time.Second)
	require.Empty(t, r.out.Starts, "a lease of the worker that does not answer may not be over")
	answer(3 * time.Second)
	starts := r.confirmStarts()
	require.Len(t, starts, 1)
	assert.EqualValues(t, "t", starts[0].Worker)
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
