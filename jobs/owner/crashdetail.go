package owner

import (
	"slices"
	"time"

	"github.com/postmount/postmount/jobs/job"
)

// lossObservation is how this owner knows of the loss of contact to a run's worker.
type lossObservation int

// The observations.
const (
	lossObserved      lossObservation = iota // this owner lost contact
	lossOfEarlierTerm                        // an earlier owner stored the crash
)

var lossDescriptions = [...]string{"contact lost by this owner", "recorded by an earlier owner"}

// crashDetail is what this owner knows of a run whose worker may have crashed, beyond the record
// in job.Crash. It is used for logs and causes only, and is not stored.
type crashDetail struct {
	run    uint64
	worker string // incarnation; "": not known
	loss   lossObservation
	// The following are known once this owner has lost contact.
	startedHere    bool           // this owner sent the start
	lostAt         time.Time      // when contact was lost
	longestRun     time.Duration  // from the first start sent until then
	startConfirmed bool           // the worker accepted the start or listed the run
	startLost      bool           // no start of the run can have arrived
	suspects       *crashSuspects // as likely to have crashed the worker, this task included; nil: not known
}

// crashDetail returns the details of a crash of the run's worker.
func (r *run) crashDetail() crashDetail {
	d := crashDetail{run: r.number, worker: r.worker.incarnation().String(), startedHere: !r.firstSentAt.IsZero(), startConfirmed: r.startConfirmed}
	d.startLost = !r.startConfirmed && r.startsSent > 0 && r.startsUndelivered == r.startsSent
	if lostAt := r.worker.contactLoss.lostAt; !lostAt.IsZero() {
		d.lostAt = lostAt
		d.longestRun = max(0, lostAt.Sub(r.firstSentAt))
	}
	return d
}

// String describes the details in the log.
func (d crashDetail) String() string {
	if d.loss != lossObserved {
		return lossDescriptions[d.loss]
	}
	start := "start not answered"
	switch {
	case d.startConfirmed:
		start = "start answered"
	case d.startLost:
		start = "connection refused before a start can have arrived"
	}
	length := "started by an earlier owner"
	if d.startedHere {
		length = "on its worker for at most " + d.longestRun.Round(time.Millisecond).String()
	}
	return length + ", " + start + ", " + lossDescriptions[d.loss]
}

// setCrashDetail records the details of a crash and drops those of crashes that the task no longer
// has.
func (t *task) setCrashDetail(d crashDetail) {
	t.crashDetails = slices.DeleteFunc(t.crashDetails, func(o crashDetail) bool { return o.run == d.run || t.crashes.Find(o.run) == nil })
	t.crashDetails = append(t.crashDetails, d)
}

// updateCrashDetail records the details of an unconfirmed crash of the run's worker, if there is
// one.
func (r *run) updateCrashDetail() {
	if k := r.task.crashes.Find(r.number); k != nil && k.Unconfirmed() {
		d := r.crashDetail()
		d.suspects = r.task.crashDetail(r.number).suspects
		r.task.setCrashDetail(d)
	}
}

// crashDetail returns the details of a run's crash.
func (t *task) crashDetail(run uint64) crashDetail {
	for _, d := range t.crashDetails {
		if d.run == run {
			return d
		}
	}
	return crashDetail{run: run, loss: lossOfEarlierTerm}
}

// logRuledOut logs that an unconfirmed crash of the task was none.
func (c *Core) logRuledOut(t *task, k job.Crash, why string) {
	c.logDecision(Decision{Event: "crash-ruled-out", Job: t.step.job.spec.ID, Task: t.id().String(), Worker: parseIncarnation(k.Worker).worker, Run: k.Run,
		Reason: why + "; " + t.crashDetail(k.Run).String()})
}

// ruleOutCrash removes the unconfirmed crash recorded for a run, if there is one, here and in the store:
// the next owner would confirm it.
func (c *Core) ruleOutCrash(r *run, why string) {
	k := r.task.crashes.Find(r.number)
	if k == nil || !k.Unconfirmed() {
		return
	}
	c.logRuledOut(r.task, *k, why)
	r.task.crashes = r.task.crashes.Without(func(k job.Crash) bool { return k.Run == r.number })
	c.markDirtyUnlessFinal(r.task.step.job)
}

// recordStartOutcome records on the run whether its start was answered or cannot have arrived.
func (w *worker) recordStartOutcome(o Start, a Answer) {
	r := w.runs[o.Task]
	if r == nil || r.number != o.Run {
		return
	}
	switch {
	case a.Outcome == Accepted:
		r.startConfirmed = true
	case a.Outcome == NotSent || a.ConnRefused:
		r.startsUndelivered++
	}
}

// countUnplannedEnd counts the end of an incarnation that neither an order of this owner nor a
// drain explains. Workers that have not answered this owner may have ended before its term.
func (c *Core) countUnplannedEnd(w *worker) {
	if w.answeredThisOwner && !w.endsAsPlanned() {
		c.counts.UnplannedEnds++
	}
}
