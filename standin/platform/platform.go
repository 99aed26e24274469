// Package platform is a small stand-in for the platform's instance list and instance actions;
// docs/PROTOCOLS.md describes its calls. The list shows changes with a delay, commands are
// idempotent by id and refused for a wrong generation, and faults can be injected.
package platform

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/postmount/postmount/adapter/platformhttp"
	"github.com/postmount/postmount/requests/fleet"
)

// Workers controls the workers on the instances.
type Workers interface {
	SetDraining(id string, draining bool) error
	SetUp(id string, up bool) error
	Busy(id string) (int, error)
}

// Faults are the faults and delays of the stand-in.
type Faults struct {
	Down bool `json:"down"` // refuses every call
	// ListLagMS is the delay until a change shows in the instance list.
	ListLagMS int `json:"list_lag_ms"`
	// RebootMS is the duration of a reboot.
	RebootMS int `json:"reboot_ms"`
	// DrainLimitMS bounds a drain: the instance is drained then even if work still runs.
	DrainLimitMS int `json:"drain_limit_ms"`
	// NeverReturn lists instances that do not come back from a reboot.
	NeverReturn []string `json:"never_return"`
}

// DefaultFaults describe a healthy platform, with delays short enough for a demo.
var DefaultFaults = Faults{ListLagMS: 200, RebootMS: 400, DrainLimitMS: 10_000}

// instance is the actual state of an instance.
type instance struct {
	msg      platformhttp.InstanceMessage
	commands map[string]bool // ids of executed commands
}

// listing is an instance as the list shows it.
type listing struct {
	msg     platformhttp.InstanceMessage
	version int64 // of its last change
}

// pending is a change that the list doesn't show yet.
type pending struct {
	at  time.Time
	msg platformhttp.InstanceMessage
}

// Platform is the stand-in for the platform.
type Platform struct {
	workers Workers

	mu          sync.Mutex
	faults      Faults
	instances   map[string]*instance
	listed      map[string]listing
	version     int64 // of the newest change in listed
	pending     []pending
	goneEntries []string
	router      chi.Router
	timers      sync.WaitGroup
	closed      chan struct{}
}

// New returns a platform without instances.
func New(workers Workers, faults Faults) *Platform {
	p := &Platform{workers: workers, faults: faults, instances: map[string]*instance{}, listed: map[string]listing{}, closed: make(chan struct{})}
	r := chi.NewRouter()
	r.Get("/v1/instances", p.unlessDown(p.list))
	r.Post("/v1/instances/{id}/commands", p.unlessDown(p.command))
	r.Put("/standin/faults", p.putFaults)
	r.Get("/standin/faults", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(p.Faults()) })
	r.Post("/standin/instances", p.postInstances)
	r.Post("/standin/instances/{id}/fail", func(w http.ResponseWriter, q *http.Request) { writeResult(w, p.Fail(chi.URLParam(q, "id"))) })
	r.Post("/standin/instances/{id}/restart", func(w http.ResponseWriter, q *http.Request) { writeResult(w, p.Restart(chi.URLParam(q, "id"))) })
	r.Post("/standin/entries/gone", p.postGone)
	p.router = r
	return p
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.router.ServeHTTP(w, r) }

// Close ends running drains and reboots and waits for them.
func (p *Platform) Close() {
	close(p.closed)
	p.timers.Wait()
}

// Faults returns the current faults.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Add puts instances into service.
func (p *Platform) Add(list []platformhttp.InstanceMessage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range list {
		m.State = string(fleet.InstanceReady)
		m.Generation = 1
		p.instances[m.ID] = &instance{msg: m, commands: map[string]bool{}}
		p.listLocked(m)
	}
}

func (p *Platform) listLocked(m platformhttp.InstanceMessage) {
	p.version++
	p.listed[m.ID] = listing{m, p.version}
}

// MarkGone adds entry daemons that have ended to the list.
func (p *Platform) MarkGone(incarnations ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.goneEntries = append(p.goneEntries, incarnations...)
}

// States returns the actual state of every instance, by id.
func (p *Platform) States() map[string]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]string, len(p.instances))
	for id, i := range p.instances {
		out[id] = i.msg.State
	}
	return out
}

// scheduleListingLocked makes the list show an instance's state after the list lag.
func (p *Platform) scheduleListingLocked(i *instance) {
	lag := time.Duration(p.faults.ListLagMS) * time.Millisecond
	p.pending = append(p.pending, pending{at: time.Now().Add(lag), msg: i.msg})
}

func (p *Platform) publishLocked(now time.Time) {
	rest := p.pending[:0]
	for _, c := range p.pending {
		if c.at.After(now) {
			rest = append(rest, c)
			continue
		}
		p.listLocked(c.msg)
	}
	p.pending = rest
}

