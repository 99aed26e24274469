package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/postmount/postmount/jobs/explain"
)

// reportEntriesCommand adds "report entries", which lists refused store entries from
// log files.
func reportEntriesCommand(report *kingpin.CmdClause, runners map[string]runner) {
	cmd := report.Command("entries", "List the store entries that daemons refuse, and why, from their log files.")
	files := cmd.Arg("files", "Log files, one or more for each daemon.").Required().ExistingFiles()
	runners[cmd.FullCommand()] = func(_ context.Context, o *options) int {
		lines, _, err := readLogs(*files)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitNotRun
		}
		printEntries(explain.RefusedEntries(lines), o.output)
		return exitDone
	}
}

func printEntries(entries []explain.RefusedEntry, output string) {
	if output == "json" {
		printJSON(entries)
		return
	}
	if len(entries) == 0 {
		fmt.Println("no daemon refuses an entry")
		return
	}
	var rows [][]string
	for _, e := range entries {
		rows = append(rows, []string{e.Key, e.First.Format(time.RFC3339), strings.Join(e.By, ", "), e.Why})
	}
	printTable([]string{"key", "refused since", "by", "why"}, rows)
}
