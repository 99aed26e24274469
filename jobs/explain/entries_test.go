package explain

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestRefusedEntries(t *testing.T) {
	read := func(source, log string) []Line {
		lines, _, err := Read(source, strings.NewReader(log))
		require.NoError(t, err)
		return lines
	}
	one := read("d1", `
{"ts":"2030-01-01T00:00:01Z","msg":"entry-refused","key":"servers/i-1","revision":7,"error":"state is missing"}
{"ts":"2030-01-01T00:00:02Z","msg":"entry-refused","key":"op/wave/3","revision":9,"error":"maxCount is 0"}
{"ts":"2030-01-01T00:00:04Z","msg":"entry-refused","key":"servers/i-1","revision":12,"error":"address is missing"}
`)
	two := read("d2", `
{"ts":"2030-01-01T00:00:01Z","msg":"entry-refused","key":"owner/lock","revision":5,"error":"node is empty"}
{"ts":"2030-01-01T00:00:03Z","msg":"entry-refused","key":"op/wave/3","revision":9,"error":"maxCount is 0"}
{"ts":"2030-01-01T00:00:05Z","msg":"entry-accepted","key":"owner/lock"}
`)
	restarted := read("d3", `
{"ts":"2030-01-01T00:00:01Z","msg":"entry-refused","key":"member/x","revision":5,"error":"node is empty"}
{"ts":"2030-01-01T00:00:05Z","msg":"start"}
`)
	assert.Equal(t, []RefusedEntry{
		{Key: "op/wave/3", First: time.Date(2030, 1, 1, 0, 0, 2, 0, time.UTC), Why: "maxCount is 0", By: []string{"d1", "d2"}},
		{Key: "servers/i-1", First: time.Date(2030, 1, 1, 0, 0, 1, 0, time.UTC), Why: "address is missing", By: []string{"d1"}},
	}, RefusedEntries(append(append(two, one...), restarted...)))
}
