package job

import (
	"encoding/json"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestRangesAreASet compares Ranges with a map under random additions.
func TestRangesAreASet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Ranges
		members := map[int]bool{}
		for _, n := range rapid.SliceOfN(rapid.IntRange(0, 40), 0, 60).Draw(t, "members") {
			r = r.With(n)
			members[n] = true
		}
		require.NoError(t, r.validate(41))
		for n := range 45 {
			require.Equal(t, members[n], r.Has(n), "%d in %v", n, r)
			next := n
			for members[next] {
				next++
			}
			require.Equal(t, next, r.NextMissing(n), "after %d in %v", n, r)
		}
	})
}

// TestRangesStayShort guards against a record that grows with each occurrence that is done.
func TestRangesStayShort(t *testing.T) {
	var r Ranges
	for n := range 1000 {
		r = r.With(n ^ 1) // 1, 0, 3, 2 and so on
	}
	raw, err := json.Marshal(r)
	require.NoError(t, err)
	assert.Equal(t, "[[0,999]]", string(raw))
}

func TestInvalidRanges(t *testing.T) {
	for _, r := range []Ranges{{{-1, 2}}, {{3, 2}}, {{0, 10}}, {{4, 5}, {0, 1}}, {{0, 3}, {4, 5}}, {{0, 3}, {2, 5}}} {
		assert.Error(t, r.validate(10), "%v", r)
	}
	assert.NoError(t, slices.Clone(Ranges{{0, 3}, {5, 9}}).validate(10))
}
