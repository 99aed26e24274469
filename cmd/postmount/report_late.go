package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/wcharczuk/go-chart/v2"

	"github.com/postmount/postmount/jobs/late"
)

// reportLateCommand adds "report late".
func reportLateCommand(report *kingpin.CmdClause, runners map[string]runner) {
	cmd := report.Command("late", "Tell from the daemons' log files where the time of late and unserved jobs went.")
	slice := cmd.Flag("slice", "Length of the slices of time.").Default("2s").Duration()
	plot := cmd.Flag("plot", "Write a plot of the causes over time to this file (SVG).").String()
	files := cmd.Arg("files", "Log files, one or more for each daemon.").Required().ExistingFiles()
	runners[cmd.FullCommand()] = func(_ context.Context, o *options) int {
		if err := reportLate(*files, *slice, *plot, o.output); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitNotRun
		}
		return exitDone
	}
}

func reportLate(files []string, slice time.Duration, plot, output string) error {
	if slice <= 0 {
		return fmt.Errorf("--slice has to be longer than 0")
	}
	lines, unreadable, err := readLogs(files)
	if err != nil {
		return err
	}
	r := late.Make(lines)
	if plot != "" {
		if err := plotLate(plot, r.BySecond(slice)); err != nil {
			return err
		}
	}
	if output == "json" {
		return json.NewEncoder(os.Stdout).Encode(r)
	}
	printLate(&r, slice)
	if unreadable+r.LeftOut > 0 {
		fmt.Printf("%d lines could not be read, %d were dropped by the daemons: jobs may be missing\n", unreadable, r.LeftOut)
	}
	return nil
}

func printLate(r *late.Report, slice time.Duration) {
	all := r.All()
	fmt.Printf("%d jobs accepted; not in time: %d late, %d never accepted, %d failed\n\n",
		r.Accepted, all.Outcomes[late.Late], all.Outcomes[late.Refused], all.Outcomes[late.Failed])
	printTable([]string{"cause", "jobs that it delayed most", "seconds of all jobs"}, causeRows(all.Causes))
	fmt.Println()
	printTable([]string{"queue", "jobs", "late", "never accepted", "failed", "causes"}, groupRows(r.ByQueue()))
	fmt.Println()
	printTable([]string{"from", "jobs", "late", "never accepted", "failed", "causes"}, groupRows(r.BySecond(slice)))
}

func causeRows(sums []late.Sum) [][]string {
	var out [][]string
	for _, s := range sums {
		out = append(out, []string{s.Cause, strconv.Itoa(s.Jobs), strconv.FormatFloat(s.Seconds, 'f', 1, 64)})
	}
	return out
}

// shownCauses is how many causes of a group a row of the table names.
const shownCauses = 3

func groupRows(groups []late.Group) [][]string {
	var out [][]string
	for _, g := range groups {
		var causes []string
		for _, s := range g.Causes[:min(shownCauses, len(g.Causes))] {
			if s.Jobs > 0 {
				causes = append(causes, fmt.Sprintf("%s %d", s.Cause, s.Jobs))
			}
		}
		out = append(out, []string{g.Name, strconv.Itoa(g.Jobs), strconv.Itoa(g.Outcomes[late.Late]),
			strconv.Itoa(g.Outcomes[late.Refused]), strconv.Itoa(g.Outcomes[late.Failed]), strings.Join(causes, ", ")})
	}
	return out
}

// barWidth is the width of a bar of the plot in pixels.
const barWidth = 24

// plotLate draws, for each slice of time, how many jobs each cause delayed most.
func plotLate(file string, groups []late.Group) error {
	if len(groups) == 0 {
		return fmt.Errorf("there is nothing to plot: every job was in time")
	}
	graph := chart.StackedBarChart{
		Title: "Jobs not in time, by what delayed them most", Width: plotWidth, Height: plotHeight, BarSpacing: barWidth / 2,
		Background: chart.Style{Padding: chart.Box{Top: 60, Left: 20, Right: 20, Bottom: 20}},
	}
	names := causesOf(groups)
	for _, g := range groups {
		bar := chart.StackedBar{Name: strings.TrimSpace(g.Name) + ": " + strconv.Itoa(g.Jobs), Width: barWidth}
		for i, name := range names {
			bar.Values = append(bar.Values, chart.Value{Label: name, Value: jobsOf(g, name), Style: chart.Style{FillColor: chart.GetDefaultColor(i)}})
		}
		graph.Bars = append(graph.Bars, bar)
	}
	var out bytes.Buffer
	if err := graph.Render(chart.SVG, &out); err != nil {
		return fmt.Errorf("plot of late jobs: %w", err)
	}
	return os.WriteFile(file, out.Bytes(), plotMode)
}

func causesOf(groups []late.Group) []string {
	var out []string
	for _, g := range groups {
		for _, s := range g.Causes {
			if s.Jobs > 0 && !slices.Contains(out, s.Cause) {
				out = append(out, s.Cause)
			}
		}
	}
	slices.Sort(out)
	return out
}

func jobsOf(g late.Group, cause string) float64 {
	for _, s := range g.Causes {
		if s.Cause == cause {
			return float64(s.Jobs)
		}
	}
	return 0
}
