package owner

import (
	"fmt"
	"slices"
	"time"

	"github.com/postmount/postmount/jobs/job"
)

// markDirty records a change of the job that has to be stored.
func (c *Core) markDirty(j *jobState) {
	j.version++
	if c.dirtyJobs[j.spec.ID] == nil {
		c.dirtyJobs[j.spec.ID] = j
		c.enqueueWrite(j)
	}
}

// markDirtyUnlessFinal is markDirty for changes that the record of an ended job does not show.
func (c *Core) markDirtyUnlessFinal(j *jobState) {
	if !j.state.Final() {
		c.markDirty(j)
	}
}

// markCrashDirty records a crash of a task of the job that has to be stored. It is stored before
// all other changes, as the next owner would not know of it if this one failed before.
func (c *Core) markCrashDirty(j *jobState) {
	c.markDirty(j)
	j.crashUnstored = true
	c.unstoredCrashes[j.spec.ID] = j
	c.toWrite.add(j)
}

// HasUrgentRecords reports whether a crash has to be stored.
func (c *Core) HasUrgentRecords() bool { return len(c.unstoredCrashes) > 0 }

// enqueueWrite appends the job to the write queue.
func (c *Core) enqueueWrite(j *jobState) {
	c.lastWriteSeq++
	j.writeSeq = c.lastWriteSeq
	c.toWrite.add(j)
}

// PendingRecords returns the next records to store, in the order of writeQueue. Together they take
// at most maxEntries entries of a transaction. A record that would be larger than the store accepts lacks what a later
// owner can do without.
func (c *Core) PendingRecords(maxEntries int) []Record {
	c.refreshCorrelations()
	var out []Record
	for j := range c.toWrite.all(c.dirtyJobs) {
		r := Record{Job: j.spec, Progress: j.progress(), Stored: j.storedVersion > 0, version: j.version}
		c.fitRecord(j, &r.Progress)
		if maxEntries -= r.TxnEntries(); maxEntries < 0 {
			break
		}
		out = append(out, r)
	}
	return out
}

// fitRecord leaves out of a record what makes it larger than the store accepts.
func (c *Core) fitRecord(j *jobState, p *job.Progress) {
	limit := c.opt.MaxRecordBytes
	if j.maxRecordBytes > 0 && (limit == 0 || j.maxRecordBytes < limit) {
		limit = j.maxRecordBytes
	}
	if limit == 0 {
		return
	}
	out := p.Fit(limit)
	reduced := out != job.LeftOut{}
	if reduced && !j.recordReduced {
		c.logDecision(Decision{Event: "record-reduced", Job: j.spec.ID, Reason: fmt.Sprintf("it takes more than %d bytes: %d crashes and %d checkpoints are left out", limit, out.Crashes, out.Checkpoints)})
	}
	j.recordReduced = reduced
}

// OnUnwritable handles a record that the store does not accept, for the given reason. Half as large a record is written
// instead, if that can be had by leaving out what a later owner can do without. Otherwise the job fails: its ends could
// never be acknowledged, and would hold up those of other jobs.
func (c *Core) OnUnwritable(r Record, reason string, now time.Time) {
	j := c.jobs[r.Job.ID]
	if j == nil || j.state.Final() {
		return
	}
	size, reducible := r.Progress.Size(), r.Progress.HasOptionalParts()
	if reducible && j.maxRecordBytes > 0 && size > j.maxRecordBytes {
		return // the next record is smaller
	}
	c.logDecision(Decision{Event: "record-unwritable", Job: j.spec.ID, Reason: reason})
	if reducible {
		j.maxRecordBytes = size / 2
		c.markDirty(j)
		return
	}
	c.finishJob(j, job.Failed, failureCause{kind: failedByRecord, record: reason}, now)
}

// trueFirst is a comparison result that orders true before false.
func trueFirst(b bool) int {
	if b {
		return -1
	}
	return 1
}

// DirtyJobs returns the number of jobs with changes to be stored.
func (c *Core) DirtyJobs() int { return len(c.dirtyJobs) }

// OnCommitted handles records that were stored.
func (c *Core) OnCommitted(records []Record, now time.Time) {
	c.counts.Commits++
	for _, r := range records {
		j := c.jobs[r.Job.ID]
		if j == nil {
			continue
		}
		j.storedVersion = max(j.storedVersion, r.version)
		if j.storedVersion < j.version {
			c.enqueueWrite(j)
			continue
		}
		delete(c.dirtyJobs, r.Job.ID)
		delete(c.unstoredCrashes, r.Job.ID)
		j.crashUnstored = false
		if j.state.Final() {
			if c.openJobs[r.Job.ID] == j {
				c.uncountOpen(j)
			}
			delete(c.openJobs, r.Job.ID)
			c.scheduleRemoval(j)
			c.logDecision(Decision{Event: "job-recorded", Job: r.Job.ID, Reason: string(j.state)})
		}
	}
	for _, r := range records {
		if j := c.jobs[r.Job.ID]; j != nil {
			c.ackStoredEnds(j, now)
			c.scheduleAfterServiceStored(j)
			c.dropSteps(j)
		}
	}
}

