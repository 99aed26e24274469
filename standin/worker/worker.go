// Package worker is a small stand-in for the fleet's workers: backend servers that answer
// requests, run tasks under leases and can inject faults. They count requests and tasks, so that
// tests and the lab can check postmount's guarantees.
package worker

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/postmount/postmount/adapter/backendhttp"
	"github.com/postmount/postmount/adapter/workerhttp"
)

// Faults are the faults that a worker injects.
type Faults struct {
	Fail            bool `json:"fail"`      // answers every request with status 500 and fails every task
	SlowMS          int  `json:"slow_ms"`   // added to the time of every request
	TruncateAnswers bool `json:"cut"`       // closes the connection in the middle of every answer
	Hang            bool `json:"hang"`      // doesn't answer until it is stopped
	WrongRequestID  bool `json:"foreign"`   // answers with the ID of another request
	Overload        bool `json:"overload"`  // refuses every request without running it
	TruncateEvery   int  `json:"cut_every"` // closes the connection in the middle of every n-th answer; 0: of none
}

// Spec describes a worker.
type Spec struct {
	ID           string `json:"id"`
	Zone         string `json:"zone"`
	Rack         string `json:"rack"`
	Addr         string `json:"addr"` // IP:port; port 0 means a free one
	Slots        int    `json:"slots"`
	Connections  int    `json:"connections"`
	CPUMilli     int    `json:"cpu_milli"`
	MemoryMB     int    `json:"memory_mb"`
	Accelerators int    `json:"accelerators"`
}

// Counts are the counters of a worker since its creation.
type Counts struct {
	Requests           int64 `json:"requests"`
	MaxInFlight        int   `json:"max_at_once"`
	OverSlots          int64 `json:"over_slots"` // requests beyond the worker's slots
	OverConns          int64 `json:"over_conns"` // connections beyond its limit
	LateRequests       int64 `json:"late_work"`  // requests that began later than DrainGrace after the start of a drain
	TasksDone          int64 `json:"tasks_done"`
	ConcurrentAttempts int64 `json:"tasks_twice"`  // attempts of a job that started while another one ran
	TasksExpired       int64 `json:"tasks_lapsed"` // tasks stopped because their lease expired
}

// DrainGrace is how long after the start of a drain requests may still arrive.
const DrainGrace = 3 * time.Second

// HeaderRunOnce holds the ID of a request that must run at most once ("run-once").
const HeaderRunOnce = "X-Load-Once"

// HeaderServiceMS is the service time of a request in milliseconds, set by the load generator.
const HeaderServiceMS = "X-Load-Service-Ms"

// Answer is the body of a worker's answer; the load generator checks it.
type Answer struct {
	Worker  string `json:"worker"`
	Method  string `json:"method"`
	URI     string `json:"uri"`
	BodySum string `json:"body_sha256"`
	LoadID  string `json:"load_id"`
	Padding string `json:"padding"`
}

// Worker is a stand-in for a worker; Fleet starts and controls it.
type Worker struct {
	spec       Spec
	executions *executions

	mu       sync.Mutex
	server   *http.Server
	faults   Faults
	counts   Counts
	inFlight int
	conns    map[net.Conn]bool
	draining time.Time // zero: not draining
	down     bool
	tasks    map[taskID]*task
	stopped  chan struct{} // closed when the worker stops; ends the requests that hang
}

// executions counts how often each run-once request ran, over all workers of a fleet.
type executions struct {
	mu   sync.Mutex
	runs map[string]int
}

func (e *executions) add(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[id]++
}

func newWorker(spec Spec, runs *executions) *Worker {
	return &Worker{spec: spec, executions: runs, conns: map[net.Conn]bool{}, tasks: map[taskID]*task{}, stopped: make(chan struct{})}
}

// start begins to serve at the worker's address, or at a free port if its port is 0.
func (w *Worker) start() error {
	l, err := net.Listen("tcp", w.spec.Addr)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.spec.Addr = l.Addr().String()
	w.down = false
	w.stopped = make(chan struct{})
	server := &http.Server{Handler: w, ConnState: w.connState}
	w.server = server
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			l.Close()
		}
	}()
	return nil
}

