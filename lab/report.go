package lab

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/standin/platform"
)

// buildReport completes the report and lists the violated guarantees.
func (d *demo) buildReport() {
	r := &d.report
	r.Workers = d.fixture.Workers.Report()
	for _, name := range d.runningDaemon().Snapshot().State.SortedPools() {
		if p := d.pools[name]; p != nil {
			r.Pools = append(r.Pools, *p)
		}
	}
	d.finishWave()
	d.finishJobs()
	total := float64(len(d.options.Topology.Workers()) * workerSlots)
	if n := float64(d.sample.n); n > 0 {
		r.BufferShare = d.sample.outSlots / n / total
		r.IdealBuffer = d.sample.budgetSlots / n / total
	}
	r.TookSeconds = time.Since(d.start).Seconds()
	d.findViolations()
}

// finishWave compares the wave's duration with its lower bound: the number of rounds that the
// budget allows in the largest pool, times the reboot time.
func (d *demo) finishWave() {
	w := d.wave()
	if w == nil {
		return
	}
	r := &d.report.Wave
	r.Done = w.State == fleet.WaveDone
	r.Instances = len(d.options.Topology.Workers())
	end := w.EndedAt
	if end.IsZero() {
		end = time.Now()
	}
	r.Seconds = end.Sub(w.StartedAt).Seconds()
	reboot := float64(platform.DefaultFaults.RebootMS) / 1000
	for _, s := range d.options.Topology.Services {
		const allowed = 2 // max-unavailable of the pools, see Topology.Statements
		rounds := (s.Workers + allowed - 1) / allowed
		r.BoundSeconds = max(r.BoundSeconds, float64(rounds)*reboot)
	}
}

// finishJobs counts the jobs, those that are done, and the attempts beyond the first.
func (d *demo) finishJobs() {
	for _, js := range d.runningDaemon().Snapshot().State.Jobs {
		for _, j := range js.Value.Jobs {
			d.report.Jobs++
			if j.State == fleet.JobDone {
				d.report.JobsDone++
			}
			d.report.JobMoves += max(j.Attempt-1, 0)
		}
	}
}

// findViolations lists the violated guarantees.
func (d *demo) findViolations() {
	r := &d.report
	addViolation := func(n int64, what string) {
		if n > 0 {
			r.Violations = append(r.Violations, fmt.Sprintf("%d %s", n, what))
		}
	}
	for _, c := range r.Classes {
		name := c.Service + "/" + c.Class
		addViolation(c.Truncated, "truncated answers in "+name)
		addViolation(c.WrongRequest, "answers to another request in "+name)
		addViolation(c.ResendMismatches, "resends with a different answer in "+name)
	}
	for _, p := range r.Pools {
		addViolation(int64(p.SamplesOverBudget), "samples over the budget of pool "+p.Pool)
	}
	addViolation(int64(len(r.Workers.Duplicates)), "run-once requests that ran more than once")
	addViolation(r.Workers.OverSlots, "requests beyond a worker's slots")
	addViolation(r.Workers.OverConns, "connections beyond a worker's limit")
	addViolation(r.Workers.LateRequests, "requests to a worker after the grace time of its drain")
	addViolation(r.Workers.ConcurrentAttempts, "tasks that ran at the same time as another attempt")
	if !r.Wave.Done {
		r.Violations = append(r.Violations, "the wave did not end")
	}
	if r.JobsDone != r.Jobs {
		r.Violations = append(r.Violations, fmt.Sprintf("only %d of %d jobs were done", r.JobsDone, r.Jobs))
	}
}

// PrintSummaries prints a table with one line per class.
func PrintSummaries(w io.Writer, sums []Summary) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "class\tsent\tdone\tnot run\tmay have run\tlost\tcut\tforeign\tdiffers\tp50 ms\tp99 ms\tmax ms\t")
	for _, s := range sums {
		fmt.Fprintf(t, "%s/%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t\n",
			s.Service, s.Class, s.Sent, s.Done, s.NotRun, s.MayHaveRun, s.Unanswered, s.Truncated, s.WrongRequest, s.ResendMismatches, s.P50MS, s.P99MS, s.MaxMS)
	}
	_ = t.Flush()
}

// Print prints the report as tables.
func (r *Report) Print(w io.Writer) {
	PrintSummaries(w, r.Classes)
	codes := map[string]int64{}
	for _, s := range r.Classes {
		for c, n := range s.Codes {
			codes[c] += n
		}
	}
	if len(codes) > 0 {
		fmt.Fprintf(w, "\nrefusals and failures by code: %v\n", codes)
	}
	fmt.Fprintln(w)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "pool\tsize\tallowed out\tmost out\tsamples\tover budget\t")
	for _, p := range r.Pools {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t\n", p.Pool, p.Size, p.Allowed, p.MaxOut, p.Samples, p.SamplesOverBudget)
	}
	_ = t.Flush()
	fmt.Fprintf(w, "\nwave: %d instances in %.1f s; the budgets and the reboot time alone allow %.1f s\n", r.Wave.Instances, r.Wave.Seconds, r.Wave.BoundSeconds)
	fmt.Fprintf(w, "moves: %d instances, %d jobs; jobs done: %d of %d\n", r.InstanceMoves, r.JobMoves, r.JobsDone, r.Jobs)
	fmt.Fprintf(w, "buffer: %.1f%% of slots out on average; the budgets allow %.1f%%\n", 100*r.BufferShare, 100*r.IdealBuffer)
	if n := len(r.InForceMillis); n > 0 {
		sorted := slices.Clone(r.InForceMillis)
		slices.Sort(sorted)
		fmt.Fprintf(w, "configuration: %d changes, in force everywhere after %d ms (median), %d ms (longest)\n", n, sorted[n/2], sorted[n-1])
	}
	fmt.Fprintf(w, "workers: %d requests, %d keyed ones ran, %d ran twice; at most %d at once on one worker\n",
		r.Workers.Requests, r.Workers.RunOnceExecuted, len(r.Workers.Duplicates), r.Workers.MaxInFlight)
	if len(r.Violations) == 0 {
		fmt.Fprintf(w, "\nno violations (%.1f s)\n", r.TookSeconds)
		return
	}
	fmt.Fprintf(w, "\nBROKEN:\n  %s\n", strings.Join(r.Violations, "\n  "))
}
