// Package mirror keeps one daemon's copy of every record in the platform's
// store. It is fed by the store's watch and by peers, and publishes immutable
// snapshots.
//
// Invariant: the revision of a record never goes back, whatever the source and
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

// Mirror is safe for concurrent use: writers take turns, readers load the
// newest snapshot without waiting.
type Mirror struct {
	mu      sync.Mutex
	raw     map[string]port.Event // newest known change of each key, deletions too
	state   atomic.Pointer[fleet.State]
	changed chan struct{}

	// BadRecords counts records that could not be decoded and were ignored.
	BadRecords atomic.Int64
}

// New returns a mirror that knows nothing yet.
func New() *Mirror {
	m := &Mirror{raw: map[string]port.Event{}, changed: make(chan struct{})}
	m.state.Store(fleet.NewState())
	return m
}

// State returns the newest snapshot.
func (m *Mirror) State() *fleet.State { return m.state.Load() }

// Changed returns a channel that is closed at the next new snapshot.
func (m *Mirror) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// Apply takes in changes. completeTo is the revision up to which the mirror is
// complete with them; 0 leaves it as it was, for single records read back
// after a write.
func (m *Mirror) Apply(events []port.Event, completeTo fleet.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyLocked(events, completeTo)
}

// Replace takes in a listing of everything. Keys that it lacks are deleted if
// they are not newer than the listing.
func (m *Mirror) Replace(l port.Listing) {
	m.mu.Lock()
	defer m.mu.Unlock()
	events := make([]port.Event, 0, len(l.KVs))
	listed := make(map[string]bool, len(l.KVs))
	for _, kv := range l.KVs {
		listed[kv.Key] = true
		events = append(events, port.Event{KV: kv})
	}
	for key, known := range m.raw {
		if !listed[key] && !known.Deleted && known.Revision <= l.Revision {
			events = append(events, port.Event{KV: port.KV{Key: key, Revision: l.Revision}, Deleted: true})
		}
	}
	m.applyLocked(events, l.Revision)
}

func (m *Mirror) applyLocked(events []port.Event, completeTo fleet.Revision) {
	old := m.state.Load()
	next := old.Clone()
	fresh := false
	for _, e := range events {
		if known, ok := m.raw[e.Key]; ok && known.Revision >= e.Revision {
			continue
		}
		if !strings.HasPrefix(e.Key, record.Root) || !m.decode(next, e) {
			continue
		}
		m.raw[e.Key] = e
		fresh = true
	}
	next.Revision = max(old.Revision, completeTo)
	if !fresh && next.Revision == old.Revision {
		return
	}
	m.state.Store(next)
	close(m.changed)
	m.changed = make(chan struct{})
}

// decode puts one change into s. It reports false for a record that cannot be
// read; the last good one stays in force.
func (m *Mirror) decode(s *fleet.State, e port.Event) bool {
	var err error
	switch {
	case e.Key == record.ConfigKey:
		err = put(&s.Config, e)
	case e.Key == record.ViewKey:
		err = put(&s.View, e)
	case strings.HasPrefix(e.Key, record.PoolPrefix):
		err = putIn(s.Pools, fleet.PoolName(strings.TrimPrefix(e.Key, record.PoolPrefix)), e)
	case strings.HasPrefix(e.Key, record.WavePrefix):
		err = putIn(s.Waves, fleet.WaveName(strings.TrimPrefix(e.Key, record.WavePrefix)), e)
	case strings.HasPrefix(e.Key, record.JobsPrefix):
		err = putIn(s.Jobs, fleet.PoolName(strings.TrimPrefix(e.Key, record.JobsPrefix)), e)
	case strings.HasPrefix(e.Key, record.EntryPrefix):
		err = putIn(s.Entries, fleet.EntryID(strings.TrimPrefix(e.Key, record.EntryPrefix)), e)
	case strings.HasPrefix(e.Key, record.MemberPrefix):
		var shard int
		if shard, err = record.ParseShardKey(e.Key); err == nil {
			err = putIn(s.Shards, shard, e)
		}
	}
	if err != nil {
		m.BadRecords.Add(1)
	}
	return err == nil
}

func put[T any](into *fleet.Versioned[T], e port.Event) error {
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

func putIn[K comparable, T any](into map[K]fleet.Versioned[T], name K, e port.Event) error {
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
// revision up to which they are complete. Peers use it to catch up.
func (m *Mirror) ChangesSince(from fleet.Revision) ([]port.Event, fleet.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	upTo := m.state.Load().Revision
	var out []port.Event
	for _, key := range slices.Sorted(maps.Keys(m.raw)) {
		if e := m.raw[key]; e.Revision > from {
			out = append(out, e)
		}
	}
	slices.SortStableFunc(out, func(a, b port.Event) int { return int(a.Revision - b.Revision) })
	return out, upTo
}
