package jobfaults

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/owner"
)

// storeCallKinds are the billed kinds of store calls; a lease renewal ("keep") costs a tenth.
var storeCallKinds = []string{"get", "range", "watch", "commit", "lease", "keep"}

// storeCallCounts returns how many calls of each kind the store has received.
func storeCallCounts(d *deployment) map[string]int {
	out := map[string]int{}
	for _, k := range storeCallKinds {
		out[k] = d.in.Store.Calls(k)
	}
	return out
}

// TestStoreCalls bounds the store calls of six daemons and ten workers, per second when idle
// and per job for jobs that arrive one at a time. The bounds are those of docs/CAPACITY.md.
func TestStoreCalls(t *testing.T) {
	simulate(t, func(d *deployment) {
		time.Sleep(10 * time.Second) // idle pools shrink first
		before := storeCallCounts(d)
		const idle = 60
		time.Sleep(idle * time.Second)
		after := storeCallCounts(d)
		total := 0.0
		for _, k := range storeCallKinds {
			perSecond := float64(after[k]-before[k]) / idle
			t.Logf("idle: %-6s %.2f calls per second", k, perSecond)
			if k == "keep" {
				perSecond /= 10
			}
			total += perSecond
		}
		assert.Less(t, total, idleCallsPerSecond)

		before = storeCallCounts(d)
		start := time.Now()
		d.submitBatchJobs(0, 40)
		time.Sleep(2 * time.Second)
		took := time.Since(start).Seconds()
		after = storeCallCounts(d)
		perJob := 0.0
		for _, k := range storeCallKinds {
			n := float64(after[k]-before[k]) / 40
			t.Logf("busy: %-6s %.2f calls per job, including idle calls", k, n)
			if k != "keep" {
				perJob += n
			}
		}
		perJob -= idleCallsPerSecond * took / 40
		assert.Less(t, perJob, callsPerJob)
		d.awaitCompletion(5 * time.Second)
	})
}

// Bounds on store calls; renewals count a tenth when idle, and not at all per job.
const (
	idleCallsPerSecond = 20.0
	callsPerJob        = 8.0
)

// TestListsAreReadOnce: the cost of reading a whole list grows with the fleet. After the start
// of its term the owner reads only changes of the workers' entries; the remaining range reads
// are those of the member list, by each daemon every 2 s.
func TestListsAreReadOnce(t *testing.T) {
	simulate(t, func(d *deployment) {
		time.Sleep(10 * time.Second)
		before := storeCallCounts(d)["range"]
		const idle = 20
		time.Sleep(idle * time.Second)
		members := len(d.in.Daemons()) * idle / 2
		assert.LessOrEqual(t, storeCallCounts(d)["range"]-before, members+len(d.in.Daemons()))
	})
}

// TestStoreCallsDoNotGrowWithWorkers: only the owner watches the workers' entries, and it
// reads the changes of all of them in one call.
func TestStoreCallsDoNotGrowWithWorkers(t *testing.T) {
	idle := func(more int) (total int) {
		simulate(t, func(d *deployment) {
			for i := range more {
				d.in.Fleet.Add(owner.InstanceID(fmt.Sprintf("more%d", i)), "spare", "r8", job.Resources{CPUMilli: 8000, MemMB: 16000})
			}
			time.Sleep(10 * time.Second) // idle pools shrink first
			before := storeCallCounts(d)
			time.Sleep(30 * time.Second)
			for kind, n := range storeCallCounts(d) {
				total += n - before[kind]
			}
		})
		return total
	}
	few, many := idle(0), idle(40)
	t.Logf("%d calls in 30 s with 10 workers, %d with 50", few, many)
	assert.InDelta(t, few, many, 0.02*float64(few))
}
