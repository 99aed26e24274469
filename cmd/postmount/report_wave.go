package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/wcharczuk/go-chart/v2"

	"github.com/postmount/postmount/operators/api"
	"github.com/postmount/postmount/verdict"
)

// reportWaveCommand adds "report wave", which prints or plots the availability of a
// wave's pools.
func reportWaveCommand(report *kingpin.CmdClause, runners map[string]runner) {
	cmd := report.Command("wave", "Availability of a wave's pools against their budgets.")
	name := cmd.Arg("wave", "Name of the wave.").Required().String()
	plot := cmd.Flag("plot", "Write a plot of availability over time to this file (SVG).").String()
	pool := cmd.Flag("pool", "Plot only this pool.").String()
	runners[cmd.FullCommand()] = func(ctx context.Context, o *options) int {
		r, err := o.client().Wave(ctx, *name)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitStatus(verdict.Of(err))
		}
		if *plot != "" {
			if err := plotWave(*plot, *pool, r); err != nil {
				fmt.Fprintln(os.Stderr, err)
				return exitNotRun
			}
		}
		if o.output == "json" {
			printJSON(r)
			return exitDone
		}
		printWave(r)
		return exitDone
	}
}

// printWave prints the progress of a wave and, for each pool, the sample with the
// fewest available instances.
func printWave(r api.WaveReport) {
	took := "still running"
	if !r.Ended.IsZero() {
		took = "took " + r.Ended.Sub(r.Started).Round(time.Millisecond).String()
	}
	fmt.Printf("wave %s is %s: %d finished, %d failed, %s\n", r.Wave, r.State, r.Finished, r.Failed, took)
	var rows [][]string
	for _, p := range r.Pools {
		minAvailable, floor := -1, 0
		for _, s := range p.Samples {
			if minAvailable < 0 || s.Available < minAvailable {
				minAvailable, floor = s.Available, s.Floor
			}
		}
		rows = append(rows, []string{p.Pool, strconv.Itoa(minAvailable), strconv.Itoa(floor), strconv.Itoa(p.MaxOut), strconv.FormatBool(!p.BudgetExceeded)})
	}
	printTable([]string{"pool", "least available", "floor then", "most out", "budget held"}, rows)
}

// Size of a plot in pixels.
const (
	plotWidth  = 1200
	plotHeight = 500
)

// plotMode is the file mode of plots.
const plotMode = 0o644

// plotWave writes an SVG plot of each pool's availability and its floor. If only is
// not empty, it draws this pool alone.
func plotWave(file, only string, r api.WaveReport) error {
	graph := chart.Chart{
		Width: plotWidth, Height: plotHeight,
		Background:     chart.Style{Padding: chart.Box{Top: 60, Left: 20, Right: 20, Bottom: 20}},
		XAxis:          chart.XAxis{Name: "seconds since wave " + r.Wave + " started; available instances, dashed: the minimum that the budget allows"},
		YAxisSecondary: chart.HideYAxis(),
		YAxis:          chart.YAxis{Range: &chart.ContinuousRange{Min: 0, Max: maxInstances(r) + 1}},
	}
	for i, p := range r.Pools {
		if only != "" && p.Pool != only {
			continue
		}
		color := chart.GetDefaultColor(i)
		graph.Series = append(graph.Series,
			stepSeries(p.Pool, r, p, chart.Style{StrokeColor: color, StrokeWidth: 2}, func(s api.PoolSample) float64 { return float64(s.Available) }),
			stepSeries(p.Pool+" floor", r, p, chart.Style{StrokeColor: color, StrokeDashArray: []float64{4, 4}}, func(s api.PoolSample) float64 { return float64(s.Floor) }))
	}
	if len(graph.Series) == 0 {
		return fmt.Errorf("wave %s has no pool to plot", r.Wave)
	}
	graph.Elements = []chart.Renderable{chart.LegendThin(&graph)}
	var out bytes.Buffer
	if err := graph.Render(chart.SVG, &out); err != nil {
		return fmt.Errorf("plot of wave %s: %w", r.Wave, err)
	}
	return os.WriteFile(file, out.Bytes(), plotMode)
}

// maxInstances returns the largest number of instances, available or out, that a pool
// had in any sample.
func maxInstances(r api.WaveReport) float64 {
	highest := 0
	for _, p := range r.Pools {
		for _, s := range p.Samples {
			highest = max(highest, s.Available+s.Out)
		}
	}
	return float64(highest)
}

// stepSeries converts a pool's samples, each valid until the next, to a step line.
func stepSeries(name string, r api.WaveReport, p api.WavePool, style chart.Style, value func(api.PoolSample) float64) chart.ContinuousSeries {
	end := r.Ended
	if end.IsZero() {
		end = time.Now()
	}
	s := chart.ContinuousSeries{Name: name, Style: style}
	for i, sample := range p.Samples {
		from, to := max(sample.At.Sub(r.Started).Seconds(), 0), end.Sub(r.Started).Seconds()
		if i+1 < len(p.Samples) {
			to = p.Samples[i+1].At.Sub(r.Started).Seconds()
		}
		s.XValues = append(s.XValues, from, max(to, from))
		s.YValues = append(s.YValues, value(sample), value(sample))
	}
	return s
}
