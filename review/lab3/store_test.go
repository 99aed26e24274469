package lab3

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store, as it is written on the wire.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"created"`
	Lease   int64  `json:"lease"`
}

// change is an entry of the store's history.
type change struct {
	item
	deleted bool
}

// lease is a lease of the store.
type lease struct {
	ttl   time.Duration
	until time.Time
}

// store is a stand-in for the platform's metadata store, by PROTOCOL.md. It keeps its whole history.
type store struct {
	mu        sync.Mutex
	rev       int64
	items     map[string]item
	history   []change
	leases    map[int64]*lease
	nextLease int64
	changed   chan struct{} // closed and replaced at the next change

	lastConditional int // number of the daemon that last wrote under a condition
}

// Limits of the store by PROTOCOL.md.
const (
	storeLatency  = 4 * time.Millisecond
	maxPageItems  = 500
	maxPageBytes  = 1 << 20
	maxTxnEntries = 32
	leaseCheck    = 20 * time.Millisecond
)

func newStore() *store {
	s := &store{items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{})}
	go s.expireLeases()
	return s
}

// expireLeases ends leases that were not renewed in time, as long as the process runs.
func (s *store) expireLeases() {
	for now := range time.Tick(leaseCheck) {
		s.mu.Lock()
		for id, l := range s.leases {
			if now.After(l.until) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// endLease ends a lease and removes its keys. The caller holds mu.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for key, i := range s.items {
		if i.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) > 0 {
		s.apply(nil, keys)
	}
}

// apply writes and removes keys under one revision. The caller holds mu.
func (s *store) apply(puts []item, remove []string) {
	s.rev++
	for _, p := range puts {
		p.Rev, p.Created = s.rev, s.rev
		if old, ok := s.items[p.Key]; ok {
			p.Created = old.Created
		}
		s.items[p.Key] = p
		s.history = append(s.history, change{item: p})
	}
	for _, key := range remove {
		if _, ok := s.items[key]; ok {
			delete(s.items, key)
			s.history = append(s.history, change{item: item{Key: key, Rev: s.rev}, deleted: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as the operator and the workers do.
func (s *store) put(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err) // cannot happen for the types of this program
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]item{{Key: key, Value: raw}}, nil)
}

// remove removes a key as the workers do.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []string{key})
}

// get returns the value of a key, nil if there is none.
func (s *store) get(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// handlerFor returns the handler of the calls of a daemon, which has an address of the store to itself.
func (s *store) handlerFor(daemon int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.handle(daemon, w, r) })
}

func (s *store) handle(daemon int, w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	op, argument, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/-/"), "/")
	switch op {
	case "kv-key":
		s.serveKey(w, r)
	case "kv-range":
		s.serveRange(w, r)
	case "kv-watch":
		s.serveWatch(w, r)
	case "kv-txn":
		s.serveTxn(daemon, w, r)
	case "kv-lease":
		s.serveGrant(w, r)
	case "kv-keep", "kv-lease-end":
		s.serveLease(w, op, argument)
	default:
		reply(w, http.StatusNotFound, nil)
	}
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.FormValue("key")]
	rev := s.rev
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, object{"currentRev": rev})
		return
	}
	reply(w, http.StatusOK, object{"key": i.Key, "value": i.Value, "rev": i.Rev, "created": i.Created, "lease": i.Lease, "currentRev": rev})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.FormValue("prefix"), r.FormValue("after")
	s.mu.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, size := []item{}, 0
	for _, key := range keys {
		size += len(s.items[key].Value)
		if len(items) == maxPageItems || len(items) > 0 && size > maxPageBytes {
			break
		}
		items = append(items, s.items[key])
	}
	body := object{"items": items, "morePages": len(items) < len(keys), "currentRev": s.rev}
	s.mu.Unlock()
	reply(w, http.StatusOK, body)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.FormValue("prefix")
	after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	wait, _ := strconv.ParseInt(r.FormValue("waitMs"), 10, 64)
	end := time.After(time.Duration(wait) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		events := s.eventsAfter(prefix, after)
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if over || len(events) > 0 {
			reply(w, http.StatusOK, object{"events": events, "currentRev": rev})
			return
		}
		select {
		case <-changed:
		case <-end:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

// eventsAfter returns the changes of keys with a prefix after a revision. The caller holds mu.
func (s *store) eventsAfter(prefix string, after int64) []any {
	events := []any{}
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Rev > after })
	for _, c := range s.history[first:] {
		switch {
		case !strings.HasPrefix(c.Key, prefix):
		case c.deleted:
			events = append(events, object{"key": c.Key, "rev": c.Rev, "deleted": true})
		default:
			events = append(events, c.item)
		}
	}
	return events
}

func (s *store) serveTxn(daemon int, w http.ResponseWriter, r *http.Request) {
	var t struct {
		Precondition []struct {
			Key string
			Rev int64
		}
		Puts   []item
		Remove []string
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil || len(t.Precondition)+len(t.Puts)+len(t.Remove) > maxTxnEntries {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, held := []any{}, true
	for _, c := range t.Precondition {
		i, ok := s.items[c.Key]
		held = held && i.Rev == c.Rev
		if ok {
			current = append(current, i)
		} else {
			current = append(current, object{"key": c.Key, "rev": 0})
		}
	}
	if !held {
		reply(w, http.StatusPreconditionFailed, object{"items": current, "currentRev": s.rev})
		return
	}
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			reply(w, http.StatusForbidden, nil)
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			reply(w, http.StatusNotFound, nil)
			return
		}
	}
	if len(t.Precondition) > 0 {
		s.lastConditional = daemon
	}
	s.apply(t.Puts, t.Remove)
	reply(w, http.StatusOK, object{"rev": s.rev})
}

func (s *store) serveGrant(w http.ResponseWriter, r *http.Request) {
	var body struct{ TTLMs int64 }
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	ttl := min(max(time.Duration(body.TTLMs)*time.Millisecond, time.Second), 10*time.Minute)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	s.leases[s.nextLease] = &lease{ttl, time.Now().Add(ttl)}
	reply(w, http.StatusOK, object{"lease": s.nextLease, "ttlMs": ttl.Milliseconds()})
}

func (s *store) serveLease(w http.ResponseWriter, op, argument string) {
	id, _ := strconv.ParseInt(argument, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	switch {
	case l == nil:
		reply(w, http.StatusNotFound, nil)
	case op == "kv-lease-end":
		s.endLease(id)
		reply(w, http.StatusOK, object{})
	default:
		l.until = time.Now().Add(l.ttl)
		reply(w, http.StatusOK, object{"ttlMs": l.ttl.Milliseconds()})
	}
}

// object is a JSON object.
type object map[string]any

// reply writes a response. A nil body is an empty one.
func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body == nil {
		return
	}
	if err := json.NewEncoder(w).Encode(body); err != nil {
		fmt.Println("response not sent:", err) // the client is gone
	}
}
