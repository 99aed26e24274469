package lab

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/postmount/postmount/requests/settings"
	"github.com/postmount/postmount/standin/worker"
)

// Row is a line of a measurement: the case and its figures, one for each column.
type Row struct {
	Case    string
	Figures []string
}

// Experiment measures several cases with the same seed; one of them is the baseline.
type Experiment struct {
	Name    string
	Columns []string
	Run     func(ctx context.Context, seed uint64) ([]Row, error)
}

// Experiments returns the experiments on the request path.
func Experiments() []Experiment {
	return []Experiment{saturation(), goodput(), amplification(), slowWorker(), daemonEnd(), slotShares()}
}

// Print runs an experiment and prints it as a Markdown table.
func (e Experiment) Print(ctx context.Context, w io.Writer, seed uint64) error {
	rows, err := e.Run(ctx, seed)
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "\n### %s\n\n| case | %s |\n|%s\n", e.Name, strings.Join(e.Columns, " | "), strings.Repeat("---|", len(e.Columns)+1))
	for _, r := range rows {
		fmt.Fprintf(w, "| %s | %s |\n", r.Case, strings.Join(r.Figures, " | "))
	}
	return nil
}

// trial is a run of a load against a new fixture.
type trial struct {
	topology Topology
	entries  int
	duration time.Duration
	resend   float64
	adjust   func(*settings.Settings)
	// singleEntry sends all requests through the first entry.
	singleEntry bool
	// prepare is called before the load starts; during is called in a goroutine when it starts.
	prepare func(*Fixture) error
	during  func(*Fixture)
}

// trialResult is the result of a trial.
type trialResult struct {
	classes map[string]Summary
	workers worker.Report
}

func (t trial) run(ctx context.Context, seed uint64) (trialResult, error) {
	f, err := NewFixture(t.topology, t.entries, t.adjust, io.Discard)
	if err != nil {
		return trialResult{}, err
	}
	defer f.Close()
	wait, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := f.WaitReady(wait); err != nil {
		return trialResult{}, err
	}
	if err := f.Exec(ctx, t.topology.Statements()); err != nil {
		return trialResult{}, err
	}
	if t.prepare != nil {
		if err := t.prepare(f); err != nil {
			return trialResult{}, err
		}
	}
	addrs := f.TrafficAddrs()
	if t.singleEntry {
		addrs = addrs[:1]
	}
	load := NewLoad(LoadOptions{Topology: t.topology, Entries: addrs, Ready: f.HealthCheck(), Scale: 1, Resend: t.resend, Seed: seed})
	loadCtx, stop := context.WithTimeout(ctx, t.duration)
	defer stop()
	if t.during != nil {
		go t.during(f)
	}
	load.Run(loadCtx)
	m := trialResult{classes: map[string]Summary{}, workers: f.Workers.Report()}
	for _, s := range load.Summaries() {
		m.classes[s.Class] = s
	}
	if violations := load.CheckExecutions(f.Workers.RunCount); len(violations) > 0 {
		return m, fmt.Errorf("violations: %v", violations)
	}
	return m, nil
}

// singleServiceTopology returns a fleet of one service whose workers have workerSlots slots each.
func singleServiceTopology(workers int, classes ...Class) Topology {
	return Topology{Name: "desk", Zones: []string{"zone-a", "zone-b", "zone-c", "zone-d"}, Services: []Service{{Name: "desk", Workers: workers, Classes: classes}}}
}

func formatMS(v float64) string { return fmt.Sprintf("%.1f", v) }

// percent formats part as a percentage of whole.
func percent(part, whole int64) string {
	if whole == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f%%", 100*float64(part)/float64(whole))
}

// admission returns a settings change that selects an admission policy.
func admission(policy string) func(*settings.Settings) {
	return func(s *settings.Settings) { s.Policies.Admit = policy }
}

