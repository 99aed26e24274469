package main

import (
	"context"
	"encoding/json"
	"errors"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/postmount/postmount/lab"
)

// errBroken says that the demo saw a broken promise.
var errBroken = errors.New("the demo saw a broken invariant")

// demoCommand adds "demo", the main job on embedded stand-ins.
func demoCommand(app *kingpin.Application, runners map[string]runner) {
	cmd := app.Command("demo", "Run the main job in one process: entry daemons, workers, load, a wave, and faults.")
	o := lab.DemoOptions{Progress: os.Stderr}
	fleet := fleetFlag(cmd)
	cmd.Flag("seed", "Seed of the load.").Default("1").Uint64Var(&o.Seed)
	cmd.Flag("for", "How long the load lasts.").Default("24s").DurationVar(&o.For)
	cmd.Flag("entries", "Number of entry daemons.").Default("6").IntVar(&o.Entries)
	logs := cmd.Flag("logs", "Print the daemons' logs.").Bool()
	output := cmd.Flag("output", "How results are printed.").Default("table").Enum("table", "json")
	runners[cmd.FullCommand()] = func(ctx context.Context) error {
		t, err := lab.TopologyByName(*fleet)
		if err != nil {
			return err
		}
		o.Topology = t
		if *logs {
			o.Logs = os.Stderr
		}
		r, err := lab.Demo(ctx, o)
		if err != nil {
			return err
		}
		if *output == "json" {
			_ = json.NewEncoder(os.Stdout).Encode(r)
		} else {
			r.Print(os.Stdout)
		}
		if len(r.Broken) > 0 {
			return errBroken
		}
		return nil
	}
}
