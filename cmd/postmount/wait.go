package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/postmount/postmount/operators/client"
	"github.com/postmount/postmount/operators/query"
	"github.com/postmount/postmount/verdict"
)

// waitCommand adds "wait", which follows a wave until it ends.
func waitCommand(app *kingpin.Application, runners map[string]runner) {
	cmd := app.Command("wait", "Follow a wave until it ends, printing its progress.")
	name := cmd.Arg("wave", "Name of the wave.").Required().String()
	runners[cmd.FullCommand()] = func(ctx context.Context, o *options) int {
		return waitForWave(ctx, o.client(), *name)
	}
}

// pollInterval is the pause between polls. After maxFailedPolls polls in a row that
// reached no server, the outcome is reported as unknown.
const (
	pollInterval   = time.Second
	maxFailedPolls = 60
)

// waitForWave polls a wave, prints each change of its progress, and returns the
// exit status.
func waitForWave(ctx context.Context, c *client.Client, name string) int {
	lastLine := ""
	failedPolls := 0
	for {
		state, line, err := waveProgress(ctx, c, name)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			if verdict.CodeOf(err) != client.CodeUnreachable {
				return exitNotRun
			}
			if failedPolls++; failedPolls >= maxFailedPolls {
				return exitMayHaveRun
			}
		} else {
			failedPolls = 0
		}
		if line != "" && line != lastLine {
			fmt.Println(line)
			lastLine = line
		}
		switch state {
		case "done":
			return exitDone
		case "cancelled":
			return exitNotRun
		}
		select {
		case <-ctx.Done():
			return exitMayHaveRun
		case <-time.After(pollInterval):
		}
	}
}

// codeBadName is the code of a name that no statement can contain.
const codeBadName verdict.Code = "bad-name"

// waveProgress returns the state of a wave and a line that describes its progress.
func waveProgress(ctx context.Context, c *client.Client, name string) (state, line string, err error) {
	quoted, err := query.Quote(name)
	if err != nil {
		return "", "", verdict.Wrap(err, verdict.NotRun, codeBadName, "wave name")
	}
	resp, err := c.Exec(ctx, "show waves where wave = "+quoted)
	if err != nil {
		return "", "", err
	}
	r := resp.Results[0]
	if r.Verdict != verdict.Done || r.Table == nil || len(r.Table.Rows) == 0 {
		return "", "", fmt.Errorf("no wave %q found %s", name, r.Message)
	}
	row := r.Table.Rows[0]
	field := func(column string) string { return row[slices.Index(r.Table.Columns, column)] }
	line = fmt.Sprintf("wave %s %s: %s finished, %s failed, %s remaining", name, field("state"), field("finished"), field("failed"), field("remaining"))
	if f := field("forecast"); f != "" {
		line += ", forecast " + f
	}
	return field("state"), line + " " + field("reason"), nil
}
