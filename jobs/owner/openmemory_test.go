package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/admission"
	"github.com/postmount/postmount/jobs/job"
)

// manySteps returns a job of n steps of one task each.
func manySteps(id, n int) *job.Job {
	j := simpleJob(id, 1)
	for i := 1; i < n; i++ {
		j.Steps = append(j.Steps, j.Steps[0])
	}
	return j
}

// TestOpenJobsTakeNoMoreThanEstimated keeps the bound on open jobs true: what they take, submitted or loaded, is at most
// what is estimated at the door.
func TestOpenJobsTakeNoMoreThanEstimated(t *testing.T) {
	now := newRig(t, 1).now
	for name, newJob := range map[string]func(id int) *job.Job{
		"one step":         func(id int) *job.Job { return simpleJob(id, 1) },
		"many tasks":       func(id int) *job.Job { return simpleJob(id, 10_000) },
		"a hundred steps":  func(id int) *job.Job { return manySteps(id, 100) },
		"overdue schedule": func(id int) *job.Job { s := schedule(now, 100_000); s.ID = simpleJob(id, 1).ID; return s },
	} {
		for _, term := range []uint64{1, 2} {
			t.Run(fmt.Sprintf("%s, term %d", name, term), func(t *testing.T) {
				estimated := int64(0)
				used := heapOf(func() *Core {
					var list []StoredJob
					for id := range 200 {
						j := newJob(id)
						j.Payload = string(make([]byte, 4000))
						estimated += estimateOpenMemory(j, now)
						list = append(list, StoredJob{Job: j})
					}
					if term > 1 {
						r := newRig(t, term, list...)
						r.tick(500 * time.Millisecond)
						return r.core
					}
					r := newRig(t, term)
					w := r.worker("w")
					r.answerHold(w, nil)
					for _, l := range list {
						r.core.Submit(l.Job, r.now)
					}
					r.tick(500 * time.Millisecond)
					r.core.TakeDecisions()
					return r.core
				})
				assert.Less(t, used, estimated, "bytes")
			})
		}
	}
}

// TestOneQueuesBacklogLeavesRoomForOthers guards against owners that accept more than they can hold, and against one
// caller's backlog that keeps out the jobs of others.
func TestOneQueuesBacklogLeavesRoomForOthers(t *testing.T) {
	r := newRig(t, 1)
	r.core.opt.MaxOpenJobBytes = 1000 * openJobBytes
	accept := func(queue, tenant string) (n int) {
		for range 10_000 {
			j := simpleJob(0, 10_000)
			j.ID = job.ID(fmt.Sprintf("%016d", len(r.core.jobs)))
			j.Queue, j.Tenant = queue, tenant
			d := r.core.Admit(j, r.now)
			if d.Reason != admission.NotRefused {
				assert.Equal(t, admission.Decision{Reason: admission.OwnerFull, RetryAfter: memoryRetryAfter}, d)
				return n
			}
			r.core.Submit(j, r.now)
			n++
		}
		return n
	}
	assert.False(t, r.core.AdmissionHint(r.now).MemoryScarce)
	first := accept("q", "")
	assert.InDelta(t, 420, first, 5, "half of the bound of %d with steps", r.core.opt.MaxOpenJobBytes)
	assert.True(t, r.core.AdmissionHint(r.now).MemoryScarce)
	assert.InDelta(t, first/2, accept("q", "acme"), 5, "half of the rest")
	assert.InDelta(t, first/4, accept("other", ""), 5, "half of the rest")
	assert.Less(t, r.core.openMemory.total, r.core.opt.MaxOpenJobBytes)

	for id := range r.core.openJobs {
		r.core.Cancel(id, r.now)
	}
	for len(r.core.openJobs) > 0 {
		r.core.OnCommitted(r.core.PendingRecords(29), r.now)
	}
	assert.Zero(t, r.core.openMemory.total)
	assert.Empty(t, r.core.openMemory.byAccount)
	assert.Equal(t, admission.Decision{}, r.core.Admit(manySteps(90_000, 100), r.now))
	assert.Equal(t, admission.TooLarge, r.core.Admit(manySteps(90_000, 10_000), r.now).Reason)
}

// TestOpenMemoryIsCountedAgainAfterALoad: the next owner refuses what its predecessor refused.
func TestOpenMemoryIsCountedAgainAfterALoad(t *testing.T) {
	var loaded []StoredJob
	for id := range 50 {
		loaded = append(loaded, StoredJob{Job: simpleJob(id, 1)})
	}
	loaded = append(loaded, StoredJob{Job: simpleJob(100, 1), Progress: &job.Progress{State: job.Completed}})
	r := newRig(t, 2, loaded...)
	require.EqualValues(t, 50*(openJobBytes+openStepBytes), r.core.openMemory.total)
	r.core.opt.MaxOpenJobBytes = 100 * (openJobBytes + openStepBytes)
	assert.Equal(t, admission.OwnerFull, r.core.Admit(simpleJob(200, 1), r.now).Reason)
}
