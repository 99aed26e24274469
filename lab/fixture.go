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

// Fixture is a whole installation in one process, on loopback, with the real
// adapters: the stand-ins and the entry daemons.
type Fixture struct {
	Topology Topology
	Store    *store.Server
	Platform *platform.Platform
	Workers  *worker.Fleet
	Daemons  []*Running

	storeHTTP, platformHTTP *http.Server
	storeAddr, platformAddr string
	adjust                  func(*settings.Settings)
	logs                    io.Writer
}

// Running is a daemon that runs.
type Running struct {
	*daemon.Daemon
	stop context.CancelFunc
	done chan struct{}
	mu   sync.Mutex
	over bool
}

// Stop stops the daemon gracefully and waits for it.
func (r *Running) Stop() {
	r.stop()
	<-r.done
	r.markOver()
}

// Kill ends the daemon at once.
func (r *Running) Kill() {
	r.Daemon.Kill()
	<-r.done
	r.markOver()
}

func (r *Running) markOver() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.over = true
}

// Over reports whether the daemon was stopped or killed.
func (r *Running) Over() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.over
}

// listenAndServe serves h on a free port of the loopback address.
func listenAndServe(h http.Handler) (*http.Server, string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	return s, l.Addr().String(), nil
}

// NewFixture starts the stand-ins and n daemons. adjust may change each
// daemon's settings; logs receives the daemons' logs.
func NewFixture(t Topology, n int, adjust func(*settings.Settings), logs io.Writer) (*Fixture, error) {
	f := &Fixture{Topology: t, adjust: adjust, logs: logs}
	if err := f.standins(); err != nil {
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

func (f *Fixture) standins() error {
	var err error
	f.Store = store.NewServer()
	if f.storeHTTP, f.storeAddr, err = listenAndServe(f.Store); err != nil {
		return err
	}
	if f.Workers, err = worker.NewFleet(f.Topology.Workers()); err != nil {
		return err
	}
	f.Platform = platform.New(f.Workers, platform.DefaultFaults)
	f.Platform.Add(platform.Messages(f.Workers.Specs()))
	f.platformHTTP, f.platformAddr, err = listenAndServe(f.Platform)
	return err
}

// fixtureToken is the peers' shared token inside one process.
const fixtureToken = "fixture-token-of-the-lab"

// StartDaemon starts the daemon of entry instance number i.
func (f *Fixture) StartDaemon(i int) (*Running, error) {
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
	r := &Running{Daemon: d, stop: cancel, done: make(chan struct{})}
	go func() {
		defer close(r.done)
		_ = d.Run(ctx)
	}()
	f.Daemons = append(f.Daemons, r)
	return r, nil
}

// Client returns an operators' client of every daemon that runs.
func (f *Fixture) Client() *client.Client {
	var addrs []string
	for _, d := range f.Daemons {
		if !d.Over() {
			addrs = append(addrs, d.APIAddr())
		}
	}
	return client.New(addrs, 20*time.Second)
}

// Exec carries out statements and fails unless all are done.
func (f *Fixture) Exec(ctx context.Context, text string) error {
	a, err := f.Client().Exec(ctx, text)
	if err != nil {
		return err
	}
	for _, r := range a.Results {
		if r.Verdict != verdict.Done {
			return fmt.Errorf("statement %d: %s", r.Statement, r.Message)
		}
	}
	return nil
}

// errNotReady says that the daemons did not agree on a view in time.
var errNotReady = errors.New("the entry daemons did not become ready")

// WaitReady waits until every running daemon would be sent requests and the
// view holds just those.
func (f *Fixture) WaitReady(ctx context.Context) error {
	for {
		ready, running := 0, 0
		for _, d := range f.Daemons {
			if d.Over() {
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

func (f *Fixture) viewSize() int {
	for _, d := range f.Daemons {
		if !d.Over() {
			return len(d.Members())
		}
	}
	return 0
}

// TrafficAddrs returns the callers' addresses of every daemon ever started.
func (f *Fixture) TrafficAddrs() []string {
	var out []string
	for _, d := range f.Daemons {
		out = append(out, d.TrafficAddr())
	}
	return out
}

// Balancer returns a check whether an entry is to be sent requests, as the
// platform's balancer would see it: ready, and not known to have ended.
func (f *Fixture) Balancer() func(addr string) bool {
	byAddr := map[string]*Running{}
	for _, d := range f.Daemons {
		byAddr[d.TrafficAddr()] = d
	}
	return func(addr string) bool {
		d := byAddr[addr]
		return d != nil && !d.Over() && d.Ready() == nil
	}
}

// Close ends everything.
func (f *Fixture) Close() {
	for _, d := range f.Daemons {
		if !d.Over() {
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
