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
	"github.com/wcharczuk/go-chart/v2/drawing"

	"github.com/postmount/postmount/jobs/late"
)

// reportLateCommand adds "report late", which breaks down the delays of jobs by cause
// from log files.
func reportLateCommand(report *kingpin.CmdClause, runners map[string]runner) {
	cmd := report.Command("late", "Break down the delays of late and unserved jobs by cause, from the daemons' log files.")
	slice := cmd.Flag("slice", "Length of one time slice.").Default("2s").Duration()
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
		return fmt.Errorf("--slice must be positive, got %s", slice)
	}
	lines, unreadable, err := readLogs(files)
	if err != nil {
		return err
	}
	r := late.NewReport(lines)
	if plot != "" {
		if err := plotLate(plot, r.ByTimeSlice(slice), slice); err != nil {
			return err
		}
	}
	if output == "json" {
		return json.NewEncoder(os.Stdout).Encode(r)
	}
	printLate(&r, slice)
	if unreadable+r.DroppedLines > 0 {
		fmt.Printf("%d lines could not be read and daemons dropped %d lines: jobs may be missing\n", unreadable, r.DroppedLines)
	}
	return nil
}

// printLate prints the causes for all jobs, by queue, and by time slice.
func printLate(r *late.Report, slice time.Duration) {
	all := r.All()
	fmt.Printf("%d jobs accepted; not in time: %d late, %d never accepted, %d failed\n\n",
		r.Accepted, all.Outcomes[late.Late], all.Outcomes[late.Refused], all.Outcomes[late.Failed])
	printTable([]string{"cause", "jobs that it delayed most", "seconds of all jobs"}, causeRows(all.Causes))
	fmt.Println()
	printTable([]string{"queue", "jobs", "late", "never accepted", "failed", "causes"}, groupRows(r.ByQueue()))
	fmt.Println()
	printTable([]string{"from", "jobs", "late", "never accepted", "failed", "causes"}, groupRows(r.ByTimeSlice(slice)))
}

func causeRows(totals []late.CauseTotal) [][]string {
	var rows [][]string
	for _, t := range totals {
		rows = append(rows, []string{t.Cause, strconv.Itoa(t.Jobs), strconv.FormatFloat(t.Seconds, 'f', 1, 64)})
	}
	return rows
}

// maxCausesPerRow limits the causes that one table row names.
const maxCausesPerRow = 3

func groupRows(groups []late.Group) [][]string {
	var rows [][]string
	for _, g := range groups {
		var causes []string
		for _, t := range g.Causes[:min(maxCausesPerRow, len(g.Causes))] {
			if t.Jobs > 0 {
				causes = append(causes, fmt.Sprintf("%s %d", t.Cause, t.Jobs))
			}
		}
		rows = append(rows, []string{g.Name, strconv.Itoa(g.Jobs), strconv.Itoa(g.Outcomes[late.Late]),
			strconv.Itoa(g.Outcomes[late.Refused]), strconv.Itoa(g.Outcomes[late.Failed]), strings.Join(causes, ", ")})
	}
	return rows
}

// causeColors are the colors of the causes in a plot, as RGB hex.
var causeColors = []string{"1f77b4", "ff7f0e", "2ca02c", "d62728", "9467bd", "8c564b", "e377c2", "7f7f7f", "bcbd22", "17becf", "393b79", "637939"}

// plotLate writes a stacked SVG plot: for each time slice, the number of jobs by the
// cause that delayed them most.
func plotLate(file string, groups []late.Group, slice time.Duration) error {
	if len(groups) == 0 {
		return fmt.Errorf("nothing to plot: every job was in time")
	}
	graph := chart.Chart{
		Width: plotWidth, Height: plotHeight,
		Background:     chart.Style{Padding: chart.Box{Top: 60, Left: 20, Right: 20, Bottom: 20}},
		XAxis:          chart.XAxis{Name: "seconds since the first line; jobs not in time, by what delayed them most"},
		YAxisSecondary: chart.HideYAxis(),
	}
	// The largest sum is drawn first, so that the smaller ones cover part of it.
	causes := sortedCauses(groups)
	for n := len(causes); n > 0; n-- {
		graph.Series = append(graph.Series, stackedSeries(groups, causes[:n], slice))
	}
	graph.YAxis.Range = &chart.ContinuousRange{Min: 0, Max: maxGroupJobs(groups) + 1}
	graph.Elements = []chart.Renderable{chart.LegendThin(&graph)}
	var out bytes.Buffer
	if err := graph.Render(chart.SVG, &out); err != nil {
		return fmt.Errorf("plot of late jobs: %w", err)
	}
	return os.WriteFile(file, out.Bytes(), plotMode)
}

// stackedSeries returns a step line of the number of jobs that any of causes delayed
// most. It is named after the last cause.
func stackedSeries(groups []late.Group, causes []string, slice time.Duration) chart.ContinuousSeries {
	color := drawing.ColorFromHex(causeColors[(len(causes)-1)%len(causeColors)])
	s := chart.ContinuousSeries{Name: causes[len(causes)-1], Style: chart.Style{StrokeColor: color, FillColor: color}}
	add := func(at time.Duration, jobs float64) {
		s.XValues = append(s.XValues, at.Seconds())
		s.YValues = append(s.YValues, jobs)
	}
	end := groups[0].From
	for _, g := range groups {
		if g.From > end {
			add(end, 0)
			add(g.From, 0)
		}
		sum := 0.0
		for _, c := range causes {
			sum += jobsDelayedBy(g, c)
		}
		end = g.From + slice
		add(g.From, sum)
		add(end, sum)
	}
	return s
}

func maxGroupJobs(groups []late.Group) float64 {
	highest := 0
	for _, g := range groups {
		highest = max(highest, g.Jobs)
	}
	return float64(highest)
}

// sortedCauses returns, sorted by name, the causes that delayed a job most in any
// group.
func sortedCauses(groups []late.Group) []string {
	var out []string
	for _, g := range groups {
		for _, t := range g.Causes {
			if t.Jobs > 0 && !slices.Contains(out, t.Cause) {
				out = append(out, t.Cause)
			}
		}
	}
	slices.Sort(out)
	return out
}

// jobsDelayedBy returns the number of a group's jobs that cause delayed most.
func jobsDelayedBy(g late.Group, cause string) float64 {
	for _, t := range g.Causes {
		if t.Cause == cause {
			return float64(t.Jobs)
		}
	}
	return 0
}
