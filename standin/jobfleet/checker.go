package jobfleet

import (
	"fmt"
	"sync"
	"time"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/owner"
)

// Checker checks the guarantees of the job subsystem from what workers, callers and the instance
// manager observe.
type Checker struct {
	mu          sync.Mutex
	began       time.Time
	violations  []string
	tasks       map[job.TaskID]*taskRecord
	jobs        map[job.ID]*jobRecord
	drained     map[owner.WorkerID]time.Time
	waves       map[int]*waveRecord
	starts      int
	lastOrders  map[owner.InstanceID]orderRecord
	faultsEnded bool // see FaultsEnded

	crashers     map[crasher]bool
	limits       map[string][]tenantLimit // of tenants, oldest first
	maxAttempts  map[string]int           // by prefix of the queue, the lowest limit of any configuration
	runs         map[runOn]runFate
	givenUpTasks int // see GivenUpTasks

	evacuated           map[string]time.Time // time of the request by zone; zero: ended
	extraEvacuationTime time.Duration
	lastEvacuatedStart  time.Duration
}

// orderRecord is the newest order for an instance: the duty under which it was given, and when.
type orderRecord struct {
	owner.Duty
	at time.Time
}

type taskRecord struct {
	running      map[owner.WorkerID]uint64 // run by worker
	done         bool
	ackedAt      time.Time // when a daemon acknowledged its successful end; zero: not yet
	began        time.Time // start of its newest run
	lastReady    time.Time // when it was last ready
	endedByOrder bool      // an order ended it, and it has not been ready since

	failedRuns         map[uint64]bool // runs that ended as failed
	crashes            int             // workers that crashed while running it
	startsAfterCrashes int             // starts since crashesAllowed was reached
}

type jobRecord struct {
	spec            *job.Job
	refused         bool // all responses to its submissions so far say that it never runs
	mayRun          bool // a response is missing or says that it may run
	accepted        bool
	confirmed       time.Time // when the caller first knew of its acceptance
	queue           string    // prefix of its queue
	pendingRequests int       // submissions without a response yet
	started         bool      // a task of it has started
	cancelled       time.Time

	submitted, acceptedAt time.Time // first time
}

type waveRecord struct {
	limit      int
	maintained map[owner.InstanceID]bool
}

// Time bounds of the guarantees.
const (
	drainBound        = 2 * time.Second // from a worker's drain until no task starts on it
	cancelBound       = 3 * time.Second // from a job's cancellation until none of its tasks starts
	dutyHandover      = 3 * time.Second // between orders of two duty holders for the same instance
	pendingCountBound = 5 * time.Second // until a waiting job is in its queue's count
	// copyStartBound is from the acknowledgement of a speculative task's end until no copy starts:
	// the start may have been sent before.
	copyStartBound = 500 * time.Millisecond
)

// maxCopies is how many runs of a speculative task may run in parallel.
const maxCopies = 2

// NewChecker returns a checker without observations.
func NewChecker() *Checker {
	return &Checker{
		began: time.Now(), tasks: map[job.TaskID]*taskRecord{}, jobs: map[job.ID]*jobRecord{},
		drained: map[owner.WorkerID]time.Time{}, waves: map[int]*waveRecord{},
		lastOrders: map[owner.InstanceID]orderRecord{}, crashers: map[crasher]bool{}, evacuated: map[string]time.Time{}, limits: map[string][]tenantLimit{},
		maxAttempts: map[string]int{}, runs: map[runOn]runFate{},
	}
}

// Violations returns a line for each violation of a guarantee, with the time since the checker
// was created.
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

// Starts returns the number of task starts.
func (c *Checker) Starts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts
}

func (c *Checker) addViolation(format string, args ...any) {
	at := time.Since(c.began).Round(time.Millisecond)
	c.violations = append(c.violations, at.String()+": "+fmt.Sprintf(format, args...))
}

// Submitted records that a caller sent a request with this job to the queue with a prefix.
func (c *Checker) Submitted(spec *job.Job, queue string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.jobs[spec.ID] == nil {
		c.jobs[spec.ID] = &jobRecord{spec: spec, queue: queue, submitted: time.Now()}
	}
	c.jobs[spec.ID].pendingRequests++
}

