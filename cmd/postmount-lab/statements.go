package main

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"github.com/postmount/postmount/lab"
)

// statementsCommand adds "statements", which prints the statements that set up a
// user's fleet.
func statementsCommand(app *kingpin.Application, runners map[string]runner) {
	cmd := app.Command("statements", "Print the operators' statements that set up a fleet.")
	fleet := fleetFlag(cmd)
	runners[cmd.FullCommand()] = func(context.Context) error {
		t, err := lab.TopologyByName(*fleet)
		if err != nil {
			return err
		}
		fmt.Print(t.Statements())
		return nil
	}
}
