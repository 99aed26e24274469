package jobfleet

import (
	"fmt"
	"syscall"
	"time"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/owner"
)

// registrationTTL is how long the store keeps the registration of a crashed worker.
const registrationTTL = 3 * time.Second

// Errors of calls to a worker whose process has ended.
var (
	errRefused = fmt.Errorf("dial: %w", syscall.ECONNREFUSED) // it had ended before the call
	errReset   = fmt.Errorf("read: %w", syscall.ECONNRESET)   // it ended during the call
)

// crasher identifies a task that crashes every worker that starts it, in every occurrence of
// its job.
type crasher struct {
	job   job.ID
	step  int
	index int
}

func crasherKey(t job.TaskID) crasher { return crasher{t.Job, t.Step, t.Index} }

// crashTimes are the time from the start of a task to its worker's crash, delay, and from the crash
// to the worker's restart, downtime.
type crashTimes struct {
	delay, downtime time.Duration
	silent          bool // its address does not answer during the downtime; otherwise it refuses connections
}

// CrashOnStart makes every worker that starts a task, in any occurrence of its job, crash after
// delay and restart after downtime. Its address refuses connections during the downtime. Without a
// delay the worker crashes before it answers the start.
func (f *Fleet) CrashOnStart(t job.TaskID, delay, downtime time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashers[crasherKey(t)] = crashTimes{delay: delay, downtime: downtime}
	f.checker.addCrasher(t)
}

// LosePowerOnStart is CrashOnStart, but the worker's machine goes down with it, so that its address does
// not answer during the downtime.
func (f *Fleet) LosePowerOnStart(t job.TaskID, delay, downtime time.Duration) {
	f.CrashOnStart(t, delay, downtime)
	f.mu.Lock()
	defer f.mu.Unlock()
	times := f.crashers[crasherKey(t)]
	times.silent = true
	f.crashers[crasherKey(t)] = times
}

// Fall ends an instance's worker without notice, and a new one starts after downtime. The worker's
// registration stays in the store for registrationTTL. During that time its address refuses connections,
// as when its process has died, or is silent, as when its machine has lost power. Fall does nothing and
// returns false if the instance is not up.
func (f *Fleet) Fall(id owner.InstanceID, downtime time.Duration, refuses bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[f.instances[id].Worker]
	if w == nil || w.dead {
		return false
	}
	w.refuses = refuses
	f.endWithoutNotice(w, downtime)
	return true
}

// endWithoutNotice ends a worker that leaves its registration behind; a new one starts on its instance
// after downtime.
func (f *Fleet) endWithoutNotice(w *worker, downtime time.Duration) {
	w.staysRegistered = true
	f.recordCrash(w)
	f.endWorker(w.instance, owner.InstanceDown)
	f.startWorkerAfter(w.instance, downtime)
	time.AfterFunc(registrationTTL, func() { f.publish(string(w.reg.Worker), nil) })
}

// recordCrash records the crash of a worker for all tasks that run on it.
func (f *Fleet) recordCrash(w *worker) {
	for t, e := range w.active {
		f.checker.crashed(t, e.run, w.reg.Worker)
	}
}

// OnCrash sets the function that is called in its own goroutine after each crash that a task
// causes.
func (f *Fleet) OnCrash(do func(t job.TaskID)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onCrash = do
}

// scheduleCrash schedules the crash of the worker if the task is a crasher.
func (f *Fleet) scheduleCrash(w *worker, e *execution) {
	times, crashes := f.crashers[crasherKey(e.task)]
	if !crashes {
		return
	}
	if times.delay == 0 {
		f.crash(w, e, times)
		return
	}
	time.AfterFunc(times.delay, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if !w.dead && w.active[e.task] == e {
			f.crash(w, e, times)
		}
	})
}

// crash ends the process of a worker because of one of its tasks.
func (f *Fleet) crash(w *worker, e *execution, times crashTimes) {
	w.refuses = !times.silent
	f.endWithoutNotice(w, times.downtime)
	if f.onCrash != nil {
		go f.onCrash(e.task)
	}
}

// addCrasher records that a task may crash its workers.
func (c *Checker) addCrasher(t job.TaskID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashers[crasherKey(t)] = true
}

// Bounds of the check on tasks that crash their workers.
const (
	crashesAllowed        = 3 // crashed workers after which further starts are counted
	maxStartsAfterCrashes = 2 // further starts allowed, as the daemon may not know of the last crashes yet
)

// crashed records a crash of the worker that a task ran on, whichever task caused it.
func (c *Checker) crashed(t job.TaskID, run uint64, w owner.WorkerID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record(t).crashes++
	c.runs[runOn{t, run, w}] = runCrashed
}

// runOn is a run of a task on a worker.
type runOn struct {
	task   job.TaskID
	run    uint64
	worker owner.WorkerID
}

type runFate int

const (
	runBegan   runFate = 1 + iota
	runCrashed         // its worker crashed while it ran
)

// RunFate reports whether a run of a task began on a worker, and whether that crashed while it ran.
func (c *Checker) RunFate(t job.TaskID, run uint64, w owner.WorkerID) (began, crashed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fate := c.runs[runOn{t, run, w}]
	return fate >= runBegan, fate == runCrashed
}

// MaxTaskCrashes returns the largest number of workers that crashed while running the same task
// of a job.
func (c *Checker) MaxTaskCrashes(id job.ID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	most := 0
	for t, r := range c.tasks {
		if t.Job == id {
			most = max(most, r.crashes)
		}
	}
	return most
}

// checkCrasherStart checks that a task which has crashed its workers isn't started too often.
func (c *Checker) checkCrasherStart(t job.TaskID, r *taskRecord) {
	if r.crashes < crashesAllowed || !c.crashers[crasherKey(t)] {
		return
	}
	if r.startsAfterCrashes++; r.startsAfterCrashes > maxStartsAfterCrashes {
		c.addViolation("task %s starts after %d workers crashed while running it", t, r.crashes)
	}
}

// MaxCrasherCrashes is MaxTaskCrashes restricted to the tasks that cause crashes.
func (c *Checker) MaxCrasherCrashes(id job.ID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	most := 0
	for t, r := range c.tasks {
		if t.Job == id && c.crashers[crasherKey(t)] {
			most = max(most, r.crashes)
		}
	}
	return most
}
