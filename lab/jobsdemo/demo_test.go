package jobsdemo

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestDemoHasNoViolations runs the demo in virtual time and checks that all jobs and the wave are
// completed without violations.
func TestDemoHasNoViolations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := Run(t.Context(), io.Discard)
		assert.Empty(t, r.Violations)
		assert.Equal(t, jobCount, r.Completed)
		assert.Equal(t, 3, r.Maintained)
		assert.GreaterOrEqual(t, r.Owners, 2)
		time.Sleep(20 * time.Second) // lets calls and timers of the stand-ins end
	})
}
