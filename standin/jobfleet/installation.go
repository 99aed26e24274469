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
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/uber-go/tally/v4"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/node"
	"github.com/postmount/postmount/jobs/owner"
	"github.com/postmount/postmount/jobs/policy"
)

// Installation is a set of daemons that share stand-ins for the store, fleet and network.
type Installation struct {
	Store   *Store
	Fleet   *Fleet
	Network *Network
	Checker *Checker
	// WrapWorkers, if set, wraps the worker client of daemons that start later.
	WrapWorkers func(owner.WorkerClient) owner.WorkerClient

	encoding    Encoding
	log         *zap.Logger
	mu          sync.Mutex
	failureFunc FailureFunc
	daemons     map[string]*Daemon
	cuts        *cuts
	ctx         context.Context
}

// Daemon is a daemon of an installation.
type Daemon struct {
	Name string
	Gate *Gate
	Node *node.Node
	stop context.CancelFunc
	done chan struct{}
}

// NewInstallation returns an installation without daemons and instances.
func NewInstallation(ctx context.Context, log *zap.Logger) *Installation {
	return NewInstallationWithEncoding(ctx, log, JSONEncoding)
}

// NewInstallationWithEncoding returns an installation whose store entries use an encoding.
func NewInstallationWithEncoding(ctx context.Context, log *zap.Logger, enc Encoding) *Installation {
	in := &Installation{Store: NewStore(), Network: NewNetwork(), Checker: NewChecker(), encoding: enc, daemons: map[string]*Daemon{}, cuts: &cuts{}, ctx: ctx}
	in.log = watchGivenUp(log, in.Checker)
	in.failureFunc = func(string, string) Failure { return NoFailure }
	in.Fleet = NewFleet(in.Checker, func(key string, r *owner.Registration) {
		if r == nil {
			in.Store.Remove(enc.WorkerPrefix + key)
			return
		}
		in.Store.Put(enc.WorkerPrefix+key, enc.EncodeWorker(r))
	})
	return in
}

// SetFailureFunc sets the function that chooses the failure of each call to a stand-in.
func (in *Installation) SetFailureFunc(h FailureFunc) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.failureFunc = h
}

func (in *Installation) failureOf(daemon, op string) Failure {
	in.mu.Lock()
	h := in.failureFunc
	in.mu.Unlock()
	return h(daemon, op)
}

// defaultCores is the CPU share of a daemon that Start starts, in cores.
const defaultCores = 0.4

// Start starts a daemon.
func (in *Installation) Start(name string) *Daemon { return in.StartWithCores(name, defaultCores) }

// StartWithCores starts a daemon whose CPU share is cores.
func (in *Installation) StartWithCores(name string, cores float64) *Daemon {
	d := &Daemon{Name: name, Gate: &Gate{name: name, cuts: in.cuts}, done: make(chan struct{})}
	set := node.Settings{
		Node: name, IP: name, PeerPort: 1, Cores: cores, MaxTaskLease: 10 * time.Second, StopGrace: 6 * time.Second,
		DutyHandover: dutyHandover, MinStoreLease: time.Second, StatusRetention: 2 * time.Minute, Policy: policy.Default(),
		MaxValueBytes: in.Store.MaxValueBytes(),
	}
	var workers owner.WorkerClient = in.Fleet.Client(name, d.Gate, in.failureOf)
	if in.WrapWorkers != nil {
		workers = in.WrapWorkers(workers)
	}
	d.Node = node.New(set, node.Platform{
		Clock:    clock{d.Gate},
		CPUProbe: d.Gate.probe,
		Store:    in.Store.Client(name, d.Gate, in.failureOf),
		Workers:  workers,
		Manager:  in.Fleet.Client(name, d.Gate, in.failureOf),
		Peers:    in.Network.Client(d.Gate),
		Formats:  in.encoding.Formats,
	}, in.log.Named(name), node.NewMetrics(tally.NoopScope, nil))
	in.Network.Join(name+":1", d.Node.PeerHandler(), d.Gate)
	ctx, cancel := context.WithCancel(in.ctx)
	d.stop = cancel
	in.mu.Lock()
	in.daemons[name] = d
	in.mu.Unlock()
	go func() {
		defer close(d.done)
		d.Node.RunBackground(ctx)
	}()
	return d
}

// Kill ends a daemon without notice, like a loss of power.
func (in *Installation) Kill(name string) {
	if d := in.remove(name); d != nil {
		d.Gate.Kill()
		in.Network.Leave(name + ":1")
		d.stop()
	}
}

// Stop ends a daemon gracefully: it hands over its duties first.
func (in *Installation) Stop(name string) {
	if d := in.remove(name); d != nil {
		d.Node.HandOver()
		in.Network.Leave(name + ":1")
		d.stop()
	}
}

// remove removes a daemon from the running ones and returns it, nil if it isn't running.
func (in *Installation) remove(name string) *Daemon {
	in.mu.Lock()
	defer in.mu.Unlock()
	d := in.daemons[name]
	delete(in.daemons, name)
	return d
}

