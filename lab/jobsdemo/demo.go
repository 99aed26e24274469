// Package jobsdemo is a demo of the job subsystem on in-memory stand-ins, in real time: callers
// submit jobs while the owner is killed, the store has an outage, an instance is cut off and a
// maintenance wave runs.
package jobsdemo

import (
	"context"
	"fmt"
	"io"
	"sort"
	"time"

	"go.uber.org/zap"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/owner"
	"github.com/postmount/postmount/standin/jobfleet"
)

// Report is the result of a demo.
type Report struct {
	Accepted   int      `json:"accepted"`
	Refused    int      `json:"refused"`
	Completed  int      `json:"completed"`
	Starts     int      `json:"starts"`
	MedianMs   int64    `json:"median_ms"`
	MaxMs      int64    `json:"worst_ms"`
	Owners     int      `json:"owners"` // changes of the owner, the first election included
	Maintained int      `json:"maintained"`
	StoreCalls int      `json:"store_calls"`
	Violations []string `json:"broken"`
}

// Size and timing of the demo.
const (
	jobCount       = 60
	submitInterval = 120 * time.Millisecond
	killOwnerAt    = 15 // jobs submitted before the owner is killed
	storeOutageAt  = 30 // jobs submitted before the store outage
	cutInstanceAt  = 40 // jobs submitted before an instance is cut off
	storeOutage    = 2 * time.Second
	instanceCut    = 6 * time.Second
	finishTimeout  = 12 * time.Second
	pollInterval   = 100 * time.Millisecond
	resendInterval = 300 * time.Millisecond
	queuePrefix    = "/orders/"
)

// sentJob is a submitted job.
type sentJob struct {
	id   job.ID
	at   time.Time // first submission
	done time.Time // when the caller saw it completed; zero: not yet
}

type demo struct {
	in        *jobfleet.Installation
	caller    *jobfleet.Caller
	progress  io.Writer
	began     time.Time
	open      []*sentJob
	all       []*sentJob
	report    Report
	lastOwner string
}

// Run runs the demo and writes its events to progress.
func Run(ctx context.Context, progress io.Writer) Report {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d := &demo{in: jobfleet.NewInstallation(ctx, zap.NewNop()), progress: progress, began: time.Now()}
	d.caller = d.in.Caller()
	d.setUp()
	d.submitJobs()
	d.awaitCompletion(time.Now().Add(finishTimeout))
	d.finish()
	return d.report
}