// list answers with the instances that changed after the version in the query's since, or with
// all if there is none.
func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	p.mu.Lock()
	p.publishLocked(time.Now())
	m := platformhttp.ListMessage{Version: p.version, Full: err != nil || since <= 0 || since > p.version, GoneEntries: slices.Clone(p.goneEntries)}
	for _, id := range slices.Sorted(maps.Keys(p.listed)) {
		if l := p.listed[id]; m.Full || l.version > since {
			m.Instances = append(m.Instances, l.msg)
		}
	}
	p.mu.Unlock()
	_ = json.NewEncoder(w).Encode(m)
}

func (p *Platform) unlessDown(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if p.Faults().Down {
			http.Error(w, "platform unavailable", http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	}
}

func (p *Platform) command(w http.ResponseWriter, r *http.Request) {
	var m platformhttp.CommandMessage
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := p.execute(chi.URLParam(r, "id"), m); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
	}
}

// execute starts a command. A repeated command succeeds without effect.
func (p *Platform) execute(id string, m platformhttp.CommandMessage) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := p.instances[id]
	switch {
	case i == nil:
		return fmt.Errorf("no instance %q", id)
	case i.commands[m.ID]:
		return nil
	case i.msg.Generation != m.Generation:
		return fmt.Errorf("instance %s is at generation %d, not %d", id, i.msg.Generation, m.Generation)
	case i.msg.State == string(fleet.InstanceFailed):
		return fmt.Errorf("instance %s has failed", id)
	}
	i.commands[m.ID] = true
	i.msg.Generation++
	i.msg.LastCommand = m.ID
	generation := i.msg.Generation
	switch fleet.Action(m.Action) {
	case fleet.ActionDrain:
		p.setLocked(i, fleet.InstanceDraining)
		p.runAsync(func() { p.drain(id, generation) })
	case fleet.ActionReboot:
		p.setLocked(i, fleet.InstanceRebooting)
		p.runAsync(func() { p.reboot(id, generation) })
	case fleet.ActionReturn:
		p.setLocked(i, fleet.InstanceReady)
		p.runAsync(func() { _ = p.workers.SetDraining(id, false) })
	default:
		return fmt.Errorf("unknown action %q", m.Action)
	}
	return nil
}

func (p *Platform) setLocked(i *instance, s fleet.InstanceState) {
	i.msg.State = string(s)
	p.scheduleListingLocked(i)
}

func (p *Platform) runAsync(fn func()) {
	p.timers.Add(1)
	go func() {
		defer p.timers.Done()
		fn()
	}()
}

// setState sets the state of an instance unless a newer command or event has changed its
// generation.
func (p *Platform) setState(id string, generation int64, s fleet.InstanceState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := p.instances[id]; i != nil && i.msg.Generation == generation {
		p.setLocked(i, s)
	}
}

const drainPoll = 20 * time.Millisecond

// drain waits until the worker is idle or the drain limit is over.
func (p *Platform) drain(id string, generation int64) {
	_ = p.workers.SetDraining(id, true)
	limit := time.Now().Add(time.Duration(p.Faults().DrainLimitMS) * time.Millisecond)
	for time.Now().Before(limit) {
		if n, err := p.workers.Busy(id); err == nil && n == 0 {
			break
		}
		if !p.sleep(drainPoll) {
			return
		}
	}
	p.setState(id, generation, fleet.InstanceDrained)
}

func (p *Platform) reboot(id string, generation int64) {
	_ = p.workers.SetUp(id, false)
	f := p.Faults()
	if slices.Contains(f.NeverReturn, id) || !p.sleep(time.Duration(f.RebootMS)*time.Millisecond) {
		return
	}
	_ = p.workers.SetUp(id, true)
	p.setState(id, generation, fleet.InstanceDrained)
}

func (p *Platform) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-p.closed:
		return false
	}
}

// Fail makes an instance fail without a command.
func (p *Platform) Fail(id string) error {
	p.mu.Lock()
	i := p.instances[id]
	if i == nil {
		p.mu.Unlock()
		return fmt.Errorf("no instance %q", id)
	}
	i.msg.Generation++
	p.setLocked(i, fleet.InstanceFailed)
	p.mu.Unlock()
	return p.workers.SetUp(id, false)
}

// Restart puts an instance back into service without a command.
func (p *Platform) Restart(id string) error {
	if err := p.workers.SetUp(id, true); err != nil {
		return err
	}
	if err := p.workers.SetDraining(id, false); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	i := p.instances[id]
	if i == nil {
		return fmt.Errorf("no instance %q", id)
	}
	i.msg.Generation++
	p.setLocked(i, fleet.InstanceReady)
	return nil
}

func (p *Platform) putFaults(w http.ResponseWriter, r *http.Request) {
	f := p.Faults()
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
}

func (p *Platform) postInstances(w http.ResponseWriter, r *http.Request) {
	var m platformhttp.ListMessage
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.Add(m.Instances)
}

func (p *Platform) postGone(w http.ResponseWriter, r *http.Request) {
	var incarnations []string
	if err := json.NewDecoder(r.Body).Decode(&incarnations); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.MarkGone(incarnations...)
}

func writeResult(w http.ResponseWriter, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}
