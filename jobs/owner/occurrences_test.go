package owner

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/job"
)

// schedule returns a job of which n occurrences, one a minute, are due at now, and as many later.
func schedule(now time.Time, n int, steps ...job.Step) *job.Job {
	if len(steps) == 0 {
		steps = simpleJob(1, 1).Steps
	}
	return &job.Job{ID: "5ced000000000001", Queue: "q", Service: "s", Steps: steps, Repeat: 2 * n, Interval: time.Minute,
		StartAt: now.Add(-time.Duration(n-1) * time.Minute), AcceptedAt: now}
}

// serve confirms the collected starts, counts them in started, and lets them all end on w.
func (r *rig) serve(w WorkerID, started map[job.TaskID]int) {
	var ends []RunEnd
	for _, s := range r.confirmStarts() {
		started[s.Task]++
		ends = append(ends, RunEnd{Seq: r.core.workers[w].lastSeenEnd + uint64(len(ends)) + 1, Task: s.Task, Run: s.Run, Kind: EndDone})
	}
	r.answerHold(w, nil, ends...)
	r.core.OnCommitted(r.core.PendingRecords(10), r.now)
	r.tick(25 * time.Millisecond)
}

// TestOverdueScheduleDoesNotStopTheOwner guards against an owner that starts nothing of anybody: it created all overdue
// occurrences of a schedule at once, in a time that grew with the square of their number.
func TestOverdueScheduleDoesNotStopTheOwner(t *testing.T) {
	for _, term := range []uint64{1, 2} { // submitted; loaded by the next owner
		t.Run(fmt.Sprintf("term %d", term), func(t *testing.T) {
			allocs := func(overdue int) float64 {
				r := newRig(t, 1)
				j := schedule(r.now, overdue)
				return testing.AllocsPerRun(3, func() {
					if term == 1 {
						newRig(t, 1).core.Submit(j, r.now)
					} else {
						newRig(t, 2, StoredJob{Job: j})
					}
				})
			}
			assert.InDelta(t, allocs(1000), allocs(500_000), 50, "allocations by occurrences overdue")
		})
	}
}

// TestOverdueScheduleCatchesUp guards against overdue occurrences that keep others' jobs waiting, are left out or run
// twice, and against a schedule that stops at its present.
func TestOverdueScheduleCatchesUp(t *testing.T) {
	r := newRig(t, 1)
	w := r.worker("w")
	r.answerHold(w, nil)
	const overdue = 500
	s := schedule(r.now, overdue)
	r.core.Submit(s, r.now)
	started := map[job.TaskID]int{}
	for n := range 5 {
		other := r.submit(100+n, 1)
		r.tick(25 * time.Millisecond)
		r.serve(w, started)
		r.serve(w, started)
		assert.Equal(t, 1, started[job.TaskID{Job: other.ID}], "a job that is on time")
		assert.LessOrEqual(t, len(r.core.jobs[s.ID].steps), maxUnbegunOccurrences+8, "open occurrences")
	}
	for range overdue {
		r.serve(w, started)
	}
	for k := range overdue {
		assert.Equal(t, 1, started[job.TaskID{Job: s.ID, Occurrence: k}], "occurrence %d", k)
	}
	assert.Empty(t, r.core.jobs[s.ID].steps)
	assert.Zero(t, started[job.TaskID{Job: s.ID, Occurrence: overdue}], "not due yet")
	r.answerHolds(time.Minute, nil)
	r.serve(w, started)
	last := r.core.jobs[s.ID].nextOccurrence - 1
	assert.GreaterOrEqual(t, last, overdue)
	assert.Equal(t, 1, started[job.TaskID{Job: s.ID, Occurrence: last}], "the next one, once it is due")
}

