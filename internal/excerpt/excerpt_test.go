package excerpt

import (
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/stretchr/testify/assert"
)

// TestExcerptsAreBounded guards against texts of other programs that fill logs, and against cut
// characters.
func TestExcerptsAreBounded(t *testing.T) {
	for _, s := range []string{"", "short", strings.Repeat("x", maxBytes)} {
		assert.Equal(t, s, Of(s))
	}
	for _, character := range []string{"x", "ä", "€", "😀"} {
		for shift := range utf8.UTFMax {
			s := strings.Repeat("x", shift) + strings.Repeat(character, 900_000)
			got := Of(s)
			assert.True(t, utf8.ValidString(got))
			assert.True(t, strings.HasPrefix(s, strings.TrimSuffix(got, "...")))
			assert.LessOrEqual(t, len(got), maxBytes+len("..."))
			assert.Greater(t, len(got), maxBytes-utf8.UTFMax)
		}
	}
	assert.Len(t, Of(strings.Repeat("\x80", 900_000)), maxBytes-utf8.UTFMax+len("..."), "not UTF-8")
}
