package owner

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/postmount/postmount/jobs/job"
)

// Events that are decisive for a job. They are rare, and no log may leave them out.
const (
	eventJobFailed   = "job-failed"
	eventTaskGivenUp = "task-given-up"
)

// UnsampledEvents returns the events of which a log has to contain every line.
func UnsampledEvents() []string { return []string{eventJobFailed, eventTaskGivenUp} }

// failureKind is the rule by which a job failed.
type failureKind int

// The kinds of failures.
const (
	notFailed        failureKind = iota // the job ended otherwise
	failedByAttempts                    // a task or a gang used up its attempts
	failedByCrashes                     // the crashes of a task are conclusive
	failedByRecord                      // the store accepts no record of the job's progress
)

// failureCause is why a job failed. The zero value stands for a job that ended otherwise.
type failureCause struct {
	kind   failureKind
	task   *task  // that made the job fail; nil with failedByRecord
	record string // what is wrong with the record, with failedByRecord
}

// count counts the failure.
func (f failureCause) count(n *Counts) {
	switch f.kind {
	case failedByAttempts:
		n.JobsFailedByAttempts++
	case failedByCrashes:
		n.JobsFailedByCrashes++
	}
}

// String describes the cause for the log and for the job's record; "" for the zero value.
func (f failureCause) String() string {
	switch f.kind {
	case failedByAttempts:
		return "attempts: " + f.task.describeAttempts()
	case failedByCrashes:
		return fmt.Sprintf("crashes: %d workers crashed while running task %s: %s", f.task.crashes.Confirmed(), f.task.id(), f.task.listCrashes())
	}
	if f.kind == failedByRecord {
		return "record: " + f.record
	}
	return ""
}

// maxListedRuns bounds the runs that a cause lists.
const maxListedRuns = 8

// listRuns joins the descriptions of the first runs and says how many are left out.
func listRuns(descriptions []string) string {
	out := strings.Join(descriptions[:min(len(descriptions), maxListedRuns)], ", ")
	if left := len(descriptions) - maxListedRuns; left > 0 {
		out += fmt.Sprintf(" and %d more", left)
	}
	return out
}

// failedRun is a failed run and the worker that reported it to this owner.
type failedRun struct {
	number uint64
	worker string // incarnation
}

// recordFailedRun records which worker reported a failed run. Like the task's failures it counts
// each run once.
func (t *task) recordFailedRun(number uint64, w *worker) {
	if !slices.ContainsFunc(t.failedRuns, func(f failedRun) bool { return f.number == number }) {
		t.failedRuns = append(t.failedRuns, failedRun{number, w.incarnation().String()})
	}
}

// describeAttempts describes the failed attempts of the task or of its gang.
func (t *task) describeAttempts() string {
	s := t.step
	what, failures, members := "task ", t.failures, []*task{t}
	if s.spec.Gang {
		what, failures, members = "the gang of task ", s.failures, s.tasks
	}
	var runs []string
	for _, number := range failures {
		runs = append(runs, describeFailedRun(number, members))
	}
	return fmt.Sprintf("%s%s failed %d times, queue %s allows %d attempts: %s", what, t.id(), len(failures), s.job.queue.Name, s.job.queue.MaxAttempts, listRuns(runs))
}

// describeFailedRun describes a failed run of one of the tasks.
func describeFailedRun(number uint64, tasks []*task) string {
	run := "run " + strconv.FormatUint(number, 10)
	for _, t := range tasks {
		for _, f := range t.failedRuns {
			if f.number == number {
				return run + " on " + f.worker
			}
		}
	}
	return run + " reported to an earlier owner"
}

// listCrashes describes the task's confirmed crashes.
func (t *task) listCrashes() string {
	var runs []string
	for _, k := range t.crashes {
		if k.Unconfirmed() {
			continue
		}
		d := t.crashDetail(k.Run)
		worker := d.worker
		if worker == "" {
			worker = "an unknown worker"
		}
		runs = append(runs, fmt.Sprintf("run %d on %s (%s)", k.Run, worker, strings.Join(append(crashProperties(&k), d.String()), ", ")))
	}
	return listRuns(runs)
}

// crashProperties names the properties that a crash has.
func crashProperties(k *job.Crash) []string {
	var out []string
	if k.AtStart {
		out = append(out, "at start")
	}
	if k.SoleSuspect {
		out = append(out, "sole suspect")
	}
	out = append(out, fmt.Sprintf("probability of coincidence %.2g", k.Coincidence))
	return out
}

// restoreCause keeps the cause that an earlier owner stored, and logs it: the log of the owner that
// decided may be lost.
func (c *Core) restoreCause(j *jobState, cause string) {
	if j.state != job.Failed {
		return
	}
	j.cause = job.BoundCause(cause)
	reason := j.cause
	if reason == "" {
		reason = "no cause is stored"
	}
	c.logDecision(Decision{Event: "job-failed-earlier", Job: j.spec.ID, Reason: reason})
}
