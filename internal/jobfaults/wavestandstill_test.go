package jobfaults

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/owner"
	"github.com/postmount/postmount/standin/jobfleet"
)

// Bounds of the users' rules LOST and MIXED on tasks that last, jobs and waves.
const (
	maxIdleTime    = 9 * time.Second // 6 s after the last run, and 3 s
	waveWithin     = 27 * time.Second
	watchAfterWave = 40 * time.Second
)

// waveCase is a wave over workers of a service that cannot grow: there is no spare pool, and all workers
// of the other service are full.
type waveCase struct {
	name        string
	workers     int // of the service; 0: 4
	inWave      int // of these; 0: all
	full        int // workers, not in the wave, whose capacity tasks use that may not be missed
	tasks       int // long-running; 0: none
	mayMiss     int
	maxPer      int           // of these tasks on one worker; 0: no limit
	label       bool          // the tasks require the rack of the first three workers
	waves       int           // among which the instances are divided; 0: 1
	killAfter   time.Duration // from the wave to the loss of the owner; 0: it stays
	jobInterval time.Duration // between jobs of one task of 1 s; 0: one job, 5 s after the wave
	loadEvery   time.Duration // between tasks of 3 s that use half of a worker; 0: none
	starts      int           // short tasks that start each second, half of what the service has room for; 0: none
	burst       bool          // a job that fills the service arrives with the wave
	never       bool          // the budget and the limits never allow the wave
	within      time.Duration // bound on the wave; 0: waveWithin
}

// TestWaveOfAWholeService guards against a standstill in which a wave reserves workers for a step that never
// comes: a stopped task and accepted jobs find no worker, and the wave never ends (review/10).
func TestWaveOfAWholeService(t *testing.T) {
	for _, c := range []waveCase{
		{name: "all workers", tasks: 8, mayMiss: 1},
		{name: "one task on each", tasks: 4, mayMiss: 1},
		{name: "only two workers have room", workers: 6, inWave: 4, full: 2, tasks: 8, mayMiss: 1},
		{name: "owner killed", tasks: 8, mayMiss: 1, killAfter: 2 * time.Second},
		{name: "owner killed late", tasks: 8, mayMiss: 1, killAfter: 5 * time.Second},
		{name: "two waves", tasks: 8, mayMiss: 1, waves: 2},
		{name: "two may be missing", tasks: 8, mayMiss: 2},
		{name: "no other place by the limit of tasks a worker", tasks: 8, mayMiss: 1, maxPer: 2, never: true},
		{name: "place for one more by the limit", tasks: 8, mayMiss: 1, maxPer: 3},
		{name: "label of three workers", tasks: 6, mayMiss: 1, label: true},
		{name: "a job each second", tasks: 8, mayMiss: 1, jobInterval: time.Second},
		{name: "three of four", inWave: 3, tasks: 8, mayMiss: 1},
		{name: "only jobs", jobInterval: time.Second},
		{name: "two have room, owner killed, a job each second", workers: 6, inWave: 4, full: 2, tasks: 8, mayMiss: 1, killAfter: 2 * time.Second, jobInterval: time.Second},
		{name: "none may be missing", tasks: 8, never: true},
		{name: "burst", tasks: 8, mayMiss: 1, burst: true},
		{name: "tasks that last on workers never idle", tasks: 8, mayMiss: 1, loadEvery: 200 * time.Millisecond},
		{name: "hundreds of starts a second", tasks: 8, mayMiss: 1, starts: 300},
		{name: "hundreds of starts a second, owner killed", tasks: 8, mayMiss: 1, starts: 300, killAfter: 2 * time.Second},
		{name: "one worker never idle", workers: 1, loadEvery: 500 * time.Millisecond, within: 6 * time.Second},
		{name: "four workers never idle", loadEvery: 200 * time.Millisecond, within: 6 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) { c.play(t) })
	}
}

// play plays the case in virtual time and checks it.
func (c waveCase) play(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		d := c.deploy(t, ctx)
		w := &waveWatch{waveCase: c, d: d, idleSince: map[job.TaskID]time.Time{}}
		w.submitLongRunning()
		w.run()
		cancel()
		for _, dm := range d.in.Daemons() {
			d.in.Kill(dm.Name)
		}
		time.Sleep(20 * time.Second) // calls and timers of the stand-ins end
	})
}

const workerCores = 32

// deploy starts the case's daemons and workers.
func (c *waveCase) deploy(t *testing.T, ctx context.Context) *deployment {
	if c.workers == 0 {
		c.workers = 4
	}
	if c.inWave == 0 {
		c.inWave = c.workers - c.full
	}
	return deployFixed(t, ctx, c.workers)
}

// deployFixed starts four daemons and a service that cannot grow: there is no spare pool. Its first three workers are
// on one rack.
func deployFixed(t *testing.T, ctx context.Context, workers int) *deployment {
	d := &deployment{t: t, in: jobfleet.NewInstallation(ctx, daemonLogger(t)), queuePrefix: map[job.ID]string{}, accepted: map[job.ID]bool{}}
	d.caller = d.in.Caller()
	size := job.Resources{CPUMilli: workerCores * 1000, MemMB: 128000}
	for i := range workers {
		rack := "r0"
		if i >= 3 {
			rack = "r1"
		}
		d.in.Fleet.Add(owner.InstanceID(fmt.Sprintf("i%d", i)), "orders", rack, size)
	}
	for i := range 4 {
		d.in.Fleet.Add(owner.InstanceID(fmt.Sprintf("other%d", i)), "reports", "r9", size)
	}
	config := catalog(1)
	config.Services = config.Services[:2]
	d.in.Configure(config)
	for _, n := range daemonNames[:4] {
		d.in.Start(n)
	}
	time.Sleep(2 * time.Second)
	return d
}

