package lab

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/postmount/postmount/operators/client"
	"github.com/postmount/postmount/requests/daemon"
	"github.com/postmount/postmount/requests/settings"
	"github.com/postmount/postmount/standin/platform"
	"github.com/postmount/postmount/standin/store"
	"github.com/postmount/postmount/standin/worker"
	"github.com/postmount/postmount/verdict"
)

// Fixture is a complete installation in one process: the stand-ins and the entry daemons,
// connected over loopback by the real adapters.
type Fixture struct {
	Topology Topology
	Store    *store.Server
	Platform *platform.Platform
	Workers  *worker.Fleet
	Daemons  []*RunningDaemon

	storeHTTP, platformHTTP *http.Server
	storeAddr, platformAddr string
	adjust                  func(*settings.Settings)
	logs                    io.Writer
}

// RunningDaemon is an entry daemon of a fixture.
type RunningDaemon struct {
	*daemon.Daemon
	stop  context.CancelFunc
	done  chan struct{}
	mu    sync.Mutex
	ended bool
}

// Stop stops the daemon gracefully and waits for its end.
func (r *RunningDaemon) Stop() {
	r.stop()
	<-r.done
	r.markEnded()
}

// Kill ends the daemon immediately.
func (r *RunningDaemon) Kill() {
	r.Daemon.Kill()
	<-r.done
	r.markEnded()
}

func (r *RunningDaemon) markEnded() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
}

// Ended reports whether the daemon was stopped or killed.
func (r *RunningDaemon) Ended() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ended
}

// listenAndServe serves h on a free loopback port and returns the address.
func listenAndServe(h http.Handler) (*http.Server, string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	return s, l.Addr().String(), nil
}

// NewFixture starts the stand-ins and n daemons. adjust, if not nil, changes each daemon's
// settings; logs receives the daemons' logs.
func NewFixture(t Topology, n int, adjust func(*settings.Settings), logs io.Writer) (*Fixture, error) {
	f := &Fixture{Topology: t, adjust: adjust, logs: logs}
	if err := f.startStandins(); err != nil {
		f.Close()
		return nil, err
	}
	for i := range n {
		if _, err := f.StartDaemon(i + 1); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

func (f *Fixture) startStandins() error {
	var err error
	f.Store = store.NewServer()
	if f.storeHTTP, f.storeAddr, err = listenAndServe(f.Store); err != nil {
		return err
	}
	if f.Workers, err = worker.NewFleet(f.Topology.Workers()); err != nil {
		return err
	}
	f.Platform = platform.New(f.Workers, platform.DefaultFaults)
	f.Platform.Add(platform.InstanceMessages(f.Workers.Specs()))
	f.platformHTTP, f.platformAddr, err = listenAndServe(f.Platform)
	return err
}

// fixtureToken is the daemons' shared peer token.
const fixtureToken = "fixture-token-of-the-lab"

// StartDaemon starts the daemon with ID "entry-i". Its seeds are the daemons started before it.
func (f *Fixture) StartDaemon(i int) (*RunningDaemon, error) {
	s := settings.Default()
	s.Entry = settings.Entry{ID: fmt.Sprintf("entry-%d", i), Zone: f.Topology.Zones[(i-1)%len(f.Topology.Zones)]}
	s.Listen = settings.Listen{Traffic: "127.0.0.1:0", API: "127.0.0.1:0", Peer: "127.0.0.1:0"}
	s.Store.Addr = f.storeAddr
	s.Platform.Addr = f.platformAddr
	s.Peers.Token = fixtureToken
	s.Stop.BalancerWait = settings.Duration(500 * time.Millisecond)
	s.Log.Format = "console"
	for _, d := range f.Daemons {
		s.Peers.Seeds = append(s.Peers.Seeds, d.Self().PeerAddr)
	}
	if f.adjust != nil {
		f.adjust(&s)
	}
	d, err := daemon.New(s, f.logs)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &RunningDaemon{Daemon: d, stop: cancel, done: make(chan struct{})}
	go func() {
		defer close(r.done)
		_ = d.Run(ctx)
	}()
	f.Daemons = append(f.Daemons, r)
	return r, nil
}

// Client returns an operators' client for all running daemons.
func (f *Fixture) Client() *client.Client {
	var addrs []string
	for _, d := range f.Daemons {
		if !d.Ended() {
			addrs = append(addrs, d.APIAddr())
		}
	}
	return client.New(addrs, 20*time.Second)
}

// Exec runs statements and returns an error unless all of them are done.
func (f *Fixture) Exec(ctx context.Context, text string) error {
	a, err := f.Client().Exec(ctx, text)
	if err != nil {
		return err
	}
	for _, r := range a.Results {
		if r.Verdict != verdict.Done {
			return fmt.Errorf("statement %d: %s: %s", r.Statement, r.Verdict, r.Message)
		}
	}
	return nil
}

// errNotReady means that the context of WaitReady ended before all running daemons were ready with a
// view of exactly these daemons.
var errNotReady = errors.New("the entry daemons did not become ready with a common view in time")

// WaitReady waits until every running daemon is ready and their view has exactly the running
// daemons as members.
func (f *Fixture) WaitReady(ctx context.Context) error {
	for {
		ready, running := 0, 0
		for _, d := range f.Daemons {
			if d.Ended() {
				continue
			}
			running++
			if d.Ready() == nil {
				ready++
			}
		}
		if ready == running && f.viewSize() == running {
			return nil
		}
		select {
		case <-ctx.Done():
			return errNotReady
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// viewSize returns the number of members in the view of the first running daemon.
func (f *Fixture) viewSize() int {
	for _, d := range f.Daemons {
		if !d.Ended() {
			return len(d.Members())
		}
	}
	return 0
}

// TrafficAddrs returns the traffic addresses of all daemons, ended ones included.
func (f *Fixture) TrafficAddrs() []string {
	var out []string
	for _, d := range f.Daemons {
		out = append(out, d.TrafficAddr())
	}
	return out
}

// HealthCheck returns the health check of a load balancer: it reports whether the entry at addr
// is ready and has not ended.
func (f *Fixture) HealthCheck() func(addr string) bool {
	byAddr := map[string]*RunningDaemon{}
	for _, d := range f.Daemons {
		byAddr[d.TrafficAddr()] = d
	}
	return func(addr string) bool {
		d := byAddr[addr]
		return d != nil && !d.Ended() && d.Ready() == nil
	}
}

// Close kills the daemons and closes the stand-ins.
func (f *Fixture) Close() {
	for _, d := range f.Daemons {
		if !d.Ended() {
			d.Kill()
		}
	}
	if f.Platform != nil {
		f.Platform.Close()
	}
	for _, s := range []*http.Server{f.platformHTTP, f.storeHTTP} {
		if s != nil {
			s.Close()
		}
	}
	if f.Workers != nil {
		f.Workers.Close()
	}
	if f.Store != nil {
		f.Store.Close()
	}
}
