package ownermodel

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestRevocations explores a lock that is revoked while its owner may be alive.
func TestRevocations(t *testing.T) {
	both := func(b *Bounds) { b.Revoke, b.LateTasks = true, true }
	for _, s := range []struct {
		name   string
		rules  func(r *Rules)
		change func(b *Bounds)
		broken bool
	}{
		{"the revoked owner has ended", func(r *Rules) { r.RevokedWait, r.RenewalProves = false, false }, func(b *Bounds) { both(b); b.Absent = true }, false},
		{"no wait", func(r *Rules) { r.RevokedWait = false }, revocations, true},
		{"proofs by the clock", func(r *Rules) { r.RenewalProves = false }, func(b *Bounds) { b.Revoke, b.Starts = true, 2 }, true},
		{"the revoked owner learns of tasks", func(*Rules) {}, both, true},
		{"all rules", func(*Rules) {}, revocations, false},
		{"all rules, the revoked owner learns of no task", func(*Rules) {}, func(b *Bounds) { both(b); b.Isolated = true }, false},
	} {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			rules := withRevocations()
			s.rules(&rules)
			r := explore(t, Model{rules, with(s.change)})
			assert.Equal(t, s.broken, r.Broken != "", trace(r))
		})
	}
}
