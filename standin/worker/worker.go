// Package worker is a small stand-in for the fleet's workers: backend servers
// that answer requests, run tasks under leases, and can be told to misbehave.
// It keeps count of what it was asked, to check what postmount promises.
package worker

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/postmount/postmount/adapter/backendhttp"
	"github.com/postmount/postmount/adapter/workerhttp"
)

// Faults are the ways in which one worker can be told to misbehave.
type Faults struct {
	Fail     bool `json:"fail"`      // answers every request with 500 and fails every task
	SlowMS   int  `json:"slow_ms"`   // is that much slower
	Cut      bool `json:"cut"`       // breaks its answers off half-way
	Hang     bool `json:"hang"`      // never answers
	Foreign  bool `json:"foreign"`   // answers with another request's id
	Overload bool `json:"overload"`  // refuses without running
	CutEvery int  `json:"cut_every"` // breaks off every n-th answer
}

// Spec describes one worker.
type Spec struct {
	ID           string `json:"id"`
	Zone         string `json:"zone"`
	Rack         string `json:"rack"`
	Addr         string `json:"addr"` // IP:port; port 0 takes a free one
	Slots        int    `json:"slots"`
	Connections  int    `json:"connections"`
	CPUMilli     int    `json:"cpu_milli"`
	MemoryMB     int    `json:"memory_mb"`
	Accelerators int    `json:"accelerators"`
}

// Counts are what a worker has seen.
type Counts struct {
	Requests   int64 `json:"requests"`
	MaxAtOnce  int   `json:"max_at_once"`
	OverSlots  int64 `json:"over_slots"`   // requests beyond the worker's slots
	OverConns  int64 `json:"over_conns"`   // connections beyond its limit
	LateWork   int64 `json:"late_work"`    // requests later than LateAfter into a drain
	TasksDone  int64 `json:"tasks_done"`   //
	TasksTwice int64 `json:"tasks_twice"`  // attempts of a job that ran beside another
	Lapsed     int64 `json:"tasks_lapsed"` // tasks stopped because their lease lapsed
}

// LateAfter is how soon into a drain new work must have stopped.
const LateAfter = 3 * time.Second

// HeaderOnce marks a request of the load that must run at most once.
const HeaderOnce = "X-Load-Once"

// HeaderServiceMS is the time that the load asks a request to take.
const HeaderServiceMS = "X-Load-Service-Ms"

// Answer is the body of a worker's answer. The load checks it.
type Answer struct {
	Worker  string `json:"worker"`
	Method  string `json:"method"`
	URI     string `json:"uri"`
	BodySum string `json:"body_sha256"`
	LoadID  string `json:"load_id"`
	Padding string `json:"padding"`
}

// Worker is one worker.
type Worker struct {
	spec Spec
	log  *executions

	mu       sync.Mutex
	server   *http.Server
	faults   Faults
	counts   Counts
	atOnce   int
	conns    map[net.Conn]bool
	draining time.Time // zero: not draining
	down     bool
	tasks    map[taskID]*task
	released chan struct{} // closed to let hanging requests go
}

// executions counts, over all workers, how often each request that must run at
// most once has run.
type executions struct {
	mu  sync.Mutex
	ran map[string]int
}

func (e *executions) add(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ran[id]++
}

func newWorker(spec Spec, log *executions) *Worker {
	return &Worker{spec: spec, log: log, conns: map[net.Conn]bool{}, tasks: map[taskID]*task{}, released: make(chan struct{})}
}

// start listens at the worker's address.
func (w *Worker) start() error {
	l, err := net.Listen("tcp", w.spec.Addr)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.spec.Addr = l.Addr().String()
	w.down = false
	w.released = make(chan struct{})
	server := &http.Server{Handler: w, ConnState: w.connState}
	w.server = server
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			l.Close()
		}
	}()
	return nil
}

// stop takes the worker down at once, as a reboot does. Its tasks are lost.
func (w *Worker) stop() {
	w.mu.Lock()
	server := w.server
	w.server = nil
	w.down = true
	clear(w.tasks)
	select {
	case <-w.released:
	default:
		close(w.released)
	}
	w.mu.Unlock()
	if server != nil {
		server.Close()
	}
}

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
		w.sync(rw, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	f, cut, released := w.enter()
	defer w.leave()
	if f.Overload {
		rw.Header().Set(backendhttp.HeaderNotRun, "true")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.Header.Get(HeaderOnce) != "" {
		w.log.add(r.Header.Get(HeaderOnce))
	}
	if f.Hang {
		<-released
		return
	}
	wait(r, f, released)
	w.answer(rw, r, body, f, cut)
}

// wait takes the time that the request asks for.
func wait(r *http.Request, f Faults, released <-chan struct{}) {
	ms, _ := time.ParseDuration(r.Header.Get(HeaderServiceMS) + "ms")
	t := time.NewTimer(ms + time.Duration(f.SlowMS)*time.Millisecond)
	defer t.Stop()
	select {
	case <-t.C:
	case <-released:
	}
}

func (w *Worker) enter() (f Faults, cut bool, released <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts.Requests++
	w.atOnce++
	w.counts.MaxAtOnce = max(w.counts.MaxAtOnce, w.atOnce)
	if w.spec.Slots > 0 && w.atOnce > w.spec.Slots {
		w.counts.OverSlots++
	}
	if !w.draining.IsZero() && time.Since(w.draining) > LateAfter {
		w.counts.LateWork++
	}
	cut = w.faults.Cut || (w.faults.CutEvery > 0 && w.counts.Requests%int64(w.faults.CutEvery) == 0)
	return w.faults, cut, w.released
}

func (w *Worker) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.atOnce--
}

// paddingLength makes answers long enough to be broken off.
const paddingLength = 512

func (w *Worker) answer(rw http.ResponseWriter, r *http.Request, body []byte, f Faults, cut bool) {
	sum := sha256.Sum256(body)
	data, _ := json.Marshal(Answer{
		Worker: w.spec.ID, Method: r.Method, URI: r.URL.RequestURI(), BodySum: hex.EncodeToString(sum[:]),
		LoadID: r.Header.Get("X-Load-Id"), Padding: strings.Repeat("x", paddingLength),
	})
	id := r.Header.Get(backendhttp.HeaderRequestID)
	if f.Foreign {
		id = "foreign"
	}
	rw.Header().Set(backendhttp.HeaderRequestID, id)
	rw.Header().Set("Content-Type", "application/json")
	switch {
	case f.Fail:
		rw.WriteHeader(http.StatusInternalServerError)
	case cut:
		rw.Header().Set("Content-Length", itoa(len(data)))
		_, _ = rw.Write(data[:len(data)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = rw.Write(data)
}

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