// TestScheduleGoesOnAfterAChangeOfOwner guards against occurrences that run twice or never: the next owner learns from
// the record which are done, also of one that an earlier version wrote.
func TestScheduleGoesOnAfterAChangeOfOwner(t *testing.T) {
	r := newRig(t, 1)
	w := r.worker("w")
	r.answerHold(w, nil)
	chain := []job.Step{{Count: 2, Need: job.Resources{CPUMilli: 1000}}, {Count: 1, Need: job.Resources{CPUMilli: 1000}, After: []int{0}}}
	const overdue = 90
	s := schedule(r.now, overdue, chain...)
	s.Repeat = overdue
	r.core.Submit(s, r.now)
	r.core.React(r.now)
	r.collectEffects()
	started := map[job.TaskID]int{}
	for range 20 {
		r.serve(w, started)
	}
	before := len(started)
	require.Greater(t, before, 40)
	stored := r.core.jobs[s.ID].progress()
	raw, err := json.Marshal(stored)
	require.NoError(t, err)
	assert.Less(t, len(raw), 2000, "bytes of the record: %s", raw)
	require.NoError(t, stored.Validate(s))
	assert.Negative(t, stored.Steps[0].Occurrence, "a version that does not know DoneOccurrences refuses the record")

	for name, p := range map[string]job.Progress{"same version": stored, "earlier version": expandDone(stored, s)} {
		t.Run(name, func(t *testing.T) {
			again := map[job.TaskID]int{}
			next := newRig(t, 2, StoredJob{Job: s, Progress: &p})
			v := next.worker("v")
			next.answerHold(v, nil)
			next.tick(25 * time.Millisecond)
			for range 200 {
				next.serve(v, again)
			}
			for k := range overdue {
				for step, count := range []int{2, 1} {
					for i := range count {
						id := job.TaskID{Job: s.ID, Occurrence: k, Step: step, Index: i}
						wasDone := p.DoneOccurrences.Has(k)
						for _, sp := range p.Steps {
							wasDone = wasDone || sp.Occurrence == k && sp.Step == step && sp.Done.Has(i)
						}
						assert.Equal(t, !wasDone, again[id] == 1, "%s: done before %t, started %d times", id, wasDone, again[id])
					}
				}
			}
			state, _ := next.core.State(s.ID)
			assert.Equal(t, job.Completed, state)
		})
	}
}

// expandDone returns the progress as earlier versions wrote it, with the steps of each occurrence.
func expandDone(p job.Progress, spec *job.Job) job.Progress {
	out := job.Progress{State: p.State}
	for k := range spec.Occurrences() {
		if !p.DoneOccurrences.Has(k) {
			continue
		}
		for i, s := range spec.Steps {
			sp := job.StepProgress{Occurrence: k, Step: i}
			for n := range s.Count {
				sp.Done = sp.Done.With(n)
			}
			out.Steps = append(out.Steps, sp)
		}
	}
	out.Steps = append(out.Steps, p.Steps...)
	return out
}

// TestRunOfADoneOccurrenceIsStopped guards against a task that runs twice and a worker that is filled beyond its
// capacity: a start of a done occurrence that was carried out late.
func TestRunOfADoneOccurrenceIsStopped(t *testing.T) {
	s := schedule(newRig(t, 1).now, 3)
	s.Steps[0].Need.CPUMilli = 8000
	r := newRig(t, 2, StoredJob{Job: s, Progress: &job.Progress{State: job.Running, DoneOccurrences: job.Ranges{{1, 1}}}})
	w := r.worker("w")
	late := job.TaskID{Job: s.ID, Occurrence: 1}
	r.answerHold(w, []ActiveRun{{Task: late, Run: 1_000_007, Percent: 10}})
	require.Len(t, r.out.Stops, 1)
	assert.Equal(t, late, r.out.Stops[0].Task)
	r.tick(100 * time.Millisecond)
	assert.Empty(t, r.out.Starts, "the run holds its resources until it has ended")
	r.answerHold(w, nil, RunEnd{Seq: 1, Task: late, Run: 1_000_007, Kind: EndStopped})
	r.tick(100 * time.Millisecond)
	require.Len(t, r.out.Starts, 1)
	assert.Equal(t, 0, r.out.Starts[0].Task.Occurrence)
	assert.EqualValues(t, 1, r.core.workers[w].lastAckedEnd)
	r.confirmStarts()
	r.answerHold(w, nil, RunEnd{Seq: 2, Task: late, Run: 1_000_007, Kind: EndDone}, RunEnd{Seq: 3, Task: job.TaskID{Job: s.ID}, Run: r.core.runs.last, Kind: EndDone})
	r.tick(100 * time.Millisecond)
	require.Len(t, r.out.Starts, 1)
	assert.Equal(t, 2, r.out.Starts[0].Task.Occurrence)
}

