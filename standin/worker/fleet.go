package worker

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"

	"github.com/go-chi/chi/v5"
)

// Fleet is a set of workers in one process and their control interface.
type Fleet struct {
	mu         sync.Mutex
	workers    map[string]*Worker
	executions *executions
}

// NewFleet starts a worker for each spec.
func NewFleet(specs []Spec) (*Fleet, error) {
	f := &Fleet{workers: map[string]*Worker{}, executions: &executions{runs: map[string]int{}}}
	for _, s := range specs {
		w := newWorker(s, f.executions)
		if err := w.start(); err != nil {
			f.Close()
			return nil, err
		}
		f.workers[s.ID] = w
	}
	return f, nil
}

// Close stops every worker.
func (f *Fleet) Close() {
	for _, w := range f.all() {
		w.stop()
	}
}

func (f *Fleet) all() []*Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*Worker
	for _, id := range slices.Sorted(maps.Keys(f.workers)) {
		out = append(out, f.workers[id])
	}
	return out
}

func (f *Fleet) get(id string) (*Worker, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.workers[id]; w != nil {
		return w, nil
	}
	return nil, fmt.Errorf("no worker %q", id)
}

// Specs returns the specs of all workers, with the addresses that they listen on.
func (f *Fleet) Specs() []Spec {
	var out []Spec
	for _, w := range f.all() {
		w.mu.Lock()
		out = append(out, w.spec)
		w.mu.Unlock()
	}
	return out
}

// SetDraining starts or ends the drain of a worker.
func (f *Fleet) SetDraining(id string, draining bool) error {
	w, err := f.get(id)
	if err != nil {
		return err
	}
	w.setDraining(draining)
	return nil
}

// SetUp stops a worker or starts it again at the same address.
func (f *Fleet) SetUp(id string, up bool) error {
	w, err := f.get(id)
	if err != nil {
		return err
	}
	if !up {
		w.stop()
		return nil
	}
	w.mu.Lock()
	down := w.down
	w.mu.Unlock()
	if !down {
		return nil
	}
	return w.start()
}

// Busy returns the number of requests in flight and running tasks of a worker.
func (f *Fleet) Busy(id string) (int, error) {
	w, err := f.get(id)
	if err != nil {
		return 0, err
	}
	return w.busy(), nil
}

// SetFaults replaces the faults of a worker.
func (f *Fleet) SetFaults(id string, faults Faults) error {
	w, err := f.get(id)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = faults
	return nil
}

// Report holds the counts of all workers together.
type Report struct {
	Counts
	// Duplicates lists the IDs of the run-once requests that ran more than once.
	Duplicates []string `json:"duplicates"`
	// RunOnceExecuted is the number of run-once requests that ran.
	RunOnceExecuted int `json:"ran_once"`
}

// Report sums up the counts of the workers.
func (f *Fleet) Report() Report {
	var r Report
	for _, w := range f.all() {
		w.mu.Lock()
		c := w.counts
		w.mu.Unlock()
		r.Requests += c.Requests
		r.MaxInFlight = max(r.MaxInFlight, c.MaxInFlight)
		r.OverSlots += c.OverSlots
		r.OverConns += c.OverConns
		r.LateRequests += c.LateRequests
		r.TasksDone += c.TasksDone
		r.ConcurrentAttempts += c.ConcurrentAttempts
		r.TasksExpired += c.TasksExpired
	}
	f.executions.mu.Lock()
	defer f.executions.mu.Unlock()
	r.RunOnceExecuted = len(f.executions.runs)
	for id, n := range f.executions.runs {
		if n > 1 {
			r.Duplicates = append(r.Duplicates, id)
		}
	}
	slices.Sort(r.Duplicates)
	return r
}

// RunCount returns how often a run-once request ran.
func (f *Fleet) RunCount(id string) int {
	f.executions.mu.Lock()
	defer f.executions.mu.Unlock()
	return f.executions.runs[id]
}

// StateMessage is the body of PUT /standin/workers/{id}/state.
type StateMessage struct {
	Draining *bool `json:"draining,omitempty"`
	Up       *bool `json:"up,omitempty"`
}

// Handler returns the HTTP handler of the control interface.
func (f *Fleet) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/standin/report", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(f.Report()) })
	r.Get("/standin/workers", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(f.Specs()) })
	r.Get("/standin/workers/{id}/busy", func(w http.ResponseWriter, q *http.Request) {
		n, err := f.Busy(chi.URLParam(q, "id"))
		if err != nil {
			http.Error(w, err.Error(), http.StatusNotFound)
			return
		}
		_ = json.NewEncoder(w).Encode(n)
	})
	r.Put("/standin/workers/{id}/faults", func(w http.ResponseWriter, q *http.Request) {
		var faults Faults
		decodeAndApply(w, q, &faults, func() error { return f.SetFaults(chi.URLParam(q, "id"), faults) })
	})
	r.Put("/standin/workers/{id}/state", func(w http.ResponseWriter, q *http.Request) {
		var m StateMessage
		decodeAndApply(w, q, &m, func() error { return f.setState(chi.URLParam(q, "id"), m) })
	})
	return r
}

func (f *Fleet) setState(id string, m StateMessage) error {
	if m.Draining != nil {
		if err := f.SetDraining(id, *m.Draining); err != nil {
			return err
		}
	}
	if m.Up != nil {
		return f.SetUp(id, *m.Up)
	}
	return nil
}

// decodeAndApply decodes a JSON body, which must not have unknown fields, into target and calls
// apply. It answers with status 400 if either fails.
func decodeAndApply(w http.ResponseWriter, r *http.Request, target any, apply func() error) {
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	err := dec.Decode(target)
	if err == nil {
		err = apply()
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}
