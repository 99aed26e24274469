package jobload

import (
	"fmt"
	"math"
	"time"

	"github.com/postmount/postmount/jobs/admission"
	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/owner"
)

// scheduleArrivals submits the jobs of a queue as a Poisson process whose rate follows the
// queue's rate factor.
func (s *sim) scheduleArrivals(q Queue) {
	const rateInterval = 10 * time.Millisecond // time between two samples of the rate
	s.engine.after(rateInterval, func() {
		if s.engine.elapsed() > s.scenario.Length {
			return
		}
		due := q.PerSecond * q.RateFactor(s.engine.elapsed()) * rateInterval.Seconds()
		for ; due > 0; due-- {
			if s.rand.Float64() < due {
				s.submit(q, 1)
			}
		}
		s.addTenantArrivals(q, rateInterval)
		s.scheduleArrivals(q)
	})
}

// addTenantArrivals submits the jobs by which tenants exceed their usual rates.
func (s *sim) addTenantArrivals(q Queue, interval time.Duration) {
	for n, t := range s.scenario.Tenants {
		if t.RateFactor == nil {
			continue
		}
		extra := t.RateFactor(s.engine.elapsed()) - 1
		due := q.PerSecond * q.RateFactor(s.engine.elapsed()) * t.Weight / s.totalWeight() * extra * interval.Seconds()
		for ; due > 0; due-- {
			if s.rand.Float64() < due {
				s.submitFor(q, 1, tenantName(n))
			}
		}
	}
}

func (s *sim) totalWeight() float64 {
	sum := 0.0
	for _, t := range s.scenario.Tenants {
		sum += t.Weight
	}
	return sum
}

func tenantName(n int) string { return fmt.Sprintf("t%02d", n) }

// drawTenant draws a tenant by weight, "" if there are none.
func (s *sim) drawTenant() string {
	if len(s.scenario.Tenants) == 0 {
		return ""
	}
	left := s.rand.Float64() * s.totalWeight()
	for n, t := range s.scenario.Tenants {
		if left -= t.Weight; left < 0 {
			return tenantName(n)
		}
	}
	return tenantName(len(s.scenario.Tenants) - 1)
}

// submit makes a caller submit a new job of a queue, with widthFactor times the usual number of
// tasks in each step.
func (s *sim) submit(q Queue, widthFactor int) { s.submitFor(q, widthFactor, s.drawTenant()) }

func (s *sim) submitFor(q Queue, widthFactor int, tenant string) {
	s.result.Jobs++
	spec := &job.Job{ID: job.ID(fmt.Sprintf("%016x", s.result.Jobs)), Queue: q.Name, Service: q.Name, Tenant: tenant}
	j := &simJob{spec: spec, submittedAt: s.engine.now}
	for n := range s.stepCount(q.Kind) {
		mean := time.Duration(s.logNormal(float64(q.Kind.TaskDuration)))
		step := job.Step{
			Count: max(1, int(s.logNormal(float64(q.Kind.Width)))) * widthFactor,
			Need:  job.Resources{CPUMilli: int(s.logNormal(float64(q.Kind.CPUMilli))), MemMB: int(s.logNormal(float64(q.Kind.MemMB)))},
		}
		step.Estimate = time.Duration(float64(mean) * (1 + q.Kind.EstimateError*(2*s.rand.Float64()-1)))
		if n > 0 {
			step.After = []int{n - 1}
		}
		var durations []time.Duration
		for range step.Count {
			durations = append(durations, time.Duration(float64(mean)*(0.8+0.4*s.rand.Float64())))
		}
		spec.Steps = append(spec.Steps, step)
		j.durations = append(j.durations, durations)
	}
	s.jobs[spec.ID] = j
	s.result.JobsBySecond[s.submitSecond(j)]++
	s.attemptSubmit(j, 0)
}

// stepCount draws the number of steps of a job: the mean rounded up or down, at least 1, so that
// the average is the mean.
func (s *sim) stepCount(k JobKind) int {
	whole := int(k.Steps)
	if s.rand.Float64() < k.Steps-float64(whole) {
		whole++
	}
	return max(1, whole)
}

// sizeSpread is the standard deviation of the logarithm of a size: a tenth of the sizes are more than
// twice the median. The users' requirements give 0.45 to 0.6.
const sizeSpread = 0.55

