package jobfleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sort"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/uber-go/tally/v4"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/node"
	"github.com/postmount/postmount/jobs/owner"
)

// Keys that the operator and the workers write in the stand-in's store.
const (
	keyCatalog    = "operator/catalog"
	prefixWave    = "operator/wave/"
	prefixWorker  = "worker/"
	prefixWaves   = "report/wave/"
	operatorsKeys = "operator/"
)

// Installation is daemons on stand-ins.
type Installation struct {
	Store   *Store
	Fleet   *Fleet
	Network *Network
	Judge   *Judge

	log  *zap.Logger
	mu   sync.Mutex
	hook Hook
	all  map[string]*Daemon
	ctx  context.Context
}

// Daemon is one daemon of an installation.
type Daemon struct {
	Name string
	Gate *Gate
	Node *node.Node
	stop context.CancelFunc
	done chan struct{}
}

// NewInstallation returns an installation without daemons and instances.
func NewInstallation(ctx context.Context, log *zap.Logger) *Installation {
	in := &Installation{Store: NewStore(), Network: NewNetwork(), Judge: NewJudge(), log: log, all: map[string]*Daemon{}, ctx: ctx}
	in.hook = func(string, string) Failure { return NoFailure }
	in.Fleet = NewFleet(in.Judge, func(key string, r *owner.Registration) {
		if r == nil {
			in.Store.Remove(prefixWorker + key)
			return
		}
		in.Store.Put(prefixWorker+key, encode(r))
	})
	return in
}

func encode(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err) // the stand-in's own types always can be encoded
	}
	return raw
}

// SetHook sets what is asked about each call.
func (in *Installation) SetHook(h Hook) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.hook = h
}

func (in *Installation) ask(daemon, op string) Failure {
	in.mu.Lock()
	h := in.hook
	in.mu.Unlock()
	return h(daemon, op)
}

// usualCores is a daemon's share of the processor.
const usualCores = 0.4

// Start starts a daemon.
func (in *Installation) Start(name string) *Daemon { return in.StartWith(name, usualCores) }

// StartWith starts a daemon that has a share of the processor.
func (in *Installation) StartWith(name string, cores float64) *Daemon {
	d := &Daemon{Name: name, Gate: &Gate{}, done: make(chan struct{})}
	set := node.Settings{
		Node: name, IP: name, PeerPort: 1, Cores: cores, MaxTaskLease: 10 * time.Second, StopGrace: 6 * time.Second,
		DutyHandover: dutyHandover, MinStoreLease: time.Second, KeepStatus: 2 * time.Minute,
	}
	d.Node = node.New(set, node.Platform{
		Store:   in.Store.Client(name, d.Gate, in.ask),
		Workers: in.Fleet.Client(name, d.Gate, in.ask),
		Manager: in.Fleet.Client(name, d.Gate, in.ask),
		Peers:   in.Network.Client(d.Gate),
		Dialect: dialect(),
	}, in.log.Named(name), node.NewMetrics(tally.NoopScope, nil))
	in.Network.Join(name+":1", d.Node.PeerHandler(), d.Gate)
	ctx, cancel := context.WithCancel(in.ctx)
	d.stop = cancel
	in.mu.Lock()
	in.all[name] = d
	in.mu.Unlock()
	go func() {
		defer close(d.done)
		d.Node.Work(ctx)
	}()
	return d
}

// Kill ends a daemon as a loss of power does.
func (in *Installation) Kill(name string) {
	if d := in.take(name); d != nil {
		d.Gate.Kill()
		in.Network.Leave(name + ":1")
		d.stop()
	}
}

// Stop ends a daemon as planned.
func (in *Installation) Stop(name string) {
	if d := in.take(name); d != nil {
		d.Node.HandOver()
		in.Network.Leave(name + ":1")
		d.stop()
	}
}

func (in *Installation) take(name string) *Daemon {
	in.mu.Lock()
	defer in.mu.Unlock()
	d := in.all[name]
	delete(in.all, name)
	return d
}

// Daemons returns the daemons that run, by name.
func (in *Installation) Daemons() []*Daemon {
	in.mu.Lock()
	defer in.mu.Unlock()
	var out []*Daemon
	for _, d := range in.all {
		out = append(out, d)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Name < out[b].Name })
	return out
}

// Owner returns the daemon that is the owner, nil if none is.
func (in *Installation) Owner() *Daemon {
	for _, d := range in.Daemons() {
		if d.Node.Owner() {
			return d
		}
	}
	return nil
}

