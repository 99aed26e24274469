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

// Syncer keeps a mirror up to date from the store with one listing and one watch of
// all records, whatever the number of pools.
type Syncer struct {
	Mirror *Mirror
	Store  port.Store
	Rand   *rand.Rand
	// Connected is true while the watch is known to be alive.
	Connected atomic.Bool
	// OnConnectionChange is called at each change of Connected, with the error that
	// ended the connection. It may be nil.
	OnConnectionChange func(connected bool, err error)
	// Listings counts the listings of all records.
	Listings atomic.Int64
}

// Pauses between attempts to reach the store. They double from minRetryPause to
// maxRetryPause, and up to half of each is random, so that the daemons of a fleet that
// was cut off do not all reconnect at the same time.
const (
	minRetryPause = 200 * time.Millisecond
	maxRetryPause = 5 * time.Second
)

// Run updates the mirror until ctx ends. After a lost connection it resumes the watch
// at the mirror's revision; it lists all records again only if the store has compacted
// that revision.
func (s *Syncer) Run(ctx context.Context) {
	pause := minRetryPause
	relist := true
	for ctx.Err() == nil {
		err := s.listAndWatch(ctx, &relist, &pause)
		s.setConnected(false, err)
		if verdict.CodeOf(err) == port.CodeStoreCompacted {
			relist = true
		}
		if !sleep.For(ctx, jitter(s.Rand, pause)) {
			return
		}
		pause = min(2*pause, maxRetryPause)
	}
}

// listAndWatch lists all records if relist is set, then watches until the stream
// breaks. It clears relist after a listing and resets pause when the watch delivers.
func (s *Syncer) listAndWatch(ctx context.Context, relist *bool, pause *time.Duration) error {
	if *relist {
		l, err := s.Store.List(ctx, record.Root)
		if err != nil {
			return err
		}
		s.Listings.Add(1)
		s.Mirror.Replace(l)
		*relist = false
	}
	return s.Store.Watch(ctx, record.Root, s.Mirror.State().Revision, func(events []port.Event) {
		*pause = minRetryPause
		s.setConnected(true, nil)
		if len(events) > 0 {
			s.Mirror.Apply(events, events[len(events)-1].Revision)
		}
	})
}

func (s *Syncer) setConnected(connected bool, err error) {
	if s.Connected.Swap(connected) != connected && s.OnConnectionChange != nil {
		s.OnConnectionChange(connected, err)
	}
}

// jitter returns a random duration between d/2 and d.
func jitter(r *rand.Rand, d time.Duration) time.Duration {
	return d/2 + time.Duration(r.Int64N(int64(d/2)+1))
}
