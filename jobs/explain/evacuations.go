package explain

import (
	"slices"
	"strings"
	"time"
)

// Evacuation is a period in which no new tasks were placed in an availability zone.
type Evacuation struct {
	Zone  string
	Since time.Time
	Until time.Time // zero: the logs contain no end
	By    string    // log file of the owner that reported it first
}

// Evacuations returns the evacuations that owners have put into effect, sorted by start. One
// that spans a change of owner is reported once. The end of one that ended while there was no
// owner is not known.
func Evacuations(lines []Line) []Evacuation {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	var out []Evacuation
	for _, l := range lines {
		zone := l.Get("why")
		open := slices.IndexFunc(out, func(e Evacuation) bool { return e.Zone == zone && e.Until.IsZero() })
		switch {
		case l.Event == "zone-evacuated" && open < 0:
			out = append(out, Evacuation{Zone: zone, Since: l.Time, By: l.Source})
		case l.Event == "zone-restored" && open >= 0:
			out[open].Until = l.Time
		}
	}
	slices.SortStableFunc(out, func(a, b Evacuation) int {
		if order := a.Since.Compare(b.Since); order != 0 {
			return order
		}
		return strings.Compare(a.Zone, b.Zone)
	})
	return out
}
