// Package placement assigns pending jobs to workers. It works on a snapshot and does
// no I/O.
package placement

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/postmount/postmount/requests/fleet"
)

// Worker is the state of one worker of the pool that placement uses.
type Worker struct {
	ID       fleet.InstanceID
	Zone     fleet.AvailabilityZone
	Rack     fleet.Rack
	Capacity fleet.Resources
	// Used sums the resources of the placed jobs: as the worker observed them if its
	// report is recent enough, else as the jobs declared them.
	Used fleet.Resources
	// Usable is false for a worker that is still joining the pool, not in service or
	// has a recorded disruption. It gets no new jobs.
	Usable bool
	// Maintained is true if no running wave has yet to take the worker out of service,
	// so that a job placed there does not have to move again.
	Maintained          bool
	ConsecutiveFailures int // tasks that failed on the worker in a row
}

// TeamUsage is a team's quota and the resources that its placed jobs declare in the
// whole fleet.
type TeamUsage struct {
	Quota fleet.Resources
	Used  fleet.Resources
	// HasQuota is false if the team may use any amount.
	HasQuota bool
}

// Policy selects how a worker is chosen.
type Policy string

// Policies. PolicyFirstFit is the baseline that measurements compare with.
const (
	PolicyBestFit  Policy = "best-fit"
	PolicyFirstFit Policy = "first-fit"
)

// Input is the snapshot of one pool.
type Input struct {
	Now     time.Time
	Jobs    []fleet.Job
	Workers []Worker
	Teams   map[string]TeamUsage
	Policy  Policy
	// PreferTightFit ignores Worker.Maintained when it ranks workers, so that the
	// tightest fit wins: less capacity is held back, but jobs may have to move again.
	PreferTightFit bool
}

// Decision is the result for one pending job.
type Decision struct {
	Job    fleet.JobName
	State  fleet.JobState // JobPlaced, JobPending or JobUnplaceable
	Worker fleet.InstanceID
	Reason string // why the job was not placed
}

// MaxConsecutiveFailures is the number of tasks failed in a row after which a
// worker gets no new jobs.
const MaxConsecutiveFailures = 3

// Plan decides on every pending job: urgent jobs first, then by deadline, then by
// submission time.
func Plan(in Input) []Decision {
	workers := slices.Clone(in.Workers)
	teams := make(map[string]TeamUsage, len(in.Teams))
	for name, t := range in.Teams {
		teams[name] = t
	}
	var out []Decision
	for _, j := range pendingInOrder(in.Jobs) {
		d := decide(in, j, workers, teams)
		out = append(out, d)
		if d.State == fleet.JobPlaced {
			reserve(workers, teams, j, d.Worker)
		}
	}
	return out
}

func pendingInOrder(jobs []fleet.Job) []fleet.Job {
	var out []fleet.Job
	for _, j := range jobs {
		if j.State == fleet.JobPending {
			out = append(out, j)
		}
	}
	slices.SortStableFunc(out, func(a, b fleet.Job) int {
		return cmp.Or(trueFirst(a.Urgent, b.Urgent), byDeadline(a, b), a.Submitted.Compare(b.Submitted))
	})
	return out
}

func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// byDeadline sorts jobs without a deadline last.
func byDeadline(a, b fleet.Job) int {
	if a.Deadline.IsZero() || b.Deadline.IsZero() {
		return trueFirst(!a.Deadline.IsZero(), !b.Deadline.IsZero())
	}
	return a.Deadline.Compare(b.Deadline)
}

// decide decides on one job. workers and teams include the jobs that the plan has
// placed before.
func decide(in Input, j fleet.Job, workers []Worker, teams map[string]TeamUsage) Decision {
	if !fitsAnywhere(workers, j.Need) {
		return Decision{Job: j.Name, State: fleet.JobUnplaceable, Reason: unplaceableReason(workers, j.Need)}
	}
	if t := teams[j.Team]; t.HasQuota && !t.Quota.Sub(t.Used).Fits(j.Need) {
		return Decision{Job: j.Name, State: fleet.JobPending, Reason: fmt.Sprintf("team %s has exhausted its quota", j.Team)}
	}
	best, reason := chooseWorker(in, workers, j)
	if best == nil {
		return Decision{Job: j.Name, State: fleet.JobPending, Reason: reason}
	}
	return Decision{Job: j.Name, State: fleet.JobPlaced, Worker: best.ID}
}

