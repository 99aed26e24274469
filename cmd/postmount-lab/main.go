// Command postmount-lab runs stand-ins for postmount's environment, generates load
// on entry daemons, and runs the demo and the measurements.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/postmount/postmount/requests/daemon"
)

// exitUsage is the exit status for an invalid command line.
const exitUsage = 2

// runner executes one command.
type runner func(ctx context.Context) error

func main() {
	app := kingpin.New("postmount-lab", "Stand-ins, load and demo for postmount.")
	app.Version(daemon.Version)
	app.HelpFlag.Short('h')
	runners := map[string]runner{}
	storeCommand(app, runners)
	platformCommand(app, runners)
	workersCommand(app, runners)
	statementsCommand(app, runners)
	loadCommand(app, runners)
	demoCommand(app, runners)
	measureCommand(app, runners)
	name, err := app.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintf(os.Stderr, "postmount-lab: %v, try --help\n", err)
		os.Exit(exitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := runners[name](ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// serve serves h at addr until ctx ends.
func serve(ctx context.Context, addr string, h http.Handler) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	fmt.Println("listening at", l.Addr())
	s := &http.Server{Handler: h}
	go func() {
		<-ctx.Done()
		s.Close()
	}()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// fleetFlag adds the flag that selects a user's fleet.
func fleetFlag(cmd *kingpin.CmdClause) *string {
	return cmd.Flag("fleet", "User's fleet to simulate.").Default("order-desks").Enum("order-desks", "alumni-hub")
}
