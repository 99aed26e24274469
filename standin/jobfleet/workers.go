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

// Timing of the workers and of the instance manager.
const (
	workerLatency = time.Millisecond
	startupTime   = 300 * time.Millisecond  // of a long-running task
	maintenance   = 2 * time.Second         // of an instance
	migration     = 1500 * time.Millisecond // of an instance to another pool
	delayedOrder  = 2500 * time.Millisecond // delay of an order with the failure Delayed
	maxLease      = 10 * time.Second        // maximum task lease that a worker accepts
)

// Fleet is a set of instances and their workers. An instance gets a new worker each time it comes
// up.
type Fleet struct {
	mu          sync.Mutex
	instances   map[owner.InstanceID]*instance
	workers     map[owner.WorkerID]*worker
	jobs        map[job.ID]*job.Job // submitted by callers
	workerCount int
	heartbeats  int
	checker     *Checker
	publish     func(key string, r *owner.Registration) // writes a registration; nil removes it
	down        map[owner.InstanceID]int                // wave of each instance in maintenance
	unenforced  map[string]bool                         // pools whose workers start tasks beyond their capacity
	crashers    map[crasher]crashTimes
	onCrash     func(job.TaskID)
}

type instance struct {
	owner.Instance
	capacity     job.Resources
	endedWorkers int  // number of its workers that have ended
	keepWorkerID bool // its next worker gets the id of the last one
}

type worker struct {
	reg        owner.Registration
	began      time.Time // origin of its clock
	instance   *instance
	token      uint64
	active     map[job.TaskID]*execution
	ended      []owner.RunEnd
	number     uint64
	latest     map[job.TaskID]uint64 // highest run that ended or was stopped
	lease      time.Time
	leaseTimer *time.Timer
	endNotify  chan struct{} // closed and replaced at the end of a run
	dead       bool
	refuses    bool      // its address refuses connections, as it is dead
	shrank     time.Time // newest decrease of its capacity; zero: none
	cutOff     bool      // no daemon reaches it
	failTasks  bool      // every task that starts fails
	hangTasks  bool      // tasks that start don't end
}

type execution struct {
	task     job.TaskID
	run      uint64
	began    time.Time
	duration time.Duration // 0: until it is stopped
	timer    *time.Timer
	need     job.Resources
}

// NewFleet returns a fleet without instances. publish is called with each registration, nil for
// one that ends.
func NewFleet(j *Checker, publish func(key string, r *owner.Registration)) *Fleet {
	return &Fleet{
		checker: j, publish: publish,
		instances:  map[owner.InstanceID]*instance{},
		workers:    map[owner.WorkerID]*worker{},
		jobs:       map[job.ID]*job.Job{},
		down:       map[owner.InstanceID]int{},
		unenforced: map[string]bool{},
		crashers:   map[crasher]crashTimes{},
	}
}

// RegisterJob makes the tasks of a job known to the workers.
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
		instance: i, active: map[job.TaskID]*execution{}, latest: map[job.TaskID]uint64{}, endNotify: make(chan struct{}),
	}
	f.workers[id] = w
	delete(f.down, i.ID)
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
	how := "gone"
	if state != owner.InstanceDown {
		how = endedWithInstance
	}
	for _, e := range w.active {
		e.timer.Stop()
		if how == endedWithInstance {
			f.checker.checkDisruption(e.task, w.reg.Worker, how, w.healthy())
		}
		f.checker.ended(e.task, e.run, w.reg.Worker, how)
		f.endGang(e)
	}
	if w.refuses {
		close(w.endNotify) // ends the holds that wait there
		return             // the registration stays for registrationTTL
	}
	if i.keepWorkerID {
		return
	}
	f.publish(string(w.reg.Worker), nil)
}

// healthy reports whether the worker has no injected fault.
func (w *worker) healthy() bool { return !w.cutOff && !w.failTasks && !w.hangTasks }

// endedWithInstance is the end of the tasks of an instance that is moved or maintained.
const endedWithInstance = "instance moved or maintained"

