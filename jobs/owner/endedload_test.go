package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/job"
)

// endedWays are the ways in which a job that has ended may be found in the store.
var endedWays = map[string]StoredJob{
	"completed":                            {Progress: &job.Progress{State: job.Completed}},
	"failed":                               {Progress: &job.Progress{State: job.Failed}},
	"cancelled":                            {Progress: &job.Progress{State: job.Cancelled}},
	"cancelled, end not stored":            {Cancelled: true},
	"cancelled at work, end not stored":    {Cancelled: true, Progress: &job.Progress{State: job.Running, Steps: []job.StepProgress{{Done: job.Bitset{1}}}}},
	"cancelled, and completed before that": {Cancelled: true, Progress: &job.Progress{State: job.Completed}},
}

// TestLoadOfEndedJobsDoesNotGrowWithTheirTasks guards against owners that run out of memory one after the other: each
// created the tasks of all ended jobs in the store.
func TestLoadOfEndedJobsDoesNotGrowWithTheirTasks(t *testing.T) {
	for name, stored := range endedWays {
		t.Run(name, func(t *testing.T) {
			allocs := func(tasks int) float64 {
				var loaded []StoredJob
				for n := range 20 {
					l := stored
					l.Job = simpleJob(n, tasks)
					loaded = append(loaded, l)
				}
				return testing.AllocsPerRun(3, func() { newRig(t, 2, loaded...) })
			}
			one, many := allocs(1), allocs(10_000)
			assert.InDelta(t, one, many, 100, "allocations of a load of 20 jobs")
		})
	}
}

// TestRunOfJobEndedBeforeLoadHoldsItsRoom guards against a worker that is filled beyond its capacity: a run of a job
// that has ended in the store holds its resources until it has been stopped.
func TestRunOfJobEndedBeforeLoadHoldsItsRoom(t *testing.T) {
	for name, stored := range endedWays {
		t.Run(name, func(t *testing.T) {
			stored.Job = simpleJob(1, 8)
			r := newRig(t, 2, stored)
			a := r.worker("a")
			var active []ActiveRun
			var ends []RunEnd
			for n := range 8 {
				id := job.TaskID{Job: stored.Job.ID, Index: n}
				active = append(active, ActiveRun{Task: id, Run: 1_000_001 + uint64(n), Percent: 50})
				ends = append(ends, RunEnd{Seq: 1 + uint64(n), Task: id, Run: 1_000_001 + uint64(n), Kind: EndStopped})
			}
			r.answerHold(a, active)
			assert.Len(t, r.out.Stops, 8)
			r.submit(2, 1)
			r.tick(200 * time.Millisecond)
			assert.Empty(t, r.out.Starts, "the runs still hold their resources")
			r.answerHold(a, nil, ends...)
			r.tick(200 * time.Millisecond)
			assert.Len(t, r.out.Starts, 1)
			assert.Len(t, r.core.workers[a].runs, 1, "the new job's alone")
		})
	}
}

// TestRunOfJobEndedAtTakeoverHoldsItsRoom guards against a worker that is filled beyond its capacity: the end of an
// inherited job was stored before the worker listed its runs, which then counted for nothing.
func TestRunOfJobEndedAtTakeoverHoldsItsRoom(t *testing.T) {
	j := simpleJob(1, 8)
	r := newRig(t, 2, StoredJob{Job: j, Progress: &job.Progress{State: job.Running}})
	a, b := r.worker("a"), r.worker("b")
	r.core.Cancel(j.ID, r.now)
	r.core.OnCommitted(r.core.PendingRecords(10), r.now)
	list := func(from, n int) (active []ActiveRun, ends []RunEnd) {
		for i := range n {
			id := job.TaskID{Job: j.ID, Index: from + i}
			active = append(active, ActiveRun{Task: id, Run: 1_000_001 + uint64(from+i), Percent: 50})
			ends = append(ends, RunEnd{Seq: 1 + uint64(i), Task: id, Run: 1_000_001 + uint64(from+i), Kind: EndStopped})
		}
		return active, ends
	}
	active, ends := list(0, 6)
	r.answerHold(a, active)
	activeB, _ := list(6, 2)
	r.answerHold(b, activeB)
	assert.Len(t, r.out.Stops, 8)
	r.submit(2, 16)
	r.tick(200 * time.Millisecond)
	assert.Len(t, r.out.Starts, 8, "the workers have room for 16")
	r.answerHold(a, nil, ends...)
	r.tick(200 * time.Millisecond)
	assert.Len(t, r.out.Starts, 14, "six of the runs have ended")
	assert.Len(t, r.core.workers[b].runs, 8, "six new ones beside the two that are being stopped")
}

