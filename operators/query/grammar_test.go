package query

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestParseStatements(t *testing.T) {
	p, err := Parse(`
		show instances where pool = giving and state != ready; # a comment
		why instance events-07
		drain instance events-07; return instance events-07
		move instance a-1 to pool b at revision 12
		create service giving class donation weight 8, class staff weight 1
		create route "giving.example/donate" to service giving class donation timeout 5s
		create team margin quota cpu 32 memory 128GB accelerators 4
		create pool giving for service giving max-unavailable 10% min-available 5 survive-zone
		add instance a-1, a-2 to pool giving
		set budget giving max-unavailable 2
		set objective service giving class donation availability 99.9 latency 500ms
		set weights rollout 3 buffer 1 moves 0.5
		start wave w on pools a, b within 2h
		start wave x on all pools
		pause wave w; resume wave w; cancel wave w
		submit job j to pool p team t count 3 cpu 0.5 memory 512MB run 10s within 1h urgent
		cancel job j in pool p; cancel jobs in pool p`)
	require.NoError(t, err)
	require.Len(t, p.Statements, 21)
	assert.Equal(t, Text("ready"), p.Statements[0].Show.Where[1].Value)
	assert.True(t, p.Statements[0].Show.Where[1].Negated)
	assert.EqualValues(t, 12, p.Statements[4].AtRevision)
	assert.Equal(t, "10%", p.Statements[8].Create.Pool.Budget.MaxUnavailable)
	assert.Equal(t, Duration(2*time.Hour), p.Statements[13].StartWave.Within)
	assert.Equal(t, "cancel", p.Statements[17].ChangeWave.Verb)
	assert.EqualValues(t, 512, *p.Statements[18].Submit.Needs[1].Memory)
	assert.True(t, p.Statements[20].CancelJobs.All)
}

func TestParseErrorHasPositionAndExpectation(t *testing.T) {
	for _, tc := range []struct{ text, want string }{
		{"show poles", `line 1, column 6: unexpected token "poles" (expected pools, instances, jobs, waves, services, routes, teams or revisions)`},
		{"show pools\nfetch x", `line 2, column 1: unexpected token "fetch" (expected ` + statementKeywords + `)`},
		{"move instance a to pol b", `line 1, column 20: unexpected token "pol" (expected "pool" a name)`},
		{"set budget p max-unavailable", `line 1, column 29: unexpected token "<EOF>" (expected a number ("min-available" a number)? "survive-zone"?)`},
		{"start wave w on all pools within soon", `line 1, column 34: unexpected token "soon" (expected a number)`},
		{"show pools where a = \"x", `line 1, column 22: invalid input text "\"x"`},
	} {
		t.Run(tc.text, func(t *testing.T) {
			_, err := Parse(tc.text)
			require.Error(t, err)
			assert.True(t, strings.HasPrefix(err.Error(), tc.want), "%s", err)
		})
	}
}

// TestANumberHasNoUnit: "cpu 4GB" is no four cores.
func TestANumberHasNoUnit(t *testing.T) {
	for _, text := range []string{
		"create team t quota cpu 4GB", "submit job j to pool p cpu 2h", "create team t quota cpu 1e999",
		"set weights rollout 3x buffer 1 moves 1", "set objective service s class c availability 99.9%",
	} {
		_, err := Parse(text)
		require.Error(t, err, text)
		assert.Contains(t, err.Error(), "is not a number", text)
	}
	p, err := Parse("create team t quota cpu 4.5")
	require.NoError(t, err)
	assert.EqualValues(t, 4.5, *p.Statements[0].Create.Team.Quota[0].CPU)
}

// TestQuote: a quoted text is one value, whatever it contains.
func TestQuote(t *testing.T) {
	for _, text := range []string{"w", "", "w; drain instance x", "my wave", "# w", "7"} {
		quoted, err := Quote(text)
		require.NoError(t, err)
		p, err := Parse("show waves where wave = " + quoted)
		require.NoError(t, err, text)
		require.Len(t, p.Statements, 1, text)
		assert.EqualValues(t, text, p.Statements[0].Show.Where[0].Value)
	}
	for _, text := range []string{`a"b`, "a\nb"} {
		_, err := Quote(text)
		assert.Error(t, err, text)
	}
}

func FuzzParse(f *testing.F) {
	f.Add("show pools where a = b")
	f.Add("create route \"x/y\" to service s class c")
	f.Add("submit job j to pool p memory 9999999999999999999GB")
	f.Fuzz(func(_ *testing.T, text string) { _, _ = Parse(text) })
}
