package jobmatrix

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// kindsOfCalls are the store's priced calls; a renewal costs a tenth.
var kindsOfCalls = []string{"get", "range", "watch", "commit", "lease", "keep"}

func calls(d *day) map[string]int {
	out := map[string]int{}
	for _, k := range kindsOfCalls {
		out[k] = d.in.Store.Calls(k)
	}
	return out
}

// TestStoreCalls counts the calls of six daemons and ten workers: idle, and for
// jobs that come one at a time. The bounds are those of docs/CAPACITY.md.
func TestStoreCalls(t *testing.T) {
	play(t, func(d *day) {
		time.Sleep(10 * time.Second) // pools have shrunk
		before := calls(d)
		const idle = 60
		time.Sleep(idle * time.Second)
		after := calls(d)
		total := 0.0
		for _, k := range kindsOfCalls {
			perSecond := float64(after[k]-before[k]) / idle
			t.Logf("idle: %-6s %.2f a second", k, perSecond)
			if k == "keep" {
				perSecond /= 10
			}
			total += perSecond
		}
		assert.Less(t, total, idleCallsPerSecond)

		before = calls(d)
		start := time.Now()
		d.submitSome(0, 40)
		time.Sleep(2 * time.Second)
		took := time.Since(start).Seconds()
		after = calls(d)
		perJob := 0.0
		for _, k := range kindsOfCalls {
			n := float64(after[k]-before[k]) / 40
			t.Logf("busy: %-6s %.2f a job, idle ones included", k, n)
			if k != "keep" {
				perJob += n
			}
		}
		perJob -= idleCallsPerSecond * took / 40
		assert.Less(t, perJob, callsPerJob)
		d.finish(5 * time.Second)
	})
}

// Bounds of the calls.
const (
	idleCallsPerSecond = 20.0
	callsPerJob        = 8.0
)
