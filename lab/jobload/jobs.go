package jobload

import (
	"fmt"
	"math"
	"time"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/owner"
)

// arrive submits a job of the queue when the next one is due. Arrivals are a Poisson
// process whose rate follows the queue's shape.
func (s *sim) arrive(q Queue) {
	const look = 10 * time.Millisecond // time between two looks at the shape
	s.engine.after(look, func() {
		if s.engine.elapsed() > s.scenario.Length {
			return
		}
		due := q.PerSecond * q.RateFactor(s.engine.elapsed()) * look.Seconds()
		for ; due > 0; due-- {
			if s.rand.Float64() < due {
				s.submit(q, 1)
			}
		}
		s.arrive(q)
	})
}

// submit lets a caller submit a job that is so many times as wide as usual.
func (s *sim) submit(q Queue, wide int) {
	s.result.Jobs++
	spec := &job.Job{ID: job.ID(fmt.Sprintf("%016x", s.result.Jobs)), Queue: q.Name, Service: q.Name}
	j := &simJob{spec: spec, first: s.engine.now}
	for n := range s.steps(q.Kind) {
		mean := time.Duration(s.around(float64(q.Kind.Task)))
		step := job.Step{
			Count: max(1, int(s.around(float64(q.Kind.Width)))) * wide,
			Need:  job.Resources{CPUMilli: int(s.around(float64(q.Kind.CPUMilli))), MemMB: int(s.around(float64(q.Kind.MemMB)))},
		}
		step.Estimate = time.Duration(float64(mean) * (1 + q.Kind.EstimateError*(2*s.rand.Float64()-1)))
		if n > 0 {
			step.After = []int{n - 1}
		}
		var takes []time.Duration
		for range step.Count {
			takes = append(takes, time.Duration(float64(mean)*(0.8+0.4*s.rand.Float64())))
		}
		spec.Steps = append(spec.Steps, step)
		j.takes = append(j.takes, takes)
	}
	s.jobs[spec.ID] = j
	s.result.JobsBySecond[s.second(j)]++
	s.try(j, 0)
}

// steps returns the number of steps of a job: the mean's neighbours, by their share.
func (s *sim) steps(k JobKind) int {
	whole := int(k.Steps)
	if s.rand.Float64() < k.Steps-float64(whole) {
		whole++
	}
	return max(1, whole)
}

// sizeSpread is the standard deviation of the logarithm of a size: one in ten is over
// twice the median. The users' sheets give 0.45 to 0.6.
const sizeSpread = 0.55

// around returns a value that is spread log-normally and has that mean, four times as
// much at most.
func (s *sim) around(mean float64) float64 {
	return mean * min(4, math.Exp(sizeSpread*s.rand.NormFloat64()-sizeSpread*sizeSpread/2))
}

// try is a caller's try with the given number.
func (s *sim) try(j *simJob, n int) {
	if !s.storeAway() {
		j.spec.AcceptedAt = s.engine.now
		s.stored = append(s.stored, j)
		s.tell(Submission, s.term, func(c *owner.Core) { c.Submit(j.spec, s.engine.now) })
		return
	}
	if n+1 == len(tries) {
		s.result.Refused++
		s.late(j)
		return
	}
	s.engine.after(tries[n+1]-tries[n], func() { s.try(j, n+1) })
}

func (s *sim) takes(t job.TaskID) time.Duration { return s.jobs[t.Job].takes[t.Step][t.Index] }

func (s *sim) second(j *simJob) int { return int(j.first.Sub(s.engine.begin).Seconds()) }

// ended judges a job by the time that its caller saw.
func (s *sim) ended(j *simJob, state job.State) {
	if j.ended {
		return
	}
	j.ended = true
	allowed := time.Duration(stretch*float64(j.chain())) + objective
	if state == job.Completed && s.engine.now.Sub(j.first) <= allowed {
		s.result.InTime++
		return
	}
	s.result.Late++
	s.late(j)
}

func (s *sim) late(j *simJob) {
	s.result.LateBySecond[s.second(j)]++
	s.result.LateByQueue[j.spec.Queue]++
}

// chain returns how long the job's steps take one after another.
func (j *simJob) chain() time.Duration {
	var sum time.Duration
	for _, step := range j.takes {
		var longest time.Duration
		for _, t := range step {
			longest = max(longest, t)
		}
		sum += longest
	}
	return sum
}
