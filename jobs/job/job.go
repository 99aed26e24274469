// Package job holds the types of the job subsystem: queues, jobs, steps,
// tasks and what is kept of them in the store.
package job

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/postmount/postmount/jobs/apikey"
)

// ID is the caller's name of a job, 16 hexadecimal digits.
type ID string

// idLength is the number of digits of an ID.
const idLength = 16

// ValidID reports whether s has the form of an ID.
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

// Resources are what a task asks for, or what a worker has.
type Resources struct {
	CPUMilli int `json:",omitempty"` // thousandths of a core
	MemMB    int `json:",omitempty"`
	GPU      int `json:",omitempty"`
}

// String returns the amounts with their units.
func (r Resources) String() string {
	return fmt.Sprintf("%.1f cores, %d MB, %d GPUs", float64(r.CPUMilli)/1000, r.MemMB, r.GPU)
}

// Fits reports whether need is within r.
func (r Resources) Fits(need Resources) bool {
	return need.CPUMilli <= r.CPUMilli && need.MemMB <= r.MemMB && need.GPU <= r.GPU
}

// Within reports whether r keeps to a limit, of which 0 means that there is none.
func (r Resources) Within(limit Resources) bool {
	keeps := func(n, limit int) bool { return limit == 0 || n <= limit }
	return keeps(r.CPUMilli, limit.CPUMilli) && keeps(r.MemMB, limit.MemMB) && keeps(r.GPU, limit.GPU)
}

// Times returns n times r.
func (r Resources) Times(n int) Resources {
	return Resources{n * r.CPUMilli, n * r.MemMB, n * r.GPU}
}

// Sub returns r less o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPUMilli - o.CPUMilli, r.MemMB - o.MemMB, r.GPU - o.GPU}
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPUMilli + o.CPUMilli, r.MemMB + o.MemMB, r.GPU + o.GPU}
}

// Step is a group of equal tasks of a job. What it leaves out takes no room in the
// store, from which a new owner reads all jobs.
type Step struct {
	Count         int
	Need          Resources
	Estimate      time.Duration `json:",omitempty"` // a rough guess of one task's duration
	After         []int         `json:",omitempty"` // numbers of earlier steps that must be done first
	Checkpoints   bool          `json:",omitempty"` // its tasks can resume from a checkpoint
	Gang          bool          `json:",omitempty"` // its tasks work only together
	SameRack      bool          `json:",omitempty"` // a gang that is slower on more than one rack
	RequiredLabel string        `json:",omitempty"` // label that the worker must have
	PreferredRack string        `json:",omitempty"` // rack on which the task is faster
	MaxPerWorker  int           `json:",omitempty"` // 0: no limit
	Speculative   bool          `json:",omitempty"` // copies may run in parallel
	LongRunning   bool          `json:",omitempty"` // runs until the job is cancelled
	Image         string        `json:",omitempty"` // tasks of one image behave alike
	LatencyTarget time.Duration `json:",omitempty"` // a serving task's tail must stay below; 0: none
	Filler        bool          `json:",omitempty"` // uses only processor time that others leave
	MayMiss       int           `json:",omitempty"` // how many of its tasks maintenance may take away at once
}

// ReservedResources returns what a task of the step takes of a worker's room.
func (s *Step) ReservedResources() Resources {
	need := s.Need
	if s.Filler {
		need.CPUMilli = 0
	}
	return need
}

// Job is what a caller submitted. It never changes.
type Job struct {
	ID         ID
	Queue      string // name of the route it came by
	Service    string // service of the queue when it was accepted
	Tenant     string `json:",omitempty"` // whose job it is; "": it came by a public queue
	Payload    string `json:",omitempty"` // handed to the workers as it came
	Steps      []Step
	Repeat     int           `json:",omitempty"` // occurrences; 0: the job runs once, at once
	StartAt    time.Time     `json:",omitzero"`  // due time of the first occurrence
	Interval   time.Duration `json:",omitempty"` // between due times of occurrences
	AcceptedAt time.Time     // wall clock of the accepting daemon
}

// Occurrences returns how often the steps run.
func (j *Job) Occurrences() int { return max(1, j.Repeat) }

// Due returns when occurrence k may start.
func (j *Job) Due(k int) time.Time {
	if j.Repeat == 0 {
		return time.Time{}
	}
	return j.StartAt.Add(time.Duration(k) * j.Interval)
}

// TaskID names one task of a job.
type TaskID struct {
	Job        ID
	Occurrence int
	Step       int
	Index      int
}

// String returns the task's name, JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string {
	b := make([]byte, 0, idLength+len(".0.0.00")+8)
	b = append(b, t.Job...)
	for _, n := range [...]int{t.Occurrence, t.Step, t.Index} {
		b = strconv.AppendInt(append(b, '.'), int64(n), 10)
	}
	return string(b)
}

// ParseTaskID is the inverse of String.
func ParseTaskID(s string) (TaskID, error) {
	if dots := strings.Count(s, "."); dots != 3 {
		return TaskID{}, fmt.Errorf("task name %q has %d parts, want 4", s, dots+1)
	}
	id, rest, _ := strings.Cut(s, ".")
	var n [3]int
	for i := range n {
		var part string
		part, rest, _ = strings.Cut(rest, ".")
		v, err := strconv.Atoi(part)
		if err != nil {
			return TaskID{}, fmt.Errorf("task name %q: %w", s, err)
		}
		n[i] = v
	}
	return TaskID{ID(id), n[0], n[1], n[2]}, nil
}

// State is a job's state as its caller sees it.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether a job in state s does not change any more.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// Queue is a route of the configuration: where jobs are submitted and which
// service runs them.
type Queue struct {
	Name            string
	Host            string
	Prefix          string // of the path; ends with a slash
	Service         string
	Public          bool           // its callers need no key
	Priority        int            // 0 comes first
	MaxAttempts     int            // a task that failed so often fails its job
	ObjectiveFactor float64        // objective: Stretch times the longest chain of work ...
	ObjectiveOffset time.Duration  // ... and this much more
	Timeout         time.Duration  // of a caller's request
	Advisor         *AdvisorTiming // nil: every worker of the service may run its steps
}

// AdvisorTiming describes the service that says which workers may run a step.
type AdvisorTiming struct {
	DecisionTime   time.Duration // of one call
	TimePerWorker  time.Duration // more for each worker asked about
	TicketValidity time.Duration // of a ticket
}

// Service is a pool of workers.
type Service struct {
	Name             string
	EnforcesCapacity bool // its workers reject what does not fit
	Spare            bool // its instances are off and cost nothing
}

// Catalog is one version of the operators' configuration.
type Catalog struct {
	Version  int64
	Queues   []Queue
	Services []Service
	Tenants  []Tenant
	Keys     apikey.Ring
	Limits   Limits
}

// Limits bound callers' requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Match returns the queue with the longest prefix for a request, and the rest
// of the path.
func (c *Catalog) Match(host, path string) (q *Queue, rest string) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for i := range c.Queues {
		r := &c.Queues[i]
		if r.Host != host || !strings.HasPrefix(path, r.Prefix) {
			continue
		}
		if q == nil || len(r.Prefix) > len(q.Prefix) {
			q = r
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
