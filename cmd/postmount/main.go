// Command postmount is the operators' client.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/postmount/postmount/operators/client"
	"github.com/postmount/postmount/requests/daemon"
	"github.com/postmount/postmount/verdict"
)

// Exit statuses.
const (
	exitDone       = 0
	exitNotRun     = 1 // certainly not executed, or failed
	exitUsage      = 2
	exitMayHaveRun = 3 // the outcome is unknown
)

// exitStatus maps a verdict to the exit status.
func exitStatus(v verdict.Verdict) int {
	switch v {
	case verdict.Done:
		return exitDone
	case verdict.NotRun:
		return exitNotRun
	default:
		return exitMayHaveRun
	}
}

// options are the flags that all commands share.
type options struct {
	servers []string
	output  string
	timeout time.Duration
}

func (o *options) client() *client.Client { return client.New(o.servers, o.timeout) }

// runner executes one command and returns the exit status.
type runner func(ctx context.Context, o *options) int

func main() {
	app := kingpin.New("postmount", "Queries and controls a fleet that postmount manages.")
	app.Version(daemon.Version)
	app.HelpFlag.Short('h')
	o := &options{}
	app.Flag("server", "Operators' address of an entry daemon (IP:PORT); repeat the flag to name fallbacks.").
		Short('s').Default("127.0.0.1:7001").Envar("POSTMOUNT_SERVER").StringsVar(&o.servers)
	app.Flag("output", "Output format.").Short('o').Default("table").EnumVar(&o.output, "table", "json")
	app.Flag("timeout", "Timeout of one call.").Default("20s").DurationVar(&o.timeout)
	runners := map[string]runner{}
	execCommand(app, runners)
	statusCommand(app, runners)
	waitCommand(app, runners)
	reportCommand(app, runners)
	explainCommand(app, runners)
	app.Terminate(func(status int) {
		if status != 0 {
			status = exitUsage
		}
		os.Exit(status)
	})
	name, err := app.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintf(os.Stderr, "postmount: %v, try --help\n", err)
		os.Exit(exitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	os.Exit(runners[name](ctx, o))
}
