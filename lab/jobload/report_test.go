package jobload

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/explain"
	"github.com/postmount/postmount/jobs/late"
	"github.com/postmount/postmount/jobs/owner"
)

// decisionLog runs a scenario and returns its owners' decisions as log lines.
func decisionLog(sc Scenario) []explain.Line {
	var lines []explain.Line
	sc.OnDecision = func(at time.Time, d owner.Decision) {
		l := explain.Line{Source: "owner", Time: at, Event: d.Event, Job: string(d.Job)}
		if d.TimeBreakdown != nil {
			l.Fields = append(l.Fields,
				explain.Field{Name: "why", Value: d.Reason},
				explain.Field{Name: "total", Value: ms(d.TimeBreakdown.Total)},
				explain.Field{Name: "allowed", Value: ms(d.TimeBreakdown.Allowed)})
			for c, t := range d.TimeBreakdown.Spent {
				l.Fields = append(l.Fields, explain.Field{Name: owner.Cause(c).String(), Value: ms(t)})
			}
		}
		lines = append(lines, l)
	}
	Run(sc)
	return lines
}

func ms(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

// TestLateJobCauses checks for three faults that the report on late jobs names their effect as the main
// cause, and that the times of the causes add up to the time of the jobs.
func TestLateJobCauses(t *testing.T) {
	for _, c := range []struct {
		name   string
		fault  Fault
		causes []string // accepted as the main cause
	}{
		{"owner-lost", Fault{At: thirdTurn, Kind: OwnerPowerLost}, []string{"earlier-term"}},
		{"store-leases-expired", Fault{At: 10 * time.Second, For: 4 * time.Second, Kind: StoreLeasesExpired}, []string{"earlier-term"}},
		{"wide-jobs", Fault{At: 12 * time.Second, Kind: WideJobs, Count: 40}, []string{"instances-arriving", "pool-short"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			sc := rotatingLoad(1)
			sc.Faults = []Fault{c.fault}
			r := late.NewReport(decisionLog(sc))
			all := r.All()
			require.NotEmpty(t, all.Causes)
			assert.Contains(t, c.causes, all.Causes[0].Cause)
			var seconds float64
			for _, s := range all.Causes {
				seconds += s.Seconds
			}
			var total time.Duration
			for _, j := range r.Jobs {
				total += j.Total
			}
			assert.InDelta(t, total.Seconds(), seconds, 0.02*total.Seconds(), "the causes don't add up to the jobs' time")
		})
	}
}