// saturation measures 40 retail orders per second while bulk repricing offers 1.5 times the
// capacity of 4 workers (32 slots / 40 ms = 800 requests per second).
func saturation() Experiment {
	return Experiment{
		Name:    "Retail orders while bulk repricing saturates the desk",
		Columns: []string{"retail p50 ms", "p99 ms", "p99.9 ms", "retail done", "bulk done", "ideal (service time) ms"},
		Run: func(ctx context.Context, seed uint64) (rows []Row, err error) {
			for _, policy := range []string{"weighted", "fifo"} {
				m, err := trial{
					topology: singleServiceTopology(4,
						Class{Name: "retail", Weight: 8, Rate: 40, ServiceMS: 10, DeadlineMS: 5000, Keyed: true, Availability: 99},
						Class{Name: "bulk", Weight: 1, Rate: 1200, ServiceMS: 40, DeadlineMS: 10000, Availability: 90}),
					entries: 6, duration: 8 * time.Second, adjust: admission(policy),
				}.run(ctx, seed)
				if err != nil {
					return nil, err
				}
				r, b := m.classes["retail"], m.classes["bulk"]
				rows = append(rows, Row{policy, []string{formatMS(r.P50MS), formatMS(r.P99MS), formatMS(r.P999MS), percent(r.Done, r.Sent), percent(b.Done, b.Sent), "10"}})
			}
			return rows, nil
		},
	}
}

// goodput measures three classes with a deadline of one second at multiples of the capacity
// of 4 workers (800 requests per second of 40 ms).
func goodput() Experiment {
	return Experiment{
		Name:    "Answers in time at multiples of capacity (800 a second)",
		Columns: []string{"retail done", "intraday done", "bulk done", "done a second", "share of capacity", "refused at once, p99 of answers ms"},
		Run: func(ctx context.Context, seed uint64) (rows []Row, err error) {
			const capacity = 800
			for _, policy := range []string{"weighted", "fifo"} {
				for _, load := range []float64{1, 1.5, 2, 4} {
					class := func(name string, weight int, share float64) Class {
						return Class{Name: name, Weight: weight, Rate: capacity * load * share, ServiceMS: 40, DeadlineMS: 1000, Availability: 90}
					}
					const length = 6 * time.Second
					m, err := trial{
						topology: singleServiceTopology(4, class("retail", 8, 0.2), class("intraday", 4, 0.3), class("bulk", 1, 0.5)),
						entries:  6, duration: length, adjust: admission(policy),
					}.run(ctx, seed)
					if err != nil {
						return nil, err
					}
					done, worst := 0.0, 0.0
					figures := []string{}
					for _, name := range []string{"retail", "intraday", "bulk"} {
						c := m.classes[name]
						figures = append(figures, percent(c.Done, c.Sent))
						done += float64(c.Done)
						worst = max(worst, c.P99MS)
					}
					rate := done / length.Seconds()
					figures = append(figures, fmt.Sprintf("%.0f", rate), fmt.Sprintf("%.2f", rate/capacity), formatMS(worst))
					rows = append(rows, Row{fmt.Sprintf("%s, %gx", policy, load), figures})
				}
			}
			return rows, nil
		},
	}
}

// amplification measures attempts per request while two of 6 workers, then all, fail every
// request. A complete response that reports a failure counts as done.
func amplification() Experiment {
	return Experiment{
		Name:    "Tries per request while workers fail every request",
		Columns: []string{"tries per request", "done", "lower bound"},
		Run: func(ctx context.Context, seed uint64) (rows []Row, err error) {
			for _, c := range []struct {
				policy  string
				failing int
			}{{"budgeted", 2}, {"unbudgeted", 2}, {"budgeted", 6}, {"unbudgeted", 6}} {
				m, err := trial{
					topology: singleServiceTopology(6, Class{Name: "intraday", Weight: 1, Rate: 300, ServiceMS: 10, DeadlineMS: 2000, Availability: 99}),
					entries:  6, duration: 6 * time.Second,
					adjust: func(s *settings.Settings) { s.Policies.Retry = c.policy },
					prepare: func(f *Fixture) error {
						for i := range c.failing {
							if err := f.Workers.SetFaults(WorkerID("desk", i+1), worker.Faults{Fail: true}); err != nil {
								return err
							}
						}
						return nil
					},
				}.run(ctx, seed)
				if err != nil {
					return nil, err
				}
				s := m.classes["intraday"]
				rows = append(rows, Row{fmt.Sprintf("%s, %d of 6 workers fail", c.policy, c.failing), []string{
					fmt.Sprintf("%.3f", float64(m.workers.Requests)/float64(s.Sent)), percent(s.Done, s.Sent), "1",
				}})
			}
			return rows, nil
		},
	}
}