// stop ends the worker immediately, as a reboot does. Its connections are closed and its tasks
// are lost.
func (w *Worker) stop() {
	w.mu.Lock()
	server := w.server
	w.server = nil
	w.down = true
	clear(w.tasks)
	select {
	case <-w.stopped:
	default:
		close(w.stopped)
	}
	w.mu.Unlock()
	if server != nil {
		server.Close()
	}
}

// connState tracks the open connections and counts those beyond the worker's limit.
func (w *Worker) connState(c net.Conn, s http.ConnState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch s {
	case http.StateNew:
		w.conns[c] = true
		if w.spec.Connections > 0 && len(w.conns) > w.spec.Connections {
			w.counts.OverConns++
		}
	case http.StateClosed, http.StateHijacked:
		delete(w.conns, c)
	}
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == workerhttp.TasksPath {
		w.serveTasks(rw, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	f, truncate, stopped := w.beginRequest()
	defer w.endRequest()
	if f.Overload {
		rw.Header().Set(backendhttp.HeaderNotRun, "true")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.Header.Get(HeaderRunOnce) != "" {
		w.executions.add(r.Header.Get(HeaderRunOnce))
	}
	if f.Hang {
		<-stopped
		return
	}
	serveDelay(r, f, stopped)
	w.answer(rw, r, body, f, truncate)
}

// serveDelay waits for the service time of the request plus Faults.SlowMS, or until the worker
// stops.
func serveDelay(r *http.Request, f Faults, stopped <-chan struct{}) {
	ms, _ := time.ParseDuration(r.Header.Get(HeaderServiceMS) + "ms")
	t := time.NewTimer(ms + time.Duration(f.SlowMS)*time.Millisecond)
	defer t.Stop()
	select {
	case <-t.C:
	case <-stopped:
	}
}

// beginRequest counts a request. It returns the faults that apply to it, whether its answer is
// truncated, and a channel that is closed when the worker stops.
func (w *Worker) beginRequest() (f Faults, truncate bool, stopped <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts.Requests++
	w.inFlight++
	w.counts.MaxInFlight = max(w.counts.MaxInFlight, w.inFlight)
	if w.spec.Slots > 0 && w.inFlight > w.spec.Slots {
		w.counts.OverSlots++
	}
	if !w.draining.IsZero() && time.Since(w.draining) > DrainGrace {
		w.counts.LateRequests++
	}
	truncate = w.faults.TruncateAnswers || (w.faults.TruncateEvery > 0 && w.counts.Requests%int64(w.faults.TruncateEvery) == 0)
	return w.faults, truncate, w.stopped
}

func (w *Worker) endRequest() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight--
}

// paddingBytes is the size of the padding that makes answers long enough to be truncated.
const paddingBytes = 512

// answer writes the answer to a request, with the faults that change it.
func (w *Worker) answer(rw http.ResponseWriter, r *http.Request, body []byte, f Faults, truncate bool) {
	sum := sha256.Sum256(body)
	data, _ := json.Marshal(Answer{
		Worker: w.spec.ID, Method: r.Method, URI: r.URL.RequestURI(), BodySum: hex.EncodeToString(sum[:]),
		LoadID: r.Header.Get("X-Load-Id"), Padding: strings.Repeat("x", paddingBytes),
	})
	id := r.Header.Get(backendhttp.HeaderRequestID)
	if f.WrongRequestID {
		id = "foreign"
	}
	rw.Header().Set(backendhttp.HeaderRequestID, id)
	rw.Header().Set("Content-Type", "application/json")
	switch {
	case f.Fail:
		rw.WriteHeader(http.StatusInternalServerError)
	case truncate:
		rw.Header().Set("Content-Length", strconv.Itoa(len(data)))
		_, _ = rw.Write(data[:len(data)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = rw.Write(data)
}

// setDraining starts or ends a drain; a drain that already runs keeps its start time.
func (w *Worker) setDraining(draining bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case !draining:
		w.draining = time.Time{}
	case w.draining.IsZero():
		w.draining = time.Now()
	}
}
