// Package late reports from the daemons' logs why jobs were late, failed or were never
// accepted. It aggregates the owner's time breakdown of each late job and the refusals that
// callers received by cause, by queue and by time.
package late

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/postmount/postmount/jobs/admission"
	"github.com/postmount/postmount/jobs/explain"
	"github.com/postmount/postmount/jobs/owner"
)

// Causes in addition to those of the owner's time breakdowns.
const (
	// NotAccepted is the time between a caller's first refused attempt and the attempt that was
	// accepted.
	NotAccepted = "not-accepted"
	// StoreUnavailable, OwnerChanging, Overloaded, PoolFull, OrdersWait, NoInstanceFits, OwnerFull, TooLarge and OtherRefusal are reasons why
	// a job was never accepted.
	StoreUnavailable = "store-away"
	OwnerChanging    = "owner-changing"
	Overloaded       = "overloaded"
	PoolFull         = string(admission.PoolFull)
	OrdersWait       = string(admission.OrdersWait)
	NoInstanceFits   = string(admission.NoInstanceFits)
	OwnerFull        = string(admission.OwnerFull)
	TooLarge         = string(admission.TooLarge)
	OtherRefusal     = "refused-otherwise"
	// AttemptsUsedUp means that a task of an accepted job used up its attempts.
	AttemptsUsedUp = "attempts-used-up"
	// CrashesWorkers means that a job failed because one of its tasks crashes its workers.
	CrashesWorkers = "crashes-its-workers"
)

// Outcome is the outcome of a job.
type Outcome string

// The outcomes that a report contains.
const (
	Late    Outcome = "late"
	Refused Outcome = "refused" // no attempt was accepted
	Failed  Outcome = "failed"
)

// Job is a job that was late, failed or was never accepted.
type Job struct {
	ID      string
	Queue   string        // "" if the logs don't contain it
	At      time.Duration // first attempt, since the first line of all logs
	Outcome Outcome
	Total   time.Duration            // from the first attempt until the owner learned of the end
	Allowed time.Duration            // duration up to which the job is on time
	Spent   map[string]time.Duration // by cause
}

// MainCause returns the cause of most of the job's avoidable time, which is all but the tasks'
// own work.
func (j Job) MainCause() string {
	cause, longest := "", time.Duration(-1)
	for c, d := range j.Spent {
		if c != owner.CauseWork.String() && (d > longest || d == longest && c < cause) {
			cause, longest = c, d
		}
	}
	return cause
}

// Report summarizes all jobs in a set of logs.
type Report struct {
	Accepted     int
	Jobs         []Job // those that were late, failed or never accepted, sorted by At
	DroppedLines int   `json:"LeftOut"` // dropped lines according to the logs
}

// jobTrace is the state of a job according to its lines.
type jobTrace struct {
	id             string
	queue          string
	firstAttempt   time.Time // first submission, refused or accepted
	acceptedAt     time.Time
	refusals       []string // reasons
	late           *explain.Line
	failed         bool
	crashesWorkers bool // one of its tasks was given up as it crashes its workers
}

// NewReport returns the report on the lines of all daemons.
func NewReport(lines []explain.Line) Report {
	var begin time.Time
	traces := map[string]*jobTrace{}
	out := Report{}
	for i := range lines {
		l := &lines[i]
		if !l.Time.IsZero() && (begin.IsZero() || l.Time.Before(begin)) {
			begin = l.Time
		}
		if l.Event == "log-lines-dropped" {
			n, _ := strconv.Atoi(l.Get("count")) // logs of old versions have no count
			out.DroppedLines += max(1, n)
		}
		if l.Job == "" {
			continue
		}
		t := traces[l.Job]
		if t == nil {
			t = &jobTrace{id: l.Job}
			traces[l.Job] = t
		}
		t.addLine(l)
	}
	for _, t := range traces {
		if !t.acceptedAt.IsZero() {
			out.Accepted++
		}
		if j, reported := t.job(begin); reported {
			out.Jobs = append(out.Jobs, j)
		}
	}
	slices.SortFunc(out.Jobs, func(a, b Job) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.ID, b.ID))
	})
	return out
}

func (t *jobTrace) addLine(l *explain.Line) {
	switch l.Event {
	case "job-accepted":
		if t.acceptedAt.IsZero() || l.Time.Before(t.acceptedAt) {
			t.acceptedAt = l.Time
		}
		t.queue = l.Get("queue")
	case "request-refused":
		if l.Get("method") != "POST" {
			return
		}
		t.refusals = append(t.refusals, l.Get("why"))
	case "job-late":
		t.late = l
		if t.queue == "" {
			t.queue = l.Get("why")
		}
		return
	case "task-given-up":
		t.crashesWorkers = true
		return
	case "job-failed":
		t.failed = true
		return
	default:
		return
	}
	if t.firstAttempt.IsZero() || l.Time.Before(t.firstAttempt) {
		t.firstAttempt = l.Time
	}
}

// failureCause returns the cause of the job's failure.
func (t *jobTrace) failureCause() string {
	if t.crashesWorkers {
		return CrashesWorkers
	}
	return AttemptsUsedUp
}

