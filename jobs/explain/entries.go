package explain

import (
	"slices"
	"strings"
	"time"
)

// RefusedEntry is an entry of the store that daemons refuse as invalid.
type RefusedEntry struct {
	Key   string
	First time.Time // when it was first refused
	Why   string    // latest reason
	By    []string  // log files of the daemons that refuse it
}

// entryState is the state of an entry according to the log lines read so far.
type entryState struct {
	RefusedEntry
	refusedBy map[string]bool // log files of the daemons that refuse it
}

// RefusedEntries returns the entries that are refused at the end of the logs, sorted by key.
func RefusedEntries(lines []Line) []RefusedEntry {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	states := map[string]*entryState{}
	for _, l := range lines {
		switch l.Event {
		case "entry-refused":
			e := stateOf(states, l.Get("key"))
			if len(e.refusedBy) == 0 {
				e.First = l.Time
			}
			e.Why = l.Get("error")
			e.refusedBy[l.Source] = true
		case "entry-accepted":
			delete(stateOf(states, l.Get("key")).refusedBy, l.Source)
		case "start": // a new process, which has not refused any entry yet
			for _, e := range states {
				delete(e.refusedBy, l.Source)
			}
		}
	}
	var out []RefusedEntry
	for _, e := range states {
		for by := range e.refusedBy {
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

// stateOf returns the state of an entry, which it creates if it is missing.
func stateOf(states map[string]*entryState, key string) *entryState {
	if states[key] == nil {
		states[key] = &entryState{RefusedEntry: RefusedEntry{Key: key}, refusedBy: map[string]bool{}}
	}
	return states[key]
}
