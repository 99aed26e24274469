package jobfleet

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/owner"
)

// Times of the workers and of the instance manager.
const (
	workerLatency   = time.Millisecond        // of a call to a worker or the instance manager
	startupTime     = 300 * time.Millisecond  // of a long-running task
	maintenanceTime = 2 * time.Second         // of an instance
	moveTime        = 1500 * time.Millisecond // of an instance to another pool
	orderDelay      = 2500 * time.Millisecond // delay of an order with the failure Delayed
	maxTaskLease    = 10 * time.Second        // maximum task lease that a worker accepts
)

// Fleet is a set of instances and their workers. Each time an instance comes up it gets a new
// worker, usually with a new ID; see Restart.
type Fleet struct {
	mu          sync.Mutex
	instances   map[owner.InstanceID]*instance
	workers     map[owner.WorkerID]*worker
	jobs        map[job.ID]*job.Job // submitted by callers
	workerCount int
	heartbeats  int
	checker     *Checker
	publish     func(key string, r *owner.Registration) // writes a registration; nil removes it
	waveOfDown  map[owner.InstanceID]int                // wave of each instance in maintenance
	overcommits map[string]bool                         // pools whose workers don't enforce their capacity
	crashers    map[crasher]crashTimes
	onCrash     func(job.TaskID)
	ownFailures map[job.TaskID]int                        // runs of each task that still are to fail
	onWorker    func(id owner.WorkerID, up, refuses bool) // see OnWorker
}

type instance struct {
	owner.Instance
	capacity     job.Resources
	endedWorkers int  // number of its workers that have ended
	keepWorkerID bool // its next worker gets the ID of the last one
}

type worker struct {
	reg          owner.Registration
	began        time.Time // origin of its clock
	instance     *instance
	token        uint64
	active       map[job.TaskID]*execution
	ended        []owner.RunEnd
	endedAt      map[uint64]time.Time // of ended, by Seq
	lapsedAt     time.Time            // when its lease last expired
	lastSeq      uint64
	lastEndedRun map[job.TaskID]uint64 // highest run of each task that ended or was stopped
	leaseEnd     time.Time
	leaseTimer   *time.Timer
	endNotify    chan struct{} // closed and replaced at the end of a run
	dead         bool
	refuses      bool      // its address refuses connections, because its process has died
	reducedAt    time.Time // newest decrease of its capacity; zero: none
	cutOff       bool      // no daemon reaches it
	failTasks    bool      // every task that starts fails
	hangTasks    bool      // tasks that start don't end by themselves

	staysRegistered bool // its registration stays for registrationTTL after its end
}

type execution struct {
	task     job.TaskID
	run      uint64
	began    time.Time
	duration time.Duration // 0: until it is stopped
	timer    *time.Timer
	need     job.Resources
	endKind  owner.EndKind // of a gang's member, once the gang is complete
}

// NewFleet returns a fleet without instances. publish is called with each registration, nil for
// one that ends.
func NewFleet(c *Checker, publish func(key string, r *owner.Registration)) *Fleet {
	return &Fleet{
		checker: c, publish: publish,
		instances:   map[owner.InstanceID]*instance{},
		workers:     map[owner.WorkerID]*worker{},
		jobs:        map[job.ID]*job.Job{},
		waveOfDown:  map[owner.InstanceID]int{},
		overcommits: map[string]bool{},
		crashers:    map[crasher]crashTimes{},
		ownFailures: map[job.TaskID]int{},
		onWorker:    func(owner.WorkerID, bool, bool) {},
	}
}

// OnWorker sets the function that is called when a worker has started or ended, before the daemons can
// know of it. refuses means that the address of a worker that has ended refuses connections. The
// function must not call the fleet.
func (f *Fleet) OnWorker(do func(id owner.WorkerID, up, refuses bool)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onWorker = do
}

// RegisterJob makes the tasks of a job known to the workers, which can't start them otherwise.
func (f *Fleet) RegisterJob(j *job.Job) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobs[j.ID] = j
}

// Add adds an instance to a pool.
func (f *Fleet) Add(id owner.InstanceID, pool, rack string, capacity job.Resources) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := &instance{Instance: owner.Instance{ID: id, Pool: pool, Rack: rack}, capacity: capacity}
	f.instances[id] = i
	f.startWorker(i)
}