// dropSteps frees the steps of a job once its end is stored and it has no runs. The job itself is
// kept, as its state may be queried for long: of 5,400 jobs in half a minute, all but the open
// ones are kept only for that. As long as a worker may have runs of the job that this owner does not know,
// the specification of the steps is kept as well, which says what resources the runs hold.
func (c *Core) dropSteps(j *jobState) {
	if j.stepsDropped || !j.state.Final() || j.storedVersion < j.version || j.runs > 0 {
		return
	}
	j.steps = nil
	if j.inherited && !c.earlierRunsGone {
		c.retainSpec(j)
		return
	}
	j.stepsDropped = true
	j.spec = &job.Job{ID: j.spec.ID, Queue: j.spec.Queue, Service: j.spec.Service, Tenant: j.spec.Tenant}
}

// ackStoredEnds acknowledges the ends that waited for the job to be stored.
func (c *Core) ackStoredEnds(j *jobState, now time.Time) {
	waiters := j.ackWaiters
	j.ackWaiters = nil
	for _, w := range waiters {
		if c.workers[w.Worker] == w {
			c.advanceAck(w, now)
		}
	}
}

// progress returns the job's progress as it is stored. For a final state it has no details of
// steps.
func (j *jobState) progress() job.Progress {
	p := job.Progress{State: j.state}
	if j.state.Final() {
		p.EndedAt, p.Cause = j.endedAt, j.cause
		return p
	}
	p.State = job.Running
	p.OtherServices = j.otherServiceNames()
	p.SetDoneOccurrences(j.doneOccurrences)
	for _, s := range j.steps {
		sp := job.StepProgress{Occurrence: s.occurrence, Step: s.index}
		hasProgress := false
		for _, t := range s.tasks {
			if t.done {
				sp.Done = sp.Done.With(t.index)
				hasProgress = true
			}
			if len(t.failures) > 0 {
				sp.Failed = setEntry(sp.Failed, t.index, t.failures)
				hasProgress = true
			}
			if len(t.crashes) > 0 {
				sp.Crashed = setEntry(sp.Crashed, t.index, slices.Clone(t.crashes))
				hasProgress = true
			}
			if accepted := t.acceptedStarts(); len(accepted) > 0 {
				sp.Accepted = setEntry(sp.Accepted, t.index, accepted)
				hasProgress = true
			}
			if t.checkpoint != "" {
				sp.Checkpoint = setEntry(sp.Checkpoint, t.index, t.checkpoint)
				hasProgress = true
			}
		}
		if hasProgress {
			p.Steps = append(p.Steps, sp)
		}
	}
	if len(p.Steps) == 0 && !j.started {
		p.State = job.Queued
	}
	return p
}

func setEntry[V any](m map[int]V, k int, v V) map[int]V {
	if m == nil {
		m = map[int]V{}
	}
	m[k] = v
	return m
}

// removalRetryPause is the time until the removal of an ended job is tried again that still has runs.
const removalRetryPause = 5 * time.Second

// scheduleRemoval schedules the removal of a job whose end is stored, for twice StatusRetention after its end.
func (c *Core) scheduleRemoval(j *jobState) {
	c.removalsDue.add(j.endedAt.Add(2*c.opt.StatusRetention), j)
}

// ExpiredJobs returns how many ended jobs may be removed, at most limit.
func (c *Core) ExpiredJobs(limit int, now time.Time) int {
	return c.removalsDue.countDue(limit, now)
}

// RemoveExpired removes up to limit jobs that ended more than twice StatusRetention ago, and
// returns their IDs for removal from the store.
func (c *Core) RemoveExpired(limit int, now time.Time) []job.ID {
	var out []job.ID
	for len(out) < limit {
		j, due := c.removalsDue.popDue(now)
		if !due {
			break
		}
		if c.jobs[j.spec.ID] != j {
			continue
		}
		if j.runs > 0 || j.storedVersion < j.version {
			c.removalsDue.add(now.Add(removalRetryPause), j)
			continue
		}
		delete(c.jobs, j.spec.ID)
		out = append(out, j.spec.ID)
	}
	return out
}