// job returns the job's entry in the report. reported is false if, according to the logs, the
// job was completed on time or its outcome is not known.
func (t *jobTrace) job(begin time.Time) (j Job, reported bool) {
	j = Job{ID: t.id, Queue: t.queue, Spent: map[string]time.Duration{}}
	if !t.firstAttempt.IsZero() {
		j.At = t.firstAttempt.Sub(begin)
	}
	switch {
	case t.late != nil:
		j.Outcome = Late
		t.addSpentTimes(&j)
		if t.firstAttempt.IsZero() {
			j.At = t.late.Time.Sub(begin) - j.Total
		}
	case t.failed:
		j.Outcome = Failed
		j.Spent[t.failureCause()] = 0
	case t.acceptedAt.IsZero() && len(t.refusals) > 0:
		j.Outcome = Refused
		j.Spent[refusalCause(t.refusals)] = 0
	default:
		return j, false
	}
	return j, true
}

// addSpentTimes adds the times of the owner's breakdown and the time until the job was accepted.
func (t *jobTrace) addSpentTimes(j *Job) {
	for _, f := range t.late.Fields {
		ms, err := strconv.ParseInt(f.Value, 10, 64)
		if err != nil {
			continue
		}
		d := time.Duration(ms) * time.Millisecond
		switch {
		case f.Name == "total":
			j.Total = d
		case f.Name == "allowed":
			j.Allowed = d
		case slices.Contains(owner.CauseNames(), f.Name):
			j.Spent[f.Name] += d
		}
	}
	if waited := t.acceptedAt.Sub(t.firstAttempt); len(t.refusals) > 0 && !t.acceptedAt.IsZero() && waited > 0 {
		j.Spent[NotAccepted] = waited
		j.Total += waited
	}
}

// refusalCause returns why a job was never accepted, derived from the text of the last refusal.
func refusalCause(reasons []string) string {
	last := reasons[len(reasons)-1]
	for _, reason := range []string{PoolFull, OrdersWait, NoInstanceFits, OwnerFull, TooLarge} {
		if strings.Contains(last, reason+": ") {
			return reason
		}
	}
	switch {
	case strings.Contains(last, "submissions wait"):
		return Overloaded
	case strings.Contains(last, "owner"):
		return OwnerChanging
	case strings.Contains(last, "store") || strings.Contains(last, "stored"):
		return StoreUnavailable
	}
	return OtherRefusal
}

// CauseTotal sums up a cause over a group of jobs.
type CauseTotal struct {
	Cause   string
	Seconds float64 // summed over all jobs of the group
	Jobs    int     // jobs of which it is the main cause
}

// Group sums up the jobs of a report that share a queue or a time slice.
type Group struct {
	Name     string
	From     time.Duration // start of the time slice, in groups by time
	Jobs     int
	Outcomes map[Outcome]int
	Causes   []CauseTotal // main cause of most jobs first

	firstAt time.Duration // of its first job
}

// All sums up the whole report.
func (r *Report) All() Group { return group("all", r.Jobs) }

// ByQueue sums up each queue.
func (r *Report) ByQueue() []Group {
	return r.groupBy(func(j *Job) string {
		if j.Queue == "" {
			return "(never accepted)"
		}
		return j.Queue
	})
}

// ByTimeSlice sums up time slices of the given width. A job belongs to the slice of its caller's
// first attempt.
func (r *Report) ByTimeSlice(width time.Duration) []Group {
	out := r.groupBy(func(j *Job) string { return sliceName(j.At, width) })
	for i := range out {
		out[i].From = out[i].firstAt / width * width
	}
	return out
}

// sliceName returns the name of a time slice. Names sort like their times.
func sliceName(at, width time.Duration) string {
	from := (at / width * width).Seconds()
	text := strconv.FormatFloat(from, 'f', 1, 64)
	return strings.Repeat(" ", max(0, 8-len(text))) + text + " s"
}

func (r *Report) groupBy(name func(*Job) string) []Group {
	byName := map[string][]Job{}
	for i := range r.Jobs {
		n := name(&r.Jobs[i])
		byName[n] = append(byName[n], r.Jobs[i])
	}
	var out []Group
	for n, jobs := range byName {
		out = append(out, group(n, jobs))
	}
	slices.SortFunc(out, func(a, b Group) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func group(name string, jobs []Job) Group {
	g := Group{Name: name, Jobs: len(jobs), Outcomes: map[Outcome]int{}}
	if len(jobs) > 0 {
		g.firstAt = jobs[0].At
	}
	totals := map[string]*CauseTotal{}
	total := func(c string) *CauseTotal {
		if totals[c] == nil {
			totals[c] = &CauseTotal{Cause: c}
		}
		return totals[c]
	}
	for i := range jobs {
		j := &jobs[i]
		g.Outcomes[j.Outcome]++
		total(j.MainCause()).Jobs++
		for c, d := range j.Spent {
			total(c).Seconds += d.Seconds()
		}
	}
	for _, s := range totals {
		g.Causes = append(g.Causes, *s)
	}
	slices.SortFunc(g.Causes, func(a, b CauseTotal) int {
		return cmp.Or(cmp.Compare(b.Jobs, a.Jobs), cmp.Compare(b.Seconds, a.Seconds), cmp.Compare(a.Cause, b.Cause))
	})
	return g
}
