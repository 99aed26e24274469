package jobfaults

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/owner"
	"github.com/postmount/postmount/standin/jobfleet"
)

// Figures of a burst that was observed: a queue's demand rises to 65 jobs a second for some
// seconds, on a pool of 35 workers, and one job in twenty has a task that crashes its workers.
const (
	burstWorkers    = 36
	burstJobs       = 400
	burstInterval   = 15 * time.Millisecond
	burstCrashEvery = 20 // one in burstCrashEvery jobs has a task that crashes its workers
)

// TestABurstWithTasksThatCrashTheirWorkers: each of these tasks is given up after a few crashes,
// although many are suspected at the same time. Every other job completes, and no worker crashes
// any more once the last such task is given up.
func TestABurstWithTasksThatCrashTheirWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		d := &deployment{t: t, in: jobfleet.NewInstallation(ctx, zap.NewNop()), queuePrefix: map[job.ID]string{}, accepted: map[job.ID]bool{}}
		d.caller = d.in.Caller()
		for i := range burstWorkers {
			d.in.Fleet.Add(owner.InstanceID(fmt.Sprintf("i%02d", i)), "orders", fmt.Sprintf("r%d", i/4), job.Resources{CPUMilli: 32000, MemMB: 128000})
		}
		d.in.Configure(catalog(1))
		for _, n := range daemonNames {
			d.in.Start(n)
		}
		time.Sleep(2 * time.Second)
		crashes := 0
		d.in.Fleet.OnCrash(func(job.TaskID) { crashes++ })
		var failing []*job.Job
		for n := range burstJobs {
			j := batchJob(n)
			j.Steps[0].Count, j.Steps[0].Need.CPUMilli, j.Steps[0].Estimate = 6, 2300, 640*time.Millisecond
			j.Steps[0].Speculative = n%3 == 0
			if n%burstCrashEvery == 7 {
				d.in.Fleet.CrashOnStart(job.TaskID{Job: j.ID, Index: n % 6}, defaultCrashDelay, 2*time.Second)
				failing = append(failing, j)
			}
			d.submit(ordersPrefix, j)
			time.Sleep(burstInterval)
		}
		d.awaitCompletionExcept(40*time.Second, failing)
		most := 0
		for _, j := range failing {
			most = max(most, d.in.Checker.MaxCrasherCrashes(j.ID))
		}
		t.Logf("%d tasks crashed %d workers, at most %d by one task", len(failing), crashes, most)
		assert.LessOrEqual(t, most, 5)
		require.LessOrEqual(t, crashes, 4*len(failing))
		cancel()
		for _, dm := range d.in.Daemons() {
			d.in.Kill(dm.Name)
		}
		time.Sleep(20 * time.Second) // calls and timers of the stand-ins end
	})
}
