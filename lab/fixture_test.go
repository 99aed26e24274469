package lab

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestWholePath sends load through daemons over real connections and checks every response. It
// doesn't check latency, which depends on the machine.
func TestWholePath(t *testing.T) {
	f, err := NewFixture(OrderDesks(), 3, nil, io.Discard)
	require.NoError(t, err)
	defer f.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	require.NoError(t, f.WaitReady(ctx))
	require.NoError(t, f.Exec(ctx, f.Topology.Statements()))
	load := NewLoad(LoadOptions{Topology: f.Topology, Entries: f.TrafficAddrs(), Ready: f.HealthCheck(), Scale: 1, Resend: 0.1, Seed: 1})
	lctx, lcancel := context.WithTimeout(ctx, time.Second)
	defer lcancel()
	load.Run(lctx)
	for _, s := range load.Summaries() {
		require.Zero(t, s.Truncated+s.WrongRequest+s.ResendMismatches, "%+v", s)
	}
	require.Empty(t, load.CheckExecutions(f.Workers.RunCount))
}
