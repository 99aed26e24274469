// Package excerpt shortens texts of other programs for logs and errors.
package excerpt

import "unicode/utf8"

// maxBytes is the largest number of bytes that Of keeps.
const maxBytes = 300

// Of returns s, cut after at most maxBytes bytes and marked with dots if it is longer.
func Of(s string) string {
	if len(s) <= maxBytes {
		return s
	}
	end := maxBytes
	for end > maxBytes-utf8.UTFMax && !utf8.RuneStart(s[end]) {
		end--
	}
	return s[:end] + "..."
}
