package rig

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"time"
)

// Bounds of the rules, as in the settings of the small sites.
const (
	cancelBound = 3 * time.Second
	earlyBound  = 250 * time.Millisecond
	maxAttempts = 3
)

// taskRecord is what the workers have seen of a task.
type taskRecord struct {
	active    map[*run]*worker
	doneAt    time.Time // first end done
	doneRun   uint64
	doneNoted bool
	restarted string // a start after the first end done
	failed    []uint64
	noted     map[uint64]bool // failed runs that were taken note of
}

// judge checks the rules by what workers, consumers and the platform see, and writes the record.
type judge struct {
	mu         sync.Mutex
	out        io.Writer
	began      time.Time
	tasks      map[string]*taskRecord
	doneGangs  map[string]bool
	cancelled  map[string]time.Time // when the cancelling of a job was acknowledged
	violations []string
	starts     int
	termRuns   uint64 // highest run so far, counted from the first one of the owner's term
	ends       map[string]int
	quiet      string // spec of jobs whose starts and ends are only counted in the record
}

func newJudge(out io.Writer) *judge {
	return &judge{out: out, began: time.Now(), tasks: map[string]*taskRecord{}, doneGangs: map[string]bool{}, cancelled: map[string]time.Time{}, ends: map[string]int{}}
}

// note writes a line to the record.
func (j *judge) note(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.write(format, args...)
}

func (j *judge) write(format string, args ...any) {
	fmt.Fprintf(j.out, "%8.3f %s\n", time.Since(j.began).Seconds(), fmt.Sprintf(format, args...))
}

// broken records that a rule was broken.
func (j *judge) broken(rule, format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.violate(rule, format, args...)
}

func (j *judge) violate(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	j.violations = append(j.violations, text)
	j.write("BROKEN %s", text)
}

// rules returns how often each rule was broken.
func (j *judge) rules() map[string]int {
	j.mu.Lock()
	defer j.mu.Unlock()
	out := map[string]int{}
	for _, v := range j.violations {
		out[v[:strings.IndexByte(v, ':')]]++
	}
	return out
}

func (j *judge) task(name string) *taskRecord {
	t := j.tasks[name]
	if t == nil {
		t = &taskRecord{active: map[*run]*worker{}, noted: map[uint64]bool{}}
		j.tasks[name] = t
	}
	return t
}

// started checks a start.
func (j *judge) started(w *worker, r *run, p *plan, occurrence, index int, spec string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.starts++
	if first := w.fence * runsOfTerm; r.number > first {
		j.termRuns = max(j.termRuns, r.number-first)
	}
	if p.Spec == shortSpec {
		return // only counted
	}
	if spec != j.quiet {
		j.write("start %s run %d on %s fence %d", r.task, r.number, w.id, w.fence)
	}
	t := j.task(r.task)
	if spec != p.Spec {
		j.violate("UNASKED", "%s starts with another spec", r.task)
	}
	if at, ok := j.cancelled[p.ID]; ok && time.Since(at) > cancelBound {
		j.violate("UNASKED", "%s starts %s after the cancelling of its job was acknowledged", r.task, time.Since(at))
	}
	if !r.step.Speculative {
		for o, ow := range t.active {
			j.violate("TWICE", "%s runs as run %d on %s and as run %d on %s", r.task, o.number, ow.id, r.number, w.id)
		}
		if !t.doneAt.IsZero() {
			t.restarted = fmt.Sprintf("%s starts as run %d on %s, %s after run %d ended done", r.task, r.number, w.id, time.Since(t.doneAt), t.doneRun)
			if t.doneNoted {
				j.violate("TWICE", "%s (taken note of before)", t.restarted)
			}
		}
	}
	t.active[r] = w
	for _, a := range r.step.After {
		for n := range p.Steps[a].Count {
			before := fmt.Sprintf("%s.%d.%d.%d", p.ID, occurrence, a, n)
			if p.Steps[a].Gang {
				before = fmt.Sprintf("%s.%d.%d", p.ID, occurrence, a)
				if !j.doneGangs[before] {
					j.violate("ORDER", "%s starts before gang %s is done", r.task, before)
				}
				continue
			}
			if b := j.tasks[before]; b == nil || b.doneAt.IsZero() {
				j.violate("ORDER", "%s starts before %s is done", r.task, before)
			}
		}
	}
	if due := p.Start.Add(time.Duration(occurrence) * p.Every); p.Repeat > 0 && time.Until(due) > earlyBound {
		j.violate("ORDER", "%s starts %s before its time", r.task, time.Until(due))
	}
	if l := r.step.RequiredLabel; l != "" && l != w.kind && l != w.machine.rack {
		j.violate("ROUTE", "%s needs label %s and starts on %s of kind %s", r.task, l, w.id, w.kind)
	}
	same := 0
	for name := range w.runs {
		if name[:strings.LastIndexByte(name, '.')] == r.task[:strings.LastIndexByte(r.task, '.')] {
			same++
		}
	}
	if r.step.MaxPerServer > 0 && same > r.step.MaxPerServer {
		j.violate("ROUTE", "%s is the %dth task of its step on %s, of %d at most", r.task, same, w.id, r.step.MaxPerServer)
	}
	if cpu, mem := w.used(); !w.fleet.guards && (cpu > w.fleet.cpu || mem > w.fleet.mem) {
		j.violate("LIMIT", "%s brings %s to %d of %d cpu, %d of %d MB", r.task, w.id, cpu, w.fleet.cpu, mem, w.fleet.mem)
	}
	if len(t.noted) >= maxAttempts {
		j.violate("BUDGET", "%s starts after %d failed runs", r.task, len(t.noted))
	}
}