// slowWorker measures latency while one of 6 workers takes 500 ms longer.
func slowWorker() Experiment {
	return Experiment{
		Name:    "One of six workers is 500 ms slower (600 a second of 10 ms)",
		Columns: []string{"p50 ms", "p99 ms", "done"},
		Run: func(ctx context.Context, seed uint64) (rows []Row, err error) {
			for _, c := range []struct {
				name, policy string
				slowMS       int
			}{{"none slow (ideal)", "least-loaded", 0}, {"least-loaded", "least-loaded", 500}, {"random", "random", 500}} {
				m, err := trial{
					topology: singleServiceTopology(6, Class{Name: "intraday", Weight: 1, Rate: 600, ServiceMS: 10, DeadlineMS: 2000, Availability: 99}),
					entries:  6, duration: 6 * time.Second,
					adjust: func(s *settings.Settings) { s.Policies.Pick = c.policy },
					prepare: func(f *Fixture) error {
						return f.Workers.SetFaults(WorkerID("desk", 1), worker.Faults{SlowMS: c.slowMS})
					},
				}.run(ctx, seed)
				if err != nil {
					return nil, err
				}
				s := m.classes["intraday"]
				rows = append(rows, Row{c.name, []string{formatMS(s.P50MS), formatMS(s.P99MS), percent(s.Done, s.Sent)}})
			}
			return rows, nil
		},
	}
}

// daemonEnd measures keyed requests while one of 6 entry daemons is stopped or killed.
func daemonEnd() Experiment {
	return Experiment{
		Name:    "Keyed requests when one of six entry daemons ends",
		Columns: []string{"sent", "done", "did not run", "may have run", "no answer", "p99 ms", "max ms"},
		Run: func(ctx context.Context, seed uint64) (rows []Row, err error) {
			for _, c := range []struct {
				name string
				end  func(*Fixture)
			}{
				{"none ends", func(*Fixture) {}},
				{"stopped gracefully", func(f *Fixture) { f.Daemons[0].Stop() }},
				{"killed", func(f *Fixture) { f.Daemons[0].Kill() }},
			} {
				m, err := trial{
					topology: singleServiceTopology(6, Class{Name: "retail", Weight: 1, Rate: 400, ServiceMS: 10, DeadlineMS: 2000, Keyed: true, Availability: 99}),
					entries:  6, duration: 12 * time.Second, resend: 0.1,
					during: func(f *Fixture) {
						time.Sleep(2 * time.Second)
						c.end(f)
					},
				}.run(ctx, seed)
				if err != nil {
					return nil, err
				}
				s := m.classes["retail"]
				rows = append(rows, Row{c.name, []string{
					fmt.Sprint(s.Sent), percent(s.Done, s.Sent), percent(s.NotRun, s.Sent), percent(s.MayHaveRun, s.Sent), percent(s.Unanswered, s.Sent), formatMS(s.P99MS), formatMS(s.MaxMS),
				}})
			}
			return rows, nil
		},
	}
}

// slotShares measures the wait when all requests enter through one of six daemons, whose own
// share is a sixth of the slots. The baseline is a single daemon that has all slots.
func slotShares() Experiment {
	return Experiment{
		Name:    "Wait caused by slot shares: all requests through one daemon (6 workers, 800 a second of 1200)",
		Columns: []string{"p50 ms", "p99 ms", "done", "wait over the ideal p99"},
		Run: func(ctx context.Context, seed uint64) (rows []Row, err error) {
			ideal := 0.0
			for _, c := range []struct {
				name    string
				entries int
				loans   string
			}{{"one daemon (ideal)", 1, "on"}, {"six, idle shares lent", 6, "on"}, {"six, no loans", 6, "off"}} {
				m, err := trial{
					topology: singleServiceTopology(6, Class{Name: "retail", Weight: 1, Rate: 800, ServiceMS: 40, DeadlineMS: 4000, Availability: 99}),
					entries:  c.entries, duration: 6 * time.Second, singleEntry: true,
					adjust: func(s *settings.Settings) { s.Policies.Loans = c.loans },
				}.run(ctx, seed)
				if err != nil {
					return nil, err
				}
				s := m.classes["retail"]
				if ideal == 0 {
					ideal = s.P99MS
				}
				rows = append(rows, Row{c.name, []string{formatMS(s.P50MS), formatMS(s.P99MS), percent(s.Done, s.Sent), fmt.Sprintf("%.2fx", s.P99MS/ideal)}})
			}
			return rows, nil
		},
	}
}
