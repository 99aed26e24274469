// Package jobsdemo shows the job subsystem on in-memory stand-ins, in real
// time: jobs of callers, a killed owner, a store that is away, an instance that
// is cut off, a wave of maintenance, and what callers saw.
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
	WorstMs    int64    `json:"worst_ms"`
	Owners     int      `json:"owners"` // terms of ownership
	Maintained int      `json:"maintained"`
	StoreCalls int      `json:"store_calls"`
	Broken     []string `json:"broken"`
}

// Figures of the demo.
const (
	jobCount    = 60
	jobEvery    = 120 * time.Millisecond
	killAt      = 15 // jobs sent before the owner is killed
	awayAt      = 30 // and before the store goes away
	cutAt       = 40 // and before an instance is cut off
	storeAway   = 2 * time.Second
	cutFor      = 6 * time.Second
	finishTime  = 12 * time.Second
	pollEvery   = 100 * time.Millisecond
	resendEvery = 300 * time.Millisecond
	prefix      = "/orders/"
)

// sent is a job and when it went from its caller's hands to being shown as
// completed.
type sent struct {
	id   job.ID
	at   time.Time
	done time.Time
}

type demo struct {
	in       *jobfleet.Installation
	caller   *jobfleet.Caller
	progress io.Writer
	began    time.Time
	open     []*sent
	all      []*sent
	rep      Report
	lastTerm string
}

// Run plays the demo and writes what happens to progress.
func Run(ctx context.Context, progress io.Writer) Report {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d := &demo{in: jobfleet.NewInstallation(ctx, zap.NewNop()), progress: progress, began: time.Now()}
	d.caller = d.in.Caller()
	d.setUp()
	d.traffic()
	d.drainOpen(time.Now().Add(finishTime))
	d.finish()
	return d.rep
}

func (d *demo) say(format string, args ...any) {
	fmt.Fprintf(d.progress, "%5.1fs  %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, args...))
}

func (d *demo) setUp() {
	for i := range 6 {
		d.in.Fleet.Add(instance(i), "orders", fmt.Sprintf("r%d", i/2), job.Resources{CPUMilli: 8000, MemMB: 16000})
	}
	for i := 6; i < 8; i++ {
		d.in.Fleet.Add(instance(i), "spare", "r9", job.Resources{CPUMilli: 8000, MemMB: 16000})
	}
	d.in.Configure(&job.Catalog{
		Version:  1,
		Queues:   []job.Queue{{Name: "orders", Host: "jobs.example", Prefix: prefix, Service: "orders", MaxAttempts: 3, ObjectiveFactor: 2, ObjectiveOffset: time.Second}},
		Services: []job.Service{{Name: "orders", EnforcesCapacity: true}, {Name: "spare", Spare: true}},
	})
	for i := range 6 {
		d.in.Start(fmt.Sprintf("d%d", i+1))
	}
	for d.in.Owner() == nil {
		time.Sleep(pollEvery)
	}
	d.noteOwner()
	d.say("jobs: 6 daemons, 6 instances and 2 spare ones; %s is the owner", d.in.Owner().Name)
}

func instance(i int) owner.InstanceID { return owner.InstanceID(fmt.Sprintf("i%d", i)) }

// noteOwner counts changes of the owner.
func (d *demo) noteOwner() {
	o := d.in.Owner()
	if o == nil || o.Name == d.lastTerm {
		return
	}
	if d.lastTerm != "" {
		d.say("jobs: %s is the owner now", o.Name)
	}
	d.lastTerm = o.Name
	d.rep.Owners++
}

// traffic sends jobs, and brings about the troubles at their turn.
func (d *demo) traffic() {
	d.in.RequestWave(owner.WaveRequest{Wave: 1, Instances: []owner.InstanceID{instance(0), instance(2), instance(6)}, Within: time.Minute, MaxDown: 1})
	d.say("jobs: a wave of 3 instances, one at a time")
	for n := range jobCount {
		switch n {
		case killAt:
			d.say("jobs: the owner %s is killed", d.lastTerm)
			d.in.Kill(d.lastTerm)
		case awayAt:
			d.say("jobs: the store is away for %s", storeAway)
			end := time.Now().Add(storeAway)
			d.in.SetHook(storeAwayUntil(end))
		case cutAt:
			d.say("jobs: instance %s is cut off for %s and runs on", instance(3), cutFor)
			d.in.Fleet.Cut(instance(3), cutFor)
		}
		d.submit(n)
		d.noteOwner()
		d.poll()
		time.Sleep(jobEvery)
	}
}

func storeAwayUntil(end time.Time) jobfleet.Hook {
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

// submit sends a job until it is accepted, as callers do.
func (d *demo) submit(n int) {
	j := &job.Job{ID: job.ID(fmt.Sprintf("%016x", n+1)), Steps: []job.Step{
		{Count: 4, Need: job.Resources{CPUMilli: 1000, MemMB: 500}, Estimate: 200 * time.Millisecond},
		{Count: 2, Need: job.Resources{CPUMilli: 2000, MemMB: 500}, Estimate: 300 * time.Millisecond, After: []int{0}},
	}}
	s := &sent{id: j.ID, at: time.Now()}
	for {
		accepted, refused := d.caller.Submit(prefix, j)
		if accepted {
			break
		}
		if refused {
			d.rep.Refused++
		}
		time.Sleep(resendEvery)
	}
	d.rep.Accepted++
	d.open = append(d.open, s)
	d.all = append(d.all, s)
}

// poll asks for the oldest open jobs.
func (d *demo) poll() {
	var still []*sent
	for i, s := range d.open {
		if i < 10 && d.caller.State(prefix, s.id) == job.Completed {
			s.done = time.Now()
			d.rep.Completed++
			continue
		}
		still = append(still, s)
	}
	d.open = still
}

func (d *demo) drainOpen(end time.Time) {
	for time.Now().Before(end) && (len(d.open) > 0 || !d.in.WaveDone(1)) {
		d.poll()
		d.noteOwner()
		time.Sleep(pollEvery)
	}
}

func (d *demo) finish() {
	d.rep.Broken = d.in.Checker.Violations()
	if n := len(d.open); n > 0 {
		d.rep.Broken = append(d.rep.Broken, fmt.Sprintf("%d accepted jobs are not completed", n))
	}
	if !d.in.WaveDone(1) {
		d.rep.Broken = append(d.rep.Broken, "the wave is not completed")
	}
	d.rep.Starts = d.in.Checker.Starts()
	d.rep.Maintained = d.in.Checker.MaintainedCount(1)
	d.rep.StoreCalls = d.in.Store.Calls("")
	var took []int64
	for _, s := range d.all {
		if !s.done.IsZero() {
			took = append(took, s.done.Sub(s.at).Milliseconds())
		}
	}
	if len(took) > 0 {
		sort.Slice(took, func(a, b int) bool { return took[a] < took[b] })
		d.rep.MedianMs = took[len(took)/2]
		d.rep.WorstMs = took[len(took)-1]
	}
}

// Print writes the report as text.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "\njobs    accepted %d, refused tries %d, completed %d; task starts %d for %d tasks\n", r.Accepted, r.Refused, r.Completed, r.Starts, 6*r.Accepted)
	fmt.Fprintf(w, "        first send to shown as completed: half within %d ms, all within %d ms\n", r.MedianMs, r.WorstMs)
	fmt.Fprintf(w, "        %d owners in turn, %d instances maintained, %d calls to the store\n", r.Owners, r.Maintained, r.StoreCalls)
}
