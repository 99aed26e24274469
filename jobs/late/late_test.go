package late

import (
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/explain"
)

const logs = `
{"ts":"2030-01-01T00:00:00Z","level":"info","msg":"start"}
{"ts":"2030-01-01T00:00:01Z","msg":"request-refused","method":"POST","job":"a","status":503,"why":"store: status 503"}
{"ts":"2030-01-01T00:00:02.5Z","msg":"job-accepted","job":"a","queue":"q"}
{"ts":"2030-01-01T00:00:03Z","msg":"job-accepted","job":"b","queue":"q"}
{"ts":"2030-01-01T00:00:03Z","msg":"job-accepted","job":"c","queue":"q"}
{"ts":"2030-01-01T00:00:04Z","msg":"request-refused","method":"POST","job":"d","status":503,"why":"512 submissions wait for the store"}
{"ts":"2030-01-01T00:00:04Z","msg":"request-refused","method":"GET","job":"e","status":503,"why":"no owner is elected at present"}
{"ts":"2030-01-01T00:00:05Z","msg":"request-refused","method":"POST","job":"f","status":504,"why":"store transaction retried for 1.02s: connection reset"}
{"ts":"2030-01-01T00:00:05Z","msg":"request-refused","method":"POST","job":"g","status":503,"why":"job g refused: pool-full: the job would be late by 1.2s"}
{"ts":"2030-01-01T00:00:05Z","msg":"request-refused","method":"POST","job":"h","status":429,"why":"job h refused: no-instance-fits: the job can never run"}
{"ts":"2030-01-01T00:00:06Z","msg":"job-failed","job":"c"}
{"ts":"2030-01-01T00:00:07Z","msg":"job-late","job":"a","why":"s","total":4000,"allowed":2500,"work":1500,"pool-short":2000,"run-failed":500}
{"ts":"2030-01-01T00:00:07Z","msg":"job-completed","job":"b"}
{"level":"warn","msg":"log-lines-dropped","count":7}
`

func TestReport(t *testing.T) {
	lines, bad, err := explain.Read("d", strings.NewReader(logs))
	require.NoError(t, err)
	require.Zero(t, bad)
	r := NewReport(lines)
	assert.Equal(t, 3, r.Accepted)
	assert.Equal(t, 7, r.DroppedLines)
	byID := map[string]Job{}
	for _, j := range r.Jobs {
		byID[j.ID] = j
	}
	require.Len(t, byID, 6, "b was in time, and only a status request of e was refused")

	a := byID["a"]
	assert.Equal(t, Late, a.Outcome)
	assert.Equal(t, time.Second, a.At)
	assert.Equal(t, "pool-short", a.MainCause())
	assert.Equal(t, 5500*time.Millisecond, a.Total, "the time of refused attempts counts")
	assert.Equal(t, 1500*time.Millisecond, a.Spent[NotAccepted])

	assert.Equal(t, Failed, byID["c"].Outcome)
	assert.Equal(t, AttemptsUsedUp, byID["c"].MainCause())
	assert.Equal(t, Overloaded, byID["d"].MainCause())
	assert.Equal(t, StoreUnavailable, byID["f"].MainCause())
	assert.Equal(t, PoolFull, byID["g"].MainCause())
	assert.Equal(t, NoInstanceFits, byID["h"].MainCause())

	queues := r.ByQueue()
	require.Len(t, queues, 2)
	assert.Equal(t, "(never accepted)", queues[0].Name)
	assert.Equal(t, 4, queues[0].Outcomes[Refused])
	assert.Equal(t, "q", queues[1].Name)
	assert.Equal(t, 2, queues[1].Jobs)
	assert.Len(t, r.ByTimeSlice(2*time.Second), 3)
}

func TestNothingLate(t *testing.T) {
	r := NewReport(nil)
	all := r.All()
	assert.Zero(t, all.Jobs)
	assert.Empty(t, r.ByQueue())
}

// TestReportOfATakeover compares the report on a recorded log of a simulated day with a golden
// file. On that day the owner is killed while demand shifts between pools.
func TestReportOfATakeover(t *testing.T) {
	f, err := os.Open("testdata/takeover.log")
	require.NoError(t, err)
	defer f.Close()
	lines, bad, err := explain.Read("owner", f)
	require.NoError(t, err)
	require.Zero(t, bad)
	r := NewReport(lines)
	raw, err := json.MarshalIndent(struct {
		All      Group
		ByQueue  []Group
		BySecond []Group
	}{r.All(), r.ByQueue(), r.ByTimeSlice(2 * time.Second)}, "", " ")
	require.NoError(t, err)
	goldie.New(t).Assert(t, "takeover", raw)
}

// TestReportOfATaskThatCrashesItsWorkers: such a job is distinguished from one that used up its
// attempts.
func TestReportOfATaskThatCrashesItsWorkers(t *testing.T) {
	lines, _, err := explain.Read("d", strings.NewReader(`
{"ts":"2030-01-01T00:00:06Z","msg":"job-accepted","job":"g","queue":"q"}
{"ts":"2030-01-01T00:00:07Z","msg":"task-given-up","job":"g","task":"g.0.0.0","why":"2 workers crashed while running it; its job fails"}
{"ts":"2030-01-01T00:00:07Z","msg":"job-failed","job":"g"}
`))
	require.NoError(t, err)
	jobs := NewReport(lines).Jobs
	require.Len(t, jobs, 1)
	assert.Equal(t, Failed, jobs[0].Outcome)
	assert.Equal(t, CrashesWorkers, jobs[0].MainCause())
}

// TestReportKeepsItsJSONKeys guards against a renamed field that changes the output of
// `postmount report late --output json`.
func TestReportKeepsItsJSONKeys(t *testing.T) {
	raw, err := json.Marshal(Report{Jobs: []Job{{}}})
	require.NoError(t, err)
	assert.Equal(t, `{"Accepted":0,"Jobs":[{"ID":"","Queue":"","At":0,"Outcome":"","Total":0,"Allowed":0,"Spent":null}],"LeftOut":0}`, string(raw))
}
