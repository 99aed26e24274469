package main

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/postmount/postmount/lab"
	"github.com/postmount/postmount/standin/worker"
)

// errLoadCheckFailed is returned if a response was wrong or a request ran twice.
var errLoadCheckFailed = errors.New("load check failed: an answer was truncated, belonged to another request or differed from the answer to the first send, or a request ran twice")

// loadCommand adds "load", the open-loop load generator.
func loadCommand(app *kingpin.Application, runners map[string]runner) {
	cmd := app.Command("load", "Generate open-loop load on entry daemons and check every answer.")
	entries := cmd.Flag("entry", "Traffic address of an entry daemon; repeat the flag for each daemon.").Default("127.0.0.1:7000").Strings()
	workers := cmd.Flag("workers", "Control address of the workers, to check that no request ran twice.").Default("127.0.0.1:7300").String()
	fleet := fleetFlag(cmd)
	scale := cmd.Flag("scale", "Factor for every arrival rate.").Default("1").Float64()
	resend := cmd.Flag("resend", "Fraction of requests with an idempotency key that are sent again through another entry daemon.").Default("0.1").Float64()
	seed := cmd.Flag("seed", "Seed of the arrivals.").Default("1").Uint64()
	duration := cmd.Flag("for", "Duration of the load.").Default("10s").Duration()
	output := cmd.Flag("output", "Output format.").Default("table").Enum("table", "json")
	runners[cmd.FullCommand()] = func(ctx context.Context) error {
		t, err := lab.TopologyByName(*fleet)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, *duration)
		defer cancel()
		l := lab.NewLoad(lab.LoadOptions{Topology: t, Entries: *entries, Scale: *scale, Resend: *resend, Seed: *seed})
		l.Run(ctx)
		summaries := l.Summaries()
		if *output == "json" {
			_ = json.NewEncoder(os.Stdout).Encode(summaries)
		} else {
			lab.PrintSummaries(os.Stdout, summaries)
		}
		return checkSummaries(summaries, *workers)
	}
}

// reportTimeout bounds the call for the workers' report.
const reportTimeout = 5 * time.Second

// checkSummaries returns errLoadCheckFailed if a response was wrong or, according to
// the workers, a request ran twice.
func checkSummaries(summaries []lab.Summary, workers string) error {
	for _, s := range summaries {
		if s.Truncated+s.WrongRequest+s.ResendMismatches > 0 {
			return errLoadCheckFailed
		}
	}
	c := &http.Client{Timeout: reportTimeout}
	resp, err := c.Get("http://" + workers + "/standin/report")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	var r worker.Report
	if err := json.NewDecoder(resp.Body).Decode(&r); err != nil {
		return err
	}
	if len(r.Duplicates) > 0 {
		return errLoadCheckFailed
	}
	return nil
}
