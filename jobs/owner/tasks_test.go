package owner

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/job"
)

// heapOf returns the bytes that the value made by f keeps on the heap.
func heapOf[T any](f func() T) int64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	v := f()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(v)
	return int64(after.HeapAlloc) - int64(before.HeapAlloc)
}

// maxBytesPerWaitingTask is the memory that a task may take while nothing has happened to it.
const maxBytesPerWaitingTask = 8

// TestWaitingTasksTakeNoMemory guards against owners that run out of memory one after the other: one consumer's 120 jobs
// of 10,000 tasks, which wait for a place, took 700 MB at each of them.
func TestWaitingTasksTakeNoMemory(t *testing.T) {
	const jobs, tasks = 120, 10_000
	for name, step := range map[string]job.Step{
		"too large":      {Need: job.Resources{CPUMilli: 9000}},
		"waiting":        {Need: job.Resources{CPUMilli: 8000}},
		"gang":           {Need: job.Resources{CPUMilli: 1000}, Gang: true},
		"speculative":    {Need: job.Resources{CPUMilli: 8000}, Speculative: true},
		"long-running":   {Need: job.Resources{CPUMilli: 8000}, LongRunning: true},
		"max per worker": {Need: job.Resources{CPUMilli: 10}, MaxPerWorker: 1},
	} {
		for _, term := range []uint64{1, 2} { // submitted; loaded by the next owner
			t.Run(fmt.Sprintf("%s, term %d", name, term), func(t *testing.T) {
				var list []StoredJob
				for n := range jobs {
					j := simpleJob(n, tasks)
					step.Count = tasks
					j.Steps = []job.Step{step, {Count: 1, After: []int{0}}}
					list = append(list, StoredJob{Job: j})
				}
				used := heapOf(func() *rig {
					var r *rig
					if term == 1 {
						r = newRig(t, 1)
						for _, l := range list {
							r.core.Submit(l.Job, r.now)
						}
					} else {
						r = newRig(t, term, list...)
					}
					w := r.worker("w")
					r.answerHold(w, nil)
					r.tick(500 * time.Millisecond)
					require.LessOrEqual(t, len(r.out.Starts), 1+jobs, "the worker is full")
					r.core.TakeDecisions()
					return r
				})
				assert.Less(t, used, int64(jobs*tasks*maxBytesPerWaitingTask), "bytes")
			})
		}
	}
}

// TestTasksStartInTheirOrder: tasks without a state are started after those that have one, each once, also if a worker
// lists one of the last first.
func TestTasksStartInTheirOrder(t *testing.T) {
	j := simpleJob(1, 20)
	r := newRig(t, 2, StoredJob{Job: j, Progress: &job.Progress{State: job.Running, Steps: []job.StepProgress{{Done: job.Bitset{}.With(3), Failed: map[int]job.Failures{5: {1_000_001}}}}}})
	w := r.worker("w")
	listed := job.TaskID{Job: j.ID, Index: 9}
	r.answerHold(w, []ActiveRun{{Task: listed, Run: 1_000_004, Percent: 10}})
	r.answerHold(w, nil, RunEnd{Seq: 1, Task: listed, Run: 1_000_004, Kind: EndDone})
	started := map[job.TaskID]int{}
	r.tick(50 * time.Millisecond)
	for range 6 {
		r.serve(w, started)
		r.tick(50 * time.Millisecond)
	}
	for i := range 20 {
		want := 1
		if i == 3 || i == 9 {
			want = 0
		}
		assert.Equal(t, want, started[job.TaskID{Job: j.ID, Index: i}], "task %d", i)
	}
}

// TestUntouchedTasksShareTheirWait: the time that a task waited counts also from before it had a state.
func TestUntouchedTasksShareTheirWait(t *testing.T) {
	r := newRig(t, 1)
	w := r.worker("w")
	r.answerHold(w, nil)
	first := r.submit(1, 8)
	r.tick(0)
	starts := r.confirmStarts()
	require.Len(t, starts, 8)
	late := r.submit(2, 4)
	r.tick(2 * time.Second)
	var ends []RunEnd
	for n, s := range starts {
		ends = append(ends, RunEnd{Seq: uint64(n + 1), Task: s.Task, Run: s.Run, Kind: EndDone})
	}
	r.answerHold(w, nil, ends...)
	assert.Empty(t, r.core.jobs[first.ID].openTasks())
	r.tick(50 * time.Millisecond)
	for _, task := range r.core.jobs[late.ID].steps[0].allTasks() {
		assert.InDelta(t, 2*time.Second, task.timeSpent[CausePoolShort], float64(200*time.Millisecond), "task %d", task.index)
	}
}

// openTasks returns the tasks that are not done.
func (j *jobState) openTasks() []*task {
	var out []*task
	for _, s := range j.steps {
		for _, t := range s.tasks {
			if !t.done {
				out = append(out, t)
			}
		}
	}
	return out
}
