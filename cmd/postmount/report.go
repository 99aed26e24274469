package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/postmount/postmount/operators/api"
	"github.com/postmount/postmount/verdict"
)

// reportCommand adds "report" and its subcommands.
func reportCommand(app *kingpin.Application, runners map[string]runner) {
	cmd := app.Command("report", "Print a report.")
	burn := cmd.Command("burn", "Burn rates of the service-level objectives of the whole fleet.")
	runners[burn.FullCommand()] = func(ctx context.Context, o *options) int {
		r, err := o.client().Burn(ctx)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitStatus(verdict.Of(err))
		}
		if o.output == "json" {
			printJSON(r)
			return exitDone
		}
		printBurn(r)
		return exitDone
	}
	reportWaveCommand(cmd, runners)
	reportLateCommand(cmd, runners)
	reportEntriesCommand(cmd, runners)
	reportEvacuationsCommand(cmd, runners)
}

// printBurn prints the burn rates with one column per window, and the members whose
// counts are not included.
func printBurn(r api.BurnReport) {
	columns := []string{"service", "class", "objective"}
	if len(r.Rows) > 0 {
		for _, w := range r.Rows[0].Windows {
			columns = append(columns, "burn "+(time.Duration(w.Seconds)*time.Second).String())
		}
	}
	columns = append(columns, "bad/total 1h", "alert")
	var rows [][]string
	for _, row := range r.Rows {
		rows = append(rows, burnCells(row))
	}
	printTable(columns, rows)
	if len(r.Missing) > 0 {
		fmt.Printf("not included: %s\n", strings.Join(r.Missing, ", "))
	}
}

// burnCells returns the table row of one class of a service.
func burnCells(row api.BurnRow) []string {
	objective := "none"
	if row.Objective > 0 {
		objective = strconv.FormatFloat(row.Objective*100, 'f', -1, 64) + "%"
	}
	cells := []string{row.Service, row.Class, objective}
	var hour api.BurnWindow
	for _, w := range row.Windows {
		cells = append(cells, strconv.FormatFloat(w.Rate, 'f', 2, 64))
		if w.Seconds == int(time.Hour.Seconds()) {
			hour = w
		}
	}
	return append(cells, fmt.Sprintf("%d/%d", hour.Bad, hour.Total), row.Alert)
}
