package node

import (
	"sync"

	"go.uber.org/zap"
)

// refusedEntries tracks the store entries that cannot be used; others write to the store as
// well. Each is logged once, however often it is read, and so is its correction or deletion.
type refusedEntries struct {
	log     *zap.Logger
	metrics *Metrics

	mu  sync.Mutex
	bad map[string]int64 // revision by key
}

func newRefusedEntries(log *zap.Logger, m *Metrics) *refusedEntries {
	return &refusedEntries{log: log, metrics: m, bad: map[string]int64{}}
}

// add records that an entry cannot be used.
func (r *refusedEntries) add(key string, revision int64, why error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, refused := r.bad[key]; refused && known == revision {
		return
	}
	r.bad[key] = revision
	r.log.Error("entry-refused", zap.String("key", key), zap.Int64("revision", revision), zap.Error(why))
	r.metrics.refusedEntries(len(r.bad))
}

// remove records that an entry is valid or was deleted.
func (r *refusedEntries) remove(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, refused := r.bad[key]; !refused {
		return
	}
	delete(r.bad, key)
	r.log.Info("entry-accepted", zap.String("key", key))
	r.metrics.refusedEntries(len(r.bad))
}
