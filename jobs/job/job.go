// Package job defines the types of the job subsystem: queues, jobs, steps, tasks and the job
// state that is kept in the store.
package job

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/postmount/postmount/jobs/apikey"
)

// ID is a job's ID, chosen by its caller: 16 hexadecimal digits.
type ID string

// idLength is the length of an ID in hexadecimal digits.
const idLength = 16

// ValidID reports whether s is a well-formed ID.
func ValidID(s string) bool {
	if len(s) != idLength {
		return false
	}
	for _, c := range s {
		hex := c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F'
		if !hex {
			return false
		}
	}
	return true
}

// Resources are the resources that a task requests or a worker offers.
type Resources struct {
	CPUMilli int `json:",omitempty"` // millicores
	MemMB    int `json:",omitempty"`
	GPU      int `json:",omitempty"`
}

// String returns the amounts with their units.
func (r Resources) String() string {
	return fmt.Sprintf("%.1f cores, %d MB, %d GPUs", float64(r.CPUMilli)/1000, r.MemMB, r.GPU)
}

// MaxAmount is the largest valid amount of a resource: a million cores in millicores. The sum over
// 10,000 tasks, or over 100,000 workers, is exact as an int and as a float64.
const MaxAmount = 1_000_000_000

// Validate returns an error if an amount is negative or more than MaxAmount.
func (r Resources) Validate() error {
	for _, n := range [...]int{r.CPUMilli, r.MemMB, r.GPU} {
		if n < 0 || n > MaxAmount {
			return fmt.Errorf("amount of a resource is %d, want 0 to %d", n, MaxAmount)
		}
	}
	return nil
}

// Fits reports whether need fits into r.
func (r Resources) Fits(need Resources) bool {
	return need.CPUMilli <= r.CPUMilli && need.MemMB <= r.MemMB && need.GPU <= r.GPU
}

// Within reports whether r stays within limit. A limit of 0 means that the resource is not
// limited.
func (r Resources) Within(limit Resources) bool {
	within := func(n, limit int) bool { return limit == 0 || n <= limit }
	return within(r.CPUMilli, limit.CPUMilli) && within(r.MemMB, limit.MemMB) && within(r.GPU, limit.GPU)
}

// Times returns n times r.
func (r Resources) Times(n int) Resources {
	return Resources{n * r.CPUMilli, n * r.MemMB, n * r.GPU}
}

// Sub returns r minus o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPUMilli - o.CPUMilli, r.MemMB - o.MemMB, r.GPU - o.GPU}
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPUMilli + o.CPUMilli, r.MemMB + o.MemMB, r.GPU + o.GPU}
}

// Step is a group of identical tasks of a job. Zero values are omitted from its JSON form to
// keep it small: a new owner reads all jobs from the store.
type Step struct {
	Count         int
	Need          Resources
	Estimate      time.Duration `json:",omitempty"` // rough estimate of one task's duration
	After         []int         `json:",omitempty"` // indexes of earlier steps that must be done first
	Checkpoints   bool          `json:",omitempty"` // tasks can resume from a checkpoint
	Gang          bool          `json:",omitempty"` // tasks must run at the same time
	SameRack      bool          `json:",omitempty"` // the gang is slower on more than one rack
	RequiredLabel string        `json:",omitempty"` // label that the worker must have
	PreferredRack string        `json:",omitempty"` // rack on which the task is faster
	MaxPerWorker  int           `json:",omitempty"` // 0: no limit
	Speculative   bool          `json:",omitempty"` // copies of a task may run in parallel
	LongRunning   bool          `json:",omitempty"` // runs until the job is cancelled
	Image         string        `json:",omitempty"` // tasks with the same image behave alike
	LatencyTarget time.Duration `json:",omitempty"` // upper bound of a serving task's tail latency; 0: none
	Filler        bool          `json:",omitempty"` // uses only CPU time that other tasks leave idle
	MayMiss       int           `json:",omitempty"` // how many of its tasks maintenance may take down at the same time
}

// ReservedResources returns the part of a worker's capacity that a task of the step reserves.
// A filler reserves no CPU.
func (s *Step) ReservedResources() Resources {
	need := s.Need
	if s.Filler {
		need.CPUMilli = 0
	}
	return need
}

// Job is a submitted job. It is immutable.
type Job struct {
	ID      ID
	Queue   string // name of the queue it was submitted to
	Service string // service of the queue when the job was accepted
	// Settings are those of the queue when the job was accepted. They apply while the queue is not
	// configured any more.
	Settings   RunSettings `json:",omitzero"`
	Tenant     string      `json:",omitempty"` // "": submitted to a public queue
	Payload    string      `json:",omitempty"` // passed to the workers unchanged
	Steps      []Step
	Repeat     int           `json:",omitempty"` // number of occurrences; 0: the job runs once, immediately
	StartAt    time.Time     `json:",omitzero"`  // due time of the first occurrence
	Interval   time.Duration `json:",omitempty"` // between due times of occurrences
	AcceptedAt time.Time     // wall clock of the accepting daemon
}

// Occurrences returns how many times the steps run.
func (j *Job) Occurrences() int { return max(1, j.Repeat) }

// TasksPerOccurrence returns the number of tasks of one occurrence.
func (j *Job) TasksPerOccurrence() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Count
	}
	return n
}

