package settings

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// minimalFile holds only the required settings.
const minimalFile = `
[entry]
id = "entry-1"
zone = "zone-a"
[listen]
traffic = "127.0.0.1:1"
api = "127.0.0.1:2"
peer = "127.0.0.1:3"
[store]
addr = "127.0.0.1:4"
[platform]
addr = "127.0.0.1:5"
[peers]
token = "0123456789abcdef"
`

func TestParseAcceptsMinimalFileAndFillsInDefaults(t *testing.T) {
	s, problems := Parse([]byte(minimalFile))
	require.Empty(t, problems)
	assert.Equal(t, Default().Limits, s.Limits)
	assert.Equal(t, "entry-1", s.Entry.ID)
}

func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../examples/*.toml")
	require.NoError(t, err)
	require.Len(t, files, 2)
	for _, f := range files {
		_, err := Load(f)
		assert.NoError(t, err)
	}
}

func TestParseReportsEveryErrorWithItsPosition(t *testing.T) {
	for _, tc := range []struct {
		name, text string
		want       []Problem
	}{
		{"unknown key", minimalFile + "[log]\nlevle = \"info\"\n", []Problem{{Line: 16, Key: "log.levle", Text: "unknown key"}}},
		{"wrong type", minimalFile + "[limits]\nmax_queue = \"many\"\n", []Problem{{Line: 16, Key: "limits.max_queue", Text: "is of type string: want int"}}},
		{"out of range", minimalFile + "[limits]\nmax_queue = 0\ndefault_timeout = \"1h\"\n", []Problem{
			{Line: 0, Key: "limits.default_timeout", Text: "is 1h0m0s: want at most 10m"},
			{Line: 0, Key: "limits.max_queue", Text: "is 0: want at least 1"},
			{Line: 0, Key: "limits.default_timeout", Text: "is longer than limits.max_timeout"},
		}},
		{"unknown section", minimalFile + "[peers2]\n[limits]\n", []Problem{{Line: 15, Key: "peers2", Text: "unknown key"}}},
		{"bad duration", minimalFile + "[stop]\ntimeout = \"soon\"\n[log]\nlevel = 3\n", []Problem{
			{Line: 16, Key: "stop.timeout", Text: "\"soon\" is not a duration: want for example \"500ms\" or \"10s\""},
			{Line: 18, Key: "log.level", Text: "is of type integer: want string"},
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, problems := Parse([]byte(tc.text))
			assert.Equal(t, tc.want, problems)
		})
	}
}

func TestParseRefusesHostNames(t *testing.T) {
	_, problems := Parse([]byte(minimalFile + "seeds = [\"entry-2:7002\"]\n"))
	require.Len(t, problems, 1)
	assert.Equal(t, "peers.seeds[0]", problems[0].Key)
	assert.Contains(t, problems[0].Text, "want an IP number and port")
}

func TestLoadNamesTheFile(t *testing.T) {
	f := filepath.Join(t.TempDir(), "x.toml")
	require.NoError(t, os.WriteFile(f, []byte("[entry\n"), 0o600))
	_, err := Load(f)
	assert.ErrorContains(t, err, f+": line 1")
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(minimalFile))
	f.Add([]byte("[limits]\nmax_queue = \"x\"\n[entry]\nid = 3\n"))
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = Parse(data) })
}

// TestSettingsPageListsEveryKey checks that the operators' page documents every key.
func TestSettingsPageListsEveryKey(t *testing.T) {
	page, err := os.ReadFile("../../docs/operating/settings.md")
	require.NoError(t, err)
	sections := reflect.TypeFor[Settings]()
	for i := range sections.NumField() {
		section := sections.Field(i)
		for k := range section.Type.NumField() {
			key := section.Tag.Get("toml") + "." + section.Type.Field(k).Tag.Get("toml")
			assert.Contains(t, string(page), "| `"+key+"` |")
		}
	}
}
