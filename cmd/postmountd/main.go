// Command postmountd is the entry daemon. All entry instances run the same
// program.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/postmount/postmount/internal/startsignals"
	"github.com/postmount/postmount/requests/daemon"
	"github.com/postmount/postmount/requests/settings"
)

// Exit statuses.
const (
	exitFailed   = 1
	exitSettings = 2 // the command line or the settings are invalid
)

func main() {
	app := kingpin.New("postmountd", "The postmount entry daemon.")
	app.Version(daemon.Version)
	app.HelpFlag.Short('h')
	file := app.Flag("settings", "Settings file (TOML).").String()
	onPlatform := app.Flag("platform", "Serve jobs on the users' platform, with the settings file that the platform provides.").Bool()
	policyFile := app.Flag("policy", "Scheduler policy file (TOML), for --platform.").String()
	check := app.Flag("check", "Check the settings and exit.").Bool()
	if _, err := app.Parse(os.Args[1:]); err != nil {
		fmt.Fprintf(os.Stderr, "postmountd: %v, try --help\n", err)
		os.Exit(exitSettings)
	}
	if *onPlatform {
		os.Exit(runOnPlatform(startsignals.Context(), *policyFile, *check))
	}
	if *file == "" {
		fmt.Fprintln(os.Stderr, "postmountd: --settings FILE or --platform is required, try --help")
		os.Exit(exitSettings)
	}
	os.Exit(run(startsignals.Context(), *file, *check))
}

// run serves with the settings in file until ctx ends, or only checks them, and returns the
// exit status.
func run(ctx context.Context, file string, checkOnly bool) int {
	set, err := settings.Load(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		var invalid *settings.InvalidFileError
		if errors.As(err, &invalid) || checkOnly || os.IsNotExist(err) {
			return exitSettings
		}
		return exitFailed
	}
	if checkOnly {
		fmt.Printf("%s: the settings are valid\n", file)
		return 0
	}
	d, err := daemon.New(set, os.Stderr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if err := d.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return 0
}
