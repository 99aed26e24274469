package main

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/pelletier/go-toml/v2"
	"go.uber.org/zap"

	"github.com/postmount/postmount/internal/startsignals"
	"github.com/postmount/postmount/jobs/node"
	"github.com/postmount/postmount/jobs/owner"
	"github.com/postmount/postmount/jobs/policy"
	"github.com/postmount/postmount/platform"
	"github.com/postmount/postmount/telemetry"
)

// Memory settings of the Go runtime.
const (
	// memoryLimitShare is the fraction of the process's memory limit that becomes the
	// runtime's soft limit.
	memoryLimitShare = 0.6
	// gcPercent lets the heap grow by 300% between collections: the heap takes only
	// a few megabytes, and saving CPU time matters more than saving memory.
	gcPercent = 300
)

// loadSettings reads the platform's settings and the policies in policyFile, or the
// default policies if policyFile is empty. With checkOnly and no settings file of the
// platform it reads the policies alone.
func loadSettings(policyFile string, checkOnly bool) (set node.Settings, err error) {
	policies := policy.Default()
	if policyFile != "" {
		if policies, err = policy.Load(policyFile); err != nil {
			return set, err
		}
	}
	if checkOnly && !platform.HasSettings() {
		return node.Settings{Policy: policies}, nil
	}
	set, err = platform.LoadSettings()
	set.Policy = policies
	return set, err
}

// runOnPlatform serves jobs on the users' platform until ctx ends and returns the exit status.
func runOnPlatform(ctx context.Context, policyFile string, checkOnly bool) int {
	set, err := loadSettings(policyFile, checkOnly)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if checkOnly {
		return printPolicies(set)
	}
	debug.SetGCPercent(gcPercent)
	if set.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(set.MemoryMB) * memoryLimitShare * (1 << 20)))
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
	dropped := m.Scope.Counter("log_lines_left_out")
	log = telemetry.Sampled(log, owner.UnsampledEvents(), func() { dropped.Inc(1) })
	adapters, err := platform.New(set)
	if err != nil {
		log.Error("platform-setup-failed", zap.Error(err))
		return exitFailed
	}
	n := node.New(set, adapters, log, node.NewMetrics(m.Scope, m.Handler))
	go checkSettingsOnSIGHUP(log, startsignals.Reload())
	if err := n.Run(ctx); err != nil {
		log.Error("daemon-failed", zap.Error(err))
		return exitFailed
	}
	return 0
}

// printPolicies prints the policies in effect, defaults included.
func printPolicies(set node.Settings) int {
	if err := toml.NewEncoder(os.Stdout).Encode(set.Policy); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return 0
}

// checkSettingsOnSIGHUP checks the settings file at each SIGHUP and logs the result.
// It applies nothing: settings are read only at start, and the operators'
// configuration comes from the store.
func checkSettingsOnSIGHUP(log *zap.Logger, reload <-chan os.Signal) {
	for range reload {
		if _, err := platform.LoadSettings(); err != nil {
			log.Error("settings-invalid", zap.Error(err))
			continue
		}
		log.Info("reload", zap.String("outcome", "the settings are valid; they apply only after a restart"))
	}
}