// Due returns the earliest start of occurrence k, counted from 0; the zero time for a job
// that does not repeat.
func (j *Job) Due(k int) time.Time {
	if j.Repeat == 0 {
		return time.Time{}
	}
	return j.StartAt.Add(time.Duration(k) * j.Interval)
}

// TaskID identifies a task of a job.
type TaskID struct {
	Job        ID
	Occurrence int
	Step       int
	Index      int
}

// Has reports whether the job has the task with the given ID.
func (j *Job) Has(id TaskID) bool {
	return id.Occurrence >= 0 && id.Occurrence < j.Occurrences() && id.Step >= 0 && id.Step < len(j.Steps) &&
		id.Index >= 0 && id.Index < j.Steps[id.Step].Count
}

// String returns the ID in the form JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string {
	b := make([]byte, 0, idLength+len(".0.0.00")+8)
	b = append(b, t.Job...)
	for _, n := range [...]int{t.Occurrence, t.Step, t.Index} {
		b = strconv.AppendInt(append(b, '.'), int64(n), 10)
	}
	return string(b)
}

// ParseTaskID parses the form that String returns.
func ParseTaskID(s string) (TaskID, error) {
	if dots := strings.Count(s, "."); dots != 3 {
		return TaskID{}, fmt.Errorf("task ID %q has %d parts, want 4", s, dots+1)
	}
	id, rest, _ := strings.Cut(s, ".")
	var n [3]int
	for i := range n {
		var part string
		part, rest, _ = strings.Cut(rest, ".")
		v, err := strconv.Atoi(part)
		if err != nil {
			return TaskID{}, fmt.Errorf("task ID %q: %w", s, err)
		}
		if v < 0 {
			return TaskID{}, fmt.Errorf("task ID %q contains the negative number %d", s, v)
		}
		n[i] = v
	}
	return TaskID{ID(id), n[0], n[1], n[2]}, nil
}

// State is a job's state as reported to its caller.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether s is a terminal state.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// Queue is a route of the operators' configuration: a host and a path prefix at which jobs are
// submitted, and the service that runs them.
type Queue struct {
	Name            string
	Host            string
	Prefix          string // path prefix; ends with a slash
	Service         string
	Public          bool           // callers need no key
	Priority        int            // 0 is the highest
	MaxAttempts     int            // a task that fails this many times fails its job
	ObjectiveFactor float64        // duration objective: ObjectiveFactor times the critical path ...
	ObjectiveOffset time.Duration  // ... plus ObjectiveOffset
	Timeout         time.Duration  // of a caller's request
	Advisor         *AdvisorTiming // nil: every worker of the service may run its steps
}

// RunSettings are the settings of a queue by which its jobs run. The JSON names are short, as each
// job in the store has them.
type RunSettings struct {
	Priority        int            `json:"P,omitempty"`
	MaxAttempts     int            `json:"A,omitempty"`
	ObjectiveFactor float64        `json:"F,omitempty"`
	ObjectiveOffset time.Duration  `json:"O,omitempty"`
	Advisor         *AdvisorTiming `json:"V,omitempty"`
}

// RunSettings returns the queue's settings by which its jobs run.
func (q *Queue) RunSettings() RunSettings {
	return RunSettings{q.Priority, q.MaxAttempts, q.ObjectiveFactor, q.ObjectiveOffset, q.Advisor}
}

// QueueWhenAccepted returns the job's queue with the settings that it had when the job was accepted.
func (j *Job) QueueWhenAccepted() Queue {
	s := &j.Settings
	return Queue{Name: j.Queue, Service: j.Service, Priority: s.Priority, MaxAttempts: s.MaxAttempts,
		ObjectiveFactor: s.ObjectiveFactor, ObjectiveOffset: s.ObjectiveOffset, Advisor: s.Advisor}
}

// AdvisorTiming describes the advisor, the external service that decides which workers may run a
// step.
type AdvisorTiming struct {
	DecisionTime   time.Duration // base duration of one call
	TimePerWorker  time.Duration // added for each worker in the call
	TicketValidity time.Duration // how long a ticket is valid
}

// Service is a pool of workers.
type Service struct {
	Name             string
	EnforcesCapacity bool // its workers reject tasks that don't fit
	Spare            bool // its instances are powered off and cost nothing
}

// Catalog is one version of the operators' configuration.
type Catalog struct {
	Version  int64
	Queues   []Queue
	Services []Service
	Tenants  []Tenant
	Keys     apikey.Keyring
	Limits   Limits
}

// Limits bounds callers' requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Match returns the queue of the host (a port is ignored) with the longest matching path prefix,
// nil if there is none, and the rest of the path.
func (c *Catalog) Match(host, path string) (q *Queue, rest string) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for i := range c.Queues {
		candidate := &c.Queues[i]
		if candidate.Host != host || !strings.HasPrefix(path, candidate.Prefix) {
			continue
		}
		if q == nil || len(candidate.Prefix) > len(q.Prefix) {
			q = candidate
		}
	}
	if q == nil {
		return nil, ""
	}
	return q, path[len(q.Prefix):]
}

// Queue returns the queue with the given name, nil if there is none.
func (c *Catalog) Queue(name string) *Queue {
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i]
		}
	}
	return nil
}

// Service returns the service with the given name, nil if there is none.
func (c *Catalog) Service(name string) *Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}