// Crash ends an instance's worker without notice; a new one starts after d.
func (f *Fleet) Crash(id owner.InstanceID, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := f.instances[id]
	f.endWorker(i, owner.InstanceDown)
	f.startWorkerAfter(i, d)
}

// Restart ends an instance's worker without notice; it starts again after d with the same id. Its
// registration stays in the store meanwhile.
func (f *Fleet) Restart(id owner.InstanceID, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := f.instances[id]
	if w := f.workers[i.Worker]; w == nil || w.dead {
		return
	}
	for t := range f.workers[i.Worker].active {
		f.checker.crashed(t)
	}
	i.keepWorkerID = true
	f.endWorker(i, owner.InstanceDown)
	f.startWorkerAfter(i, d)
}

// Isolate cuts an instance off from all daemons for d; its tasks go on.
func (f *Fleet) Isolate(id owner.InstanceID, d time.Duration) {
	f.set(id, d, func(w *worker, on bool) { w.cutOff = on })
}

// FailTasks makes tasks that start on an instance in the next d fail at their end.
func (f *Fleet) FailTasks(id owner.InstanceID, d time.Duration) {
	f.set(id, d, func(w *worker, on bool) { w.failTasks = on })
}

// HangTasks makes tasks that start on an instance in the next d hang.
func (f *Fleet) HangTasks(id owner.InstanceID, d time.Duration) {
	f.set(id, d, func(w *worker, on bool) { w.hangTasks = on })
}

func (f *Fleet) set(id owner.InstanceID, d time.Duration, change func(w *worker, on bool)) {
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

// clockStart is the time on a worker's clock when it starts, in ms.
const clockStart = 1000

func (w *worker) clock() int64 { return time.Since(w.began).Milliseconds() + clockStart }

// extend extends a worker's task lease to a time in ms on its clock, at most to maxLease from
// now. It never shortens the lease.
func (f *Fleet) extend(w *worker, until int64) {
	end := w.began.Add(time.Duration(until-clockStart) * time.Millisecond)
	if limit := time.Now().Add(maxLease); end.After(limit) {
		end = limit
	}
	if until == 0 || !end.After(w.lease) {
		return
	}
	w.lease = end
	if w.leaseTimer != nil {
		w.leaseTimer.Stop()
	}
	w.leaseTimer = time.AfterFunc(time.Until(end), func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if w.dead || time.Now().Before(w.lease) {
			return
		}
		for _, e := range w.active {
			f.end(w, e, owner.EndLeaseExpired)
		}
	})
}

func (f *Fleet) end(w *worker, e *execution, kind owner.EndKind) {
	if w.active[e.task] != e {
		return
	}
	e.timer.Stop()
	delete(w.active, e.task)
	w.latest[e.task] = max(w.latest[e.task], e.run)
	w.number++
	w.ended = append(w.ended, owner.RunEnd{Seq: w.number, Task: e.task, Run: e.run, Kind: kind})
	if kind == owner.EndStopped || kind == owner.EndLeaseExpired {
		f.checker.checkDisruption(e.task, w.reg.Worker, kind.String(), w.healthy())
	}
	f.checker.ended(e.task, e.run, w.reg.Worker, kind.String())
	close(w.endNotify)
	w.endNotify = make(chan struct{})
}

func (f *Fleet) start(w *worker, o owner.Start) owner.Answer {
	a := owner.Answer{Outcome: owner.Accepted, ClockMs: w.clock()}
	if o.Token < w.token {
		a.Outcome = owner.Fenced
		return a
	}
	w.token = o.Token
	if o.LeaseUntilMs <= w.clock() {
		a.Outcome = owner.LeaseExpired
		return a
	}
	f.extend(w, o.LeaseUntilMs)
	if e := w.active[o.Task]; e != nil && e.run == o.Run {
		return a
	}
	if w.active[o.Task] != nil || o.Run <= w.latest[o.Task] {
		a.Outcome = owner.RunTooOld
		return a
	}
	spec := f.stepOf(o.Task)
	if spec == nil {
		a.Outcome = owner.Invalid
		return a
	}
	if !f.freeOf(w).Fits(spec.ReservedResources()) {
		if !f.unenforced[w.reg.Service] {
			a.Outcome = owner.NoCapacity
			return a
		}
		f.checker.checkCapacity(o.Task, w)
	}
	f.execute(w, o, spec)
	return a
}

