package lab

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/standin/store"
	"github.com/postmount/postmount/standin/worker"
	"github.com/postmount/postmount/verdict"
)

// DemoOptions are the parameters of a demo.
type DemoOptions struct {
	Topology Topology
	Entries  int
	Seed     uint64
	Duration time.Duration // how long the load lasts
	Progress io.Writer
	Logs     io.Writer // nil drops the daemons' logs
}

// Report is the result of a demo.
type Report struct {
	Classes []Summary     `json:"classes"`
	Pools   []PoolReport  `json:"pools"`
	Workers worker.Report `json:"workers"`
	Wave    WaveReport    `json:"wave"`
	// InstanceMoves counts the instances moved between pools; JobMoves counts the attempts of jobs
	// beyond the first.
	InstanceMoves int `json:"instance_moves"`
	JobMoves      int `json:"job_moves"`
	Jobs          int `json:"jobs"`
	JobsDone      int `json:"jobs_done"`
	// BufferShare is the mean share of worker slots on instances that were out of service;
	// IdealBuffer is the share that the budgets allow to be out.
	BufferShare float64 `json:"buffer_share"`
	IdealBuffer float64 `json:"ideal_buffer"`
	// InForceMillis holds, for each change by an operator, the time from its recording until
	// all daemons applied it.
	InForceMillis []int64 `json:"in_force_ms"`
	// Violations lists the violated guarantees.
	Violations  []string `json:"broken"`
	TookSeconds float64  `json:"took_seconds"`
}

// PoolReport is the availability of a pool during the demo; Allowed and MaxOut are numbers of
// instances out of service.
type PoolReport struct {
	Pool              string `json:"pool"`
	Size              int    `json:"size"`
	Allowed           int    `json:"allowed_out"`
	MaxOut            int    `json:"most_out"`
	Samples           int    `json:"samples"`
	SamplesOverBudget int    `json:"broken_samples"`
}

// WaveReport compares a wave's roll-out time with its lower bound.
type WaveReport struct {
	Instances    int     `json:"instances"`
	Seconds      float64 `json:"seconds"`
	BoundSeconds float64 `json:"bound_seconds"`
	Done         bool    `json:"done"`
}

// demo is the state of a running demo.
type demo struct {
	options DemoOptions
	fixture *Fixture
	start   time.Time
	report  Report
	mu      sync.Mutex
	pools   map[fleet.PoolName]*PoolReport
	sample  struct {
		n           int     // number of samples
		outSlots    float64 // slots out of service, summed over the samples
		budgetSlots float64 // slots that the budgets allow to be out, summed over the samples
	}
}

// Demo runs daemons under load while the operator's changes and the faults of demo.steps overlap:
// jobs, a wave over every pool, an instance move, a budget change, a graceful stop, a store outage,
// a kill and a daemon start.
func Demo(ctx context.Context, o DemoOptions) (*Report, error) {
	logs := o.Logs
	if logs == nil {
		logs = io.Discard
	}
	d := &demo{options: o, start: time.Now(), pools: map[fleet.PoolName]*PoolReport{}}
	f, err := NewFixture(o.Topology, o.Entries, nil, logs)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	d.fixture = f
	if err := d.setUp(ctx); err != nil {
		return nil, err
	}
	if err := d.run(ctx); err != nil {
		return nil, err
	}
	d.buildReport()
	return &d.report, nil
}

func (d *demo) progressf(format string, args ...any) {
	fmt.Fprintf(d.options.Progress, "%5.1fs  %s\n", time.Since(d.start).Seconds(), fmt.Sprintf(format, args...))
}

const readyTimeout = 15 * time.Second

func (d *demo) setUp(ctx context.Context) error {
	wait, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := d.fixture.WaitReady(wait); err != nil {
		return err
	}
	d.progressf("%d entry daemons agree on a view", d.options.Entries)
	if err := d.exec(ctx, d.options.Topology.Statements()); err != nil {
		return err
	}
	d.progressf("%d pools with %d workers are in force", len(d.options.Topology.Services), len(d.options.Topology.Workers()))
	return nil
}

// exec executes statements and records the time until each was in force.
func (d *demo) exec(ctx context.Context, text string) error {
	a, err := d.fixture.Client().Exec(ctx, text)
	if err != nil {
		return err
	}
	for _, r := range a.Results {
		if r.Verdict != verdict.Done {
			return fmt.Errorf("statement %d: %s: %s", r.Statement, r.Verdict, r.Message)
		}
		if r.Table == nil {
			d.report.InForceMillis = append(d.report.InForceMillis, r.InForceMillis)
		}
	}
	return nil
}

// step is an action of the demo; at is its time as a share of the demo's length.
type step struct {
	at          float64
	description string
	do          func(ctx context.Context) error
}

