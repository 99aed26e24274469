package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/postmount/postmount/operators/api"
	"github.com/postmount/postmount/operators/query"
	"github.com/postmount/postmount/verdict"
)

// execCommand adds "exec", which executes statements.
func execCommand(app *kingpin.Application, runners map[string]runner) {
	cmd := app.Command("exec", "Execute statements of the operators' language.")
	text := cmd.Arg("statements", "The statements, separated by ';'.").String()
	file := cmd.Flag("file", "Read the statements from a file; '-' is standard input.").Short('f').String()
	id := cmd.Flag("id", "Id of the command; a repeat with the same id is answered but not executed again.").String()
	runners[cmd.FullCommand()] = func(ctx context.Context, o *options) int {
		program, err := readProgram(*text, *file)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitUsage
		}
		return exec(ctx, o, *id, program)
	}
}

// readProgram returns the statements from the argument text, from file, or from
// standard input if file is "-".
func readProgram(text, file string) (string, error) {
	switch {
	case file != "" && text != "":
		return "", fmt.Errorf("statements and --file are mutually exclusive")
	case file == "-":
		data, err := io.ReadAll(io.LimitReader(os.Stdin, query.MaxProgramBytes+1))
		return string(data), err
	case file != "":
		data, err := os.ReadFile(file)
		return string(data), err
	case strings.TrimSpace(text) == "":
		return "", fmt.Errorf("no statements given")
	default:
		return text, nil
	}
}

// exec executes the statements in text and returns the exit status. Syntax errors
// are reported before anything is sent.
func exec(ctx context.Context, o *options, id, text string) int {
	if _, err := query.Parse(text); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	c := o.client()
	var resp api.ExecResponse
	var err error
	if id != "" {
		resp, err = c.ExecWithID(ctx, id, text)
	} else {
		resp, err = c.Exec(ctx, text)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitStatus(verdict.Of(err))
	}
	printResults(o.output, resp)
	for _, r := range resp.Results {
		if r.Verdict != verdict.Done {
			return exitStatus(r.Verdict)
		}
	}
	return exitDone
}

// printResults prints the results of the statements: to standard error those of
// statements that failed, to standard output all others.
func printResults(output string, resp api.ExecResponse) {
	if output == "json" {
		printJSON(resp)
		return
	}
	for _, r := range resp.Results {
		switch {
		case r.Verdict != verdict.Done:
			fmt.Fprintf(os.Stderr, "statement %d: %s (%s): %s\n", r.Statement, r.Verdict, r.Code, r.Message)
		case r.Table != nil:
			printTable(r.Table.Columns, r.Table.Rows)
		case r.InForce:
			fmt.Printf("%s (revision %d, in force after %d ms)\n", r.Message, r.Revision, r.InForceMillis)
		default:
			fmt.Printf("%s (revision %d, recorded; not yet in force at %s)\n", r.Message, r.Revision, strings.Join(r.Behind, ", "))
		}
	}
}
