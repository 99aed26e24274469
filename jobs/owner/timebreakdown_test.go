package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/job"
)

// lateBreakdowns takes the logged decisions and returns the time breakdowns among them.
func (r *rig) lateBreakdowns() []TimeBreakdown {
	var out []TimeBreakdown
	for _, d := range r.core.TakeDecisions() {
		if d.TimeBreakdown != nil {
			out = append(out, *d.TimeBreakdown)
		}
	}
	return out
}

// TestTimeBreakdownOfLateJob: a task waits for capacity, fails once and then exceeds its
// estimate. The breakdown has each of these times, and they add up to the total.
func TestTimeBreakdownOfLateJob(t *testing.T) {
	r := newRig(t, 1)
	a := r.worker("a")
	r.answerHold(a, nil)
	r.submit(1, 8) // fills the worker
	first := r.confirmStarts()
	require.Len(t, first, 8)

	j := simpleJob(2, 1)
	j.AcceptedAt = r.now
	r.core.Submit(j, r.now)
	r.tick(5 * time.Second) // no free capacity
	ends := []RunEnd{}
	for i, s := range first { // the worker's capacity becomes free
		ends = append(ends, RunEnd{Seq: uint64(i + 1), Task: s.Task, Run: s.Run, Kind: EndDone})
	}
	r.answerHold(a, nil, ends...)
	r.tick(25 * time.Millisecond)
	second := r.confirmStarts()
	require.Len(t, second, 1)
	r.tick(500 * time.Millisecond)
	r.answerHold(a, nil, RunEnd{Seq: 9, Task: second[0].Task, Run: second[0].Run, Kind: EndFailed})
	r.tick(1500 * time.Millisecond) // it waits for another worker, but there is none
	third := r.confirmStarts()
	require.Len(t, third, 1)
	r.tick(3 * time.Second)
	r.core.TakeDecisions()
	r.answerHold(a, nil, RunEnd{Seq: 10, Task: third[0].Task, Run: third[0].Run, Kind: EndDone})
	late := r.lateBreakdowns()
	require.Len(t, late, 1)
	spent := late[0].Spent
	assert.InDelta(t, 5.0, spent[CausePoolShort].Seconds(), 0.1)
	assert.GreaterOrEqual(t, spent[CauseRunFailed], 500*time.Millisecond)
	assert.InDelta(t, 1.0, spent[CauseWork].Seconds(), 0.01, "the estimate")
	assert.GreaterOrEqual(t, spent[CauseSlowTask], 1900*time.Millisecond)
	var sum time.Duration
	for _, d := range spent {
		sum += d
	}
	assert.Equal(t, late[0].Total, sum)
}

// TestNoTimeBreakdownOfJobInTime: only late jobs are logged.
func TestNoTimeBreakdownOfJobInTime(t *testing.T) {
	r := newRig(t, 1)
	a := r.worker("a")
	r.answerHold(a, nil)
	j := simpleJob(1, 1)
	j.AcceptedAt = r.now
	r.core.Submit(j, r.now)
	r.tick(0)
	s := r.confirmStarts()
	require.Len(t, s, 1)
	r.tick(time.Second)
	r.answerHold(a, nil, RunEnd{Seq: 1, Task: s[0].Task, Run: s[0].Run, Kind: EndDone})
	assert.Equal(t, job.Completed, r.core.jobs[j.ID].state)
	assert.Empty(t, r.lateBreakdowns())
}

// TestEndedJobsAreStoredFirst: a caller sees the final state only once it is stored.
func TestEndedJobsAreStoredFirst(t *testing.T) {
	r := newRig(t, 1)
	for n := range 40 {
		j := simpleJob(n, 1)
		r.core.Submit(j, r.now)
		r.core.markDirty(r.core.jobs[j.ID])
	}
	last := simpleJob(39, 1).ID
	r.core.Cancel(last, r.now)
	records := r.core.PendingRecords(3)
	require.Len(t, records, 3)
	assert.Equal(t, last, records[0].Job.ID)
}

// TestBusyJobsDontStarveOthersOfWrites: jobs whose tasks end all the time must not keep
// other jobs from being stored.
func TestBusyJobsDontStarveOthersOfWrites(t *testing.T) {
	r := newRig(t, 1)
	const jobs, batch = 100, 10
	for n := range jobs {
		j := simpleJob(n, 1)
		r.core.Submit(j, r.now)
		r.core.markDirty(r.core.jobs[j.ID])
	}
	seen := map[job.ID]bool{}
	for range jobs / batch {
		records := r.core.PendingRecords(batch)
		for _, rec := range records {
			seen[rec.Job.ID] = true
			r.core.markDirty(r.core.jobs[rec.Job.ID]) // another task of it ends during the write
		}
		r.core.OnCommitted(records, r.now)
	}
	assert.Len(t, seen, jobs)
}