// startWorker brings an instance up with a new worker.
func (f *Fleet) startWorker(i *instance) {
	f.workerCount++
	id := owner.WorkerID(fmt.Sprintf("w-%03d", f.workerCount))
	if i.keepWorkerID {
		id, i.keepWorkerID = i.Worker, false
	}
	i.State = owner.InstanceUp
	i.Worker = id
	w := &worker{
		reg:      owner.Registration{Worker: id, Service: i.Pool, Addr: string(id), Rack: i.Rack, Zone: i.Zone, Labels: []string{i.Rack}, Capacity: i.capacity, StartedMs: time.Now().UnixMilli()},
		began:    time.Now(),
		instance: i, active: map[job.TaskID]*execution{}, lastEndedRun: map[job.TaskID]uint64{}, endedAt: map[uint64]time.Time{}, endNotify: make(chan struct{}),
	}
	f.workers[id] = w
	delete(f.waveOfDown, i.ID)
	f.onWorker(id, true, false)
	f.publish(string(id), &w.reg)
}

// endWorker sets an instance's state and ends its worker.
func (f *Fleet) endWorker(i *instance, state owner.InstanceState) {
	w := f.workers[i.Worker]
	i.State = state
	i.endedWorkers++
	if w == nil || w.dead {
		return
	}
	w.dead = true
	f.onWorker(w.reg.Worker, false, w.refuses || i.keepWorkerID)
	how := "gone"
	if state != owner.InstanceDown {
		how = endInstanceOrder
	}
	for _, e := range w.active {
		e.timer.Stop()
		if how == endInstanceOrder {
			f.checker.checkDisruption(e.task, w.reg.Worker, how, w.healthy())
		}
		f.checker.ended(e.task, e.run, w.reg.Worker, how)
		f.endGang(e, owner.EndPeerEnded)
	}
	if w.refuses {
		close(w.endNotify) // ends the holds that wait there
	}
	if w.staysRegistered || i.keepWorkerID {
		return
	}
	f.publish(string(w.reg.Worker), nil)
}

// healthy reports whether the worker has no injected fault.
func (w *worker) healthy() bool { return !w.cutOff && !w.failTasks && !w.hangTasks }

// endInstanceOrder is the kind of end of the tasks of an instance that is moved or maintained.
const endInstanceOrder = "instance moved or maintained"

// Crash ends an instance's worker without notice; a new one starts after d.
func (f *Fleet) Crash(id owner.InstanceID, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := f.instances[id]
	f.endWorker(i, owner.InstanceDown)
	f.startWorkerAfter(i, d)
}

// Restart ends an instance's worker without notice; it starts again after d with the same ID. Its
// registration stays in the store in the meantime.
func (f *Fleet) Restart(id owner.InstanceID, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := f.instances[id]
	w := f.workers[i.Worker]
	if w == nil || w.dead {
		return
	}
	f.recordCrash(w)
	i.keepWorkerID = true
	f.endWorker(i, owner.InstanceDown)
	f.startWorkerAfter(i, d)
}

// Isolate cuts an instance off from all daemons for d. Its tasks keep running.
func (f *Fleet) Isolate(id owner.InstanceID, d time.Duration) {
	f.setFault(id, d, func(w *worker, on bool) { w.cutOff = on })
}

// FailTasks makes tasks that start on an instance in the next d fail at their end.
func (f *Fleet) FailTasks(id owner.InstanceID, d time.Duration) {
	f.setFault(id, d, func(w *worker, on bool) { w.failTasks = on })
}

// FailRuns makes the next n runs of a task that come to their end fail, by the task's own fault.
func (f *Fleet) FailRuns(t job.TaskID, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ownFailures[t] = n
}

// HangTasks makes tasks that start on an instance in the next d hang.
func (f *Fleet) HangTasks(id owner.InstanceID, d time.Duration) {
	f.setFault(id, d, func(w *worker, on bool) { w.hangTasks = on })
}

// setFault turns a fault of an instance's worker on for d.
func (f *Fleet) setFault(id owner.InstanceID, d time.Duration, change func(w *worker, on bool)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[f.instances[id].Worker]
	if w == nil {
		return
	}
	change(w, true)
	time.AfterFunc(d, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		change(w, false)
	})
}

// Drain marks an instance's worker as draining in its registration.
func (f *Fleet) Drain(id owner.InstanceID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.workers[f.instances[id].Worker]; w != nil && !w.dead {
		w.reg.Draining = true
		f.checker.draining(w.reg.Worker)
		f.publish(string(w.reg.Worker), &w.reg)
	}
}

