package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/postmount/postmount/verdict"
)

// statusCommand adds "status", which prints the status of one daemon.
func statusCommand(app *kingpin.Application, runners map[string]runner) {
	cmd := app.Command("status", "Print the status of an entry daemon and its membership view.")
	runners[cmd.FullCommand()] = func(ctx context.Context, o *options) int {
		s, err := o.client().Status(ctx)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitStatus(verdict.Of(err))
		}
		if o.output == "json" {
			printJSON(s)
			return exitDone
		}
		printTable([]string{"field", "value"}, [][]string{
			{"entry", s.Entry + " in zone " + s.Zone},
			{"version", s.Version},
			{"view", fmt.Sprintf("epoch %d: %s", s.Epoch, strings.Join(s.Members, ", "))},
			{"serving", strconv.FormatBool(s.Serving) + " " + s.Reason},
			{"store", upOrDown(s.StoreUp) + ", revision " + strconv.FormatInt(s.Revision, 10)},
			{"instances", fmt.Sprintf("%d, listed at %s", s.Instances, s.ListedAt.Format("15:04:05"))},
			{"requests in flight", strconv.FormatInt(s.InFlight, 10)},
			{"claims", fmt.Sprintf("%d, answers of %d bytes", s.Claims, s.ClaimBytes)},
			{"slots settled", strconv.FormatBool(s.SlotsSettled)},
			{"store calls", fmt.Sprintf("%d reads, %d writes, %d watches, %d conflicts", s.StoreReads, s.StoreWrites, s.StoreWatches, s.Conflicts)},
		})
		return exitDone
	}
}

func upOrDown(b bool) string {
	if b {
		return "up"
	}
	return "down"
}