// TestEndedJobsAreRemovedByTheTimeOfTheirEnd guards against a store that grows with each change of owner: a new owner
// counted the time until an ended job is removed from its own beginning.
func TestEndedJobsAreRemovedByTheTimeOfTheirEnd(t *testing.T) {
	began := newRig(t, 1).now
	retention := 2 * time.Minute // twice the rig's StatusRetention
	for name, c := range map[string]struct {
		endedAt time.Time
		after   time.Duration // when the job may be removed
	}{
		"long ago":           {began.Add(-time.Hour), 0},
		"a while ago":        {began.Add(-retention / 2), retention / 2},
		"a clock was ahead":  {began.Add(time.Hour), retention},
		"no time was stored": {time.Time{}, retention},
	} {
		t.Run(name, func(t *testing.T) {
			j := simpleJob(1, 1)
			r := newRig(t, 2, StoredJob{Job: j, Progress: &job.Progress{State: job.Completed, EndedAt: c.endedAt}})
			if c.after > 0 {
				assert.Empty(t, r.core.RemoveExpired(10, began.Add(c.after-time.Second)))
			}
			assert.Equal(t, []job.ID{j.ID}, r.core.RemoveExpired(10, began.Add(c.after)))
		})
	}
}

// TestPresumedUsageCountsTasksOfCancelledJobs guards against a tenant above its limit: tasks of a job that was cancelled
// before its end could be stored may still run, unknown to a new owner.
func TestPresumedUsageCountsTasksOfCancelledJobs(t *testing.T) {
	j := simpleJob(1, 3)
	j.Tenant = "acme"
	catalog := &job.Catalog{
		Queues:   []job.Queue{{Name: "q", Service: "s"}},
		Services: []job.Service{{Name: "s"}},
		Tenants:  []job.Tenant{{Name: "acme", Limit: job.Resources{CPUMilli: 4000}}},
	}
	r := newRig(t, 2)
	r.core = New(Options{Term: 2, TaskLease: rigLease}, catalog, []StoredJob{{Job: j, Cancelled: true}}, r.now)
	assert.Equal(t, job.Resources{CPUMilli: 3000, MemMB: 300}, r.core.presumedRunning("acme", r.now))
}

// TestRemovalWaitsForRuns: a job stays known as long as a worker has a run of it, and others are removed meanwhile in the
// order of their ends.
func TestRemovalWaitsForRuns(t *testing.T) {
	r := newRig(t, 2)
	began := r.now
	var loaded []StoredJob
	for n := range 3 {
		endedAt := began.Add(-time.Duration(n+1) * time.Hour)
		loaded = append(loaded, StoredJob{Job: simpleJob(n, 1), Progress: &job.Progress{State: job.Completed, EndedAt: endedAt}})
	}
	r = newRig(t, 2, loaded...)
	w := r.worker("w")
	atWork := job.TaskID{Job: loaded[2].Job.ID}
	r.answerHold(w, []ActiveRun{{Task: atWork, Run: 1_000_001}})
	assert.Equal(t, 2, r.core.ExpiredJobs(2, r.now))
	assert.Equal(t, []job.ID{loaded[1].Job.ID}, r.core.RemoveExpired(1, r.now))
	assert.Equal(t, []job.ID{loaded[0].Job.ID}, r.core.RemoveExpired(5, r.now))
	r.answerHold(w, nil, RunEnd{Seq: 1, Task: atWork, Run: 1_000_001, Kind: EndStopped})
	assert.Empty(t, r.core.RemoveExpired(5, r.now), "tried again after a pause")
	assert.Equal(t, []job.ID{loaded[2].Job.ID}, r.core.RemoveExpired(5, r.now.Add(removalRetryPause)))
}

// BenchmarkLoadEndedJobs measures a load by the number of ended tasks in the store.
func BenchmarkLoadEndedJobs(b *testing.B) {
	for _, jobs := range []int{1, 100, 1000} {
		b.Run(fmt.Sprintf("%d_tasks", jobs*10_000), func(b *testing.B) {
			var loaded []StoredJob
			for n := range jobs {
				loaded = append(loaded, StoredJob{Job: simpleJob(n, 10_000), Progress: &job.Progress{State: job.Cancelled}})
			}
			b.ReportAllocs()
			for b.Loop() {
				c := New(Options{Term: 2, TaskLease: rigLease}, &job.Catalog{}, loaded, time.Unix(0, 0))
				require.Len(b, c.jobs, jobs)
			}
		})
	}
}