// fitsAnywhere reports whether a worker could run the job if it were empty.
func fitsAnywhere(workers []Worker, need fleet.Resources) bool {
	if len(workers) == 0 {
		return true // an empty pool may get workers later, so the job stays pending
	}
	return slices.ContainsFunc(workers, func(w Worker) bool { return w.Capacity.Fits(need) })
}

// unplaceableReason names the resource of which no worker has enough.
func unplaceableReason(workers []Worker, need fleet.Resources) string {
	var most fleet.Resources
	for _, w := range workers {
		most.Slots = max(most.Slots, w.Capacity.Slots)
		most.CPUMilli = max(most.CPUMilli, w.Capacity.CPUMilli)
		most.MemoryMB = max(most.MemoryMB, w.Capacity.MemoryMB)
		most.Accelerators = max(most.Accelerators, w.Capacity.Accelerators)
	}
	switch {
	case need.Accelerators > most.Accelerators:
		return fmt.Sprintf("asks for %d accelerators; the largest worker has %d", need.Accelerators, most.Accelerators)
	case need.MemoryMB > most.MemoryMB:
		return fmt.Sprintf("asks for %d MB of memory; the largest worker has %d", need.MemoryMB, most.MemoryMB)
	case need.CPUMilli > most.CPUMilli:
		return fmt.Sprintf("asks for %d thousandths of a core; the largest worker has %d", need.CPUMilli, most.CPUMilli)
	case need.Slots > most.Slots:
		return fmt.Sprintf("asks for %d slots; the largest worker has %d", need.Slots, most.Slots)
	default:
		return "no single worker has enough of every requested resource"
	}
}

// chooseWorker returns the worker for job j, or nil and the reason why there is none.
func chooseWorker(in Input, workers []Worker, j fleet.Job) (*Worker, string) {
	var best *Worker
	unavailable, full := 0, 0
	for i := range workers {
		w := &workers[i]
		switch {
		case !w.Usable || w.ConsecutiveFailures >= MaxConsecutiveFailures:
			unavailable++
			continue
		case !w.Capacity.Sub(w.Used).Fits(j.Need):
			full++
			continue
		}
		if best == nil {
			best = w
			if in.Policy == PolicyFirstFit {
				break
			}
			continue
		}
		if isBetter(w, best, j.Need, in.PreferTightFit) {
			best = w
		}
	}
	return best, fmt.Sprintf("no worker has room: %d full, %d unavailable", full, unavailable)
}

// isBetter reports whether worker a is a better choice than b. It prefers workers
// that need no further maintenance, then those with fewer failures, then those with
// the least free memory after placement, which keeps large gaps for large jobs.
func isBetter(a, b *Worker, need fleet.Resources, preferTightFit bool) bool {
	if a.Maintained != b.Maintained && !preferTightFit {
		return a.Maintained
	}
	if a.ConsecutiveFailures != b.ConsecutiveFailures {
		return a.ConsecutiveFailures < b.ConsecutiveFailures
	}
	freeAfter := func(w *Worker) int { return w.Capacity.MemoryMB - w.Used.MemoryMB - need.MemoryMB }
	return freeAfter(a) < freeAfter(b)
}

// reserve counts job j as placed, so that later jobs of the same plan see it.
func reserve(workers []Worker, teams map[string]TeamUsage, j fleet.Job, id fleet.InstanceID) {
	for i := range workers {
		if workers[i].ID == id {
			workers[i].Used = workers[i].Used.Add(j.Need)
		}
	}
	t := teams[j.Team]
	t.Used = t.Used.Add(j.Need)
	teams[j.Team] = t
}
