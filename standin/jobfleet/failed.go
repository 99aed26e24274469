package jobfleet

import (
	"fmt"
	"strings"

	"github.com/postmount/postmount/jobs/job"
)

// minCrashesToFail is the number of workers that a task has to crash before its job may fail.
const minCrashesToFail = 2

// setMaxAttempts records the limits of attempts of queues. Daemons may apply an earlier configuration
// for a while, so that the lowest limit counts. 0 means no limit.
func (c *Checker) setMaxAttempts(queues []job.Queue) {
	for _, q := range queues {
		if known := c.maxAttempts[q.Prefix]; q.MaxAttempts > 0 && (known == 0 || q.MaxAttempts < known) {
			c.maxAttempts[q.Prefix] = q.MaxAttempts
		}
	}
}

// mayFail reports whether the state of a job may be failed: a task, or a gang, has used all its
// attempts, or a task that crashes its workers has crashed minCrashesToFail of them. Only runs that
// ended as failed are attempts, and those of long-running tasks are not limited.
func (c *Checker) mayFail(id job.ID) bool {
	if c.hasCrasher(id) {
		return true
	}
	r := c.jobs[id]
	limit := c.maxAttempts[r.queue]
	gangs := map[gangStep]map[uint64]bool{}
	for t, tr := range c.tasks {
		if t.Job != id {
			continue
		}
		spec := &r.spec.Steps[t.Step]
		attempts := tr.failedRuns
		if spec.Gang {
			attempts = addRuns(gangs, gangStep{t.Occurrence, t.Step}, tr.failedRuns)
		}
		if limit > 0 && !spec.LongRunning && len(attempts) >= limit {
			return true
		}
	}
	return false
}

// hasCrasher reports whether a task of the job, which was made to crash its workers, ran on
// minCrashesToFail workers that crashed.
func (c *Checker) hasCrasher(id job.ID) bool {
	for t, r := range c.tasks {
		if t.Job == id && r.crashes >= minCrashesToFail && c.crashers[crasherKey(t)] {
			return true
		}
	}
	return false
}

// gangStep identifies a gang of a job. Its members have the same run numbers, and an attempt of the
// gang has failed once a member's run has.
type gangStep struct{ occurrence, step int }

// addRuns adds runs to those of a gang and returns the sum.
func addRuns(gangs map[gangStep]map[uint64]bool, g gangStep, runs map[uint64]bool) map[uint64]bool {
	if gangs[g] == nil {
		gangs[g] = map[uint64]bool{}
	}
	for run := range runs {
		gangs[g][run] = true
	}
	return gangs[g]
}

// describeFailures lists the tasks of a job that failed or lost a worker by a crash.
func (c *Checker) describeFailures(id job.ID) string {
	var out []string
	for t, r := range c.tasks {
		if t.Job == id && (len(r.failedRuns) > 0 || r.crashes > 0) {
			out = append(out, fmt.Sprintf("task %s failed %d times, and %d workers crashed while running it", t, len(r.failedRuns), r.crashes))
		}
	}
	if len(out) == 0 {
		return "no task failed, and no worker crashed while running one"
	}
	return strings.Join(out, "; ")
}
