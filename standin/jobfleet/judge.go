package jobfleet

import (
	"fmt"
	"sync"
	"time"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/owner"
)

// Checker checks the promises from what workers, callers and the instance
// manager saw.
type Checker struct {
	mu          sync.Mutex
	began       time.Time
	violations  []string
	tasks       map[job.TaskID]*taskRecord
	jobs        map[job.ID]*jobRecord
	drained     map[owner.WorkerID]time.Time
	waves       map[int]*waveRecord
	starts      int
	duties      map[owner.InstanceID]dutyRecord
	faultsEnded bool // see Calm

	crashers map[crasher]bool
	limits   map[string][]tenantLimit // of tenants

	evacuated           map[string]time.Time // zones, since when; zero: no longer
	extraEvacuationTime time.Duration
	lastEvacuatedStart  time.Duration
}

// dutyRecord is the newest order for an instance.
type dutyRecord struct {
	owner.Duty
	at time.Time
}

type taskRecord struct {
	running      map[owner.WorkerID]uint64
	done         bool
	acked        bool
	began        time.Time // its newest start
	lastReady    time.Time // when it was last at work
	endedByOrder bool      // an order has ended it, and it has not been at work since

	failures     int // runs that ended failed
	crashes      int // workers that a task has crashed under it
	afterCrashes int // starts since there were too many of these
}

type jobRecord struct {
	spec            *job.Job
	refused         bool // every answer to its submission so far said that it never runs
	mayRun          bool // an answer did not come, or said that it may run
	accepted        bool
	confirmed       time.Time // when its acceptance first was
	queue           string    // prefix of its queue
	pendingRequests int       // requests without an answer so far
	started         bool      // a task was
	cancelled       time.Time

	submitted, acceptedAt time.Time // for the first time
}

type waveRecord struct {
	limit int
	begun map[owner.InstanceID]bool
}

// Grace of the promises with a bound in time.
const (
	drainBound        = 2 * time.Second
	cancelBound       = 3 * time.Second
	dutyHandover      = 3 * time.Second
	pendingCountBound = 5 * time.Second // a job shows in its queue's count after it
)

// NewChecker returns a judge that has seen nothing.
func NewChecker() *Checker {
	return &Checker{
		began: time.Now(), tasks: map[job.TaskID]*taskRecord{}, jobs: map[job.ID]*jobRecord{},
		drained: map[owner.WorkerID]time.Time{}, waves: map[int]*waveRecord{},
		duties: map[owner.InstanceID]dutyRecord{}, crashers: map[crasher]bool{}, evacuated: map[string]time.Time{}, limits: map[string][]tenantLimit{},
	}
}

// Violations returns a line for each promise that was not kept.
func (j *Checker) Violations() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]string(nil), j.violations...)
}

// Starts returns how many tasks were started.
func (j *Checker) Starts() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.starts
}

func (j *Checker) violation(format string, args ...any) {
	at := time.Since(j.began).Round(time.Millisecond)
	j.violations = append(j.violations, at.String()+": "+fmt.Sprintf(format, args...))
}

// Submitted says that a caller's request with this job was sent.
func (j *Checker) Submitted(spec *job.Job) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.jobs[spec.ID] == nil {
		j.jobs[spec.ID] = &jobRecord{spec: spec, submitted: time.Now()}
	}
	j.jobs[spec.ID].pendingRequests++
}

// Answered says what the caller of a submission was told: accepted, that it
// never runs, or neither.
func (j *Checker) Answered(id job.ID, accepted, refused bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.jobs[id]
	if accepted && !r.accepted {
		r.acceptedAt = time.Now()
	}
	r.accepted = r.accepted || accepted
	r.mayRun = r.mayRun || !accepted && !refused
	r.refused = refused && !r.accepted && !r.mayRun
	r.pendingRequests--
	if r.refused && r.started && r.pendingRequests == 0 {
		j.violation("job %s was refused, and a task of it has started", id)
	}
}

// Cancelled says that a caller's cancellation was confirmed.
func (j *Checker) Cancelled(id job.ID) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.jobs[id].cancelled = time.Now()
}

// StateReported checks a state that a caller was shown.
func (j *Checker) StateReported(id job.ID, s job.State) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.jobs[id]
	switch s {
	case job.Completed:
		if !j.allDone(r.spec) {
			j.violation("job %s is shown as completed while a task is not done", id)
		}
	case job.Cancelled:
		if r.cancelled.IsZero() {
			j.violation("job %s is shown as cancelled, nobody cancelled it", id)
		}
	case job.Failed:
		if !j.mayFail(id) {
			j.violation("job %s is shown as failed without a cause", id)
		}
	}
}

// NotFoundReported says that a caller was told that there is no such job.
func (j *Checker) NotFoundReported(id job.ID) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.jobs[id].accepted {
		j.violation("job %s was accepted and is said not to exist", id)
	}
}

// Accepted says that a caller was told that its job was accepted by a queue.
func (j *Checker) Accepted(id job.ID, queue string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.jobs[id]
	r.queue = queue
	if r.confirmed.IsZero() {
		r.confirmed = time.Now()
	}
}

// PendingReported checks how many jobs of a queue were said to wait, asked for at asked.
func (j *Checker) PendingReported(queue string, asked time.Time, n int, by string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	waiting := 0
	for _, r := range j.jobs {
		if r.queue == queue && r.pendingSince(asked) {
			waiting++
		}
	}
	if 2*n < waiting {
		j.violation("%s says that %d jobs of %s wait, %d do for more than %s", by, n, queue, waiting, pendingCountBound)
	}
}