// logNormal draws a log-normally distributed value with that mean, capped at four times the mean.
func (s *sim) logNormal(mean float64) float64 {
	return mean * min(4, math.Exp(sizeSpread*s.rand.NormFloat64()-sizeSpread*sizeSpread/2))
}

// attemptSubmit is attempt n, counted from 0, of a caller to submit a job.
func (s *sim) attemptSubmit(j *simJob, n int) {
	if !s.storeUnavailable() && !s.refuses(j) {
		j.spec.AcceptedAt = s.engine.now
		s.stored = append(s.stored, j)
		s.deliver(Submission, s.term, func(c *owner.Core) { c.Submit(j.spec, s.engine.now) })
		return
	}
	if n+1 == len(submitAttempts) {
		s.result.Refused++
		s.owe(j, 0)
		s.countLate(j)
		return
	}
	s.engine.after(submitAttempts[n+1]-submitAttempts[n], func() { s.attemptSubmit(j, n+1) })
}

func (s *sim) taskDuration(t job.TaskID) time.Duration {
	return s.jobs[t.Job].durations[t.Step][t.Index]
}

// submitSecond returns the second of virtual time in which the job was first submitted.
func (s *sim) submitSecond(j *simJob) int { return int(j.submittedAt.Sub(s.engine.begin).Seconds()) }

// jobEnded counts a job as on time or late. The time since its first submission counts, and a job
// that didn't complete is late.
func (s *sim) jobEnded(j *simJob, state job.State) {
	if j.ended {
		return
	}
	j.ended = true
	allowed := time.Duration(objectiveFactor*float64(j.stepsDuration())) + objectiveOffset
	took := s.engine.now.Sub(j.submittedAt)
	if state == job.Completed && took <= allowed {
		s.result.InTime++
		s.owe(j, 1)
		return
	}
	s.result.Late++
	if state == job.Completed && took <= uselessAfter*allowed {
		s.owe(j, lateWorth)
	} else {
		s.result.Failed++
		s.owe(j, 0)
	}
	s.countLate(j)
}

// Parameters of the users' prices: a job that takes longer than allowed is worth lateWorth, and one
// that takes longer than uselessAfter times that nothing.
const (
	uselessAfter = 3
	lateWorth    = 1.0 / 14
)

// owe adds a job to the worth owed, and the earned share of it to the worth earned. A job is worth
// 0.3 and 0.7 times its work compared with that of a mean job of its queue, at most 4.
func (s *sim) owe(j *simJob, share float64) {
	work := 0.0
	for n, step := range j.durations {
		for _, d := range step {
			work += d.Seconds() * float64(j.spec.Steps[n].Need.CPUMilli) / 1000
		}
	}
	kind := s.kindOf(j.spec.Queue)
	s.sizes = append(s.sizes, servedSize{j.spec.Queue, work, share > 0})
	mean := kind.Steps * float64(kind.Width) * float64(kind.CPUMilli) / 1000 * kind.TaskDuration.Seconds()
	worth := min(4, 0.3+0.7*work/mean) * mean
	s.owed += worth
	s.earned += share * worth
}

func (s *sim) kindOf(queue string) JobKind {
	for _, q := range s.scenario.Queues {
		if q.Name == queue {
			return q.Kind
		}
	}
	return JobKind{}
}

// refuses asks the owner whether to accept a job.
func (s *sim) refuses(j *simJob) bool {
	if s.scenario.AdmissionPolicy == "" || s.core == nil {
		return false
	}
	if h := s.core.AdmissionHint(s.engine.now); !h.MustAsk(j.spec) {
		return false
	}
	d := s.core.Admit(j.spec, s.engine.now)
	if d.Reason != admission.NotRefused {
		s.result.Refusals++
	}
	return d.Reason != admission.NotRefused
}

// countLate counts a job that is late, refused or open at the end.
func (s *sim) countLate(j *simJob) {
	s.result.LateBySecond[s.submitSecond(j)]++
	s.result.LateByQueue[j.spec.Queue]++
}

// stepsDuration returns the minimum duration of the job: the sum of the longest tasks of its steps.
func (j *simJob) stepsDuration() time.Duration {
	var sum time.Duration
	for _, step := range j.durations {
		var longest time.Duration
		for _, t := range step {
			longest = max(longest, t)
		}
		sum += longest
	}
	return sum
}
