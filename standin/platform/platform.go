// Package platform is a small stand-in for the platform's instance list and instance commands;
// docs/PROTOCOLS.md describes its calls. The list shows changes with a delay. A command with a
// known ID has no further effect, and one for another generation of the instance is refused.
// Faults can be injected.
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
	// Down refuses every call of the platform's API.
	Down bool `json:"down"`
	// ListLagMS is the delay in ms until the instance list shows a change.
	ListLagMS int `json:"list_lag_ms"`
	// RebootMS is the duration of a reboot in ms.
	RebootMS int `json:"reboot_ms"`
	// DrainLimitMS is the maximum duration of a drain: the instance counts as drained then even if
	// work still runs.
	DrainLimitMS int `json:"drain_limit_ms"`
	// NeverReturn lists instances that do not come back from a reboot.
	NeverReturn []string `json:"never_return"`
}

// DefaultFaults describe a healthy platform, with delays short enough for a demo.
var DefaultFaults = Faults{ListLagMS: 200, RebootMS: 400, DrainLimitMS: 10_000}

// instance is the actual state of an instance.
type instance struct {
	msg      platformhttp.InstanceMessage
	commands map[string]bool // IDs of executed commands
}

// listing is an instance as the list shows it.
type listing struct {
	msg     platformhttp.InstanceMessage
	version int64 // of the list at its last change
}

// pendingChange is a change that the list doesn't show yet.
type pendingChange struct {
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
	pending     []pendingChange
	goneEntries []string // incarnations of entry daemons that have ended
	router      chi.Router
	background  sync.WaitGroup // goroutines of runAsync
	closed      chan struct{}
}

// New returns a platform without instances.
func New(workers Workers, faults Faults) *Platform {
	p := &Platform{workers: workers, faults: faults, instances: map[string]*instance{}, listed: map[string]listing{}, closed: make(chan struct{})}
	r := chi.NewRouter()
	r.Get("/v1/instances", p.refuseIfDown(p.list))
	r.Post("/v1/instances/{id}/commands", p.refuseIfDown(p.command))
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

// Close aborts running drains and reboots and waits for their goroutines.
func (p *Platform) Close() {
	close(p.closed)
	p.background.Wait()
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

// Add adds instances to the platform. They are ready and of generation 1.
func (p *Platform) Add(list []platformhttp.InstanceMessage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range list {
		m.State = string(fleet.InstanceReady)
		m.Generation = 1
		p.instances[m.ID] = &instance{msg: m, commands: map[string]bool{}}
		p.publishLocked(m)
	}
}

// publishLocked makes the list show an instance.
func (p *Platform) publishLocked(m platformhttp.InstanceMessage) {
	p.version++
	p.listed[m.ID] = listing{m, p.version}
}

// MarkGone adds incarnations of entry daemons that have ended to the instance list's answers.
func (p *Platform) MarkGone(incarnations ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.goneEntries = append(p.goneEntries, incarnations...)
}

// States returns the actual state of every instance by ID, without the list's delay.
func (p *Platform) States() map[string]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]string, len(p.instances))
	for id, i := range p.instances {
		out[id] = i.msg.State
	}
	return out
}

// scheduleListingLocked makes the list show the instance's current state after Faults.ListLagMS.
func (p *Platform) scheduleListingLocked(i *instance) {
	lag := time.Duration(p.faults.ListLagMS) * time.Millisecond
	p.pending = append(p.pending, pendingChange{at: time.Now().Add(lag), msg: i.msg})
}

// publishDueLocked makes the list show the pending changes that are due.
func (p *Platform) publishDueLocked(now time.Time) {
	rest := p.pending[:0]
	for _, c := range p.pending {
		if c.at.After(now) {
			rest = append(rest, c)
			continue
		}
		p.publishLocked(c.msg)
	}
	p.pending = rest
}

