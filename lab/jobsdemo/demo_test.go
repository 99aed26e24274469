package jobsdemo

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestDemoKeepsItsPromises plays the demo in virtual time.
func TestDemoKeepsItsPromises(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := Run(t.Context(), io.Discard)
		assert.Empty(t, r.Broken)
		assert.Equal(t, jobCount, r.Completed)
		assert.Equal(t, 3, r.Maintained)
		assert.GreaterOrEqual(t, r.Owners, 2)
		time.Sleep(20 * time.Second) // calls and timers of the stand-ins end
	})
}