// pendingSince reports whether no task of the job has started although it was accepted
// long enough before asked.
func (r *jobRecord) pendingSince(asked time.Time) bool {
	return r.accepted && !r.started && r.cancelled.IsZero() && r.spec.Repeat == 0 && asked.Sub(r.confirmed) > pendingCountBound
}

func (j *Checker) allDone(spec *job.Job) bool {
	for k := range spec.Occurrences() {
		for s := range spec.Steps {
			if !j.stepDone(spec, k, s) {
				return false
			}
		}
	}
	return true
}

func (j *Checker) stepDone(spec *job.Job, occurrence, step int) bool {
	for i := range spec.Steps[step].Count {
		t := j.tasks[job.TaskID{Job: spec.ID, Occurrence: occurrence, Step: step, Index: i}]
		if t == nil || !t.done {
			return false
		}
	}
	return true
}

// SetWaveLimit says how many instances of a wave may be down at once.
func (j *Checker) SetWaveLimit(wave, limit int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.waves[wave] = &waveRecord{limit: limit, begun: map[owner.InstanceID]bool{}}
}

// MaintainedCount returns how many instances of a wave have been maintained.
func (j *Checker) MaintainedCount(wave int) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.waves[wave].begun)
}

func (j *Checker) started(t job.TaskID, run uint64, w owner.WorkerID, token uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.starts++
	r := j.record(t)
	for other, n := range r.running {
		j.violation("task %s runs twice: run %d on %s, run %d on %s under token %d", t, n, other, run, w, token)
	}
	if r.acked {
		j.violation("task %s starts on %s after its end was acknowledged", t, w)
	}
	j.checkCrasherStart(t, r)
	r.running[w] = run
	r.began = time.Now()
	j.checkJobStart(t)
	if at, ok := j.drained[w]; ok && time.Since(at) > drainBound {
		j.violation("task %s starts on %s, draining for %s", t, w, time.Since(at))
	}
}

func (j *Checker) checkJobStart(t job.TaskID) {
	r := j.jobs[t.Job]
	if r == nil {
		j.violation("task %s was submitted by nobody", t)
		return
	}
	r.started = true
	j.checkTenantLimit(t, r.spec)
	if r.refused && r.pendingRequests == 0 {
		j.violation("task %s starts, its job was refused", t)
	}
	if !r.cancelled.IsZero() && time.Since(r.cancelled) > cancelBound {
		j.violation("task %s starts %s after its job was cancelled", t, time.Since(r.cancelled))
	}
	for _, a := range r.spec.Steps[t.Step].After {
		if !j.stepDone(r.spec, t.Occurrence, a) {
			j.violation("task %s starts before step %d is done", t, a)
		}
	}
}

func (j *Checker) record(t job.TaskID) *taskRecord {
	r := j.tasks[t]
	if r == nil {
		r = &taskRecord{running: map[owner.WorkerID]uint64{}}
		j.tasks[t] = r
	}
	return r
}

func (j *Checker) ended(t job.TaskID, run uint64, w owner.WorkerID, how string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.record(t)
	if r.ready() {
		r.lastReady = time.Now()
		r.endedByOrder = how == endedWithInstance || how == owner.EndStopped.String() || how == owner.EndLapsed.String() && j.faultsEnded
	}
	if r.running[w] == run {
		delete(r.running, w)
	}
	r.done = r.done || how == owner.EndDone.String()
	if how == owner.EndFailed.String() {
		r.failures++
	}
}

func (j *Checker) acknowledged(t job.TaskID) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.record(t).acked = true
}

func (j *Checker) draining(w owner.WorkerID) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.drained[w] = time.Now()
}

func (j *Checker) maintained(wave int, id owner.InstanceID) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	w := j.waves[wave]
	return w != nil && w.begun[id]
}

// instanceOrdered judges an order for an instance. late says that the daemon was frozen
// between its last check and the call, which no daemon can help.
func (j *Checker) instanceOrdered(d owner.Duty, id owner.InstanceID, wave, down int, late bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !late {
		j.checkDutyHolder(d, id)
	}
	if wave == 0 {
		return
	}
	w := j.waves[wave]
	w.begun[id] = true
	if down > w.limit {
		j.violation("%d instances of wave %d are down, %d may be", down, wave, w.limit)
	}
}

// checkDutyHolder checks the orders for one instance: two holders must not take turns with
// it, and its tokens must not fall.
func (j *Checker) checkDutyHolder(d owner.Duty, id owner.InstanceID) {
	last, ordered := j.duties[id]
	if ordered && last.Holder != d.Holder && time.Since(last.at) < dutyHandover {
		j.violation("%s orders instance %s %s after %s did", d.Holder, id, time.Since(last.at), last.Holder)
	}
	if ordered && d.Token < last.Token {
		j.violation("%s orders instance %s with token %d after %d", d.Holder, id, d.Token, last.Token)
	}
	j.duties[id] = dutyRecord{d, time.Now()}
}

// Running returns how many tasks of a job run.
func (j *Checker) Running(id job.ID) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := 0
	for t, r := range j.tasks {
		if t.Job == id && len(r.running) > 0 {
			n++
		}
	}
	return n
}
