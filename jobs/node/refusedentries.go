package node

import (
	"sync"

	"go.uber.org/zap"

	"github.com/postmount/postmount/internal/excerpt"
)

// refusedEntries tracks the store entries that are invalid, as other programs write to the store
// as well. Each is logged once, however often it is read, and so is its correction or deletion.
type refusedEntries struct {
	log     *zap.Logger
	metrics *Metrics

	mu      sync.Mutex
	refused map[string]int64 // revision by key
}

func newRefusedEntries(log *zap.Logger, m *Metrics) *refusedEntries {
	return &refusedEntries{log: log, metrics: m, refused: map[string]int64{}}
}

// add records that an entry is invalid.
func (r *refusedEntries) add(key string, revision int64, reason error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, found := r.refused[key]; found && known == revision {
		return
	}
	r.refused[key] = revision
	r.log.Error("entry-refused", zap.String("key", key), zap.Int64("revision", revision), zap.String("error", excerpt.Of(reason.Error())))
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
