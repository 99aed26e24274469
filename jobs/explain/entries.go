package explain

import (
	"slices"
	"strings"
	"time"
)

// RefusedEntry is one of the store's that a daemon refused.
type RefusedEntry struct {
	Key   string
	First time.Time // when it was first refused
	Why   string    // newest reason
	By    []string  // daemons that refuse it, by their files
}

// entryTrace is what the logs say of one entry so far.
type entryTrace struct {
	RefusedEntry
	refusing map[string]bool // by file
}

// RefusedEntries returns the entries that daemons refuse at the end of their logs, by key.
func RefusedEntries(lines []Line) []RefusedEntry {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	traces := map[string]*entryTrace{}
	for _, l := range lines {
		switch l.Event {
		case "entry-refused":
			e := traceOf(traces, l.Get("key"))
			if len(e.refusing) == 0 {
				e.First = l.Time
			}
			e.Why = l.Get("error")
			e.refusing[l.Source] = true
		case "entry-accepted":
			delete(traceOf(traces, l.Get("key")).refusing, l.Source)
		case "start": // of a process, which knows of none yet
			for _, e := range traces {
				delete(e.refusing, l.Source)
			}
		}
	}
	var out []RefusedEntry
	for _, e := range traces {
		for by := range e.refusing {
			e.By = append(e.By, by)
		}
		if len(e.By) > 0 {
			slices.Sort(e.By)
			out = append(out, e.RefusedEntry)
		}
	}
	slices.SortFunc(out, func(a, b RefusedEntry) int { return strings.Compare(a.Key, b.Key) })
	return out
}

func traceOf(traces map[string]*entryTrace, key string) *entryTrace {
	if traces[key] == nil {
		traces[key] = &entryTrace{RefusedEntry: RefusedEntry{Key: key}, refusing: map[string]bool{}}
	}
	return traces[key]
}