// waveWatch is a play of a case.
type waveWatch struct {
	waveCase
	d         *deployment
	lasting   *job.Job
	next      int
	idleSince map[job.TaskID]time.Time
	longest   time.Duration // for which a task that lasts did not run
	waited    bool          // a job waited for too long
}

func (w *waveWatch) job(prefix string, s job.Step) *job.Job {
	w.next++
	j := &job.Job{ID: job.ID(fmt.Sprintf("%016x", w.next)), Steps: []job.Step{s}}
	accepted, _ := w.d.caller.Submit(prefix, j)
	require.True(w.d.t, accepted)
	return j
}

func cores(n int) job.Resources { return job.Resources{CPUMilli: 1000 * n, MemMB: 1000 * n} }

// submitLongRunning starts the tasks that last: those that fill workers first, then those of the service.
func (w *waveWatch) submitLongRunning() {
	w.job(reportsPrefix, job.Step{Count: 4, Need: cores(24), LongRunning: true, MayMiss: 1})
	if w.full > 0 {
		w.job(ordersPrefix, job.Step{Count: w.full, Need: cores(workerCores), LongRunning: true})
		time.Sleep(2 * time.Second)
	}
	if w.tasks > 0 {
		s := job.Step{Count: w.tasks, Need: cores(1), LongRunning: true, MayMiss: w.mayMiss, MaxPerWorker: w.maxPer}
		if w.label {
			s.RequiredLabel = "r0"
		}
		w.lasting = w.job(ordersPrefix, s)
	}
	time.Sleep(4 * time.Second)
}

// run requests the wave and watches the tasks and jobs until some time after it.
func (w *waveWatch) run() {
	began := time.Now()
	waves := max(1, w.waves)
	instances := w.d.in.Fleet.InstancesWithRoom(cores(8), "orders")[:w.inWave]
	for n := range waves {
		part := instances[n*len(instances)/waves : (n+1)*len(instances)/waves]
		w.d.in.RequestWave(owner.WaveRequest{Wave: n + 1, Instances: slices.Clone(part), Within: waveWithin, MaxDown: 4})
	}
	var done time.Duration
	for tick := 0; time.Since(began) < watchAfterWave; tick++ {
		w.load(time.Since(began), tick)
		time.Sleep(waveTick)
		w.check()
		if done == 0 && w.allDone(waves) {
			done = time.Since(began)
		}
	}
	w.d.t.Logf("waves completed after %s, a task that lasts did not run for at most %s, %d starts", done, w.longest, w.d.in.Checker.Starts())
	within := w.within
	if within == 0 {
		within = waveWithin
	}
	if w.never {
		assert.Zero(w.d.t, done, "the wave cannot be completed")
		assert.Zero(w.d.t, w.longest, "no task is stopped for a wave that cannot go on")
	} else {
		assert.NotZero(w.d.t, done, "the wave is not completed")
		assert.Less(w.d.t, done, within)
	}
	assert.Less(w.d.t, w.longest, maxIdleTime, "time for which a task that lasts did not run")
	assert.False(w.d.t, w.waited, "a job waited for %s beside workers with room", maxIdleTime)
	assert.Empty(w.d.t, w.d.in.Checker.Violations())
}

const waveTick = 100 * time.Millisecond

// load plays the disruptions and submissions that are due.
func (w *waveWatch) load(elapsed time.Duration, tick int) {
	due := func(every time.Duration) bool { return every > 0 && tick%int(every/waveTick) == 0 }
	if w.killAfter > 0 && elapsed >= w.killAfter {
		w.killAfter = 0
		w.d.in.Kill(w.d.in.Owner().Name)
	}
	if w.burst && tick == 0 {
		w.job(ordersPrefix, job.Step{Count: 31 * w.workers, Need: cores(1), Estimate: 4 * time.Second})
	}
	if w.jobInterval == 0 && elapsed == 5*time.Second || due(w.jobInterval) && elapsed < 30*time.Second {
		w.job(ordersPrefix, job.Step{Count: 1, Need: cores(1), Estimate: time.Second})
	}
	if w.starts > 0 && elapsed < 30*time.Second {
		w.job(ordersPrefix, job.Step{Count: w.starts / 10, Need: cores(1), Estimate: 200 * time.Millisecond})
	}
	if due(w.loadEvery) && elapsed < 30*time.Second {
		w.job(ordersPrefix, job.Step{Count: 1, Need: cores(workerCores / 2), Estimate: 3 * time.Second})
	}
}

// check records which tasks that last do not run, and whether a job waits beside workers with room.
func (w *waveWatch) check() {
	now := time.Now()
	waits := w.d.in.Checker.WaitingJobs(now.Add(-maxIdleTime), func(job.ID) bool { return true })
	w.waited = w.waited || waits > 0 && w.loadEvery == 0
	if w.lasting == nil {
		return
	}
	idle := w.d.in.Checker.IdleTasks(w.lasting)
	for t := range w.idleSince {
		if !slices.Contains(idle, t) {
			delete(w.idleSince, t)
		}
	}
	for _, t := range idle {
		if w.idleSince[t].IsZero() {
			w.idleSince[t] = now
		}
		w.longest = max(w.longest, now.Sub(w.idleSince[t]))
	}
}

func (w *waveWatch) allDone(waves int) bool {
	for n := range waves {
		if !w.d.in.WaveDone(n + 1) {
			return false
		}
	}
	return true
}