func (d *demo) progressf(format string, args ...any) {
	fmt.Fprintf(d.progress, "%5.1fs  %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, args...))
}

// setUp starts the instances and daemons and waits for an owner.
func (d *demo) setUp() {
	for i := range 6 {
		d.in.Fleet.Add(instance(i), "orders", fmt.Sprintf("r%d", i/2), job.Resources{CPUMilli: 8000, MemMB: 16000})
	}
	for i := 6; i < 8; i++ {
		d.in.Fleet.Add(instance(i), "spare", "r9", job.Resources{CPUMilli: 8000, MemMB: 16000})
	}
	d.in.Configure(&job.Catalog{
		Version:  1,
		Queues:   []job.Queue{{Name: "orders", Host: "jobs.example", Prefix: queuePrefix, Service: "orders", MaxAttempts: 3, ObjectiveFactor: 2, ObjectiveOffset: time.Second}},
		Services: []job.Service{{Name: "orders", EnforcesCapacity: true}, {Name: "spare", Spare: true}},
	})
	for i := range 6 {
		d.in.Start(fmt.Sprintf("d%d", i+1))
	}
	for d.in.Owner() == nil {
		time.Sleep(pollInterval)
	}
	d.countOwner()
	d.progressf("jobs: 6 daemons, 6 instances and 2 spare ones; %s is the owner", d.in.Owner().Name)
}

func instance(i int) owner.InstanceID { return owner.InstanceID(fmt.Sprintf("i%d", i)) }

// countOwner counts the owner if it has changed since the last call.
func (d *demo) countOwner() {
	o := d.in.Owner()
	if o == nil || o.Name == d.lastOwner {
		return
	}
	if d.lastOwner != "" {
		d.progressf("jobs: %s is the owner now", o.Name)
	}
	d.lastOwner = o.Name
	d.report.Owners++
}

// submitJobs submits the jobs and injects the faults.
func (d *demo) submitJobs() {
	d.in.RequestWave(owner.WaveRequest{Wave: 1, Instances: []owner.InstanceID{instance(0), instance(2), instance(6)}, Within: time.Minute, MaxDown: 1})
	d.progressf("jobs: a wave of 3 instances, one at a time")
	for n := range jobCount {
		switch n {
		case killOwnerAt:
			d.progressf("jobs: the owner %s is killed", d.lastOwner)
			d.in.Kill(d.lastOwner)
		case storeOutageAt:
			d.progressf("jobs: the store is unavailable for %s", storeOutage)
			end := time.Now().Add(storeOutage)
			d.in.SetFailureFunc(storeOutageUntil(end))
		case cutInstanceAt:
			d.progressf("jobs: instance %s is cut off from the daemons for %s; its tasks go on", instance(3), instanceCut)
			d.in.Fleet.Isolate(instance(3), instanceCut)
		}
		d.submit(n)
		d.countOwner()
		d.poll()
		time.Sleep(submitInterval)
	}
}

// storeOutageUntil returns a FailureFunc that refuses all calls to the store until end.
func storeOutageUntil(end time.Time) jobfleet.FailureFunc {
	return func(_, op string) jobfleet.Failure {
		switch op {
		case "get", "range", "watch", "commit", "grant", "keep", "end":
			if time.Now().Before(end) {
				return jobfleet.Refused
			}
		}
		return jobfleet.NoFailure
	}
}

// submit sends a job again until it is accepted, as a caller does.
func (d *demo) submit(n int) {
	j := &job.Job{ID: job.ID(fmt.Sprintf("%016x", n+1)), Steps: []job.Step{
		{Count: 4, Need: job.Resources{CPUMilli: 1000, MemMB: 500}, Estimate: 200 * time.Millisecond},
		{Count: 2, Need: job.Resources{CPUMilli: 2000, MemMB: 500}, Estimate: 300 * time.Millisecond, After: []int{0}},
	}}
	s := &sentJob{id: j.ID, at: time.Now()}
	for {
		accepted, refused := d.caller.Submit(queuePrefix, j)
		if accepted {
			break
		}
		if refused {
			d.report.Refused++
		}
		time.Sleep(resendInterval)
	}
	d.report.Accepted++
	d.open = append(d.open, s)
	d.all = append(d.all, s)
}

// poll requests the states of the ten oldest open jobs.
func (d *demo) poll() {
	var still []*sentJob
	for i, s := range d.open {
		if i < 10 && d.caller.State(queuePrefix, s.id) == job.Completed {
			s.done = time.Now()
			d.report.Completed++
			continue
		}
		still = append(still, s)
	}
	d.open = still
}

// awaitCompletion waits until all jobs and the wave are completed, at most until end.
func (d *demo) awaitCompletion(end time.Time) {
	for time.Now().Before(end) && (len(d.open) > 0 || !d.in.WaveDone(1)) {
		d.poll()
		d.countOwner()
		time.Sleep(pollInterval)
	}
}

// finish completes the report.
func (d *demo) finish() {
	d.report.Violations = d.in.Checker.Violations()
	if n := len(d.open); n > 0 {
		d.report.Violations = append(d.report.Violations, fmt.Sprintf("%d accepted jobs are not completed", n))
	}
	if !d.in.WaveDone(1) {
		d.report.Violations = append(d.report.Violations, "the wave is not completed")
	}
	d.report.Starts = d.in.Checker.Starts()
	d.report.Maintained = d.in.Checker.MaintainedCount(1)
	d.report.StoreCalls = d.in.Store.Calls("")
	var took []int64
	for _, s := range d.all {
		if !s.done.IsZero() {
			took = append(took, s.done.Sub(s.at).Milliseconds())
		}
	}
	if len(took) > 0 {
		sort.Slice(took, func(a, b int) bool { return took[a] < took[b] })
		d.report.MedianMs = took[len(took)/2]
		d.report.MaxMs = took[len(took)-1]
	}
}

// Print writes the report as text.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "\njobs    accepted %d, refused attempts %d, completed %d; task starts %d for %d tasks\n", r.Accepted, r.Refused, r.Completed, r.Starts, 6*r.Accepted)
	fmt.Fprintf(w, "        time from first submission to completion: median %d ms, maximum %d ms\n", r.MedianMs, r.MaxMs)
	fmt.Fprintf(w, "        %d successive owners, %d instances maintained, %d calls to the store\n", r.Owners, r.Maintained, r.StoreCalls)
}
