// Package store is a small stand-in for the platform's key-value store. It serves the part of
// the etcd v3 JSON gateway that postmount uses, keeps its data in memory and can inject faults.
package store

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// entry is the current value of a key.
type entry struct {
	value          []byte
	modRevision    int64
	createRevision int64
	lease          int64
}

// change is a write or deletion of a key; the history of changes feeds the watches.
type change struct {
	key      string
	value    []byte
	revision int64
	create   int64
	deleted  bool
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// maxHistoryEvents is the maximum number of changes kept for watches. When there are more, the
// oldest tenth is compacted.
const maxHistoryEvents = 50_000

// Engine holds the keys, revisions, leases and history of the store. Its methods are safe
// for concurrent use.
type Engine struct {
	mu        sync.Mutex
	revision  int64
	compacted int64 // history up to this revision is deleted
	keys      map[string]entry
	leases    map[int64]*lease
	nextLease int64
	history   []change
	changed   chan struct{} // closed and replaced by every change
}

// NewEngine returns an empty store at revision 1.
func NewEngine() *Engine {
	return &Engine{
		revision:  1,
		keys:      map[string]entry{},
		leases:    map[int64]*lease{},
		nextLease: 1,
		changed:   make(chan struct{}),
	}
}

// Revision returns the revision of the newest change.
func (e *Engine) Revision() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.revision
}

// Range returns the keys in [key, end) in order and the current revision; an empty end means
// key alone.
func (e *Engine) Range(key, end string) ([]change, int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireLocked(time.Now())
	var out []change
	for _, k := range slices.Sorted(maps.Keys(e.keys)) {
		if !inRange(k, key, end) {
			continue
		}
		v := e.keys[k]
		out = append(out, change{key: k, value: v.value, revision: v.modRevision, create: v.createRevision})
	}
	return out, e.revision
}

// ModRevision returns the revision at which key was last written, 0 if it doesn't exist.
func (e *Engine) ModRevision(key string) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireLocked(time.Now())
	return e.keys[key].modRevision
}

// Put writes key if its revision is expect, 0 for a key that doesn't exist. ok is false if its
// revision is another one or the lease doesn't exist; leaseID 0 means no lease.
func (e *Engine) Put(key string, expect int64, value []byte, leaseID int64) (revision int64, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireLocked(time.Now())
	old := e.keys[key]
	if old.modRevision != expect {
		return e.revision, false
	}
	if _, known := e.leases[leaseID]; leaseID != 0 && !known {
		return e.revision, false
	}
	e.revision++
	create := old.createRevision
	if create == 0 {
		create = e.revision
	}
	e.keys[key] = entry{value: slices.Clone(value), modRevision: e.revision, createRevision: create, lease: leaseID}
	e.recordLocked(change{key: key, value: slices.Clone(value), revision: e.revision, create: create})
	return e.revision, true
}

// Delete removes key if it exists and its revision is expect; else ok is false.
func (e *Engine) Delete(key string, expect int64) (revision int64, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireLocked(time.Now())
	if expect == 0 || e.keys[key].modRevision != expect {
		return e.revision, false
	}
	e.deleteLocked(key)
	return e.revision, true
}

func (e *Engine) deleteLocked(key string) {
	e.revision++
	delete(e.keys, key)
	e.recordLocked(change{key: key, revision: e.revision, deleted: true})
}

// recordLocked adds a change to the history and wakes the watches.
func (e *Engine) recordLocked(c change) {
	e.history = append(e.history, c)
	if len(e.history) > maxHistoryEvents {
		drop := maxHistoryEvents / 10
		e.compacted = e.history[drop-1].revision
		e.history = slices.Clone(e.history[drop:])
	}
	close(e.changed)
	e.changed = make(chan struct{})
}

// Grant creates a lease and returns its ID.
func (e *Engine) Grant(ttl time.Duration) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := e.nextLease
	e.nextLease++
	e.leases[id] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return id
}

// KeepAlive renews a lease and returns its TTL, 0 if it doesn't exist.
func (e *Engine) KeepAlive(id int64) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireLocked(time.Now())
	l, ok := e.leases[id]
	if !ok {
		return 0
	}
	l.expires = time.Now().Add(l.ttl)
	return l.ttl
}

// Revoke ends a lease and deletes its keys.
func (e *Engine) Revoke(id int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.revokeLocked(id)
}

// revokeLocked ends a lease and deletes its keys. Keys without a lease have lease ID 0.
func (e *Engine) revokeLocked(id int64) {
	delete(e.leases, id)
	if id == 0 {
		return
	}
	for _, k := range slices.Sorted(maps.Keys(e.keys)) {
		if e.keys[k].lease == id {
			e.deleteLocked(k)
		}
	}
}

// ExpireAllLeases expires every lease, as if its holder had paused for longer than its TTL.
func (e *Engine) ExpireAllLeases() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(e.leases)) {
		e.revokeLocked(id)
	}
}

// Expire ends the leases whose TTL has elapsed.
func (e *Engine) Expire() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireLocked(time.Now())
}

func (e *Engine) expireLocked(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(e.leases)) {
		if now.After(e.leases[id].expires) {
			e.revokeLocked(id)
		}
	}
}

// ExtendLeases extends every lease by d, the duration of an outage: leases don't expire while the
// store itself is unavailable.
func (e *Engine) ExtendLeases(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, l := range e.leases {
		l.expires = l.expires.Add(d)
	}
}

// ChangesSince returns the changes in [key, end) from revision from on, the revision up to
// which they are complete, and a channel that the next change closes. ok is false if the
// history from there on is compacted.
func (e *Engine) ChangesSince(key, end string, from int64) (events []change, upTo int64, next <-chan struct{}, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if from <= e.compacted {
		return nil, e.revision, e.changed, false
	}
	first, _ := slices.BinarySearchFunc(e.history, from, func(c change, r int64) int { return int(c.revision - r) })
	for _, c := range e.history[first:] {
		if inRange(c.key, key, end) {
			events = append(events, c)
		}
	}
	return events, e.revision, e.changed, true
}

// inRange reports whether k is in [key, end); an empty end means key alone.
func inRange(k, key, end string) bool {
	if end == "" {
		return k == key
	}
	return strings.Compare(k, key) >= 0 && strings.Compare(k, end) < 0
}
