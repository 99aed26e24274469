// Package late tells from the daemons' logs where the time of late and unserved
// jobs went: it sums up, by cause, by queue and by time, what the owner says of
// each late job and what callers were answered.
package late

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/postmount/postmount/jobs/explain"
	"github.com/postmount/postmount/jobs/owner"
)

// Causes beside those of the owner's accounts.
const (
	// NotAccepted is the time between a caller's first refused try and the try that
	// was accepted.
	NotAccepted = "not-accepted"
	// StoreAway, OwnerChanging and Overloaded are why a job was never accepted.
	StoreAway     = "store-away"
	OwnerChanging = "owner-changing"
	Overloaded    = "overloaded"
	OtherRefusal  = "refused-otherwise"
	// JobFailed is an accepted job that used up its attempts.
	JobFailed = "attempts-used-up"
	// JobCrashes is one that failed as a task of it crashes the workers that start it.
	JobCrashes = "crashes-its-workers"
)

// Outcome is how a job fared.
type Outcome string

// The outcomes that a report is about.
const (
	Late    Outcome = "late"
	Refused Outcome = "refused" // no try of it was accepted
	Failed  Outcome = "failed"
)

// Job is one job that was not served in time.
type Job struct {
	ID      string
	Queue   string // as far as the logs tell
	At      time.Duration
	Outcome Outcome
	Total   time.Duration
	Allowed time.Duration
	Spent   map[string]time.Duration // by cause
}

// MainCause returns the cause that took most of the job's avoidable time.
func (j Job) MainCause() string {
	worst, most := "", time.Duration(-1)
	for c, d := range j.Spent {
		if c != owner.CauseWork.String() && (d > most || d == most && c < worst) {
			worst, most = c, d
		}
	}
	return worst
}

// Report is about all jobs in a set of logs.
type Report struct {
	Accepted int
	Jobs     []Job // not in time, by their first sign
	LeftOut  int   // lines that the logs say were dropped
}

// jobTrace is what the lines say of one job.
type jobTrace struct {
	id       string
	queue    string
	first    time.Time // first try
	accepted time.Time
	refusals []string // why
	late     *explain.Line
	failed   bool
	crashes  bool // and a task of it crashes its workers
}

// NewReport reads the lines of all daemons.
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
			n, _ := strconv.Atoi(l.Get("count")) // an old log may not say how many
			out.LeftOut += max(1, n)
		}
		if l.Job == "" {
			continue
		}
		t := traces[l.Job]
		if t == nil {
			t = &jobTrace{id: l.Job}
			traces[l.Job] = t
		}
		t.add(l)
	}
	for _, t := range traces {
		if !t.accepted.IsZero() {
			out.Accepted++
		}
		if j, bad := t.job(begin); bad {
			out.Jobs = append(out.Jobs, j)
		}
	}
	slices.SortFunc(out.Jobs, func(a, b Job) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.ID, b.ID))
	})
	return out
}

