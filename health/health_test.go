package health

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/postmount/postmount/fleet"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func fail(c *Core, id fleet.InstanceID, total int) (ejected bool) {
	for range DefaultOptions.Failures {
		ejected = c.Failed(t0, id, total)
	}
	return ejected
}

func TestProbeDecidesAtGrowingIntervals(t *testing.T) {
	c := New(DefaultOptions)
	assert.True(t, fail(c, "w", 4))
	usable, _ := c.Usable(t0, "w")
	assert.False(t, usable)
	at := t0.Add(DefaultOptions.FirstProbe)
	usable, probe := c.Usable(at, "w")
	assert.True(t, usable && probe)
	c.Probing("w")
	usable, _ = c.Usable(at, "w")
	assert.False(t, usable, "one probe at a time")
	c.Failed(at, "w", 4)
	usable, _ = c.Usable(at.Add(DefaultOptions.FirstProbe), "w")
	assert.False(t, usable, "the interval has doubled")
	assert.True(t, c.Succeeded("w"))
	usable, probe = c.Usable(at, "w")
	assert.True(t, usable && !probe)
}

func TestNeverPutsTooManyAside(t *testing.T) {
	c := New(DefaultOptions)
	for i := range 10 {
		fail(c, fleet.InstanceID(fmt.Sprint("w", i)), 10)
	}
	assert.Equal(t, 5, c.Ejected())
}
