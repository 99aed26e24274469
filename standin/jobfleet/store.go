// Package jobfleet holds small stand-ins for the environment of the job subsystem: the store, the
// workers, the instance manager and the network between daemons. They run in memory and on the
// process's clock and can inject faults. A Checker checks the guarantees of the subsystem from what
// callers, workers and the instance manager observe.
package jobfleet

import (
	"context"
	"errors"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/postmount/postmount/jobs/ledger"
	"github.com/postmount/postmount/verdict"
)

// storeLatency is the latency of a call to the store.
const storeLatency = 2 * time.Millisecond

// delayedCallDelay is the delay of a call to the store with the failure Delayed.
const delayedCallDelay = 2 * time.Second

// Limits of a page of a range. A page has at least one item, whatever its size.
const (
	maxPageItems = 100
	maxPageBytes = 1 << 20 // of the values
)

// Store is an in-memory key-value store with revisions, leases and watches.
type Store struct {
	mu             sync.Mutex
	rev            int64
	items          map[string]ledger.Item
	history        []ledger.Event
	compacted      int64 // history up to this revision is deleted
	leases         map[ledger.LeaseID]*lease
	nextLease      ledger.LeaseID
	changed        chan struct{} // closed and replaced at the next change
	calls          map[string]int
	maxValueBytes  int // largest value that is accepted; 0: no limit
	maxWatchEvents int // maximum number of changes in an answer to a watch; 0: no limit
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		items:   map[string]ledger.Item{},
		leases:  map[ledger.LeaseID]*lease{},
		changed: make(chan struct{}),
		calls:   map[string]int{},

		maxValueBytes: defaultMaxValueBytes,
	}
}

// LimitWatchEvents limits the number of changes in an answer to a watch; the answer holds the
// oldest ones. The changes of a transaction are not split. 0 means no limit.
func (s *Store) LimitWatchEvents(limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxWatchEvents = limit
}

// defaultMaxValueBytes is the largest value that a new store accepts.
const defaultMaxValueBytes = 1 << 20

// LimitValues sets the largest value that the store accepts, in bytes; 0: no limit. Daemons that start later know it.
func (s *Store) LimitValues(limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxValueBytes = limit
}

// MaxValueBytes returns the largest value that the store accepts.
func (s *Store) MaxValueBytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maxValueBytes
}

// Calls returns the number of calls of a kind; "" means all kinds.
func (s *Store) Calls(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if kind != "" {
		return s.calls[kind]
	}
	n := 0
	for _, c := range s.calls {
		n += c
	}
	return n
}

// Put writes a key as an operator or a worker does.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(ledger.Put{Key: key, Value: value})
	s.notifyWatches()
}

// Remove deletes a key as an operator or a worker does.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
	s.notifyWatches()
}

// CompactHistory deletes the history of changes. Watches from older revisions fail and have to
// start again.
func (s *Store) CompactHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.rev
	s.history = nil
	s.notifyWatches()
}

// RevokeLease ends a lease and deletes its keys.
func (s *Store) RevokeLease(id ledger.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
}

// RevokeAllLeases ends every lease, as an outage that is longer than their TTL does.
func (s *Store) RevokeAllLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.endLease(id)
	}
}

// Value returns the value of a key, nil if there is none.
func (s *Store) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// notifyWatches wakes the waiting watches.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) write(p ledger.Put) {
	s.rev++
	old, exists := s.items[p.Key]
	item := ledger.Item{Key: p.Key, Value: slices.Clone(p.Value), Revision: s.rev, Created: s.rev, Lease: p.Lease}
	if exists {
		item.Created = old.Created
	}
	s.items[p.Key] = item
	s.history = append(s.history, ledger.Event{Item: item})
}

func (s *Store) remove(key string) {
	if _, exists := s.items[key]; !exists {
		return
	}
	s.rev++
	delete(s.items, key)
	s.history = append(s.history, ledger.Event{Item: ledger.Item{Key: key, Revision: s.rev}, Deleted: true})
}

func (s *Store) endLease(id ledger.LeaseID) {
	l := s.leases[id]
	if l == nil {
		return
	}
	l.timer.Stop()
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease == id {
			s.remove(key)
		}
	}
	s.notifyWatches()
}

func (s *Store) get(key string) (ledger.Item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls["get"]++
	i, ok := s.items[key]
	return i, ok
}

