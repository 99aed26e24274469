package main

import (
	"context"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/postmount/postmount/lab"
)

// measureCommand adds "measure", which runs the measurements against their
// baselines and prints Markdown.
func measureCommand(app *kingpin.Application, runners map[string]runner) {
	cmd := app.Command("measure", "Run the measurements against their baselines; prints Markdown.")
	only := cmd.Flag("only", "Run only measurements whose name contains this text.").String()
	seed := cmd.Flag("seed", "Seed of the load.").Default("1").Uint64()
	runners[cmd.FullCommand()] = func(ctx context.Context) error {
		for _, e := range append(lab.Experiments(), lab.ControlExperiments()...) {
			if !strings.Contains(strings.ToLower(e.Name), strings.ToLower(*only)) {
				continue
			}
			if err := e.Print(ctx, os.Stdout, *seed); err != nil {
				return err
			}
		}
		return nil
	}
}