func (d *demo) steps() []step {
	pools := d.options.Topology.Services
	first, second := pools[0].Name, pools[1].Name
	return []step{
		{0.06, "jobs are submitted", func(ctx context.Context) error { return d.exec(ctx, d.jobStatements()) }},
		{0.12, "a wave starts on every pool", func(ctx context.Context) error { return d.exec(ctx, "start wave demo on all pools") }},
		{0.25, "an instance moves from " + first + " to " + second, func(ctx context.Context) error { return d.move(ctx, first, second) }},
		{0.30, "pool " + second + " gets a wider budget", func(ctx context.Context) error {
			return d.exec(ctx, "set budget "+second+" max-unavailable 3")
		}},
		{0.38, "an entry daemon is stopped gracefully", func(context.Context) error {
			d.fixture.Daemons[0].Stop()
			return nil
		}},
		{0.50, "the store goes down", func(context.Context) error { d.fixture.Store.SetFaults(store.Faults{Down: true}); return nil }},
		{0.56, "an entry daemon is killed", func(context.Context) error { d.fixture.Daemons[1].Kill(); return nil }},
		{0.66, "the store is back, and loses the answers of its next 5 writes", func(context.Context) error {
			d.fixture.Store.SetFaults(store.Faults{LoseAnswers: 5})
			return nil
		}},
		{0.74, "a fresh entry daemon starts", func(ctx context.Context) error {
			_, err := d.fixture.StartDaemon(d.options.Entries + 1)
			return err
		}},
	}
}

// jobStatements returns statements that submit a normal and an urgent job to every pool.
func (d *demo) jobStatements() string {
	var b strings.Builder
	for _, s := range d.options.Topology.Services {
		fmt.Fprintf(&b, "submit job rebuild to pool %s count 4 cpu 4 memory 16GB run 6s;\n", s.Name)
		fmt.Fprintf(&b, "submit job urgent to pool %s cpu 2 memory 4GB run 2s urgent;\n", s.Name)
	}
	return b.String()
}

// move moves the last instance of a pool; the move waits until the budget allows it.
func (d *demo) move(ctx context.Context, from, to string) error {
	d.report.InstanceMoves++
	return d.exec(ctx, fmt.Sprintf("move instance %s to pool %s", WorkerID(from, d.options.Topology.Services[0].Workers), to))
}

func (d *demo) run(ctx context.Context) error {
	loadCtx, cancel := context.WithTimeout(ctx, d.options.Duration)
	defer cancel()
	load := NewLoad(LoadOptions{
		Topology: d.options.Topology, Entries: d.fixture.TrafficAddrs(), Ready: d.fixture.HealthCheck(), Scale: 1, Resend: 0.1, Seed: d.options.Seed,
	})
	var wg sync.WaitGroup
	wg.Add(2)
	go func() {
		defer wg.Done()
		load.Run(loadCtx)
	}()
	sampling, stopSampling := context.WithCancel(ctx)
	go func() {
		defer wg.Done()
		d.sampleLoop(sampling)
	}()
	d.progressf("load starts")
	started := time.Now()
	err := d.runSteps(loadCtx, started)
	if err == nil {
		d.waitWave(ctx)
	}
	<-loadCtx.Done()
	stopSampling()
	wg.Wait()
	d.report.Classes = load.Summaries()
	d.report.Violations = append(d.report.Violations, load.CheckExecutions(d.fixture.Workers.RunCount)...)
	return err
}

// runSteps runs the steps when they are due.
func (d *demo) runSteps(ctx context.Context, started time.Time) error {
	for _, s := range d.steps() {
		due := started.Add(time.Duration(s.at * float64(d.options.Duration)))
		select {
		case <-time.After(time.Until(due)):
		case <-ctx.Done():
			return ctx.Err()
		}
		d.progressf("%s", s.description)
		if err := s.do(ctx); err != nil {
			return fmt.Errorf("%s: %w", s.description, err)
		}
	}
	return nil
}

// waveTimeout bounds the wait for the end of the wave.
const waveTimeout = 15 * time.Second

// waitWave waits until the wave has ended, at most for waveTimeout.
func (d *demo) waitWave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, waveTimeout)
	defer cancel()
	for {
		if w := d.wave(); w != nil && w.State == fleet.WaveDone {
			d.progressf("the wave has ended")
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// runningDaemon returns the first daemon that has not ended.
func (d *demo) runningDaemon() *RunningDaemon {
	i := slices.IndexFunc(d.fixture.Daemons, func(r *RunningDaemon) bool { return !r.Ended() })
	return d.fixture.Daemons[i]
}

func (d *demo) wave() *fleet.Wave {
	v, ok := d.runningDaemon().Snapshot().State.Waves["demo"]
	if !ok {
		return nil
	}
	return v.Value
}

// sampleInterval is the time between two samples of the pools' actual state.
const sampleInterval = 25 * time.Millisecond

func (d *demo) sampleLoop(ctx context.Context) {
	t := time.NewTicker(sampleInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			d.takeSample()
		}
	}
}

// takeSample compares the number of each pool's instances that are actually out of service
// with its budget.
func (d *demo) takeSample() {
	s := d.runningDaemon().Snapshot().State
	actual := d.fixture.Platform.States()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sample.n++
	for name, v := range s.Pools {
		r := d.pools[name]
		if r == nil {
			r = &PoolReport{Pool: string(name)}
			d.pools[name] = r
		}
		size, out := 0, 0
		for _, m := range s.MembersOf(name) {
			if m.Joining {
				continue
			}
			size++
			if actual[string(m.Instance)] != string(fleet.InstanceReady) {
				out++
			}
		}
		r.Size, r.Allowed = size, v.Value.Budget.Allowed(size)
		r.MaxOut = max(r.MaxOut, out)
		r.Samples++
		if out > r.Allowed {
			r.SamplesOverBudget++
		}
		d.sample.outSlots += float64(out * workerSlots)
		d.sample.budgetSlots += float64(r.Allowed * workerSlots)
	}
}
