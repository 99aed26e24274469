// Package mirror keeps one daemon's copy of every record in the platform's
// store. It is updated by the store's watch and by peers, and publishes immutable
// snapshots.
//
// Invariant: the revision of a record never decreases, whatever the source and
// order of the changes.
package mirror

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/requests/port"
	"github.com/postmount/postmount/requests/record"
)

// Mirror is a copy of the records. It is safe for concurrent use; readers load the
// newest snapshot without locking.
type Mirror struct {
	mu      sync.Mutex
	events  map[string]port.Event // newest known change of each key, including deletions
	state   atomic.Pointer[fleet.State]
	changed chan struct{}

	// BadRecords counts records that could not be decoded and were ignored.
	BadRecords atomic.Int64
}

// New returns an empty mirror.
func New() *Mirror {
	m := &Mirror{events: map[string]port.Event{}, changed: make(chan struct{})}
	m.state.Store(fleet.NewState())
	return m
}

// State returns the newest snapshot.
func (m *Mirror) State() *fleet.State { return m.state.Load() }

// Changed returns a channel that is closed when the next snapshot is published.
func (m *Mirror) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// Apply applies changes. With them, the mirror includes every change up to revision
// completeTo. A completeTo of 0 leaves the snapshot's revision as it is; it is for
// single records that this daemon has written.
func (m *Mirror) Apply(events []port.Event, completeTo fleet.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyLocked(events, completeTo)
}

// Replace applies a listing of all records. Keys that are not listed are deleted
// unless they are newer than the listing.
func (m *Mirror) Replace(l port.Listing) {
	m.mu.Lock()
	defer m.mu.Unlock()
	events := make([]port.Event, 0, len(l.KVs))
	listed := make(map[string]bool, len(l.KVs))
	for _, kv := range l.KVs {
		listed[kv.Key] = true
		events = append(events, port.Event{KV: kv})
	}
	for key, known := range m.events {
		if !listed[key] && !known.Deleted && known.Revision <= l.Revision {
			events = append(events, port.Event{KV: port.KV{Key: key, Revision: l.Revision}, Deleted: true})
		}
	}
	m.applyLocked(events, l.Revision)
}

// applyLocked applies the changes that are newer than the known ones and publishes a
// snapshot if anything changed. The caller holds m.mu.
func (m *Mirror) applyLocked(events []port.Event, completeTo fleet.Revision) {
	old := m.state.Load()
	next := old.Clone()
	changed := false
	for _, e := range events {
		if known, ok := m.events[e.Key]; ok && known.Revision >= e.Revision {
			continue
		}
		if !strings.HasPrefix(e.Key, record.Root) || !m.decode(next, e) {
			continue
		}
		m.events[e.Key] = e
		changed = true
	}
	next.Revision = max(old.Revision, completeTo)
	if !changed && next.Revision == old.Revision {
		return
	}
	m.state.Store(next)
	close(m.changed)
	m.changed = make(chan struct{})
}

// decode applies one change to s. It returns false for a record that can't be
// decoded, so that the last good one is kept.
func (m *Mirror) decode(s *fleet.State, e port.Event) bool {
	var err error
	switch {
	case e.Key == record.ConfigKey:
		err = putRecord(&s.Config, e)
	case e.Key == record.ViewKey:
		err = putRecord(&s.View, e)
	case strings.HasPrefix(e.Key, record.PoolPrefix):
		err = putNamedRecord(s.Pools, fleet.PoolName(strings.TrimPrefix(e.Key, record.PoolPrefix)), e)
	case strings.HasPrefix(e.Key, record.WavePrefix):
		err = putNamedRecord(s.Waves, fleet.WaveName(strings.TrimPrefix(e.Key, record.WavePrefix)), e)
	case strings.HasPrefix(e.Key, record.JobsPrefix):
		err = putNamedRecord(s.Jobs, fleet.PoolName(strings.TrimPrefix(e.Key, record.JobsPrefix)), e)
	case strings.HasPrefix(e.Key, record.EntryPrefix):
		err = putNamedRecord(s.Entries, fleet.EntryID(strings.TrimPrefix(e.Key, record.EntryPrefix)), e)
	case strings.HasPrefix(e.Key, record.MemberPrefix):
		var shard int
		if shard, err = record.ParseShardKey(e.Key); err == nil {
			err = putNamedRecord(s.Shards, shard, e)
		}
	}
	if err != nil {
		m.BadRecords.Add(1)
	}
	return err == nil
}

// putRecord decodes one change into a single record. A deleted record becomes its
// zero value.
func putRecord[T any](into *fleet.Versioned[T], e port.Event) error {
	if e.Deleted {
		*into = fleet.Versioned[T]{Value: new(T), Revision: 0}
		return nil
	}
	v, err := record.Decode[T](e.KV)
	if err == nil {
		*into = v
	}
	return err
}

// putNamedRecord decodes one change into a map of records.
func putNamedRecord[K comparable, T any](into map[K]fleet.Versioned[T], name K, e port.Event) error {
	if e.Deleted {
		delete(into, name)
		return nil
	}
	v, err := record.Decode[T](e.KV)
	if err == nil {
		into[name] = v
	}
	return err
}

// ChangesSince returns every known change after revision from, oldest first, and the
// revision up to which they are complete. Peers whose mirror is behind apply them.
func (m *Mirror) ChangesSince(from fleet.Revision) ([]port.Event, fleet.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	completeTo := m.state.Load().Revision
	var out []port.Event
	for _, key := range slices.Sorted(maps.Keys(m.events)) {
		if e := m.events[key]; e.Revision > from {
			out = append(out, e)
		}
	}
	slices.SortStableFunc(out, func(a, b port.Event) int { return int(a.Revision - b.Revision) })
	return out, completeTo
}
