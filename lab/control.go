package lab

import (
	"context"
	"fmt"
	"io"
	"syscall"
	"time"

	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/requests/settings"
	"github.com/postmount/postmount/standin/platform"
)

// ControlExperiments returns the experiments on the control path.
func ControlExperiments() []Experiment { return []Experiment{controlCost(), rollOut(), waveWeights()} }

// newReadyFixture starts a fixture with n daemons, waits until they are ready and executes the
// topology's statements.
func newReadyFixture(ctx context.Context, t Topology, n int, adjust func(*settings.Settings)) (*Fixture, error) {
	f, err := NewFixture(t, n, adjust, io.Discard)
	if err != nil {
		return nil, err
	}
	wait, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err = f.WaitReady(wait); err == nil {
		err = f.Exec(ctx, t.Statements())
	}
	if err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// processCPUTime returns the CPU time that the process has used, 0 if it can't be read.
func processCPUTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// usage holds cumulative counts at a time: the store calls and bytes of all daemons' control work,
// and the CPU time of the process.
type usage struct {
	reads, writes, bytes int64
	cpu                  time.Duration
	at                   time.Time
}

func (f *Fixture) usage() usage {
	u := usage{cpu: processCPUTime(), at: time.Now()}
	for _, d := range f.Daemons {
		s := d.Status()
		u.reads += s.StoreReads
		u.writes += s.StoreWrites
		u.bytes += s.ControlBytes
	}
	return u
}

// perDaemon formats what each of n daemons used on average between two times: store reads and
// writes per hour, kB per second, and the share of a core. The CPU time includes the stand-ins,
// which run in the same process.
func perDaemon(before, after usage, n int) []string {
	seconds := after.at.Sub(before.at).Seconds() * float64(n)
	return []string{
		fmt.Sprintf("%.0f", 3600*float64(after.reads-before.reads)/seconds),
		fmt.Sprintf("%.0f", 3600*float64(after.writes-before.writes)/seconds),
		fmt.Sprintf("%.2f", float64(after.bytes-before.bytes)/seconds/1000),
		fmt.Sprintf("%.2f%%", 100*(after.cpu-before.cpu).Seconds()/seconds),
	}
}

// controlCost measures six daemons that control 50 workers, idle and during a wave, without
// traffic.
func controlCost() Experiment {
	return Experiment{
		Name:    "Control of 50 workers by six daemons, per daemon, without traffic",
		Columns: []string{"store reads an hour", "store writes an hour", "KB a second", "of a core (stand-ins included)"},
		Run: func(ctx context.Context, _ uint64) ([]Row, error) {
			const daemons = 6
			f, err := newReadyFixture(ctx, OrderDesks(), daemons, nil)
			if err != nil {
				return nil, err
			}
			defer f.Close()
			time.Sleep(3 * time.Second)
			idle := f.usage()
			time.Sleep(10 * time.Second)
			end := f.usage()
			rows := []Row{{"idle", perDaemon(idle, end, daemons)}}
			if err := f.Exec(ctx, "start wave w on all pools"); err != nil {
				return nil, err
			}
			if _, err := f.waitForWave(ctx, "w", time.Minute); err != nil {
				return nil, err
			}
			return append(rows, Row{"during a wave", perDaemon(end, f.usage(), daemons)}), nil
		},
	}
}

// waitForWave waits until a wave has ended and returns its duration. It resumes a halted wave
// immediately, as an operator would after checking it.
func (f *Fixture) waitForWave(ctx context.Context, name string, timeout time.Duration) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		for w, v := range f.Daemons[0].Snapshot().State.Waves {
			switch {
			case string(w) != name:
			case !v.Value.EndedAt.IsZero():
				return v.Value.EndedAt.Sub(v.Value.StartedAt), nil
			case v.Value.State == fleet.WaveHalted:
				_ = f.Exec(ctx, "resume wave "+name)
			}
		}
		select {
		case <-ctx.Done():
			return 0, fmt.Errorf("wave %s did not end: %w", name, ctx.Err())
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// rollOut measures a wave over the order desks: as wide as the budgets allow and one instance
// per pool at a time, with reboots of 0.4 s and 2 s, and with a tenth of the instances never
// coming back from a reboot.
func rollOut() Experiment {
	return Experiment{
		Name:    "Roll-out time of a wave over 50 workers in 5 pools, budget 2 a pool",
		Columns: []string{"seconds", "lower bound", "ratio", "finished", "given up"},
		Run: func(ctx context.Context, _ uint64) (rows []Row, err error) {
			for _, c := range []struct {
				name        string
				width       int
				rebootMS    int
				neverReturn []string
			}{
				{"as wide as the budgets, reboot 0.4 s", 0, 400, nil},
				{"one at a time, reboot 0.4 s", 1, 400, nil},
				{"as wide as the budgets, reboot 2 s", 0, 2000, nil},
				{"one at a time, reboot 2 s", 1, 2000, nil},
				{"as wide as the budgets, reboot 2 s, 1 of each pool never returns", 0, 2000, []string{"tidewater-01", "harbour-01", "northgate-01", "meridian-01", "settlement-01"}},
			} {
				row, err := rollOutOnce(ctx, c.width, c.rebootMS, c.neverReturn)
				if err != nil {
					return nil, fmt.Errorf("%s: %w", c.name, err)
				}
				rows = append(rows, Row{c.name, row})
			}
			return rows, nil
		},
	}
}

// rollOutOnce measures one case of rollOut. width 0 means as wide as the budgets allow.
func rollOutOnce(ctx context.Context, width, rebootMS int, neverReturn []string) ([]string, error) {
	f, err := newReadyFixture(ctx, OrderDesks(), 6, func(s *settings.Settings) {
		s.Control.WaveMaxConcurrent = width
		s.Control.RebootTimeout = settings.Duration(3 * time.Second)
	})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	faults := platform.DefaultFaults
	faults.RebootMS = rebootMS
	faults.NeverReturn = neverReturn
	f.Platform.SetFaults(faults)
	if err := f.Exec(ctx, "start wave w on all pools"); err != nil {
		return nil, err
	}
	took, err := f.waitForWave(ctx, "w", 90*time.Second)
	if err != nil {
		return nil, err
	}
	const largestPool, budget = 12, 2
	bound := time.Duration(largestPool/budget*rebootMS) * time.Millisecond
	w := f.Daemons[0].Snapshot().State.Waves["w"].Value
	return []string{
		fmt.Sprintf("%.1f", took.Seconds()), fmt.Sprintf("%.1f", bound.Seconds()), fmt.Sprintf("%.2f", took.Seconds()/bound.Seconds()),
		fmt.Sprint(w.Finished), fmt.Sprint(w.Failed),
	}, nil
}

// waveWeights measures the same wave under the weights of both users. It reports the roll-out time
// and the mean number of instances that are out of service during the wave.
func waveWeights() Experiment {
	return Experiment{
		Name:    "A wave under both users' weights, 50 workers in 5 pools, budget 4 a pool, reboot 1 s",
		Columns: []string{"roll-out seconds", "over the bound", "instances out on average", "over those of one a pool"},
		Run: func(ctx context.Context, _ uint64) (rows []Row, err error) {
			for _, c := range []struct{ name, set string }{
				{"order desks (3, 1, 1)", "set weights rollout 3 buffer 1 moves 1"},
				{"alumni hub (1, 3, 1)", "set weights rollout 1 buffer 3 moves 1"},
			} {
				row, err := waveWithWeights(ctx, c.set)
				if err != nil {
					return nil, err
				}
				rows = append(rows, Row{c.name, row})
			}
			return rows, nil
		},
	}
}

func waveWithWeights(ctx context.Context, set string) ([]string, error) {
	f, err := newReadyFixture(ctx, OrderDesks(), 6, nil)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	faults := platform.DefaultFaults
	faults.RebootMS = 1000
	f.Platform.SetFaults(faults)
	for _, s := range f.Topology.Services {
		set += "; set budget " + s.Name + " max-unavailable 4"
	}
	if err := f.Exec(ctx, set+"; start wave w on all pools"); err != nil {
		return nil, err
	}
	out := make(chan float64, 1)
	sampling, stop := context.WithCancel(ctx)
	go func() { out <- f.meanOutOfService(sampling) }()
	took, err := f.waitForWave(ctx, "w", time.Minute)
	stop()
	if err != nil {
		return nil, err
	}
	const bound, pools = 3.0, 5.0 // 12 instances, 4 at the same time, 1 s each
	mean := <-out
	return []string{fmt.Sprintf("%.1f", took.Seconds()), fmt.Sprintf("%.2f", took.Seconds()/bound), fmt.Sprintf("%.1f", mean), fmt.Sprintf("%.2f", mean/pools)}, nil
}

// meanOutOfService returns the mean number of instances out of service until ctx ends.
func (f *Fixture) meanOutOfService(ctx context.Context) float64 {
	t := time.NewTicker(sampleInterval)
	defer t.Stop()
	sum, samples := 0, 0
	for {
		select {
		case <-ctx.Done():
			return float64(sum) / float64(max(samples, 1))
		case <-t.C:
			samples++
			for _, state := range f.Platform.States() {
				if state != string(fleet.InstanceReady) {
					sum++
				}
			}
		}
	}
}
