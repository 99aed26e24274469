package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/postmount/postmount/jobs/explain"
)

// reportEvacuationsCommand adds "report evacuations", which lists evacuations of
// availability zones from log files.
func reportEvacuationsCommand(report *kingpin.CmdClause, runners map[string]runner) {
	cmd := report.Command("evacuations", "List when availability zones were evacuated and got no new tasks, from the daemons' log files.")
	files := cmd.Arg("files", "Log files, one or more for each daemon.").Required().ExistingFiles()
	runners[cmd.FullCommand()] = func(_ context.Context, o *options) int {
		lines, _, err := readLogs(*files)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitNotRun
		}
		printEvacuations(explain.Evacuations(lines), o.output)
		return exitDone
	}
}

func printEvacuations(list []explain.Evacuation, output string) {
	if output == "json" {
		printJSON(list)
		return
	}
	if len(list) == 0 {
		fmt.Println("no zone was evacuated")
		return
	}
	var rows [][]string
	for _, e := range list {
		until := "still"
		if !e.Until.IsZero() {
			until = e.Until.Format(time.RFC3339)
		}
		rows = append(rows, []string{e.Zone, e.Since.Format(time.RFC3339), until, e.By})
	}
	printTable([]string{"zone", "evacuated since", "until", "first said by"}, rows)
}
