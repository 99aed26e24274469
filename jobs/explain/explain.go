// Package explain merges the log lines of all daemons about a job into a timeline and reports
// what is missing or contradictory in it.
package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"
)

// Line is one line of a daemon's log.
type Line struct {
	Source string // log file
	Time   time.Time
	Level  string
	Event  string
	Job    string
	Fields []Field // all other fields, sorted by name
}

// Field is a field of a line.
type Field struct{ Name, Value string }

// Get returns the value of a field, "" if the line has none.
func (l Line) Get(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// maxLineBytes bounds the length of a log line.
const maxLineBytes = 1 << 20

// Read returns the lines of a log. Text before a line's first brace, such as a time or a host
// name, is ignored, and so are lines without a brace. unreadable is the number of other lines
// that are not valid log lines.
func Read(source string, r io.Reader) (lines []Line, unreadable int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		_, raw, found := strings.Cut(s.Text(), "{")
		if !found {
			continue
		}
		l, ok := parse(source, "{"+raw)
		if !ok {
			unreadable++
			continue
		}
		lines = append(lines, l)
	}
	return lines, unreadable, s.Err()
}

func parse(source, raw string) (Line, bool) {
	var m map[string]json.RawMessage
	if json.Unmarshal([]byte(raw), &m) != nil {
		return Line{}, false
	}
	l := Line{Source: source}
	for name, v := range m {
		text := strings.Trim(string(v), `"`)
		switch name {
		case "ts":
			t, err := time.Parse(time.RFC3339Nano, text)
			if err != nil {
				return Line{}, false
			}
			l.Time = t
		case "level":
			l.Level = text
		case "msg":
			l.Event = text
		case "job":
			l.Job = text
		default:
			var unquoted string
			if json.Unmarshal(v, &unquoted) == nil {
				text = unquoted
			}
			l.Fields = append(l.Fields, Field{name, text})
		}
	}
	sort.Slice(l.Fields, func(a, b int) bool { return l.Fields[a].Name < l.Fields[b].Name })
	return l, l.Event != ""
}

// Timeline is the log of a job.
type Timeline struct {
	Job      string
	Lines    []Line // sorted by time
	Findings []string
}

// contextEvents are events of daemons that concern no single job but may explain its delays.
var contextEvents = map[string]bool{
	"owner": true, "no-longer-owner": true, "deposed": true, "jobs-loaded": true, "start": true, "stop": true,
	"history-gone": true, "lease-ended": true, "fenced": true, "registrations-back": true,
	"registrations-caught-up": true, "zone-evacuated": true, "zone-restored": true,
}

// Explain returns the timeline of a job, including the context events between its first and its
// last line.
func Explain(id string, lines []Line) Timeline {
	t := Timeline{Job: id}
	var first, last time.Time
	for _, l := range lines {
		if l.Job != id {
			continue
		}
		if first.IsZero() || l.Time.Before(first) {
			first = l.Time
		}
		if l.Time.After(last) {
			last = l.Time
		}
	}
	if first.IsZero() {
		t.Findings = []string{"no log line contains this job: these daemons never accepted it, or its lines were dropped under load (see log_lines_left_out)"}
		return t
	}
	for _, l := range lines {
		isContext := contextEvents[l.Event] && !l.Time.Before(first) && !l.Time.After(last)
		if l.Job == id || isContext {
			t.Lines = append(t.Lines, l)
		}
	}
	sort.SliceStable(t.Lines, func(a, b int) bool { return t.Lines[a].Time.Before(t.Lines[b].Time) })
	t.Findings = findings(t.Lines, id)
	return t
}

// findings returns what is notable, missing or contradictory in the lines of a job.
func findings(lines []Line, id string) []string {
	first := map[string]Line{} // by event
	n := map[string]int{}      // number of lines by event
	for _, l := range lines {
		if l.Job != id && l.Job != "" {
			continue
		}
		if n[l.Event] == 0 {
			first[l.Event] = l
		}
		n[l.Event]++
	}
	var out []string
	add := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	if n["request-refused"] > 0 {
		add("refused %d times, first with status %s: %s", n["request-refused"], first["request-refused"].Get("status"), first["request-refused"].Get("why"))
	}
	if n["job-accepted"] > 0 && n["job-known"] == 0 && n["jobs-loaded"] == 0 {
		add("accepted, but not seen by any owner")
	}
	if n["job-known"] > 0 && n["job-started"] == 0 && n["run-adopted"] == 0 && n["job-cancelled"] == 0 {
		add("seen by the owner, but no task was started")
	}
	if n["job-waits"] > 0 {
		add("waited: %s", first["job-waits"].Get("why"))
	}
	if n["task-failed"] > 0 {
		add("%d attempts failed, the first on worker %s", n["task-failed"], first["task-failed"].Get("worker"))
	}
	if n["start-unanswered"] > 0 {
		add("%d starts went unanswered, the first to worker %s", n["start-unanswered"], first["start-unanswered"].Get("worker"))
	}
	if ended := n["run-vanished"] + n["task-lapsed"] + n["run-lost"]; ended > 0 {
		add("%d runs ended without a result", ended)
	}
	if n["task-crashed-with-worker"] > 0 {
		add("%d worker crashes while running one of its tasks, the first on worker %s", n["task-crashed-with-worker"], first["task-crashed-with-worker"].Get("worker"))
	}
	if n["task-given-up"] > 0 {
		add("task %s crashes its workers and is not started any more: %s", first["task-given-up"].Get("task"), first["task-given-up"].Get("why"))
	}
	switch {
	case n["job-failed"] > 0 && first["job-failed"].Get("why") != "":
		add("failed by %s", first["job-failed"].Get("why"))
	case n["job-failed"] == 0 && n["job-failed-earlier"] > 0:
		add("failed under an earlier owner; its record says: %s", first["job-failed-earlier"].Get("why"))
	}
	if n["zone-evacuated"] > 0 {
		add("zone %s was evacuated meanwhile: no tasks were started there", first["zone-evacuated"].Get("why"))
	}
	if n["owner"] > 0 {
		add("the owner changed %d times meanwhile", n["owner"])
	}
	if n["job-completed"]+n["job-failed"]+n["job-cancelled"] > 1 {
		add("contradiction: more than one final state, %d completed, %d failed, %d cancelled", n["job-completed"], n["job-failed"], n["job-cancelled"])
	}
	if n["job-completed"]+n["job-failed"] > 0 && n["job-recorded"] == 0 {
		add("no log line says that its final state was recorded in the store")
	}
	return out
}

// Write prints the timeline with times relative to its first line.
func (t *Timeline) Write(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "job %s\n", t.Job); err != nil {
		return err
	}
	for _, l := range t.Lines {
		var fields []string
		for _, f := range l.Fields {
			fields = append(fields, f.Name+"="+f.Value)
		}
		since := l.Time.Sub(t.Lines[0].Time)
		if _, err := fmt.Fprintf(w, "%10.3f s  %-14s %-18s %s\n", since.Seconds(), l.Source, l.Event, strings.Join(fields, " ")); err != nil {
			return err
		}
	}
	for _, f := range t.Findings {
		if _, err := fmt.Fprintf(w, "-> %s\n", f); err != nil {
			return err
		}
	}
	return nil
}