func (f *Fleet) stepOf(t job.TaskID) *job.Step {
	j := f.jobs[t.Job]
	if j == nil || t.Step >= len(j.Steps) {
		return nil
	}
	return &j.Steps[t.Step]
}

func (f *Fleet) freeOf(w *worker) job.Resources {
	free := w.reg.Capacity
	for _, e := range w.active {
		free = free.Sub(e.need)
	}
	return free
}

func (f *Fleet) execute(w *worker, o owner.Start, spec *job.Step) {
	e := &execution{task: o.Task, run: o.Run, began: time.Now(), need: spec.ReservedResources()}
	w.active[o.Task] = e
	f.checker.started(o.Task, o.Run, w.reg.Worker, o.Token)
	f.checker.checkZone(o.Task, w.reg.Zone)
	f.scheduleCrash(w, e)
	e.duration = spec.Estimate
	kind := owner.EndDone
	if w.failTasks {
		kind = owner.EndFailed
	}
	if spec.LongRunning || w.hangTasks {
		e.timer = time.NewTimer(time.Hour)
		if w.hangTasks {
			e.duration = time.Hour
		}
		return
	}
	e.timer = time.AfterFunc(e.duration, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if !w.dead {
			f.end(w, e, kind)
		}
	})
}

func (f *Fleet) stop(w *worker, o owner.Stop) owner.Answer {
	a := owner.Answer{Outcome: owner.Accepted, ClockMs: w.clock()}
	if o.Token < w.token {
		a.Outcome = owner.Fenced
		return a
	}
	w.token = o.Token
	w.latest[o.Task] = max(w.latest[o.Task], o.Run)
	if e := w.active[o.Task]; e != nil && e.run <= o.Run {
		f.end(w, e, owner.EndStopped)
	}
	return a
}

// beginHold applies a hold: its token, lease and acknowledgements. The caller waits for ended
// runs.
func (f *Fleet) beginHold(w *worker, o owner.Hold) owner.Answer {
	a := owner.Answer{Outcome: owner.Accepted, ClockMs: w.clock()}
	if o.Token < w.token {
		a.Outcome = owner.Fenced
		return a
	}
	w.token = o.Token
	f.extend(w, o.LeaseUntilMs)
	kept := w.ended[:0]
	for _, e := range w.ended {
		if e.Seq > o.AckThrough {
			kept = append(kept, e)
			continue
		}
		if e.Kind == owner.EndDone {
			f.checker.acknowledged(e.Task)
		}
	}
	w.ended = kept
	return a
}

func (f *Fleet) list(w *worker) owner.HoldAnswer {
	h := owner.HoldAnswer{Answer: owner.Answer{Outcome: owner.Accepted, ClockMs: w.clock()}, StartedMs: w.reg.StartedMs}
	for _, e := range w.active {
		h.Active = append(h.Active, owner.ActiveRun{Task: e.task, Run: e.run, Percent: e.percent()})
	}
	h.Ends = append(h.Ends, w.ended...)
	return h
}

func (e *execution) percent() int {
	duration := e.duration
	if duration == 0 {
		duration = startupTime
	}
	return min(100, int(100*time.Since(e.began)/duration))
}

func (f *Fleet) downOf(wave int) int {
	n := 0
	for _, w := range f.down {
		if w == wave {
			n++
		}
	}
	return n
}

// startWorkerAfter brings an instance up after d, unless it went down again meanwhile.
func (f *Fleet) startWorkerAfter(i *instance, d time.Duration) {
	fell := i.endedWorkers
	time.AfterFunc(d, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if i.endedWorkers == fell {
			f.startWorker(i)
		}
	})
}
