package owner

import (
	"time"

	"github.com/postmount/postmount/jobs/admission"
	"github.com/postmount/postmount/jobs/job"
)

// What is accepted has to be held by this owner and loaded by the next one, so that open jobs have a bound in memory.
// It is shared by dynamic thresholds: the jobs of one queue and tenant may take as much as is left free. One caller's
// backlog thus takes half of the bound at most, and leaves room for the jobs of others.

// Estimated memory of open jobs, measured by TestOpenJobsTakeNoMoreThanEstimated.
const (
	openJobBytes  = 8_000 // of a job without its steps, with a payload of 4,000 bytes
	openStepBytes = 1_500 // of a step of an open occurrence, with one task that has a state
)

// memoryRetryAfter is when a job should be submitted again that was refused for lack of memory: much longer than the
// task of a small job takes.
const memoryRetryAfter = 5 * time.Second

// openAccount is whose jobs are counted together.
type openAccount struct{ queue, tenant string }

// openMemory is the estimated memory of the open jobs.
type openMemory struct {
	total     int64
	byAccount map[openAccount]int64
}

func accountOf(spec *job.Job) openAccount { return openAccount{spec.Queue, spec.Tenant} }

// add adds n bytes to the account.
func (m *openMemory) add(a openAccount, n int64) {
	m.total += n
	m.byAccount[a] += n
	if m.byAccount[a] == 0 {
		delete(m.byAccount, a)
	}
}

// estimateOpenMemory returns the memory that an open job takes, in bytes. Of a job that repeats, as many occurrences are
// open as are due when it is submitted, up to the bound of those that have not begun.
func estimateOpenMemory(spec *job.Job, now time.Time) int64 {
	occurrences := 1
	if spec.Repeat > 0 && spec.Interval > 0 && spec.StartAt.Before(now) {
		due := 1 + int(min(now.Sub(spec.StartAt)/spec.Interval, maxUnbegunOccurrences))
		occurrences = max(1, min(due, spec.Repeat, maxUnbegunOccurrences, maxOpenTasks/max(1, spec.TasksPerOccurrence())))
	}
	return openJobBytes + int64(occurrences)*int64(len(spec.Steps))*openStepBytes
}

// countOpen adds the job to the open ones, or removes it from them.
func (c *Core) countOpen(j *jobState) {
	if j.openBytes == 0 {
		j.openBytes = estimateOpenMemory(j.spec, j.knownAt)
	}
	c.openMemory.add(accountOf(j.spec), j.openBytes)
}

func (c *Core) uncountOpen(j *jobState) { c.openMemory.add(accountOf(j.spec), -j.openBytes) }

// refuseByMemory decides whether there is room for the job among the open ones.
func (c *Core) refuseByMemory(spec *job.Job, now time.Time) admission.Decision {
	limit := c.opt.MaxOpenJobBytes
	if limit == 0 {
		return admission.Decision{}
	}
	need := estimateOpenMemory(spec, now)
	if 2*need > limit {
		return admission.Decision{Reason: admission.TooLarge}
	}
	if c.openMemory.byAccount[accountOf(spec)]+need <= limit-c.openMemory.total {
		return admission.Decision{}
	}
	return admission.Decision{Reason: admission.OwnerFull, RetryAfter: memoryRetryAfter}
}

// scarceFraction is the part of the bound, 1/scarceFraction, above which other daemons ask the owner before they accept
// a job. What they accept until they hear of it has room.
const scarceFraction = 8

// isMemoryScarce reports whether other daemons have to ask before they accept a job.
func (c *Core) isMemoryScarce() bool {
	return c.opt.MaxOpenJobBytes > 0 && c.openMemory.total > c.opt.MaxOpenJobBytes/scarceFraction
}