// SubmissionAnswered records the response to a submission: accepted, refused (the job never runs),
// or neither if the outcome is unknown.
func (c *Checker) SubmissionAnswered(id job.ID, accepted, refused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.jobs[id]
	if accepted && !r.accepted {
		r.acceptedAt = time.Now()
	}
	r.accepted = r.accepted || accepted
	r.mayRun = r.mayRun || !accepted && !refused
	r.refused = refused && !r.accepted && !r.mayRun
	r.pendingRequests--
	if r.refused && r.started && r.pendingRequests == 0 {
		c.addViolation("job %s was refused, but a task of it has started", id)
	}
}

// Cancelled records that the cancellation of a job was confirmed.
func (c *Checker) Cancelled(id job.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id].cancelled = time.Now()
}

// StateReported checks the state of a job that a daemon reported to a caller.
func (c *Checker) StateReported(id job.ID, s job.State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.jobs[id]
	switch s {
	case job.Completed:
		if !c.allDone(r.spec) {
			c.addViolation("job %s is reported as completed, but not all its tasks are done", id)
		}
	case job.Cancelled:
		if r.cancelled.IsZero() {
			c.addViolation("job %s is reported as cancelled, but no cancellation was confirmed", id)
		}
	case job.Failed:
		if !c.mayFail(id) {
			c.addViolation("job %s is reported as failed without a cause: %s", id, c.describeFailures(id))
		}
	}
}

// NotFoundReported checks a daemon's response to a caller that a job doesn't exist.
func (c *Checker) NotFoundReported(id job.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.jobs[id].accepted {
		c.addViolation("job %s was accepted, but is reported as not existing", id)
	}
}

// Accepted records that a caller knows that its job was accepted.
func (c *Checker) Accepted(id job.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.jobs[id]
	if r.confirmed.IsZero() {
		r.confirmed = time.Now()
	}
}

// PendingReported checks the count of a queue's waiting jobs, n, that a daemon gave to a request
// sent at asked. It must be at least half of the number of jobs that have waited for longer than
// pendingCountBound.
func (c *Checker) PendingReported(queue string, asked time.Time, n int, daemon string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	waiting := 0
	for _, r := range c.jobs {
		if r.queue == queue && r.pendingSince(asked) {
			waiting++
		}
	}
	if 2*n < waiting {
		c.addViolation("daemon %q reports %d waiting jobs of queue %s, but %d wait for more than %s", daemon, n, queue, waiting, pendingCountBound)
	}
}

// pendingSince reports whether no task of the job has started although it was accepted more than
// pendingCountBound before asked.
func (r *jobRecord) pendingSince(asked time.Time) bool {
	return r.accepted && !r.started && r.cancelled.IsZero() && r.spec.Repeat == 0 && asked.Sub(r.confirmed) > pendingCountBound
}

func (c *Checker) allDone(spec *job.Job) bool {
	for k := range spec.Occurrences() {
		for s := range spec.Steps {
			if !c.stepDone(spec, k, s) {
				return false
			}
		}
	}
	return true
}

func (c *Checker) stepDone(spec *job.Job, occurrence, step int) bool {
	for i := range spec.Steps[step].Count {
		t := c.tasks[job.TaskID{Job: spec.ID, Occurrence: occurrence, Step: step, Index: i}]
		if t == nil || !t.done {
			return false
		}
	}
	return true
}

// SetWaveLimit registers a wave and the maximum number of its instances that may be down at the
// same time.
func (c *Checker) SetWaveLimit(wave, limit int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waves[wave] = &waveRecord{limit: limit, maintained: map[owner.InstanceID]bool{}}
}

// MaintainedCount returns the number of instances of a wave whose maintenance has begun.
func (c *Checker) MaintainedCount(wave int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.waves[wave].maintained)
}

// started checks the start of a task on a worker.
func (c *Checker) started(t job.TaskID, run uint64, w owner.WorkerID, token uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts++
	c.runs[runOn{t, run, w}] = runBegan
	r := c.record(t)
	copies := c.mayHaveCopies(t)
	for other, n := range r.running {
		if !copies || len(r.running) >= maxCopies {
			c.addViolation("task %s runs twice: run %d on %s, run %d on %s under token %d", t, n, other, run, w, token)
		}
	}
	if !r.ackedAt.IsZero() && !(copies && time.Since(r.ackedAt) <= copyStartBound) {
		c.addViolation("task %s starts on %s, but its end was acknowledged", t, w)
	}
	c.checkCrasherStart(t, r)
	r.running[w] = run
	r.began = time.Now()
	c.checkJobStart(t)
	if at, ok := c.drained[w]; ok && time.Since(at) > drainBound {
		c.addViolation("task %s starts on %s, which has been draining for %s", t, w, time.Since(at))
	}
}