// Daemons returns the running daemons, ordered by name.
func (in *Installation) Daemons() []*Daemon {
	in.mu.Lock()
	defer in.mu.Unlock()
	var out []*Daemon
	for _, d := range in.daemons {
		out = append(out, d)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Name < out[b].Name })
	return out
}

// Owner returns a daemon that considers itself the owner, nil if there is none.
func (in *Installation) Owner() *Daemon {
	for _, d := range in.Daemons() {
		if d.Node.IsOwner() {
			return d
		}
	}
	return nil
}

// Configure writes a configuration to the store, as an operator does.
func (in *Installation) Configure(c *job.Catalog) {
	in.Fleet.configure(c)
	in.Checker.configured(c)
	in.Store.Put(in.encoding.ConfigKey, in.encoding.EncodeCatalog(c))
}

// RequestWave writes a request for a maintenance wave to the store, as an operator does.
func (in *Installation) RequestWave(w owner.WaveRequest) {
	in.Checker.SetWaveLimit(w.Wave, w.MaxDown)
	in.Store.Put(fmt.Sprintf("%s%d", in.encoding.WavePrefix, w.Wave), in.encoding.EncodeWave(w))
}

// WaveDone reports whether the status of a wave in the store is completed.
func (in *Installation) WaveDone(wave int) bool {
	key, done := in.encoding.EncodeWaveStatus(wave, true)
	return string(in.Store.Value(key)) == string(done)
}

// Caller sends requests to the daemons and reports the responses to the checker.
type Caller struct {
	in   *Installation
	send Send
	name string // name of the daemon if all requests go to one, else ""
}

// Send sends a request to a daemon; status 0 means no response.
type Send func(method, path string, body []byte) (status int, answer string)

// Caller returns a caller that sends to all daemons, round robin.
func (in *Installation) Caller() *Caller {
	var calls atomic.Int64
	return in.CallerWith(func(method, path string, body []byte) (int, string) {
		daemons := in.Daemons()
		if len(daemons) == 0 {
			return 0, ""
		}
		return in.sendTo(daemons[int(calls.Add(1))%len(daemons)], method, path, body)
	})
}

// CallerTo returns a caller that sends all requests to one daemon.
func (in *Installation) CallerTo(d *Daemon) *Caller {
	c := in.CallerWith(func(method, path string, body []byte) (int, string) {
		return in.sendTo(d, method, path, body)
	})
	c.name = d.Name
	return c
}

// CallerWith returns a caller that sends requests with send.
func (in *Installation) CallerWith(send Send) *Caller { return &Caller{in: in, send: send} }

func (in *Installation) sendTo(d *Daemon, method, path string, body []byte) (int, string) {
	ctx, cancel := context.WithTimeout(in.ctx, callerTimeout)
	defer cancel()
	r := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(string(body)))
	r.Host = "jobs.example"
	w := httptest.NewRecorder()
	d.Node.CallerHandler().ServeHTTP(w, r)
	if d.Gate.isKilled() || ctx.Err() != nil {
		return 0, ""
	}
	return w.Code, w.Body.String()
}

// callerTimeout is how long a caller waits for a response.
const callerTimeout = 3 * time.Second

// Submit sends a job once. refused means that it certainly never runs; if both results are false
// the outcome is unknown.
func (c *Caller) Submit(prefix string, j *job.Job) (accepted, refused bool) {
	c.in.Fleet.RegisterJob(j)
	c.in.Checker.Submitted(j, prefix)
	status, _ := c.send(http.MethodPost, prefix+string(j.ID), c.in.encoding.EncodeJob(j))
	accepted = status == http.StatusOK
	refused = status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
	c.in.Checker.SubmissionAnswered(j.ID, accepted, refused)
	if accepted {
		c.in.Checker.Accepted(j.ID)
	}
	return accepted, refused
}

// State requests the state of a job; "" means that there is no response or no such job.
func (c *Caller) State(prefix string, id job.ID) job.State {
	status, body := c.send(http.MethodGet, prefix+string(id), nil)
	switch status {
	case http.StatusGone:
		c.in.Checker.NotFoundReported(id)
	case http.StatusOK:
		var out struct{ State job.State }
		if json.Unmarshal([]byte(body), &out) == nil {
			c.in.Checker.StateReported(id, out.State)
			return out.State
		}
	}
	return ""
}

// Cancel cancels a job and reports whether the job is known and this was confirmed. That there is no such job is a
// confirmation for the checker, too: the job must not start later.
func (c *Caller) Cancel(prefix string, id job.ID) bool {
	status, _ := c.send(http.MethodDelete, prefix+string(id), nil)
	if status == http.StatusOK || status == http.StatusGone {
		c.in.Checker.Cancelled(id)
	}
	return status == http.StatusOK
}

// Pending requests the number of waiting jobs of a queue; -1 means no response.
func (c *Caller) Pending(prefix string) int {
	asked := time.Now()
	status, body := c.send(http.MethodGet, prefix, nil)
	var out struct{ Pending int }
	if status != http.StatusOK || json.Unmarshal([]byte(body), &out) != nil {
		return -1
	}
	c.in.Checker.PendingReported(prefix, asked, out.Pending, c.name)
	return out.Pending
}