// TestRunOfALaterOccurrenceIsAdopted: an earlier owner may have been ahead of what is stored.
func TestRunOfALaterOccurrenceIsAdopted(t *testing.T) {
	const overdue = 100_000
	s := schedule(newRig(t, 1).now, overdue)
	r := newRig(t, 2, StoredJob{Job: s})
	w := r.worker("w")
	ahead := job.TaskID{Job: s.ID, Occurrence: overdue - 1}
	r.answerHold(w, []ActiveRun{{Task: ahead, Run: 1_000_007, Percent: 10}})
	r.tick(100 * time.Millisecond)
	assert.Empty(t, r.out.Stops)
	require.NotEmpty(t, r.out.Starts)
	assert.Equal(t, 0, r.out.Starts[0].Task.Occurrence)
	assert.LessOrEqual(t, len(r.core.jobs[s.ID].steps), 2*maxUnbegunOccurrences)
	r.answerHold(w, nil, RunEnd{Seq: 1, Task: ahead, Run: 1_000_007, Kind: EndDone})
	assert.Equal(t, job.Ranges{{overdue - 1, overdue - 1}}, r.core.jobs[s.ID].progress().DoneOccurrences)
}

// TestLargeOccurrencesAreOpenedInParts bounds the memory of a schedule whose occurrences have many tasks, and lets the
// next ones begin although one of their predecessors cannot end.
func TestLargeOccurrencesAreOpenedInParts(t *testing.T) {
	r := newRig(t, 1)
	w := r.worker("w")
	r.answerHold(w, nil)
	s := schedule(r.now, 100_000, job.Step{Count: maxOpenTasks / 4, Need: job.Resources{CPUMilli: 1000}},
		job.Step{Count: 1, Need: job.Resources{CPUMilli: 1000}, RequiredLabel: "none", After: []int{0}})
	r.core.Submit(s, r.now)
	assert.Len(t, r.core.jobs[s.ID].steps, 2*3, "three occurrences")
}

// TestCatchUpIsPaced guards against a schedule that takes all of its owner's time while it catches up, and against one
// that stands still although workers are free.
func TestCatchUpIsPaced(t *testing.T) {
	const perSec, seconds = 100, 4
	for _, tasks := range []int{1, 50, 500} {
		t.Run(fmt.Sprintf("%d tasks", tasks), func(t *testing.T) {
			r := newRig(t, 1)
			r.core.opt.CatchUpTasksPerSec = perSec
			w := r.worker("w")
			r.answerHold(w, nil)
			s := schedule(r.now, 100_000, job.Step{Count: tasks, Need: job.Resources{CPUMilli: 10}})
			r.core.Submit(s, r.now)
			r.core.React(r.now)
			r.collectEffects()
			started := map[job.TaskID]int{}
			serves := 0
			for began := r.now; r.now.Sub(began) < seconds*time.Second; serves++ {
				before := len(started)
				r.serve(w, started)
				assert.Greater(t, len(started), before, "something of the job starts each time")
			}
			pace := (seconds + 1) * perSec // the budget holds one second's tasks
			assert.LessOrEqual(t, len(started), pace+2*serves*tasks)
			if tasks == 1 {
				assert.GreaterOrEqual(t, len(started), pace*9/10)
			}
		})
	}
}

// TestOccurrencesThatAreDueNowAreNotPaced: those that became due during a change of owner start at once.
func TestOccurrencesThatAreDueNowAreNotPaced(t *testing.T) {
	s := schedule(newRig(t, 1).now, 8)
	s.Interval, s.StartAt = time.Second, s.AcceptedAt.Add(-7*time.Second)
	r := newRig(t, 2, StoredJob{Job: s})
	r.core.opt.CatchUpTasksPerSec = 1
	r.answerHold(r.worker("w"), nil)
	r.tick(50 * time.Millisecond)
	assert.Len(t, r.out.Starts, 8)
}

// BenchmarkOverdueSchedule measures the submission and the first scheduling pass by occurrences overdue.
func BenchmarkOverdueSchedule(b *testing.B) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, overdue := range []int{1, 1000, 500_000} {
		b.Run(fmt.Sprint(overdue), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				c := New(Options{Term: 1, TaskLease: rigLease}, &job.Catalog{Queues: []job.Queue{{Name: "q", Service: "s"}}, Services: []job.Service{{Name: "s"}}}, nil, now)
				c.Submit(schedule(now, overdue), now)
				c.Tick(now)
			}
		})
	}
}