// HeartbeatTenth makes a tenth of the workers rewrite their registrations, as each heartbeat
// does. Successive calls select different workers.
func (f *Fleet) HeartbeatTenth() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heartbeats++
	for n, id := range slices.Sorted(maps.Keys(f.instances)) {
		w := f.workers[f.instances[id].Worker]
		if n%10 == f.heartbeats%10 && w != nil && !w.dead && !w.cutOff {
			f.publish(string(w.reg.Worker), &w.reg)
		}
	}
}

// clockStartMs is the time on a worker's clock when it starts, in ms.
const clockStartMs = 1000

func (w *worker) clockMs() int64 { return time.Since(w.began).Milliseconds() + clockStartMs }

// extendLease extends a worker's task lease to a time in ms on its clock, at most to maxTaskLease
// from now. It never shortens the lease.
func (f *Fleet) extendLease(w *worker, until int64) {
	end := w.began.Add(time.Duration(until-clockStartMs) * time.Millisecond)
	if limit := time.Now().Add(maxTaskLease); end.After(limit) {
		end = limit
	}
	if until == 0 || !end.After(w.leaseEnd) {
		return
	}
	w.leaseEnd = end
	if w.leaseTimer != nil {
		w.leaseTimer.Stop()
	}
	w.leaseTimer = time.AfterFunc(time.Until(end), func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if w.dead || time.Now().Before(w.leaseEnd) {
			return
		}
		w.lapsedAt = time.Now()
		for _, e := range w.active {
			f.end(w, e, owner.EndLeaseExpired)
		}
	})
}

// end records the end of a run and wakes the holds that wait for one.
func (f *Fleet) end(w *worker, e *execution, kind owner.EndKind) {
	if w.active[e.task] != e {
		return
	}
	e.timer.Stop()
	delete(w.active, e.task)
	w.lastEndedRun[e.task] = max(w.lastEndedRun[e.task], e.run)
	w.lastSeq++
	w.endedAt[w.lastSeq] = time.Now()
	w.ended = append(w.ended, owner.RunEnd{Seq: w.lastSeq, Task: e.task, Run: e.run, Kind: kind})
	if kind == owner.EndStopped || kind == owner.EndLeaseExpired {
		f.checker.checkDisruption(e.task, w.reg.Worker, kind.String(), w.healthy())
	}
	f.checker.ended(e.task, e.run, w.reg.Worker, kind.String())
	close(w.endNotify)
	w.endNotify = make(chan struct{})
	switch kind {
	case owner.EndPeerEnded, owner.EndGangIncomplete: // the first end of the gang ends all others
	case owner.EndDone:
		f.endGang(e, owner.EndDone)
	default:
		f.endGang(e, owner.EndPeerEnded)
	}
}

// start applies a start order at a worker and returns its answer.
func (f *Fleet) start(w *worker, o owner.Start) owner.Answer {
	a := owner.Answer{Outcome: owner.Accepted, ClockMs: w.clockMs()}
	if o.Token < w.token {
		a.Outcome = owner.Fenced
		return a
	}
	w.token = o.Token
	if o.LeaseUntilMs <= w.clockMs() {
		a.Outcome = owner.LeaseExpired
		return a
	}
	f.extendLease(w, o.LeaseUntilMs)
	if e := w.active[o.Task]; e != nil && e.run == o.Run {
		return a
	}
	if w.active[o.Task] != nil || o.Run <= w.lastEndedRun[o.Task] {
		a.Outcome = owner.RunTooOld
		return a
	}
	spec := f.stepOf(o.Task)
	if spec == nil {
		a.Outcome = owner.Invalid
		return a
	}
	if !f.freeCapacity(w).Fits(spec.ReservedResources()) {
		if !f.overcommits[w.reg.Service] {
			a.Outcome = owner.NoCapacity
			return a
		}
		f.checker.checkCapacity(o.Task, w)
	}
	f.scheduleCrash(w, f.execute(w, o, spec))
	if w.dead {
		return owner.Answer{Outcome: owner.Unanswered, Err: errReset, ConnFailed: true}
	}
	return a
}

func (f *Fleet) stepOf(t job.TaskID) *job.Step {
	j := f.jobs[t.Job]
	if j == nil || t.Step >= len(j.Steps) {
		return nil
	}
	return &j.Steps[t.Step]
}

func (f *Fleet) freeCapacity(w *worker) job.Resources {
	free := w.reg.Capacity
	for _, e := range w.active {
		free = free.Sub(e.need)
	}
	return free
}

// hungDuration stands for a duration without end.
const hungDuration = time.Hour

