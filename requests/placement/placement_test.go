package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/postmount/postmount/requests/fleet"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func worker(id string, change func(*Worker)) Worker {
	w := Worker{ID: fleet.InstanceID(id), Capacity: fleet.Resources{CPUMilli: 32000, MemoryMB: 131072, Accelerators: 2}, Usable: true}
	if change != nil {
		change(&w)
	}
	return w
}

func job(name string, memory int, change func(*fleet.Job)) fleet.Job {
	j := fleet.Job{Name: fleet.JobName(name), State: fleet.JobPending, Need: fleet.Resources{CPUMilli: 1000, MemoryMB: memory}, Submitted: t0}
	if change != nil {
		change(&j)
	}
	return j
}

func TestPlanOneJob(t *testing.T) {
	for _, tc := range []struct {
		name    string
		workers []Worker
		job     fleet.Job
		want    Decision
	}{
		{"tightest fit", []Worker{worker("a", nil), worker("b", func(w *Worker) { w.Used.MemoryMB = 100000 })}, job("j", 1000, nil),
			Decision{Job: "j", State: fleet.JobPlaced, Worker: "b"}},
		{"maintained worker before a tighter fit", []Worker{worker("a", func(w *Worker) { w.Maintained = true }), worker("b", func(w *Worker) { w.Used.MemoryMB = 100000 })}, job("j", 1000, nil),
			Decision{Job: "j", State: fleet.JobPlaced, Worker: "a"}},
		{"not on a worker with too many failures", []Worker{worker("a", func(w *Worker) { w.ConsecutiveFailures = MaxConsecutiveFailures }), worker("b", nil)}, job("j", 1000, nil),
			Decision{Job: "j", State: fleet.JobPlaced, Worker: "b"}},
		{"not on an unusable worker", []Worker{worker("a", func(w *Worker) { w.Usable = false })}, job("j", 1000, nil),
			Decision{Job: "j", State: fleet.JobPending, Reason: "no worker has room: 0 full, 1 unavailable"}},
		{"larger than any worker", []Worker{worker("a", nil)}, job("j", 1000, func(j *fleet.Job) { j.Need.Accelerators = 4 }),
			Decision{Job: "j", State: fleet.JobUnplaceable, Reason: "asks for 4 accelerators; the largest worker has 2"}},
		{"no free capacity", []Worker{worker("a", func(w *Worker) { w.Used.MemoryMB = 131072 })}, job("j", 1000, nil),
			Decision{Job: "j", State: fleet.JobPending, Reason: "no worker has room: 1 full, 0 unavailable"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := Plan(Input{Now: t0, Jobs: []fleet.Job{tc.job}, Workers: tc.workers, Policy: PolicyBestFit})
			assert.Equal(t, []Decision{tc.want}, got)
		})
	}
}

func TestUrgentJobsFirstThenByDeadline(t *testing.T) {
	jobs := []fleet.Job{
		job("old", 1, nil),
		job("late", 1, func(j *fleet.Job) { j.Deadline = t0.Add(time.Hour) }),
		job("soon", 1, func(j *fleet.Job) { j.Deadline = t0.Add(time.Minute) }),
		job("urgent", 1, func(j *fleet.Job) { j.Urgent = true }),
	}
	var order []fleet.JobName
	for _, d := range Plan(Input{Now: t0, Jobs: jobs, Workers: []Worker{worker("a", nil)}}) {
		order = append(order, d.Job)
	}
	assert.Equal(t, []fleet.JobName{"urgent", "soon", "late", "old"}, order)
}

func TestQuotaCountsJobsPlacedInTheSamePlan(t *testing.T) {
	var jobs []fleet.Job
	for i := range 3 {
		jobs = append(jobs, job(fmt.Sprint(i), 1000, func(j *fleet.Job) { j.Team = "t" }))
	}
	quota := TeamUsage{Quota: fleet.Resources{CPUMilli: 2000, MemoryMB: 10000}, HasQuota: true}
	got := Plan(Input{Now: t0, Jobs: jobs, Workers: []Worker{worker("a", nil)}, Teams: map[string]TeamUsage{"t": quota}})
	assert.Equal(t, fleet.JobPlaced, got[1].State)
	assert.Equal(t, Decision{Job: "2", State: fleet.JobPending, Reason: "team t has exhausted its quota"}, got[2])
}