// Configure writes a configuration as the operator does.
func (in *Installation) Configure(c *job.Catalog) { in.Store.Put(keyCatalog, encode(c)) }

// RequestWave asks for maintenance as the operator does.
func (in *Installation) RequestWave(w owner.WaveRequest) {
	in.Judge.Wave(w.Wave, w.MaxDown)
	in.Store.Put(fmt.Sprintf("%s%d", prefixWave, w.Wave), encode(w))
}

// WaveDone reports whether a wave is said to be completed.
func (in *Installation) WaveDone(wave int) bool {
	return string(in.Store.Value(fmt.Sprintf("%s%d", prefixWaves, wave))) == "completed"
}

func dialect() node.Dialect {
	return node.Dialect{
		ConfigKey:    keyCatalog,
		OperatorKeys: operatorsKeys,
		WavePrefix:   prefixWave,
		WorkerPrefix: prefixWorker,
		DecodeJob: func(raw []byte) (*job.Job, error) {
			j, err := unmarshal[job.Job](raw)
			return &j, err
		},
		DecodeCatalog: func(raw []byte) (*job.Catalog, error) {
			c, err := unmarshal[job.Catalog](raw)
			return &c, err
		},
		DecodeWorker: func(_ string, raw []byte) (owner.Registration, error) { return unmarshal[owner.Registration](raw) },
		DecodeWave:   unmarshal[owner.WaveRequest],
		WaveStatus: func(wave int, done bool) (string, []byte) {
			state := "running"
			if done {
				state = "completed"
			}
			return fmt.Sprintf("%s%d", prefixWaves, wave), []byte(state)
		},
	}
}

func unmarshal[T any](raw []byte) (T, error) {
	var v T
	err := json.Unmarshal(raw, &v)
	return v, err
}

// Caller sends requests to daemons by turns, as the balancer does.
type Caller struct {
	in   *Installation
	next int
}

// Caller returns a new caller.
func (in *Installation) Caller() *Caller { return &Caller{in: in} }

// send makes one request to the next daemon; status 0 means no answer.
func (c *Caller) send(method, path string, body []byte) (int, string) {
	daemons := c.in.Daemons()
	if len(daemons) == 0 {
		return 0, ""
	}
	c.next++
	d := daemons[c.next%len(daemons)]
	ctx, cancel := context.WithTimeout(c.in.ctx, callerPatience)
	defer cancel()
	r := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(string(body)))
	r.Host = "jobs.example"
	w := httptest.NewRecorder()
	d.Node.Callers().ServeHTTP(w, r)
	if d.Gate.dead() || ctx.Err() != nil {
		return 0, ""
	}
	return w.Code, w.Body.String()
}

// callerPatience is how long a caller waits for an answer.
const callerPatience = 3 * time.Second

// Submit sends a job once. accepted is true if it was; refused is true if it
// certainly never runs.
func (c *Caller) Submit(prefix string, j *job.Job) (accepted, refused bool) {
	c.in.Fleet.Know(j)
	c.in.Judge.Submitted(j)
	status, _ := c.send(http.MethodPost, prefix+string(j.ID), encode(j))
	accepted = status == http.StatusOK
	refused = status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
	c.in.Judge.Answered(j.ID, accepted, refused)
	return accepted, refused
}

// State asks for the state of a job; "" means no answer.
func (c *Caller) State(prefix string, id job.ID) job.State {
	status, body := c.send(http.MethodGet, prefix+string(id), nil)
	switch status {
	case http.StatusGone:
		c.in.Judge.Gone(id)
	case http.StatusOK:
		var out struct{ State job.State }
		if json.Unmarshal([]byte(body), &out) == nil {
			c.in.Judge.Shown(id, out.State)
			return out.State
		}
	}
	return ""
}

// Cancel cancels a job; it reports whether that was confirmed.
func (c *Caller) Cancel(prefix string, id job.ID) bool {
	status, _ := c.send(http.MethodDelete, prefix+string(id), nil)
	if status == http.StatusOK {
		c.in.Judge.Cancelled(id)
	}
	return status == http.StatusOK
}

// Pending asks how many jobs of a queue wait; -1 means no answer.
func (c *Caller) Pending(prefix string) int {
	status, body := c.send(http.MethodGet, prefix, nil)
	var out struct{ Pending int }
	if status != http.StatusOK || json.Unmarshal([]byte(body), &out) != nil {
		return -1
	}
	return out.Pending
}
