package store

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// The types below are the JSON forms of the etcd v3 API messages: bytes are base64 strings and
// 64-bit integers decimal strings.

type header struct {
	Revision string `json:"revision"`
}

type keyValue struct {
	Key            []byte `json:"key"`
	CreateRevision string `json:"create_revision,omitempty"`
	ModRevision    string `json:"mod_revision,omitempty"`
	Value          []byte `json:"value,omitempty"`
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
}

type rangeResponse struct {
	Header header     `json:"header"`
	KVs    []keyValue `json:"kvs,omitempty"`
	Count  string     `json:"count"`
}

type compare struct {
	Key         []byte      `json:"key"`
	Target      string      `json:"target"`
	Result      string      `json:"result"`
	ModRevision json.Number `json:"mod_revision"`
}

type putRequest struct {
	Key   []byte      `json:"key"`
	Value []byte      `json:"value"`
	Lease json.Number `json:"lease"`
}

type deleteRequest struct {
	Key []byte `json:"key"`
}

type requestOp struct {
	Put    *putRequest    `json:"request_put"`
	Delete *deleteRequest `json:"request_delete_range"`
}

type txnRequest struct {
	Compare []compare   `json:"compare"`
	Success []requestOp `json:"success"`
}

type txnResponse struct {
	Header    header `json:"header"`
	Succeeded bool   `json:"succeeded,omitempty"`
}

func (s *Server) rangeKeys(body json.RawMessage) (any, error) {
	var req rangeRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return nil, err
	}
	found, rev := s.engine.Range(string(req.Key), string(req.RangeEnd))
	resp := rangeResponse{Header: header{int64String(rev)}, Count: int64String(int64(len(found)))}
	for _, c := range found {
		resp.KVs = append(resp.KVs, c.keyValue())
	}
	return resp, nil
}

func (c change) keyValue() keyValue {
	kv := keyValue{Key: []byte(c.key), ModRevision: int64String(c.revision), Value: c.value}
	if !c.deleted {
		kv.CreateRevision = int64String(c.create)
	}
	return kv
}

// txn executes a transaction. It supports only the form that compare-and-swap and
// compare-and-delete need: one comparison of a key's modification revision and one put or delete of
// that key.
func (s *Server) txn(body json.RawMessage) (any, error) {
	var req txnRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return nil, err
	}
	if len(req.Compare) != 1 || len(req.Success) != 1 || req.Compare[0].Target != "MOD" || req.Compare[0].Result != "EQUAL" {
		return nil, fmt.Errorf("stand-in: unsupported transaction: want one MOD EQUAL comparison and one operation")
	}
	expect, err := parseInt64(req.Compare[0].ModRevision)
	if err != nil {
		return nil, err
	}
	rev, ok, err := s.applyOp(req.Success[0], expect)
	if err != nil {
		return nil, err
	}
	if ok && s.faults.takeLostAnswer() {
		return nil, errAnswerLost{}
	}
	return txnResponse{Header: header{int64String(rev)}, Succeeded: ok}, nil
}

// applyOp applies a put or delete if the revision of its key is expect. It returns the revision of
// the store and whether the operation was applied.
func (s *Server) applyOp(op requestOp, expect int64) (int64, bool, error) {
	if op.Delete != nil {
		rev, ok := s.engine.Delete(string(op.Delete.Key), expect)
		return rev, ok, nil
	}
	if op.Put == nil {
		return 0, false, fmt.Errorf("stand-in: unsupported operation: want request_put or request_delete_range")
	}
	leaseID, err := parseInt64(op.Put.Lease)
	if err != nil {
		return 0, false, err
	}
	rev, ok := s.engine.Put(string(op.Put.Key), expect, op.Put.Value, leaseID)
	return rev, ok, nil
}

// parseInt64 parses a 64-bit integer; a missing one is 0.
func parseInt64(n json.Number) (int64, error) {
	if n == "" {
		return 0, nil
	}
	return n.Int64()
}

type leaseRequest struct {
	ID  json.Number `json:"ID"`
	TTL json.Number `json:"TTL"`
}

type leaseResponse struct {
	Header header `json:"header"`
	ID     string `json:"ID"`
	TTL    string `json:"TTL,omitempty"`
}