// list answers with the instances that changed after the version in the query parameter since, or
// with all instances if since is missing, invalid or newer than the list.
func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	p.mu.Lock()
	p.publishDueLocked(time.Now())
	m := platformhttp.ListMessage{Version: p.version, Full: err != nil || since <= 0 || since > p.version, GoneEntries: slices.Clone(p.goneEntries)}
	for _, id := range slices.Sorted(maps.Keys(p.listed)) {
		if l := p.listed[id]; m.Full || l.version > since {
			m.Instances = append(m.Instances, l.msg)
		}
	}
	p.mu.Unlock()
	_ = json.NewEncoder(w).Encode(m)
}

// refuseIfDown wraps a handler to answer with status 503 while Faults.Down is set.
func (p *Platform) refuseIfDown(next http.HandlerFunc) http.HandlerFunc {
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
		return fmt.Errorf("the platform has no instance %q", id)
	case i.commands[m.ID]:
		return nil
	case i.msg.Generation != m.Generation:
		return fmt.Errorf("instance %s is at generation %d, not %d", id, i.msg.Generation, m.Generation)
	case i.msg.State == string(fleet.InstanceFailed):
		return fmt.Errorf("instance %s has failed and takes no commands", id)
	}
	i.commands[m.ID] = true
	i.msg.Generation++
	i.msg.LastCommand = m.ID
	generation := i.msg.Generation
	switch fleet.Action(m.Action) {
	case fleet.ActionDrain:
		p.setStateLocked(i, fleet.InstanceDraining)
		p.runAsync(func() { p.drain(id, generation) })
	case fleet.ActionReboot:
		p.setStateLocked(i, fleet.InstanceRebooting)
		p.runAsync(func() { p.reboot(id, generation) })
	case fleet.ActionReturn:
		p.setStateLocked(i, fleet.InstanceReady)
		p.runAsync(func() { _ = p.workers.SetDraining(id, false) })
	default:
		return fmt.Errorf("unknown action %q", m.Action)
	}
	return nil
}

func (p *Platform) setStateLocked(i *instance, s fleet.InstanceState) {
	i.msg.State = string(s)
	p.scheduleListingLocked(i)
}

func (p *Platform) runAsync(fn func()) {
	p.background.Add(1)
	go func() {
		defer p.background.Done()
		fn()
	}()
}

// setState sets the state of an instance unless a newer command or event has changed its
// generation.
func (p *Platform) setState(id string, generation int64, s fleet.InstanceState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := p.instances[id]; i != nil && i.msg.Generation == generation {
		p.setStateLocked(i, s)
	}
}

// drainPollInterval is the time between two checks whether a draining worker is idle.
const drainPollInterval = 20 * time.Millisecond

// drain waits until the worker is idle, at most for Faults.DrainLimitMS, and marks the instance as
// drained.
func (p *Platform) drain(id string, generation int64) {
	_ = p.workers.SetDraining(id, true)
	limit := time.Now().Add(time.Duration(p.Faults().DrainLimitMS) * time.Millisecond)
	for time.Now().Before(limit) {
		if n, err := p.workers.Busy(id); err == nil && n == 0 {
			break
		}
		if !p.sleep(drainPollInterval) {
			return
		}
	}
	p.setState(id, generation, fleet.InstanceDrained)
}

// reboot takes the worker down for Faults.RebootMS, or permanently if Faults.NeverReturn
// lists it.
func (p *Platform) reboot(id string, generation int64) {
	_ = p.workers.SetUp(id, false)
	f := p.Faults()
	if slices.Contains(f.NeverReturn, id) || !p.sleep(time.Duration(f.RebootMS)*time.Millisecond) {
		return
	}
	_ = p.workers.SetUp(id, true)
	p.setState(id, generation, fleet.InstanceDrained)
}

// sleep waits for d. It reports false if the platform is closed before that.
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
		return fmt.Errorf("the platform has no instance %q", id)
	}
	i.msg.Generation++
	p.setStateLocked(i, fleet.InstanceFailed)
	p.mu.Unlock()
	return p.workers.SetUp(id, false)
}

// Restart puts an instance back into service without a command, whatever its state.
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
		return fmt.Errorf("the platform has no instance %q", id)
	}
	i.msg.Generation++
	p.setStateLocked(i, fleet.InstanceReady)
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
