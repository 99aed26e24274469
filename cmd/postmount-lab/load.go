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

// errLoadCheckFailed says that the load saw a broken promise.
var errLoadCheckFailed = errors.New("some answers were cut, foreign or differed, or a request ran twice")

// loadCommand adds "load", the open-loop caller.
func loadCommand(app *kingpin.Application, runners map[string]runner) {
	cmd := app.Command("load", "Put open-loop load on entry daemons and check every answer.")
	entries := cmd.Flag("entry", "Traffic address of an entry daemon; name all of them.").Default("127.0.0.1:7000").Strings()
	workers := cmd.Flag("workers", "Control address of the workers, to count what ran twice.").Default("127.0.0.1:7300").String()
	fleet := fleetFlag(cmd)
	scale := cmd.Flag("scale", "Multiplies every arrival rate.").Default("1").Float64()
	resend := cmd.Flag("resend", "Share of keyed requests sent again through another entry.").Default("0.1").Float64()
	seed := cmd.Flag("seed", "Seed of the arrivals.").Default("1").Uint64()
	length := cmd.Flag("for", "How long.").Default("10s").Duration()
	output := cmd.Flag("output", "How results are printed.").Default("table").Enum("table", "json")
	runners[cmd.FullCommand()] = func(ctx context.Context) error {
		t, err := lab.TopologyByName(*fleet)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, *length)
		defer cancel()
		l := lab.NewLoad(lab.LoadOptions{Topology: t, Entries: *entries, Scale: *scale, Resend: *resend, Seed: *seed})
		l.Run(ctx)
		sums := l.Summaries()
		if *output == "json" {
			_ = json.NewEncoder(os.Stdout).Encode(sums)
		} else {
			lab.PrintSummaries(os.Stdout, sums)
		}
		return checkSummaries(sums, *workers)
	}
}

func checkSummaries(sums []lab.Summary, workers string) error {
	for _, s := range sums {
		if s.Cut+s.Foreign+s.Differs > 0 {
			return errLoadCheckFailed
		}
	}
	c := &http.Client{Timeout: 5 * time.Second}
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
