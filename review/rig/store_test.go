package rig

import (
	"encoding/json"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the platform's store.
const (
	maxTxnEntries  = 32
	maxPageItems   = 500
	maxPageBytes   = 1 << 20
	storeLatency   = 4 * time.Millisecond
	leaseCheckTime = 20 * time.Millisecond
	historyTime    = 20 * time.Second
)

// item is a key of the store. Its JSON form is that of the platform's pages.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"created,omitempty"`
	Lease   int64  `json:"lease,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

// storeFault decides what becomes of a call.
type storeFault int

const (
	storeServes storeFault = iota
	storeRefuses
	storeLosesAnswer // the call is carried out, and its channel returns nothing
	storeSilent
)

// kvStore is a stand-in for the platform's metadata store.
type kvStore struct {
	valueBytes int

	mu      sync.Mutex
	rev     int64
	items   map[string]item
	keys    []string // of items, sorted
	history []item
	times   []time.Time // of the entries of history
	floor   int64       // latest revision that is not in history any more
	leases  map[int64]*storeLease
	changed chan struct{} // closed at each change
	fault   func(r *http.Request) storeFault

	tooLarge int // puts that were refused for their size
	largest  int // largest value that was put
}

func newStore(valueBytes int) *kvStore {
	s := &kvStore{valueBytes: valueBytes, rev: 100, items: map[string]item{}, leases: map[int64]*storeLease{}, changed: make(chan struct{})}
	go func() {
		for range time.Tick(leaseCheckTime) {
			s.expireLeases()
		}
	}()
	return s
}

// setFault sets what becomes of later calls; nil: all are served.
func (s *kvStore) setFault(f func(r *http.Request) storeFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

func (s *kvStore) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *kvStore) expireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *kvStore) endLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.rev++
			s.remove(key)
		}
	}
	s.notify()
}

func (s *kvStore) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	if n, found := slices.BinarySearch(s.keys, key); found {
		s.keys = slices.Delete(s.keys, n, n+1)
	}
	s.record(item{Key: key, Rev: s.rev, Deleted: true})
}

func (s *kvStore) write(key string, value []byte, lease int64) {
	created := s.rev
	if old, ok := s.items[key]; ok {
		created = old.Created
	} else if n, found := slices.BinarySearch(s.keys, key); !found {
		s.keys = slices.Insert(s.keys, n, key)
	}
	i := item{Key: key, Value: value, Rev: s.rev, Created: created, Lease: lease}
	s.items[key] = i
	s.record(i)
}

// record appends a change to the history, and drops what is older than historyTime.
func (s *kvStore) record(i item) {
	now, old := time.Now(), 0
	for old < len(s.times) && now.Sub(s.times[old]) > historyTime {
		s.floor = s.history[old].Rev
		old++
	}
	s.history, s.times = append(s.history[old:], i), append(s.times[old:], now)
}

// put writes a key on behalf of the operator or a worker.
func (s *kvStore) put(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.write(key, raw, 0)
	s.notify()
}

// drop removes a key on behalf of a worker that has left.
func (s *kvStore) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.remove(key)
	s.notify()
}

// value returns the value of a key, nil if there is none.
func (s *kvStore) value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

func (s *kvStore) sizes() (tooLarge, largest int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tooLarge, s.largest
}

func (s *kvStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	what := storeServes
	if fault != nil {
		what = fault(r)
	}
	switch what {
	case storeRefuses:
		reply(w, http.StatusServiceUnavailable, map[string]any{})
		return
	case storeSilent:
		<-r.Context().Done()
		return
	case storeLosesAnswer:
		s.serve(&discardWriter{}, r)
		<-r.Context().Done()
		return
	}
	s.serve(w, r)
}

func (s *kvStore) serve(w http.ResponseWriter, r *http.Request) {
	path := r.URL.Path
	switch {
	case path == "/-/kv-key":
		s.get(w, r)
	case path == "/-/kv-range":
		s.list(w, r)
	case path == "/-/kv-watch":
		s.watch(w, r)
	case path == "/-/kv-txn":
		s.txn(w, r)
	case path == "/-/kv-lease":
		s.grant(w, r)
	case strings.HasPrefix(path, "/-/kv-keep/"):
		s.keep(w, strings.TrimPrefix(path, "/-/kv-keep/"))
	case strings.HasPrefix(path, "/-/kv-lease-end/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "/-/kv-lease-end/"), 10, 64)
		s.mu.Lock()
		_, ok := s.leases[id]
		if ok {
			s.endLease(id)
		}
		s.mu.Unlock()
		reply(w, statusIf(ok), map[string]any{})
	default:
		reply(w, http.StatusNotFound, map[string]any{})
	}
}

func statusIf(found bool) int {
	if found {
		return http.StatusOK
	}
	return http.StatusNotFound
}

func (s *kvStore) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	reply(w, http.StatusOK, i)
}

func (s *kvStore) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	first, found := slices.BinarySearch(s.keys, max(prefix, after))
	if found && s.keys[first] == after {
		first++
	}
	items, size, more := []item{}, 0, false
	for _, k := range s.keys[first:] {
		if !strings.HasPrefix(k, prefix) {
			break
		}
		size += len(s.items[k].Value)
		if len(items) > 0 && (len(items) == maxPageItems || size > maxPageBytes) {
			more = true
			break
		}
		items = append(items, s.items[k])
	}
	rev := s.rev
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "morePages": more, "currentRev": rev})
}

func (s *kvStore) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.floor {
			s.mu.Unlock()
			reply(w, http.StatusGone, map[string]any{})
			return
		}
		events := []item{}
		first := sort.Search(len(s.history), func(n int) bool { return s.history[n].Rev > after })
		for _, i := range s.history[first:] {
			if strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "currentRev": rev})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			reply(w, http.StatusOK, map[string]any{"events": events, "currentRev": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

type txnBody struct {
	Precondition []struct {
		Key string `json:"key"`
		Rev int64  `json:"rev"`
	} `json:"precondition"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"puts"`
	Remove []string `json:"remove"`
}

func (s *kvStore) txn(w http.ResponseWriter, r *http.Request) {
	var b txnBody
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil || len(b.Precondition)+len(b.Puts)+len(b.Remove) > maxTxnEntries {
		reply(w, http.StatusBadRequest, map[string]any{"error": "invalid transaction"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range b.Puts {
		s.largest = max(s.largest, len(p.Value))
		if len(p.Value) > s.valueBytes {
			s.tooLarge++
			reply(w, http.StatusBadRequest, map[string]any{"error": "value of " + p.Key + " is too large"})
			return
		}
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			reply(w, http.StatusForbidden, map[string]any{})
			return
		}
	}
	current, holds := []item{}, true
	for _, c := range b.Precondition {
		i, ok := s.items[c.Key]
		if ok {
			current = append(current, i)
		}
		holds = holds && i.Rev == c.Rev
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range b.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	s.rev++
	for _, p := range b.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, k := range b.Remove {
		s.remove(k)
	}
	s.notify()
	reply(w, http.StatusOK, map[string]any{"rev": s.rev})
}

func (s *kvStore) grant(w http.ResponseWriter, r *http.Request) {
	var b struct {
		TTLMs int64 `json:"ttlMs"`
	}
	_ = json.NewDecoder(r.Body).Decode(&b)
	s.mu.Lock()
	s.rev++
	id := s.rev
	ttl := time.Duration(b.TTLMs) * time.Millisecond
	s.leases[id] = &storeLease{ttl, time.Now().Add(ttl)}
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": b.TTLMs})
}

func (s *kvStore) keep(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mu.Lock()
	l := s.leases[id]
	if l != nil {
		l.expires = time.Now().Add(l.ttl)
	}
	s.mu.Unlock()
	if l == nil {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	reply(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}

// reply sends a JSON body.
func reply(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw) // the caller may be gone
}

// discardWriter swallows a response.
type discardWriter struct{ header http.Header }

func (d *discardWriter) Header() http.Header {
	if d.header == nil {
		d.header = http.Header{}
	}
	return d.header
}
func (d *discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d *discardWriter) WriteHeader(int)             {}
