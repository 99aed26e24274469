package jobfaults

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/standin/jobfleet"
)

const (
	seriesInstances = 24
	seriesFalls     = 3
	seriesInterval  = 1200 * time.Millisecond
	seriesDowntime  = 4500 * time.Millisecond
	// seriesSeeds is the number of job IDs that CI plays in each case.
	seriesSeeds = 10
)

// seriesOrders are the orders in which instances fall, as positions relative to the first one.
var seriesOrders = []struct {
	name string
	next func(n int) int
}{
	{"by name", func(n int) int { return n }},
	{"backwards", func(n int) int { return seriesInstances - n }},
	{"one of each rack", func(n int) int { return 4 * n }},
}

var seriesSteps = []struct {
	name string
	step job.Step
}{
	{"a task", job.Step{Count: 1, Need: cores(1), Estimate: 4 * time.Second}},
	{"a gang", job.Step{Count: 2, Need: cores(1), Estimate: 4 * time.Second, Gang: true}},
	{"a long-running task", job.Step{Count: 1, Need: cores(1), LongRunning: true}},
}

// TestFallsInSeriesAreNoTasksFault guards against a job that is shown as failed because three of its workers fell one
// after the other in the order of their names, in which its task had been placed again, too (review/8).
// POSTMOUNT_FALLS=FROM-TO runs other seeds.
func TestFallsInSeriesAreNoTasksFault(t *testing.T) {
	from, to := uint64(0), uint64(seriesSeeds)
	if v := os.Getenv("POSTMOUNT_FALLS"); v != "" {
		_, err := fmt.Sscanf(v, "%d-%d", &from, &to)
		require.NoError(t, err)
	}
	for _, o := range seriesOrders {
		for _, s := range seriesSteps {
			for seed := from; seed < to; seed++ {
				t.Run(fmt.Sprintf("%s, %s, seed %d", o.name, s.name, seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { runSeries(t, o.next, s.step, seed) })
				})
			}
		}
	}
}

// runSeries lets instances fall in series, beginning with one that runs the job's first task.
func runSeries(t *testing.T, next func(int) int, step job.Step, seed uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	d := deploySeries(t, ctx)
	j := &job.Job{ID: job.ID(fmt.Sprintf("%016x", rand.New(rand.NewPCG(seed, 67)).Uint64())), Steps: []job.Step{step}}
	d.submit(ordersPrefix, j)
	time.Sleep(time.Second)
	first := d.firstBusyInstance()
	for n := range seriesFalls {
		d.in.Fleet.Fall(instanceName((first+next(n))%seriesInstances), seriesDowntime, true)
		time.Sleep(seriesInterval)
	}
	if step.LongRunning {
		time.Sleep(longRunningBack)
		assert.Equal(t, step.Count, d.in.Checker.RunningTasks(j.ID), "tasks that run after the falls")
		assert.Equal(t, job.Running, d.caller.State(ordersPrefix, j.ID))
	} else {
		assert.Equal(t, job.Completed, d.finalState(j))
	}
	violations := d.in.Checker.Violations()
	assert.Empty(t, violations[:min(2, len(violations))], "the first of %d violations", len(violations))
	cancel()
	for _, dm := range d.in.Daemons() {
		d.in.Kill(dm.Name)
	}
	time.Sleep(20 * time.Second) // calls and timers of the stand-ins end
}

// deploySeries starts six daemons and a service of seriesInstances workers on racks of four. There is no spare pool.
func deploySeries(t *testing.T, ctx context.Context) *deployment {
	d := &deployment{t: t, in: jobfleet.NewInstallation(ctx, daemonLogger(t)), queuePrefix: map[job.ID]string{}, accepted: map[job.ID]bool{}}
	d.caller = d.in.Caller()
	for i := range seriesInstances {
		d.in.Fleet.Add(instanceName(i), "orders", fmt.Sprintf("r%d", i/4), cores(8))
	}
	config := catalog(1)
	config.Services = config.Services[:2]
	d.in.Configure(config)
	for _, n := range daemonNames {
		d.in.Start(n)
	}
	time.Sleep(2 * time.Second)
	return d
}

// firstBusyInstance returns the number of the first instance with a task.
func (d *deployment) firstBusyInstance() int {
	idle := d.in.Fleet.InstancesWithRoom(cores(8), "orders")
	for i := range seriesInstances {
		if !slices.Contains(idle, instanceName(i)) {
			return i
		}
	}
	require.Fail(d.t, "no instance has a task")
	return 0
}

// finalState waits for the job's end and returns its state then.
func (d *deployment) finalState(j *job.Job) job.State {
	s := d.caller.State(ordersPrefix, j.ID)
	for end := time.Now().Add(40 * time.Second); !s.Final() && time.Now().Before(end); {
		time.Sleep(time.Second)
		s = d.caller.State(ordersPrefix, j.ID)
	}
	return s
}