func (s *Server) grant(body json.RawMessage) (any, error) {
	var req leaseRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return nil, err
	}
	ttl, err := parseInt64(req.TTL)
	if err != nil || ttl <= 0 {
		return nil, fmt.Errorf("etcdserver: lease TTL %q out of range", req.TTL)
	}
	id := s.engine.Grant(time.Duration(ttl) * time.Second)
	return s.leaseAnswer(id, time.Duration(ttl)*time.Second), nil
}

func (s *Server) leaseAnswer(id int64, ttl time.Duration) leaseResponse {
	resp := leaseResponse{Header: header{int64String(s.engine.Revision())}, ID: int64String(id)}
	if ttl > 0 {
		resp.TTL = int64String(int64(ttl / time.Second))
	}
	return resp
}

// streamMessage is the envelope of each message of a streaming call.
type streamMessage[T any] struct {
	Result T `json:"result"`
}

func (s *Server) keepAlive(body json.RawMessage) (any, error) {
	id, err := leaseID(body)
	if err != nil {
		return nil, err
	}
	return streamMessage[leaseResponse]{s.leaseAnswer(id, s.engine.KeepAlive(id))}, nil
}

func (s *Server) revoke(body json.RawMessage) (any, error) {
	id, err := leaseID(body)
	if err != nil {
		return nil, err
	}
	s.engine.Revoke(id)
	return leaseResponse{Header: header{int64String(s.engine.Revision())}}, nil
}

func leaseID(body json.RawMessage) (int64, error) {
	var req leaseRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return 0, err
	}
	return parseInt64(req.ID)
}

type watchCreate struct {
	Key           []byte      `json:"key"`
	RangeEnd      []byte      `json:"range_end"`
	StartRevision json.Number `json:"start_revision"`
}

type watchRequest struct {
	Create watchCreate `json:"create_request"`
}

type watchEvent struct {
	Type string   `json:"type,omitempty"` // "" is PUT, the default
	KV   keyValue `json:"kv"`
}

type watchResponse struct {
	Header          header       `json:"header"`
	Created         bool         `json:"created,omitempty"`
	Canceled        bool         `json:"canceled,omitempty"`
	CompactRevision string       `json:"compact_revision,omitempty"`
	Events          []watchEvent `json:"events,omitempty"`
}

// progressInterval is the time between two progress messages of a watch, which carry a revision
// and no events.
const progressInterval = time.Second

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	d, ok := s.admit(w, r, kindWatch)
	if !ok {
		return
	}
	var req watchRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&req); err != nil {
		writeError(w, http.StatusBadRequest, codeInvalidArgument, err.Error())
		return
	}
	from, err := parseInt64(req.Create.StartRevision)
	if err != nil {
		writeError(w, http.StatusBadRequest, codeInvalidArgument, err.Error())
		return
	}
	s.stream(w, r, req.Create, from, d.dropped)
}

// stream sends the changes from revision from on until the watch ends.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, create watchCreate, from int64, dropped <-chan struct{}) {
	enc := json.NewEncoder(w)
	flush := http.NewResponseController(w)
	send := func(m watchResponse) bool {
		if enc.Encode(streamMessage[watchResponse]{m}) != nil {
			return false
		}
		return flush.Flush() == nil
	}
	if !send(watchResponse{Header: header{int64String(s.engine.Revision())}, Created: true}) {
		return
	}
	progress := time.NewTicker(progressInterval)
	defer progress.Stop()
	for {
		events, upTo, next, ok := s.engine.ChangesSince(string(create.Key), string(create.RangeEnd), from)
		if !ok {
			send(watchResponse{Canceled: true, CompactRevision: int64String(s.engine.compactedRevision())})
			return
		}
		if len(events) > 0 && !send(eventsMessage(events, upTo)) {
			return
		}
		from = upTo + 1
		select {
		case <-next:
		case <-progress.C:
			if !send(watchResponse{Header: header{int64String(upTo)}}) {
				return
			}
		case <-dropped:
			panic(http.ErrAbortHandler)
		case <-s.stop:
			return
		case <-r.Context().Done():
			return
		}
	}
}

func eventsMessage(events []change, upTo int64) watchResponse {
	m := watchResponse{Header: header{int64String(upTo)}}
	for _, c := range events {
		e := watchEvent{KV: c.keyValue()}
		if c.deleted {
			e.Type = "DELETE"
		}
		m.Events = append(m.Events, e)
	}
	return m
}

func (e *Engine) compactedRevision() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.compacted
}
