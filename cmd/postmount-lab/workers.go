package main

import (
	"context"
	"fmt"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/postmount/postmount/lab"
	"github.com/postmount/postmount/standin/platform"
	"github.com/postmount/postmount/standin/worker"
)

// slowWorkerDelayMS is the additional delay of a worker given to --slow, in
// milliseconds.
const slowWorkerDelayMS = 500

// workersCommand adds "workers", the stand-in for a user's workers.
func workersCommand(app *kingpin.Application, runners map[string]runner) {
	cmd := app.Command("workers", "Stand-in for all workers of a user's fleet.")
	listen := cmd.Flag("listen", "Listen address of the control API.").Default("127.0.0.1:7300").String()
	platformAddr := cmd.Flag("platform", "Address of the platform stand-in to register with.").Default("127.0.0.1:7200").String()
	fleet := fleetFlag(cmd)
	fail := cmd.Flag("fail", "Worker that fails every request and task.").Strings()
	slow := cmd.Flag("slow", "Worker that is 500 ms slower.").Strings()
	hang := cmd.Flag("hang", "Worker that never answers.").Strings()
	cut := cmd.Flag("cut", "Worker that truncates its answers.").Strings()
	runners[cmd.FullCommand()] = func(ctx context.Context) error {
		t, err := lab.TopologyByName(*fleet)
		if err != nil {
			return err
		}
		f, err := worker.NewFleet(t.Workers())
		if err != nil {
			return err
		}
		defer f.Close()
		faults := map[string]worker.Faults{}
		for _, set := range []struct {
			ids    []string
			faults worker.Faults
		}{
			{*fail, worker.Faults{Fail: true}}, {*slow, worker.Faults{SlowMS: slowWorkerDelayMS}},
			{*hang, worker.Faults{Hang: true}}, {*cut, worker.Faults{TruncateAnswers: true}},
		} {
			for _, id := range set.ids {
				faults[id] = set.faults
			}
		}
		for id, workerFaults := range faults {
			if err := f.SetFaults(id, workerFaults); err != nil {
				return err
			}
		}
		go register(ctx, *platformAddr, f.Specs())
		return serve(ctx, *listen, f.Handler())
	}
}

// registerInterval is the pause between attempts to register the workers.
const registerInterval = 200 * time.Millisecond

// register registers the workers with the platform stand-in at addr. It retries until
// that succeeds or ctx ends.
func register(ctx context.Context, addr string, specs []worker.Spec) {
	for ctx.Err() == nil {
		if platform.RegisterWorkers(addr, specs) == nil {
			fmt.Println("registered", len(specs), "workers")
			return
		}
		time.Sleep(registerInterval)
	}
}
