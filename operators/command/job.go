package command

import (
	"fmt"
	"time"

	"github.com/postmount/postmount/operators/query"
	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/requests/record"
)

// maxJobsPerPool keeps the record of a pool's jobs below the store's limit of 1 MB.
const maxJobsPerPool = 2500

// defaultRunTime is the run time of a job submitted without one.
const defaultRunTime = 10 * time.Second

// submit adds jobs to a pool, and removes those that are no longer kept.
func (p *planner) submit(s *query.Submit) (Plan, error) {
	pool := fleet.PoolName(s.Pool)
	if _, err := p.pool(pool); err != nil {
		return Plan{}, err
	}
	base := p.state.Jobs[pool]
	next := &fleet.JobSet{Pool: pool}
	if base.Value != nil {
		if base.Value.Applied.Contains(p.ID) {
			return completed(base.Revision, "%d job(s) submitted to pool %s", max(s.Count, 1), pool)
		}
		next = base.Value.Clone()
	}
	next.Jobs = dropExpiredJobs(next.Jobs, p.Now)
	for _, name := range jobNames(s) {
		if next.Job(name) != nil {
			return Plan{}, refuse(CodeExists, "pool %s already has a job %q", pool, name)
		}
		next.Jobs = append(next.Jobs, p.newJob(name, s))
	}
	if len(next.Jobs) > maxJobsPerPool {
		return Plan{}, refuse(CodeNotAllowed, "pool %s would have %d jobs; at most %d are allowed", pool, len(next.Jobs), maxJobsPerPool)
	}
	next.Applied = next.Applied.Append(p.ID)
	return planWrite(p, record.JobsKey(pool), base, next)
}

// jobNames returns the names of the submitted jobs: NAME, or NAME-1 to NAME-COUNT.
func jobNames(s *query.Submit) []fleet.JobName {
	if s.Count <= 1 {
		return []fleet.JobName{fleet.JobName(s.Name)}
	}
	var out []fleet.JobName
	for i := range s.Count {
		out = append(out, fleet.JobName(fmt.Sprintf("%s-%d", s.Name, i+1)))
	}
	return out
}

func (p *planner) newJob(name fleet.JobName, s *query.Submit) fleet.Job {
	j := fleet.Job{
		Name: name, Team: s.Team, Need: resources(s.Needs), Urgent: s.Urgent, RunFor: time.Duration(s.Run),
		State: fleet.JobPending, Submitted: p.Now,
	}
	if j.RunFor == 0 {
		j.RunFor = defaultRunTime
	}
	if s.Within > 0 {
		j.Deadline = p.Now.Add(time.Duration(s.Within))
	}
	return j
}

// endedJobRetention is the minimum time, from its submission, that an ended job is
// kept.
const endedJobRetention = time.Hour

// dropExpiredJobs returns the jobs without those that ended and were submitted at
// least endedJobRetention ago.
func dropExpiredJobs(jobs []fleet.Job, now time.Time) []fleet.Job {
	var out []fleet.Job
	for _, j := range jobs {
		if !j.State.Ended() || now.Sub(j.Submitted) < endedJobRetention {
			out = append(out, j)
		}
	}
	return out
}

// cancelJobs cancels one job or all jobs of a pool in one write.
func (p *planner) cancelJobs(s *query.CancelJobs) (Plan, error) {
	pool := fleet.PoolName(s.Pool)
	base, ok := p.state.Jobs[pool]
	if !ok {
		return Plan{}, refuse(CodeUnknownName, "pool %q has no jobs", pool)
	}
	if base.Value.Applied.Contains(p.ID) {
		return completed(base.Revision, "cancelled")
	}
	next := base.Value.Clone()
	cancelled := 0
	for i := range next.Jobs {
		j := &next.Jobs[i]
		if (s.All || j.Name == fleet.JobName(s.Name)) && !j.State.Ended() {
			j.State = fleet.JobCancelled
			j.Reason = "cancelled by an operator"
			cancelled++
		}
	}
	if cancelled == 0 && !s.All {
		return Plan{}, refuse(CodeUnknownName, "pool %s has no unfinished job %q", pool, s.Name)
	}
	next.Applied = next.Applied.Append(p.ID)
	return planWrite(p, record.JobsKey(pool), base, next)
}
