package control

import (
	"slices"
	"sync"
	"time"

	"github.com/postmount/postmount/requests/budget"
	"github.com/postmount/postmount/requests/fleet"
)

// Sample is the state of a pool's availability budget from At until the next
// sample. Counts are in instances.
type Sample struct {
	At      time.Time
	Size    int // members of the pool without those that are joining
	Allowed int // maximum number out of service
	Out     int // out of service
}

// maxSamplesPerPool bounds the samples of one pool: a wave over 100 instances makes
// about 200. At 392 pools the history takes about 10 MB.
const maxSamplesPerPool = 512

// History holds the changes of each pool's availability that this daemon observed
// since its start. It is safe for concurrent use.
type History struct {
	mu    sync.Mutex
	pools map[fleet.PoolName][]Sample
}

func newHistory() *History { return &History{pools: map[fleet.PoolName][]Sample{}} }

// add records the status of a pool's budget if it differs from the last sample.
func (h *History) add(now time.Time, status budget.Status) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := Sample{At: now, Size: status.Size, Allowed: status.Allowed, Out: status.OutOfService()}
	old := h.pools[status.Pool]
	if n := len(old); n > 0 && old[n-1].Size == s.Size && old[n-1].Allowed == s.Allowed && old[n-1].Out == s.Out {
		return
	}
	if len(old) >= maxSamplesPerPool {
		old = slices.Clone(old[len(old)-maxSamplesPerPool/2:])
	}
	h.pools[status.Pool] = append(old, s)
}

// SamplesBetween returns the samples of a pool that applied at any time between
// from and to.
func (h *History) SamplesBetween(name fleet.PoolName, from, to time.Time) []Sample {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []Sample
	for i, s := range h.pools[name] {
		next := i + 1
		endsBefore := next < len(h.pools[name]) && !h.pools[name][next].At.After(from)
		if !endsBefore && !s.At.After(to) {
			out = append(out, s)
		}
	}
	return out
}