// ended records the end of a run.
func (j *judge) ended(w *worker, r *run, how string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.ends[how]++
	if r.spec == shortSpec {
		return
	}
	if r.spec != j.quiet {
		j.write("end %s run %d on %s %s", r.task, r.number, w.id, how)
	}
	t := j.task(r.task)
	delete(t.active, r)
	switch {
	case how == "done" && t.doneAt.IsZero():
		t.doneAt, t.doneRun = time.Now(), r.number
	case how == "failed":
		t.failed = append(t.failed, r.number)
	}
	if how == "done" && r.step.Gang {
		j.doneGangs[r.gangKey()] = true
		j.doneGangs[r.task[:strings.LastIndexByte(r.task, '.')]] = true
	}
}

// noted records that an end was taken note of.
func (j *judge) noted(e endRow) {
	j.mu.Lock()
	defer j.mu.Unlock()
	t := j.tasks[e.task]
	switch {
	case t == nil:
	case e.how == "done" && e.run == t.doneRun:
		t.doneNoted = true
		if t.restarted != "" {
			j.violate("TWICE", "%s (taken note of later)", t.restarted)
			t.restarted = ""
		}
	case e.how == "failed":
		t.noted[e.run] = true
	}
}

// shortSpec marks tasks that are only there to be many.
const shortSpec = "short"

// mayFail reports whether the run is one of those that fail by their own fault.
func (j *judge) mayFail(r *run) bool {
	if r.step.Fails == 0 {
		return false
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.task(r.task).failed) < r.step.Fails
}

func (j *judge) gangDone(r *run) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.doneGangs[r.gangKey()]
}

// isDone reports whether all tasks of the plan have ended done.
func (j *judge) isDone(p *plan) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	for k := range max(1, p.Repeat) {
		for n, s := range p.Steps {
			if s.Gang {
				if !j.doneGangs[fmt.Sprintf("%s.%d.%d", p.ID, k, n)] {
					return false
				}
				continue
			}
			for i := range s.Count {
				if t := j.tasks[fmt.Sprintf("%s.%d.%d.%d", p.ID, k, n, i)]; t == nil || t.doneAt.IsZero() {
					return false
				}
			}
		}
	}
	return true
}

// hasFailedEnough reports whether a task of the plan has used up its attempts.
func (j *judge) hasFailedEnough(p *plan) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	for name, t := range j.tasks {
		if strings.HasPrefix(name, p.ID+".") && len(t.failed) >= maxAttempts {
			return true
		}
	}
	return false
}

// waits returns a task of the plan whose turn has come, and what it takes of a worker; "" if there is none, or if a
// task of the plan is at work.
func (j *judge) waits(p *plan) (task string, cpu int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	done := func(n int) bool {
		for i := range p.Steps[n].Count {
			if t := j.tasks[fmt.Sprintf("%s.0.%d.%d", p.ID, n, i)]; t == nil || t.doneAt.IsZero() {
				return false
			}
		}
		return true
	}
	for n, s := range p.Steps {
		ready := true
		for _, a := range s.After {
			ready = ready && done(a)
		}
		for i := range s.Count {
			name := fmt.Sprintf("%s.0.%d.%d", p.ID, n, i)
			t := j.tasks[name]
			if t != nil && len(t.active) > 0 {
				return "", 0
			}
			if ready && (t == nil || t.doneAt.IsZero()) {
				task, cpu = name, s.CPU
			}
		}
	}
	return task, cpu
}

// judgeCancelled checks that no task of a cancelled job is at work.
func (j *judge) judgeCancelled() {
	j.mu.Lock()
	defer j.mu.Unlock()
	for name, t := range j.tasks {
		id, _, _ := strings.Cut(name, ".")
		if _, cancelled := j.cancelled[id]; !cancelled {
			continue
		}
		for r, w := range t.active {
			j.violate("UNASKED", "%s is still at work as run %d on %s, and its job was cancelled", name, r.number, w.id)
		}
	}
}
