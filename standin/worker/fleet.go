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

// Fleet is a set of workers in one process, with an interface to control them.
type Fleet struct {
	mu      sync.Mutex
	workers map[string]*Worker
	ran     *executions
}

// NewFleet starts the workers of specs.
func NewFleet(specs []Spec) (*Fleet, error) {
	f := &Fleet{workers: map[string]*Worker{}, ran: &executions{ran: map[string]int{}}}
	for _, s := range specs {
		w := newWorker(s, f.ran)
		if err := w.start(); err != nil {
			f.Close()
			return nil, err
		}
		f.workers[s.ID] = w
	}
	return f, nil
}

// Close takes every worker down.
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

// Specs returns the workers with the addresses they listen at.
func (f *Fleet) Specs() []Spec {
	var out []Spec
	for _, w := range f.all() {
		w.mu.Lock()
		out = append(out, w.spec)
		w.mu.Unlock()
	}
	return out
}

// SetDraining tells a worker that it is draining, or is no longer.
func (f *Fleet) SetDraining(id string, draining bool) error {
	w, err := f.get(id)
	if err != nil {
		return err
	}
	w.setDraining(draining)
	return nil
}

// SetUp takes a worker down or brings it back at its address.
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

// Busy returns the requests in flight and running tasks of a worker.
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

// Report is what all workers have seen together.
type Report struct {
	Counts
	// Duplicates lists the requests that must run at most once and ran twice.
	Duplicates []string `json:"duplicates"`
	// Ran is how many requests that must run at most once have run.
	Ran int `json:"ran_once"`
}

// Report adds up the workers' counts.
func (f *Fleet) Report() Report {
	var r Report
	for _, w := range f.all() {
		w.mu.Lock()
		c := w.counts
		w.mu.Unlock()
		r.Requests += c.Requests
		r.MaxAtOnce = max(r.MaxAtOnce, c.MaxAtOnce)
		r.OverSlots += c.OverSlots
		r.OverConns += c.OverConns
		r.LateWork += c.LateWork
		r.TasksDone += c.TasksDone
		r.TasksTwice += c.TasksTwice
		r.Lapsed += c.Lapsed
	}
	f.ran.mu.Lock()
	defer f.ran.mu.Unlock()
	r.Ran = len(f.ran.ran)
	for id, n := range f.ran.ran {
		if n > 1 {
			r.Duplicates = append(r.Duplicates, id)
		}
	}
	slices.Sort(r.Duplicates)
	return r
}

// Ran reports how often a request that must run at most once has run.
func (f *Fleet) Ran(id string) int {
	f.ran.mu.Lock()
	defer f.ran.mu.Unlock()
	return f.ran.ran[id]
}

// StateMessage is the body of PUT /standin/workers/{id}/state.
type StateMessage struct {
	Draining *bool `json:"draining,omitempty"`
	Up       *bool `json:"up,omitempty"`
}

// Handler serves the control interface over HTTP.
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
		readInto(w, q, &faults, func() error { return f.SetFaults(chi.URLParam(q, "id"), faults) })
	})
	r.Put("/standin/workers/{id}/state", func(w http.ResponseWriter, q *http.Request) {
		var m StateMessage
		readInto(w, q, &m, func() error { return f.setState(chi.URLParam(q, "id"), m) })
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

// readInto decodes a strict JSON body and acts on it.
func readInto(w http.ResponseWriter, r *http.Request, into any, act func() error) {
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	err := dec.Decode(into)
	if err == nil {
		err = act()
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}
