package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/job"
)

// setTenantLimit configures tenant t with a limit in cores, and a second service.
func (r *rig) setTenantLimit(cores int) {
	c := *r.core.catalog
	c.Tenants = []job.Tenant{{Name: "t", Limit: job.Resources{CPUMilli: 1000 * cores}}}
	c.Services = append([]job.Service{{Name: "s"}, {Name: "other"}}, c.Services[1:]...)
	c.Queues = append([]job.Queue{{Name: "o", Service: "other", MaxAttempts: 2}}, c.Queues...)
	r.core.Configure(&c)
}

// tenantJob returns a job of tenant t with count tasks of one core.
func tenantJob(n, count int, queue string) *job.Job {
	j := simpleJob(n, count)
	j.Tenant, j.Queue = "t", queue
	if queue == "o" {
		j.Service = "other"
	}
	return j
}

// submitAll submits the jobs and collects the effects.
func (r *rig) submitAll(list ...*job.Job) {
	for _, j := range list {
		r.core.Submit(j, r.now)
	}
	r.core.React(r.now)
	r.collectEffects()
}

// TestTenantLimit checks that the limit spans services and counts unanswered starts and runs
// that are being stopped, that the end of a run lets a task start immediately in another service,
// and that jobs without a limit do not wait.
func TestTenantLimit(t *testing.T) {
	r := newRig(t, 1)
	r.setTenantLimit(3)
	r.addWorkers("w0", "w1")
	r.regs = append(r.regs, Registration{Worker: "o0", Service: "other", Addr: "o0", Capacity: job.Resources{CPUMilli: 8000, MemMB: 8000}})
	r.inst = append(r.inst, Instance{ID: "i-o0", Pool: "other", State: InstanceUp, Worker: "o0"})
	r.publishLists()
	r.answerHold("o0", nil)
	one, two := tenantJob(1, 2, "q"), tenantJob(2, 2, "o")
	r.submitAll(one, two, simpleJob(3, 4))
	starts := r.out.Starts
	require.Len(t, startsOf(starts, two), 2)
	require.Len(t, startsOf(starts, one), 1, "unanswered starts count")
	assert.Len(t, starts, 3+4, "jobs of other tenants run")
	assert.Zero(t, r.core.pool("s").waitingCores, "tasks beyond the limit are no demand for instances")
	r.confirmStarts()

	r.core.Cancel(two.ID, r.now)
	r.tick(50 * time.Millisecond)
	assert.Empty(t, r.confirmStarts(), "runs that are being stopped count")
	ended := startsOf(starts, two)[0]
	r.answerHold(ended.Worker, nil, RunEnd{Seq: 1, Task: ended.Task, Run: ended.Run, Kind: EndStopped})
	assert.Len(t, startsOf(r.confirmStarts(), one), 1, "started in the other service")
}

// TestTenantLimitCountsLostWorkers checks that runs on a silent worker count until its lease has
// expired.
func TestTenantLimitCountsLostWorkers(t *testing.T) {
	r := newRig(t, 1)
	r.setTenantLimit(2)
	r.addWorkers("w0", "w1", "w2", "w3", "w4", "w5")
	r.submitAll(tenantJob(1, 2, "q"), tenantJob(2, 2, "q"))
	first := r.confirmStarts()
	require.Len(t, first, 2)
	require.Equal(t, first[0].Worker, first[1].Worker)
	lost := first[0].Worker
	r.failConnection(lost)
	for waited := time.Duration(0); waited < rigLease-200*time.Millisecond; waited += 100 * time.Millisecond {
		r.answerHolds(100*time.Millisecond, nil, lost)
		r.failConnection(lost)
		require.Empty(t, r.confirmStarts(), "after %s", waited)
	}
	again := r.awaitStarts(2*time.Second, lost)
	assert.Len(t, again, 2)
}

// TestTenantLimitAfterTakeover checks that everything an earlier owner may have started counts
// until it is known what runs, and that a tenant far below its limit does not wait for that.
func TestTenantLimitAfterTakeover(t *testing.T) {
	for cores, starts := range map[int]int{3: 1, 2: 0} {
		old := tenantJob(1, 2, "q")
		r := newRig(t, 2, StoredJob{Job: old})
		r.setTenantLimit(cores)
		r.worker("w0")
		r.addWorkers("w1")
		r.tick(submitHandoverWindow + 100*time.Millisecond) // jobs accepted later are not inherited
		r.submitAll(tenantJob(2, 1, "q"))
		running := r.confirmStarts()
		require.Len(t, running, starts, "limit %d", cores)
		r.answerHold("w0", []ActiveRun{{Task: job.TaskID{Job: old.ID}, Run: 7}, {Task: job.TaskID{Job: old.ID, Index: 1}, Run: 8}})
		r.answerHolds(300*time.Millisecond, running, "w0")
		assert.Empty(t, r.confirmStarts(), "both run, limit %d", cores)
		used, _ := r.core.tenantUsage.Usage("t")
		assert.Equal(t, 1000*(2+starts), used.CPUMilli)
	}
}

// TestJobsOverShareComeLast: a tenant sends ten times its share while all workers are full. Its
// jobs over the share are placed after all jobs within a share, although they came first.
func TestJobsOverShareComeLast(t *testing.T) {
	r := newRig(t, 1)
	c := *r.core.catalog
	c.Tenants = []job.Tenant{{Name: "t", Weight: 2}, {Name: "modest", Weight: 2}}
	r.core.Configure(&c)
	jobOfT := func(n int) *job.Job {
		j := tenantJob(n, 1, "q")
		j.AcceptedAt = r.now
		return j
	}
	for n := 1; n <= 20; n++ {
		r.core.Submit(jobOfT(n), r.now)
	}
	modest := tenantJob(30, 2, "q")
	modest.Tenant, modest.AcceptedAt = "modest", r.now.Add(100*time.Millisecond)
	r.tick(100 * time.Millisecond)
	r.core.Submit(modest, r.now)
	w := r.worker("w0") // eight cores
	r.answerHold(w, nil)
	r.tick(50 * time.Millisecond)
	starts := r.confirmStarts()
	require.Len(t, starts, 8)
	assert.Len(t, startsOf(starts[:4], modest), 2, "placed after the two jobs within tenant t's share")
}