// page returns the first keys with a prefix that are greater than after.
func (s *Store) page(prefix, after string) ledger.Page {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls["range"]++
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	out := ledger.Page{Revision: s.rev}
	bytes := 0
	for n, k := range keys {
		bytes += len(s.items[k].Value)
		if n > 0 && (n >= maxPageItems || bytes > maxPageBytes) {
			out.More = true
			break
		}
		out.Items = append(out.Items, s.items[k])
	}
	return out
}

// changesAfter returns the changes after a revision, and a channel that is closed at the next
// change.
func (s *Store) changesAfter(prefix string, after int64) (ledger.Changes, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.compacted {
		return ledger.Changes{}, nil, verdict.New(verdict.NotRun, ledger.CodeCompacted, "history after revision %d is compacted", after)
	}
	out := ledger.Changes{Revision: s.rev}
	for _, e := range s.history {
		if e.Revision <= after || !strings.HasPrefix(e.Key, prefix) {
			continue
		}
		if n := len(out.Events); s.maxWatchEvents > 0 && n >= s.maxWatchEvents && e.Revision > out.Events[n-1].Revision {
			out.Revision = out.Events[n-1].Revision
			break
		}
		out.Events = append(out.Events, e)
	}
	return out, s.changed, nil
}

func (s *Store) watch(ctx context.Context, prefix string, after int64, wait time.Duration) (ledger.Changes, error) {
	s.mu.Lock()
	s.calls["watch"]++
	s.mu.Unlock()
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		out, changed, err := s.changesAfter(prefix, after)
		if err != nil || len(out.Events) > 0 {
			return out, err
		}
		select {
		case <-changed:
		case <-end.C:
			return out, nil
		case <-ctx.Done():
			return out, noAnswerError(ctx)
		}
	}
}

// commit executes a transaction if all its conditions hold.
func (s *Store) commit(t ledger.Txn) (ledger.TxnResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls["commit"]++
	if n := len(t.If) + len(t.Puts) + len(t.Deletes); n > ledger.MaxTxnEntries {
		return ledger.TxnResult{}, verdict.New(verdict.NotRun, ledger.CodeStoreUnavailable, "transaction has %d entries, at most %d are allowed", n, ledger.MaxTxnEntries)
	}
	for _, p := range t.Puts {
		if s.maxValueBytes > 0 && len(p.Value) > s.maxValueBytes {
			return ledger.TxnResult{}, verdict.New(verdict.NotRun, ledger.CodeStoreRejected, "the value of %s has %d bytes, at most %d are accepted", p.Key, len(p.Value), s.maxValueBytes)
		}
	}
	held := true
	var current []ledger.Item
	for _, c := range t.If {
		item := s.items[c.Key]
		held = held && item.Revision == c.Revision
		if item.Revision != 0 {
			current = append(current, item)
		}
	}
	if !held {
		return ledger.TxnResult{Current: current}, nil
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return ledger.TxnResult{LeaseGone: true}, nil
		}
	}
	before := s.rev
	for _, p := range t.Puts {
		s.write(p)
	}
	for _, k := range t.Deletes {
		s.remove(k)
	}
	s.setTxnRevision(before)
	s.notifyWatches()
	return ledger.TxnResult{Committed: true, Revision: s.rev}, nil
}

// setTxnRevision gives all changes since revision before, those of one transaction, the same
// revision.
func (s *Store) setTxnRevision(before int64) {
	for i := range s.history {
		e := &s.history[i]
		if e.Revision <= before {
			continue
		}
		e.Revision = s.rev
		if item, ok := s.items[e.Key]; ok && item.Revision > before {
			if item.Created > before {
				item.Created = s.rev
			}
			item.Revision = s.rev
			s.items[e.Key] = item
			e.Created = item.Created
		}
	}
}

func (s *Store) grant(ttl time.Duration) ledger.LeaseID {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls["lease"]++
	s.nextLease++
	id := s.nextLease
	s.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.RevokeLease(id) })}
	return id
}

func (s *Store) keep(id ledger.LeaseID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls["keep"]++
	l := s.leases[id]
	if l == nil {
		return false
	}
	l.timer.Reset(l.ttl)
	return true
}

var errNoAnswer = errors.New("no answer")

// noAnswerError returns the error of a call to the store whose outcome is unknown.
func noAnswerError(ctx context.Context) error {
	return verdict.Wrap(errors.Join(errNoAnswer, ctx.Err()), verdict.MayHaveRun, ledger.CodeStoreUnavailable, "store")
}
