package mirror

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/postmount/postmount/internal/sleep"
	"github.com/postmount/postmount/requests/port"
	"github.com/postmount/postmount/requests/record"
	"github.com/postmount/postmount/verdict"
)

// Syncer keeps a mirror up to date from the store with one listing and one watch,
// whatever the number of pools.
type Syncer struct {
	Mirror *Mirror
	Store  port.Store
	Rand   *rand.Rand
	// Connected is true while the watch is known to be alive.
	Connected atomic.Bool
	// OnConnectionChange is called at each change of Connected; may be nil.
	OnConnectionChange func(connected bool, err error)
	// Listings counts the listings of all records.
	Listings atomic.Int64
}

// Pauses between attempts to reach the store. They double from minRetryPause to
// maxRetryPause, with jitter of up to half, so that the daemons of a fleet that
// was cut off do not all reconnect at the same time.
const (
	minRetryPause = 200 * time.Millisecond
	maxRetryPause = 5 * time.Second
)

// Run updates the mirror until ctx ends.
func (f *Syncer) Run(ctx context.Context) {
	pause := minRetryPause
	relist := true
	for ctx.Err() == nil {
		err := f.listAndWatch(ctx, &relist, &pause)
		f.setConnected(false, err)
		if verdict.CodeOf(err) == port.CodeStoreCompacted {
			relist = true
		}
		if !sleep.For(ctx, jitter(f.Rand, pause)) {
			return
		}
		pause = min(2*pause, maxRetryPause)
	}
}

// listAndWatch lists all records if relist is set, then watches until the stream
// breaks.
func (f *Syncer) listAndWatch(ctx context.Context, relist *bool, pause *time.Duration) error {
	if *relist {
		l, err := f.Store.List(ctx, record.Root)
		if err != nil {
			return err
		}
		f.Listings.Add(1)
		f.Mirror.Replace(l)
		*relist = false
	}
	return f.Store.Watch(ctx, record.Root, f.Mirror.State().Revision, func(events []port.Event) {
		*pause = minRetryPause
		f.setConnected(true, nil)
		if len(events) > 0 {
			f.Mirror.Apply(events, events[len(events)-1].Revision)
		}
	})
}

func (f *Syncer) setConnected(up bool, err error) {
	if f.Connected.Swap(up) != up && f.OnConnectionChange != nil {
		f.OnConnectionChange(up, err)
	}
}

func jitter(r *rand.Rand, d time.Duration) time.Duration {
	return d/2 + time.Duration(r.Int64N(int64(d/2)+1))
}
