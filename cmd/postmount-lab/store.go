package main

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/postmount/postmount/standin/store"
)

// storeCommand adds "store", the stand-in for the platform's key-value store.
func storeCommand(app *kingpin.Application, runners map[string]runner) {
	cmd := app.Command("store", "Stand-in for the platform's key-value service (etcd v3 JSON gateway).")
	listen := cmd.Flag("listen", "Listen address.").Default("127.0.0.1:7100").String()
	down := cmd.Flag("down", "Refuse every call from the start.").Bool()
	delay := cmd.Flag("delay-ms", "Delay of every call, in milliseconds.").Int()
	reads := cmd.Flag("reads-per-second", "Limit of reads per second, 0 for none.").Default("2000").Int()
	writes := cmd.Flag("writes-per-second", "Limit of writes per second, 0 for none.").Default("400").Int()
	lose := cmd.Flag("lose-answers", "Number of writes whose responses are lost after they took effect.").Int()
	runners[cmd.FullCommand()] = func(ctx context.Context) error {
		s := store.NewServer()
		defer s.Close()
		s.SetFaults(store.Faults{Down: *down, DelayMillis: *delay, ReadsPerSecond: *reads, WritesPerSecond: *writes, LoseAnswers: *lose})
		return serve(ctx, *listen, s)
	}
}
