package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"sync"

	"github.com/alecthomas/kingpin/v2"

	"github.com/postmount/postmount/lab"
	"github.com/postmount/postmount/lab/jobsdemo"
)

// errInvariantViolated is returned if a part of the demo violated an invariant.
var errInvariantViolated = errors.New("the demo violated an invariant")

// demoCommand adds "demo", which runs the main use case on embedded stand-ins.
func demoCommand(app *kingpin.Application, runners map[string]runner) {
	cmd := app.Command("demo", "Run the main use case in one process: entry daemons, workers, load, a wave, and faults.")
	o := lab.DemoOptions{Progress: os.Stderr}
	fleet := fleetFlag(cmd)
	cmd.Flag("seed", "Seed of the load.").Default("1").Uint64Var(&o.Seed)
	cmd.Flag("for", "Duration of the load.").Default("24s").DurationVar(&o.Duration)
	cmd.Flag("entries", "Number of entry daemons.").Default("6").IntVar(&o.Entries)
	logs := cmd.Flag("logs", "Print the daemons' logs.").Bool()
	only := cmd.Flag("only", "Part to run: callers' requests to backend servers, jobs, or both at the same time.").Default("all").Enum("all", "requests", "jobs")
	output := cmd.Flag("output", "Output format.").Default("table").Enum("table", "json")
	runners[cmd.FullCommand()] = func(ctx context.Context) error {
		t, err := lab.TopologyByName(*fleet)
		if err != nil {
			return err
		}
		o.Topology = t
		if *logs {
			o.Logs = os.Stderr
		}
		return runDemo(ctx, o, *only, *output)
	}
}

// demoReport holds the reports of the parts that ran.
type demoReport struct {
	Requests *lab.Report      `json:"requests,omitempty"`
	Jobs     *jobsdemo.Report `json:"jobs,omitempty"`
}

// runDemo runs the chosen parts and prints their reports.
func runDemo(ctx context.Context, o lab.DemoOptions, only, output string) error {
	var report demoReport
	var wg sync.WaitGroup
	if only != "requests" {
		wg.Go(func() {
			r := jobsdemo.Run(ctx, o.Progress)
			report.Jobs = &r
		})
	}
	var err error
	if only != "jobs" {
		report.Requests, err = lab.Demo(ctx, o)
	}
	wg.Wait()
	if err != nil {
		return err
	}
	return report.print(output)
}

// print prints the reports. It returns errInvariantViolated if one lists a violation.
func (r *demoReport) print(output string) error {
	if output == "json" {
		if err := json.NewEncoder(os.Stdout).Encode(r); err != nil {
			return err
		}
	}
	violated := false
	if r.Requests != nil {
		if output == "table" {
			r.Requests.Print(os.Stdout)
		}
		violated = len(r.Requests.Violations) > 0
	}
	if r.Jobs != nil {
		if output == "table" {
			r.Jobs.Print(os.Stdout)
			for _, violation := range r.Jobs.Violations {
				fmt.Fprintln(os.Stdout, "BROKEN", violation)
			}
		}
		violated = violated || len(r.Jobs.Violations) > 0
	}
	if violated {
		return errInvariantViolated
	}
	return nil
}
