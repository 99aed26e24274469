package store

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"
)

// Server serves an Engine as the etcd v3 JSON gateway and injects faults.
type Server struct {
	engine *Engine
	faults *faultControl
	router chi.Router
	stop   chan struct{}
}

// NewServer returns a server of a new, empty engine. Close stops its lease timer.
func NewServer() *Server {
	s := &Server{engine: NewEngine(), faults: newFaultControl(), stop: make(chan struct{})}
	r := chi.NewRouter()
	r.Post("/v3/kv/range", s.handle(kindRead, s.rangeKeys))
	r.Post("/v3/kv/txn", s.handle(kindWrite, s.txn))
	r.Post("/v3/lease/grant", s.handle(kindWrite, s.grant))
	r.Post("/v3/lease/keepalive", s.handle(kindWrite, s.keepAlive))
	r.Post("/v3/lease/revoke", s.handle(kindWrite, s.revoke))
	r.Post("/v3/watch", s.watch)
	r.Get("/standin/faults", s.getFaults)
	r.Put("/standin/faults", s.putFaults)
	r.Post("/standin/drop-watches", s.dropWatches)
	r.Post("/standin/lapse-leases", s.expireLeases)
	r.Get("/standin/calls", s.getCalls)
	s.router = r
	go s.expireLoop()
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// Close stops the lease timer and ends the watches.
func (s *Server) Close() { close(s.stop) }

// SetFaults replaces the faults. If this ends an outage, leases are extended by its duration.
func (s *Server) SetFaults(f Faults) {
	if outage := s.faults.set(f, time.Now()); outage > 0 {
		s.engine.ExtendLeases(outage)
	}
}

// Calls returns the counts of calls since the server was created.
func (s *Server) Calls() Calls {
	_, c := s.faults.snapshot()
	return c
}

// ExpireAllLeases expires every lease.
func (s *Server) ExpireAllLeases() { s.engine.ExpireAllLeases() }

// DropWatches aborts the connection of every watch.
func (s *Server) DropWatches() { s.faults.dropWatches() }

// expireInterval is the time between two searches for expired leases.
const expireInterval = 100 * time.Millisecond

func (s *Server) expireLoop() {
	t := time.NewTicker(expireInterval)
	defer t.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-t.C:
			if f, _ := s.faults.snapshot(); !f.Down {
				s.engine.Expire()
			}
		}
	}
}

// gatewayError is the response body of a failed call.
type gatewayError struct {
	Error   string `json:"error"`
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// gRPC status codes in the responses of the gateway.
const (
	codeResourceExhausted = 8
	codeOutOfRange        = 11
	codeUnavailable       = 14
	codeInvalidArgument   = 3
)

func writeError(w http.ResponseWriter, status, code int, text string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(gatewayError{Error: text, Code: code, Message: text})
}

// errAnswerLost makes the server close the connection instead of answering.
type errAnswerLost struct{}

func (errAnswerLost) Error() string { return "answer lost" }

// maxRequestBytes is the maximum size of a request body: values reach 1 MB before base64 encoding.
const maxRequestBytes = 2 << 20

// handle returns the handler of a call that takes and returns one JSON message.
func (s *Server) handle(k callKind, serve func(body json.RawMessage) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if _, ok := s.admit(w, r, k); !ok {
			return
		}
		var body json.RawMessage
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&body); err != nil {
			writeError(w, http.StatusBadRequest, codeInvalidArgument, err.Error())
			return
		}
		answer, err := serve(body)
		if _, lost := err.(errAnswerLost); lost {
			panic(http.ErrAbortHandler)
		}
		if err != nil {
			writeError(w, http.StatusBadRequest, codeInvalidArgument, err.Error())
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(answer)
	}
}

// admit applies the faults to a call. It returns false if the call ends here; it has then answered
// the call, unless the caller has disconnected.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, k callKind) (decision, bool) {
	d := s.faults.admit(k, time.Now())
	if d.down {
		writeError(w, http.StatusServiceUnavailable, codeUnavailable, "etcdserver: no leader")
		return d, false
	}
	if d.limited {
		writeError(w, http.StatusTooManyRequests, codeResourceExhausted, "etcdserver: too many requests")
		return d, false
	}
	if d.delay == 0 {
		return d, true
	}
	select {
	case <-time.After(d.delay):
		return d, true
	case <-r.Context().Done():
		return d, false
	}
}

func (s *Server) getFaults(w http.ResponseWriter, _ *http.Request) {
	f, _ := s.faults.snapshot()
	_ = json.NewEncoder(w).Encode(f)
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		writeError(w, http.StatusBadRequest, codeInvalidArgument, err.Error())
		return
	}
	s.SetFaults(f)
}

func (s *Server) getCalls(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.Calls())
}

func (s *Server) dropWatches(http.ResponseWriter, *http.Request) { s.DropWatches() }

func (s *Server) expireLeases(http.ResponseWriter, *http.Request) { s.ExpireAllLeases() }

// int64String formats a 64-bit integer as the gateway does.
func int64String(n int64) string { return strconv.FormatInt(n, 10) }
