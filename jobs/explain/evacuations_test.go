package explain

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestEvacuations: an evacuation that spans a change of owner is reported once.
func TestEvacuations(t *testing.T) {
	lines, unreadable, err := Read("d1", strings.NewReader(`
{"ts":"2030-01-01T00:00:05Z","level":"info","msg":"zone-evacuated","why":"z1"}
{"ts":"2030-01-01T00:00:06Z","level":"info","msg":"zone-evacuated","why":"z2"}
{"ts":"2030-01-01T00:00:07Z","level":"info","msg":"zone-restored","why":"z2"}
`))
	require.NoError(t, err)
	require.Zero(t, unreadable)
	more, _, err := Read("d2", strings.NewReader(`
{"ts":"2030-01-01T00:00:06.5Z","level":"info","msg":"zone-evacuated","why":"z1"}
{"ts":"2030-01-01T00:00:09Z","level":"info","msg":"zone-restored","why":"z1"}
{"ts":"2030-01-01T00:00:10Z","level":"info","msg":"zone-evacuated","why":"z1"}
`))
	require.NoError(t, err)
	list := Evacuations(append(more, lines...))
	require.Len(t, list, 3)
	assert.Equal(t, []string{"z1", "z2", "z1"}, []string{list[0].Zone, list[1].Zone, list[2].Zone})
	assert.Equal(t, 9, list[0].Until.Second())
	assert.Equal(t, "d1", list[0].By)
	assert.Equal(t, 7, list[1].Until.Second())
	assert.True(t, list[2].Until.IsZero())
}
