package node

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/postmount/postmount/internal/excerpt"
	"github.com/postmount/postmount/jobs/ledger"
)

// refusedEntries tracks the store entries that are invalid, as other programs write to the store
// as well. Each is logged once, however often it is read or written again, and so is its correction or
// deletion.
type refusedEntries struct {
	log     *zap.Logger
	metrics *Metrics

	mu      sync.Mutex
	refused map[string]*refusal // by key
}

// refusal describes why an entry was last logged as refused.
type refusal struct {
	reason   string
	loggedAt time.Time
}

// minRefusalInterval is the shortest time after which another reason to refuse the same entry is logged.
// Some reasons contain values that change with each write.
const minRefusalInterval = time.Minute

func newRefusedEntries(log *zap.Logger, m *Metrics) *refusedEntries {
	return &refusedEntries{log: log, metrics: m, refused: map[string]*refusal{}}
}

// add records that an entry is invalid.
func (r *refusedEntries) add(key string, revision int64, reason error) {
	why := excerpt.Of(reason.Error())
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.refused[key]; known != nil && (known.reason == why || time.Since(known.loggedAt) < minRefusalInterval) {
		return
	}
	r.refused[key] = &refusal{reason: why, loggedAt: time.Now()}
	r.log.Error("entry-refused", zap.String("key", key), zap.Int64("revision", revision), zap.String("error", why))
	r.metrics.refusedEntries(len(r.refused))
}

// remove records that an entry is valid or was deleted.
func (r *refusedEntries) remove(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, found := r.refused[key]; !found {
		return
	}
	delete(r.refused, key)
	r.log.Info("entry-accepted", zap.String("key", key))
	r.metrics.refusedEntries(len(r.refused))
}

// retain records that all entries with the prefix that are not listed were deleted.
func (r *refusedEntries) retain(prefix string, listed []ledger.Item) {
	exists := map[string]bool{}
	for _, i := range listed {
		exists[i.Key] = true
	}
	for _, key := range r.keys() {
		if strings.HasPrefix(key, prefix) && !exists[key] {
			r.remove(key)
		}
	}
}

// keys returns the keys of the invalid entries.
func (r *refusedEntries) keys() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Keys(r.refused))
}