func (t *jobTrace) add(l *explain.Line) {
	switch l.Event {
	case "job-accepted":
		if t.accepted.IsZero() || l.Time.Before(t.accepted) {
			t.accepted = l.Time
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
		t.crashes = true
		return
	case "job-failed":
		t.failed = true
		return
	default:
		return
	}
	if t.first.IsZero() || l.Time.Before(t.first) {
		t.first = l.Time
	}
}

// failure returns why the job failed.
func (t *jobTrace) failure() string {
	if t.crashes {
		return JobCrashes
	}
	return JobFailed
}

// job returns what befell the job; bad is false if it was in time, as far as the
// logs tell, or if they do not tell.
func (t *jobTrace) job(begin time.Time) (j Job, bad bool) {
	j = Job{ID: t.id, Queue: t.queue, Spent: map[string]time.Duration{}}
	if !t.first.IsZero() {
		j.At = t.first.Sub(begin)
	}
	switch {
	case t.late != nil:
		j.Outcome = Late
		t.account(&j)
		if t.first.IsZero() {
			j.At = t.late.Time.Sub(begin) - j.Total
		}
	case t.failed:
		j.Outcome = Failed
		j.Spent[t.failure()] = 0
	case t.accepted.IsZero() && len(t.refusals) > 0:
		j.Outcome = Refused
		j.Spent[refusal(t.refusals)] = 0
	default:
		return j, false
	}
	return j, true
}

func (t *jobTrace) account(j *Job) {
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
	if before := t.accepted.Sub(t.first); len(t.refusals) > 0 && !t.accepted.IsZero() && before > 0 {
		j.Spent[NotAccepted] = before
		j.Total += before
	}
}

// refusal says why a job was never accepted, by its last answer.
func refusal(whys []string) string {
	last := whys[len(whys)-1]
	switch {
	case strings.Contains(last, "submissions wait"):
		return Overloaded
	case strings.Contains(last, "owner"):
		return OwnerChanging
	case strings.Contains(last, "store") || strings.Contains(last, "stored"):
		return StoreAway
	}
	return OtherRefusal
}

// CauseTotal is what one cause cost a group of jobs.
type CauseTotal struct {
	Cause   string
	Seconds float64 // of all jobs of the group
	Jobs    int     // of which it took most of the avoidable time
}

// Group is some of the jobs of a report.
type Group struct {
	Name     string
	From     time.Duration // of a slice of time: when it begins
	Jobs     int
	Outcomes map[Outcome]int
	Causes   []CauseTotal // those that cost most first

	at time.Duration // of its first job
}

// All sums up the whole report.
func (r *Report) All() Group { return group("all", r.Jobs) }

// ByQueue sums up each queue.
func (r *Report) ByQueue() []Group {
	return r.by(func(j *Job) string {
		if j.Queue == "" {
			return "(never accepted)"
		}
		return j.Queue
	})
}

// BySecond sums up slices of the time, by when callers first tried.
func (r *Report) BySecond(width time.Duration) []Group {
	out := r.by(func(j *Job) string { return sliceName(j.At, width) })
	for i := range out {
		out[i].From = out[i].at / width * width
	}
	return out
}

// sliceName is such that names sort as their times do.
func sliceName(at, width time.Duration) string {
	from := (at / width * width).Seconds()
	text := strconv.FormatFloat(from, 'f', 1, 64)
	return strings.Repeat(" ", max(0, 8-len(text))) + text + " s"
}

func (r *Report) by(name func(*Job) string) []Group {
	parts := map[string][]Job{}
	for i := range r.Jobs {
		n := name(&r.Jobs[i])
		parts[n] = append(parts[n], r.Jobs[i])
	}
	var out []Group
	for n, jobs := range parts {
		out = append(out, group(n, jobs))
	}
	slices.SortFunc(out, func(a, b Group) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func group(name string, jobs []Job) Group {
	g := Group{Name: name, Jobs: len(jobs), Outcomes: map[Outcome]int{}}
	if len(jobs) > 0 {
		g.at = jobs[0].At
	}
	sums := map[string]*CauseTotal{}
	sum := func(c string) *CauseTotal {
		if sums[c] == nil {
			sums[c] = &CauseTotal{Cause: c}
		}
		return sums[c]
	}
	for i := range jobs {
		j := &jobs[i]
		g.Outcomes[j.Outcome]++
		sum(j.MainCause()).Jobs++
		for c, d := range j.Spent {
			sum(c).Seconds += d.Seconds()
		}
	}
	for _, s := range sums {
		g.Causes = append(g.Causes, *s)
	}
	slices.SortFunc(g.Causes, func(a, b CauseTotal) int {
		return cmp.Or(cmp.Compare(b.Jobs, a.Jobs), cmp.Compare(b.Seconds, a.Seconds), cmp.Compare(a.Cause, b.Cause))
	})
	return g
}
