// Package startsignals receives the signals of a daemon while the program still starts. Initialising all its
// packages takes milliseconds, on a busy machine tens of them, and by default a signal ends the process then.
// The package imports little, so that it is initialised long before most others. With cgo, SIGHUP is ignored
// from before the Go runtime starts; the settings are read later than that anyway. A SIGTERM in the first
// one or two milliseconds still ends the process by the signal.
package startsignals

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

var (
	reload = notify(syscall.SIGHUP)
	stop   = notify(syscall.SIGTERM, syscall.SIGINT)
)

// notify returns a channel that receives the signals from now on. Of several that are not read yet it keeps one.
func notify(signals ...os.Signal) <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, signals...)
	return c
}

// Reload returns the channel that receives SIGHUP.
func Reload() <-chan os.Signal { return reload }

// Context returns a context that ends at the first SIGTERM or SIGINT since the program started. It is to be
// called once.
func Context() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-stop
		cancel()
	}()
	return ctx
}
