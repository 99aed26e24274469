package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"go.uber.org/zap"

	"github.com/postmount/postmount/jobs/node"
	"github.com/postmount/postmount/platform"
	"github.com/postmount/postmount/telemetry"
)

// Memory of the process.
const (
	// memoryShare of the process' limit is what the runtime aims to stay under.
	memoryShare = 0.6
	// gcPercent lets the heap grow threefold between collections: the heap is
	// some megabytes, and processor time is dearer.
	gcPercent = 300
)

// runOnPlatform serves jobs on the users' platform.
func runOnPlatform(checkOnly bool) int {
	set, err := platform.LoadSettings()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if checkOnly {
		fmt.Println("the settings are valid")
		return 0
	}
	debug.SetGCPercent(gcPercent)
	if set.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(set.MemoryMB) * memoryShare * (1 << 20)))
	}
	lines := telemetry.NewAsyncWriter(os.Stdout)
	defer lines.Close()
	log, err := telemetry.NewLogger("info", "json", lines)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	m := telemetry.NewMetrics()
	defer m.Close()
	left := m.Scope.Counter("log_lines_left_out")
	log = telemetry.Bounded(log, func() { left.Inc(1) })
	n := node.New(set, platform.New(set), log, node.NewMetrics(m.Scope, m.Handler))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go logReloads(log)
	if err := n.Run(ctx); err != nil {
		log.Error("failed", zap.Error(err))
		return exitFailed
	}
	return 0
}

// logReloads notes each SIGHUP: what the settings hold of a running daemon does
// not change, and the operators' configuration comes from the store.
func logReloads(log *zap.Logger) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	for range hup {
		if _, err := platform.LoadSettings(); err != nil {
			log.Error("settings-invalid", zap.Error(err))
			continue
		}
		log.Info("reload", zap.String("outcome", "the settings are valid, nothing in them changes a running daemon"))
	}
}