// mayHaveCopies reports whether the task is of a speculative step, of which two runs may run in
// parallel.
func (c *Checker) mayHaveCopies(t job.TaskID) bool {
	r := c.jobs[t.Job]
	return r != nil && r.spec.Steps[t.Step].Speculative
}

// checkJobStart checks the start of a task against the state of its job.
func (c *Checker) checkJobStart(t job.TaskID) {
	r := c.jobs[t.Job]
	if r == nil {
		c.addViolation("task %s starts, but its job was never submitted", t)
		return
	}
	r.started = true
	c.checkTenantLimit(t, r.spec)
	if r.refused && r.pendingRequests == 0 {
		c.addViolation("task %s starts, but its job was refused", t)
	}
	if !r.cancelled.IsZero() && time.Since(r.cancelled) > cancelBound {
		c.addViolation("task %s starts %s after its job was cancelled", t, time.Since(r.cancelled))
	}
	for _, a := range r.spec.Steps[t.Step].After {
		if !c.stepDone(r.spec, t.Occurrence, a) {
			c.addViolation("task %s starts before step %d is done", t, a)
		}
	}
}

// record returns the record of a task and creates it if there is none.
func (c *Checker) record(t job.TaskID) *taskRecord {
	r := c.tasks[t]
	if r == nil {
		r = &taskRecord{running: map[owner.WorkerID]uint64{}, failedRuns: map[uint64]bool{}}
		c.tasks[t] = r
	}
	return r
}

// ended records the end of a run; how is the kind of its end.
func (c *Checker) ended(t job.TaskID, run uint64, w owner.WorkerID, how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.record(t)
	if r.ready() {
		r.lastReady = time.Now()
		r.endedByOrder = how == endInstanceOrder || how == owner.EndStopped.String() || how == owner.EndLeaseExpired.String() && c.faultsEnded
	}
	if r.running[w] == run {
		delete(r.running, w)
	}
	r.done = r.done || how == owner.EndDone.String()
	if how == owner.EndFailed.String() {
		r.failedRuns[run] = true
	}
}

func (c *Checker) acknowledged(t job.TaskID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.record(t); r.ackedAt.IsZero() {
		r.ackedAt = time.Now()
	}
}

func (c *Checker) draining(w owner.WorkerID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drained[w] = time.Now()
}

func (c *Checker) maintained(wave int, id owner.InstanceID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.waves[wave]
	return w != nil && w.maintained[id]
}

// instanceOrdered checks an order for an instance; wave is 0 for a move, and down is the number of
// instances of the wave that are down. late means that the daemon was frozen between its last
// check of the duty and the call. It can't prevent this, so the duty holder isn't checked.
func (c *Checker) instanceOrdered(d owner.Duty, id owner.InstanceID, wave, down int, late bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !late {
		c.checkOrderHolder(d, id)
	}
	if wave == 0 {
		return
	}
	w := c.waves[wave]
	w.maintained[id] = true
	if down > w.limit {
		c.addViolation("%d instances of wave %d are down, the limit is %d", down, wave, w.limit)
	}
}

// checkOrderHolder checks the orders for an instance: the duty holder must not change within
// dutyHandover, and the duty's tokens must not decrease.
func (c *Checker) checkOrderHolder(d owner.Duty, id owner.InstanceID) {
	last, ordered := c.lastOrders[id]
	if ordered && last.Holder != d.Holder && time.Since(last.at) < dutyHandover {
		c.addViolation("%s orders instance %s only %s after %s did", d.Holder, id, time.Since(last.at), last.Holder)
	}
	if ordered && d.Token < last.Token {
		c.addViolation("%s orders instance %s with token %d after token %d", d.Holder, id, d.Token, last.Token)
	}
	c.lastOrders[id] = orderRecord{d, time.Now()}
}

// RunningTasks returns the number of running tasks of a job.
func (c *Checker) RunningTasks(id job.ID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for t, r := range c.tasks {
		if t.Job == id && len(r.running) > 0 {
			n++
		}
	}
	return n
}
