package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/postmount/postmount/jobs/explain"
)

// explainCommand adds "explain", which reconstructs the history of a job from log
// files.
func explainCommand(app *kingpin.Application, runners map[string]runner) {
	cmd := app.Command("explain", "Reconstruct the history of a job from the daemons' log files.")
	id := cmd.Arg("job", "Job id.").Required().String()
	files := cmd.Arg("files", "Log files, one or more for each daemon.").Required().ExistingFiles()
	runners[cmd.FullCommand()] = func(_ context.Context, o *options) int {
		t, err := explainFiles(*id, *files)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitNotRun
		}
		if o.output == "json" {
			err = json.NewEncoder(os.Stdout).Encode(t)
		} else {
			err = t.Write(os.Stdout)
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitNotRun
		}
		if len(t.Lines) == 0 {
			return exitNotRun
		}
		return exitDone
	}
}

// explainFiles reconstructs the history of job id from log files.
func explainFiles(id string, files []string) (explain.Timeline, error) {
	lines, unreadable, err := readLogs(files)
	if err != nil {
		return explain.Timeline{}, err
	}
	t := explain.Explain(id, lines)
	if unreadable > 0 {
		t.Findings = append(t.Findings, fmt.Sprintf("%d lines of the files could not be read", unreadable))
	}
	return t, nil
}

// readLogs returns the lines of log files, and how many could not be read. The source
// of a line is the file's name without its extension.
func readLogs(files []string) (lines []explain.Line, unreadable int, err error) {
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, 0, err
		}
		source := strings.TrimSuffix(filepath.Base(name), filepath.Ext(name))
		fileLines, skipped, err := explain.Read(source, f)
		f.Close()
		if err != nil {
			return nil, 0, fmt.Errorf("%s: %w", name, err)
		}
		lines = append(lines, fileLines...)
		unreadable += skipped
	}
	return lines, unreadable, nil
}
