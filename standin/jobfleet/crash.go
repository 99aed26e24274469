package jobfleet

import (
	"errors"
	"time"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/owner"
)

// registrationTTL is how long the store keeps the entry of a worker that is gone.
const registrationTTL = 3 * time.Second

var errRefused = errors.New("connection refused")

// crasher is a task that brings down each worker that starts it, in every occurrence.
type crasher struct {
	job   job.ID
	step  int
	index int
}

func crasherKey(t job.TaskID) crasher { return crasher{t.Job, t.Step, t.Index} }

// crashTimes are how long after the start a worker goes down, and when it is back.
type crashTimes struct{ after, back time.Duration }

// CrashOnStart lets each worker that starts a task go down after a while, and come back. Its
// address refuses connections meanwhile. The occurrence of the task does not matter.
func (f *Fleet) CrashOnStart(t job.TaskID, after, back time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashers[crasherKey(t)] = crashTimes{after, back}
	f.judge.addCrasher(t)
}

// OnCrash calls f, on a goroutine of its own, after each crash that a task has caused.
func (f *Fleet) OnCrash(do func(t job.TaskID)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onCrash = do
}

// scheduleCrash lets the worker go down after the start of a task that crashes it.
func (f *Fleet) scheduleCrash(w *worker, e *execution) {
	times, crashes := f.crashers[crasherKey(e.task)]
	if !crashes {
		return
	}
	time.AfterFunc(times.after, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if w.dead || w.active[e.task] != e {
			return
		}
		w.refuses = true
		for t := range w.active {
			f.judge.crashed(t)
		}
		f.endWorker(w.instance, owner.InstanceDown)
		f.startWorkerAfter(w.instance, times.back)
		time.AfterFunc(registrationTTL, func() { f.publish(string(w.reg.Worker), nil) })
		if f.onCrash != nil {
			go f.onCrash(e.task)
		}
	})
}

// endGang ends the other members of a gang of which one is lost.
func (f *Fleet) endGang(lost *execution) {
	if step := f.stepOf(lost.task); step == nil || !step.Gang {
		return
	}
	for _, w := range f.workers {
		for _, e := range w.active {
			if !w.dead && e.run == lost.run && e.task.Job == lost.task.Job && e.task.Step == lost.task.Step {
				f.end(w, e, owner.EndPeerEnded)
			}
		}
	}
}

// addCrasher takes note of a task that brings down its workers.
func (j *Checker) addCrasher(t job.TaskID) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.crashers[crasherKey(t)] = true
}

// Figures of the promise about tasks that crash their workers.
const (
	crashesAllowed     = 3 // workers that a task has crashed, after which its starts count
	startsAfterCrashes = 2 // starts beyond them that are allowed: their news may be under way
)

// crashed takes note of a crash of the worker that a task ran on, whichever caused it.
func (j *Checker) crashed(t job.TaskID) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.record(t).crashes++
}

// MaxTaskCrashes returns how many workers have crashed under that task of a job under which most have.
func (j *Checker) MaxTaskCrashes(id job.ID) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	most := 0
	for t, r := range j.tasks {
		if t.Job == id {
			most = max(most, r.crashes)
		}
	}
	return most
}

// checkCrasherStart checks a start of a task under which workers have crashed.
func (j *Checker) checkCrasherStart(t job.TaskID, r *taskRecord) {
	if r.crashes < crashesAllowed || !j.crashers[crasherKey(t)] {
		return
	}
	if r.afterCrashes++; r.afterCrashes > startsAfterCrashes {
		j.violation("task %s starts, %d workers have crashed under it", t, r.crashes)
	}
}

// mayFail reports whether the job may be shown as failed: a run of it failed, or a task of
// it crashes its workers.
func (j *Checker) mayFail(id job.ID) bool {
	for t, r := range j.tasks {
		if t.Job == id && (r.failures > 0 || r.crashes > 1 && j.crashers[crasherKey(t)]) {
			return true
		}
	}
	return false
}

// MaxCrasherCrashes returns the most workers that have crashed under one task of a job that crashes
// them.
func (j *Checker) MaxCrasherCrashes(id job.ID) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	most := 0
	for t, r := range j.tasks {
		if t.Job == id && j.crashers[crasherKey(t)] {
			most = max(most, r.crashes)
		}
	}
	return most
}