// execute starts a run and schedules its end.
func (f *Fleet) execute(w *worker, o owner.Start, spec *job.Step) *execution {
	e := &execution{task: o.Task, run: o.Run, began: time.Now(), need: spec.ReservedResources()}
	w.active[o.Task] = e
	f.checker.started(o.Task, o.Run, w.reg.Worker, o.Token)
	f.checker.checkZone(o.Task, w.reg.Zone)
	e.duration = spec.Estimate
	kind := owner.EndDone
	if w.failTasks {
		kind = owner.EndFailed
	}
	if w.hangTasks {
		e.duration = hungDuration
	}
	switch {
	case spec.LongRunning || w.hangTasks && !spec.Gang:
		e.timer = time.NewTimer(hungDuration)
	case spec.Gang:
		e.endKind = kind
		f.joinGang(w, e, spec)
	default:
		f.endAfter(w, e, e.duration, kind)
	}
	return e
}

// endAfter ends a run after d, unless endAfter is called again before.
func (f *Fleet) endAfter(w *worker, e *execution, d time.Duration, kind owner.EndKind) {
	var timer *time.Timer
	timer = time.AfterFunc(d, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if w.dead || w.active[e.task] != e || e.timer != timer {
			return
		}
		if kind == owner.EndDone && f.ownFailures[e.task] > 0 {
			f.ownFailures[e.task]--
			kind = owner.EndFailed
		}
		f.end(w, e, kind)
	})
	e.timer = timer
}

// stop applies a stop order at a worker and returns its answer.
func (f *Fleet) stop(w *worker, o owner.Stop) owner.Answer {
	a := owner.Answer{Outcome: owner.Accepted, ClockMs: w.clockMs()}
	if o.Token < w.token {
		a.Outcome = owner.Fenced
		return a
	}
	w.token = o.Token
	w.lastEndedRun[o.Task] = max(w.lastEndedRun[o.Task], o.Run)
	if e := w.active[o.Task]; e != nil && e.run <= o.Run {
		f.end(w, e, owner.EndStopped)
	}
	return a
}

// beginHold applies the token, lease and acknowledgements of a hold. Its caller then waits for the
// end of a run.
func (f *Fleet) beginHold(w *worker, o owner.Hold) owner.Answer {
	a := owner.Answer{Outcome: owner.Accepted, ClockMs: w.clockMs()}
	if o.Token < w.token {
		a.Outcome = owner.Fenced
		return a
	}
	w.token = o.Token
	f.extendLease(w, o.LeaseUntilMs)
	kept := w.ended[:0]
	for _, e := range w.ended {
		if e.Seq > o.AckThrough {
			kept = append(kept, e)
			continue
		}
		// An end doesn't count as acknowledged if the lease expired before: owners may have taken the
		// run for lost by then, and have started another one.
		if e.Kind == owner.EndDone && w.lapsedAt.Before(w.endedAt[e.Seq]) {
			f.checker.acknowledged(e.Task)
		}
		delete(w.endedAt, e.Seq)
	}
	w.ended = kept
	return a
}

// maxListedEnds is the largest number of ended runs in an answer to a hold, as on the platform.
const maxListedEnds = 500

// currentHoldAnswer returns the worker's running tasks and its first ended runs.
func (f *Fleet) currentHoldAnswer(w *worker) owner.HoldAnswer {
	h := owner.HoldAnswer{Answer: owner.Answer{Outcome: owner.Accepted, ClockMs: w.clockMs()}, StartedMs: w.reg.StartedMs}
	for _, e := range w.active {
		h.Active = append(h.Active, owner.ActiveRun{Task: e.task, Run: e.run, Percent: e.percent()})
	}
	h.Ends = append(h.Ends, w.ended[:min(len(w.ended), maxListedEnds)]...)
	h.EndsTruncated = len(w.ended) > maxListedEnds
	return h
}

// percent returns the progress of the run by its estimated duration.
func (e *execution) percent() int {
	duration := e.duration
	if duration == 0 {
		duration = startupTime
	}
	return min(100, int(100*time.Since(e.began)/duration))
}

// downCount returns the number of instances of a wave that are in maintenance.
func (f *Fleet) downCount(wave int) int {
	n := 0
	for _, w := range f.waveOfDown {
		if w == wave {
			n++
		}
	}
	return n
}

// startWorkerAfter brings an instance up after d, unless it went down again in the meantime.
func (f *Fleet) startWorkerAfter(i *instance, d time.Duration) {
	endedBefore := i.endedWorkers
	time.AfterFunc(d, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if i.endedWorkers == endedBefore {
			f.startWorker(i)
		}
	})
}
