package main

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/postmount/postmount/standin/platform"
)

// platformCommand adds "platform", the stand-in for the instance list and instance
// actions.
func platformCommand(app *kingpin.Application, runners map[string]runner) {
	cmd := app.Command("platform", "Stand-in for the platform's instance list and instance actions.")
	listen := cmd.Flag("listen", "Listen address.").Default("127.0.0.1:7200").String()
	workers := cmd.Flag("workers", "Control address of the workers.").Default("127.0.0.1:7300").String()
	f := platform.DefaultFaults
	cmd.Flag("list-lag-ms", "Delay of changes in the instance list, in milliseconds.").Default("200").IntVar(&f.ListLagMS)
	cmd.Flag("reboot-ms", "Duration of a reboot, in milliseconds.").Default("400").IntVar(&f.RebootMS)
	cmd.Flag("never-return", "Instance that does not come back from a reboot.").StringsVar(&f.NeverReturn)
	runners[cmd.FullCommand()] = func(ctx context.Context) error {
		p := platform.New(platform.NewRemoteWorkers(*workers), f)
		defer p.Close()
		return serve(ctx, *listen, p)
	}
}
