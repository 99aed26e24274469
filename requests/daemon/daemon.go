// Package daemon assembles an entry daemon from its components and runs it. The
// command postmountd and the demo use it.
package daemon

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/postmount/postmount/adapter/backendhttp"
	"github.com/postmount/postmount/adapter/etcdkv"
	"github.com/postmount/postmount/adapter/peerrpc"
	"github.com/postmount/postmount/adapter/platformhttp"
	"github.com/postmount/postmount/adapter/workerhttp"
	"github.com/postmount/postmount/operators/api"
	"github.com/postmount/postmount/requests/admission"
	"github.com/postmount/postmount/requests/cluster"
	"github.com/postmount/postmount/requests/control"
	"github.com/postmount/postmount/requests/directory"
	"github.com/postmount/postmount/requests/entry"
	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/requests/idempotency"
	"github.com/postmount/postmount/requests/member"
	"github.com/postmount/postmount/requests/mirror"
	"github.com/postmount/postmount/requests/placement"
	"github.com/postmount/postmount/requests/port"
	"github.com/postmount/postmount/requests/record"
	"github.com/postmount/postmount/requests/retry"
	"github.com/postmount/postmount/requests/route"
	"github.com/postmount/postmount/requests/settings"
	"github.com/postmount/postmount/requests/slo"
	"github.com/postmount/postmount/telemetry"
)

// Version is set by the linker at build time.
var Version = "dev"

// connectionsPerWorker is the number of connections that a worker accepts from all
// entry daemons together. Each daemon may use 1/member.MaxMembers of them.
const connectionsPerWorker = 64

// Daemon is one entry daemon.
type Daemon struct {
	settings settings.Settings
	log      *zap.Logger
	self     fleet.Entry

	store    *etcdkv.Client
	peers    *peerrpc.Client
	backend  *backendhttp.Client
	platform *platformhttp.Client
	tasks    *workerhttp.Client

	mirror     *mirror.Mirror
	syncer     *mirror.Syncer
	node       *cluster.Node
	controller *control.Controller
	dispatcher *entry.Dispatcher
	handler    *entry.Handler
	burn       *slo.Recorder
	metrics    *telemetry.Metrics

	traffic, apiServer *http.Server
	peerServer         *peerrpc.Server
	listeners          listeners
	stopping           atomic.Bool
	ctx                context.Context // of every component; cancelled when the daemon ends
	cancel             context.CancelFunc
}

type listeners struct{ traffic, api, peer net.Listener }

// New creates a daemon and binds its listeners. Logs go to logOut.
func New(set settings.Settings, logOut io.Writer) (*Daemon, error) {
	log, err := telemetry.NewLogger(set.Log.Level, set.Log.Format, logOut)
	if err != nil {
		return nil, err
	}
	d := &Daemon{settings: set, log: log.With(zap.String("entry", set.Entry.ID)), mirror: mirror.New(), burn: slo.NewRecorder(), metrics: telemetry.NewMetrics()}
	if err := d.listen(); err != nil {
		return nil, err
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.self = fleet.Entry{
		ID:          fleet.EntryID(set.Entry.ID),
		Incarnation: fleet.Incarnation(uuid.NewString()),
		Zone:        fleet.AvailabilityZone(set.Entry.Zone),
		PeerAddr:    orDefault(set.Listen.AdvertisePeer, d.listeners.peer.Addr().String()),
		APIAddr:     orDefault(set.Listen.AdvertiseAPI, d.listeners.api.Addr().String()),
	}
	d.initClients()
	d.initComponents()
	d.initServers()
	return d, nil
}

func orDefault(s, fallback string) string {
	if s != "" {
		return s
	}
	return fallback
}

// listen binds the listeners. If one fails, it closes those already bound.
func (d *Daemon) listen() error {
	for _, l := range []struct {
		addr string
		into *net.Listener
	}{
		{d.settings.Listen.Traffic, &d.listeners.traffic},
		{d.settings.Listen.API, &d.listeners.api},
		{d.settings.Listen.Peer, &d.listeners.peer},
	} {
		ln, err := net.Listen("tcp", l.addr)
		if err != nil {
			d.closeListeners()
			return err
		}
		*l.into = ln
	}
	return nil
}

func (d *Daemon) closeListeners() {
	for _, l := range []net.Listener{d.listeners.traffic, d.listeners.api, d.listeners.peer} {
		if l != nil {
			l.Close()
		}
	}
}

// watchIdleTimeout is how long the store's watch may be silent before it is considered
// broken. The store has to send progress notifications more often than that.
const watchIdleTimeout = 15 * time.Second

func (d *Daemon) initClients() {
	s := d.settings
	d.store = etcdkv.New(etcdkv.Options{Addr: s.Store.Addr, Timeout: s.Store.Timeout.D(), WatchIdleTimeout: watchIdleTimeout})
	d.peers = peerrpc.NewClient(s.Peers.Token, s.Peers.Timeout.D(), s.Peers.Timeout.D())
	d.platform = platformhttp.New(s.Platform.Addr, s.Platform.Timeout.D())
	d.tasks = workerhttp.New(s.Platform.Timeout.D())
	d.backend = backendhttp.New(backendhttp.Options{
		MaxConnections: connectionsPerWorker / member.MaxMembers,
		ConnectTimeout: time.Second,
		IdleTimeout:    time.Minute,
		MaxAnswerBytes: s.Limits.MaxAnswerBytes,
	})
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func (d *Daemon) initComponents() {
	s := d.settings
	d.syncer = &mirror.Syncer{Mirror: d.mirror, Store: d.store, Rand: newRand(), OnConnectionChange: d.storeConnectionChanged}
	policies := entry.DefaultPolicies
	policies.Admit.Policy = admission.Policy(s.Policies.Admit)
	policies.Admit.MaxQueue = s.Limits.MaxQueue
	policies.Pick = route.Policy(s.Policies.Pick)
	policies.Retry.Policy = retry.Policy(s.Policies.Retry)
	policies.DisableLoans = s.Policies.Loans == "off"
	d.dispatcher = entry.NewDispatcher(d.self.Incarnation, d.self.Zone, s.Limits.MaxTimeout.D()+member.DefaultOptions.ConfirmWindow, policies, newRand())
	d.node = cluster.New(cluster.Options{
		Self: d.self, Seeds: s.Peers.Seeds, Heartbeat: s.Peers.Heartbeat.D(), LeaseTTL: s.Peers.LeaseTTL.D(), Grace: s.Peers.Grace.D(),
		Member: member.DefaultOptions, Idempotency: idempotency.DefaultOptions,
	}, cluster.Deps{
		Store: d.store, Peers: d.peers, Mirror: d.mirror, Shares: d.dispatcher, Log: d.log, JitterSeed: rand.Uint64(),
		Connected: d.syncer.Connected.Load, Burn: d.burnCounts, Instances: d.instances, SeedInstances: d.seedInstances,
	})
	opts := control.DefaultOptions
	opts.Self = d.self.Incarnation
	opts.Tick = s.Control.Tick.D()
	opts.ListInterval = s.Control.ListInterval.D()
	opts.ListMaxAge = max(opts.ListMaxAge, 3*opts.ListInterval)
	opts.TaskLease = s.Control.TaskLease.D()
	opts.Wave.RebootTimeout = s.Control.RebootTimeout.D()
	opts.Wave.MaxConcurrent = s.Control.WaveMaxConcurrent
	opts.Place = placement.Policy(s.Policies.Place)
	d.controller = control.New(opts, control.Deps{
		Store: d.store, Mirror: d.mirror, List: d.platform, Actions: d.platform, Tasks: d.tasks, LiveMembers: d.node.LiveMembers,
		StoreConnected: d.syncer.Connected.Load, OnEntriesEnded: d.node.MarkEnded, OnSnapshot: d.applySnapshot, Log: d.log,
	})
	d.handler = &entry.Handler{
		Dispatcher: d.dispatcher, Claims: d.node.Claims, Backend: d.backend, ServingStatus: d.node.ServingStatus,
		Limits: entry.Limits{
			MaxBody: s.Limits.MaxBodyBytes, DefaultTimeout: s.Limits.DefaultTimeout.D(), MaxTimeout: s.Limits.MaxTimeout.D(),
			MaxInFlight: s.Limits.MaxInFlight, MaxBuffered: s.Limits.MaxBufferedBytes, MaxRetained: s.Limits.MaxRetainedBytes,
		},
		Observer: &telemetry.RequestObserver{Scope: d.metrics.Scope, Log: d.log, Burn: d.burn, Directory: d.dispatcher.Directory},
	}
}

// Limits of the HTTP servers.
const (
	headerTimeout  = 5 * time.Second  // to read the header of a request
	requestTimeout = 30 * time.Second // to read a request with its body
	// answerTimeout bounds the writing of an answer, in addition to the longest
	// request.
	answerTimeout  = 30 * time.Second
	idleTimeout    = 2 * time.Minute // of a connection between requests
	maxHeaderBytes = 64 << 10
)

func (d *Daemon) initServers() {
	errorLog, _ := zap.NewStdLogAt(d.log, zap.DebugLevel)
	operators := &api.Server{
		Executor: &api.Executor{
			Store: d.store, Writer: record.NewWriter(d.store), Mirror: d.mirror,
			Snapshot: d.controller.Snapshot, WaitInForce: d.node.WaitInForce,
		},
		Status: d.Status, Burn: d.burnReport, Wave: d.waveReport, Ready: d.Ready, Metrics: d.metrics.Handler,
	}
	newServer := func(h http.Handler) *http.Server {
		return &http.Server{
			Handler: h, ReadHeaderTimeout: headerTimeout, ReadTimeout: requestTimeout, IdleTimeout: idleTimeout,
			WriteTimeout:   requestTimeout + d.settings.Limits.MaxTimeout.D() + answerTimeout,
			MaxHeaderBytes: maxHeaderBytes, ErrorLog: errorLog,
		}
	}
	d.traffic = newServer(d.handler)
	d.apiServer = newServer(operators.Handler())
	d.peerServer = peerrpc.NewServer(d.settings.Peers.Token, d.node, &d.peers.Bytes)
}

// TrafficAddr returns the address that callers use.
func (d *Daemon) TrafficAddr() string { return d.listeners.traffic.Addr().String() }

// APIAddr returns the address that operators use.
func (d *Daemon) APIAddr() string { return d.listeners.api.Addr().String() }

// Members returns the members of the daemon's current view.
func (d *Daemon) Members() []fleet.Entry { return d.node.View().Members }

// Snapshot returns the daemon's newest copy of the records and the instance list.
func (d *Daemon) Snapshot() *control.Snapshot { return d.controller.Snapshot() }

// Self returns the daemon's own entry.
func (d *Daemon) Self() fleet.Entry { return d.self }

// Run runs the daemon until ctx ends, then stops it gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	componentCtx := d.ctx
	defer d.cancel()
	var wg sync.WaitGroup
	start := func(fn func()) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			fn()
		}()
	}
	start(func() { d.syncer.Run(componentCtx) })
	start(func() { d.node.Run(componentCtx) })
	start(func() { d.controller.Run(componentCtx) })
	start(func() { d.dispatcher.RunLoans(componentCtx, d.self.Incarnation, d.peers) })
	start(func() { d.peerServer.Serve(d.listeners.peer) })
	start(func() { serve(d.apiServer, d.listeners.api) })
	start(func() { serve(d.traffic, d.listeners.traffic) })
	start(func() { d.updateGauges(componentCtx) })
	d.log.Info("started", zap.String("traffic", d.TrafficAddr()), zap.String("api", d.APIAddr()), zap.String("version", Version))
	select {
	case <-ctx.Done():
		d.stop()
	case <-componentCtx.Done():
	}
	d.cancel()
	d.close()
	wg.Wait()
	return nil
}

// serve serves until the server or its listener is closed. After any other error it
// closes the listener.
func serve(s *http.Server, l net.Listener) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		_ = l.Close()
	}
}

// stop stops the daemon gracefully: it lets requests in flight finish and transfers
// the claims to their new owners, within Stop.Timeout.
func (d *Daemon) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Stop.Timeout.D())
	defer cancel()
	d.log.Info("stopping")
	d.stopping.Store(true)
	d.handler.CloseConnections()
	select {
	case <-time.After(d.settings.Stop.BalancerWait.D()):
	case <-ctx.Done():
	}
	// The listener is closed before any request is refused, so that new callers
	// connect to another daemon.
	err := d.traffic.Shutdown(ctx)
	d.handler.Stop()
	if err != nil {
		d.log.Warn("stop timeout: requests in flight are cut off", zap.Int64("in_flight", d.handler.InFlight()))
	}
	if err := d.node.Leave(ctx); err != nil {
		d.log.Warn("stop timeout: claims not transferred", zap.Error(err))
	}
	d.log.Info("stopped")
}

// Kill ends the daemon immediately, as if its process had been killed: no request is
// finished and no claim transferred.
func (d *Daemon) Kill() {
	d.closeListeners()
	d.traffic.Close()
	d.apiServer.Close()
	d.cancel()
}

func (d *Daemon) close() {
	d.traffic.Close()
	d.apiServer.Close()
	d.closeListeners()
	d.peerServer.Close()
	d.peers.Close()
	d.store.Close()
	d.platform.Close()
	d.tasks.Close()
	d.backend.Close()
	_ = d.metrics.Close()
	_ = d.log.Sync()
}

// BlockPeers makes the daemon drop its messages to the peers for whose address
// blocked returns true, to simulate a network partition. It must be called before
// Run.
func (d *Daemon) BlockPeers(blocked func(addr string) bool) { d.peers.Blocked = blocked }

func (d *Daemon) storeConnectionChanged(connected bool, err error) {
	if connected {
		d.log.Info("connected to the store")
		return
	}
	if d.ctx.Err() == nil {
		d.log.Warn("connection to the store lost", zap.Error(err))
	}
}

// applySnapshot derives the routing data from a snapshot and closes the idle
// connections to workers that are not in it.
func (d *Daemon) applySnapshot(s *control.Snapshot) {
	dir := directory.Build(s.State, s.Instances)
	d.dispatcher.SetDirectory(dir)
	d.backend.RetainConnections(dir.Addrs)
}

// instances lists the instances that this daemon knows, for peers that have not read
// the platform's list yet.
func (d *Daemon) instances() []fleet.Instance {
	s := d.controller.Snapshot()
	out := make([]fleet.Instance, 0, len(s.Instances))
	for _, i := range s.Instances {
		out = append(out, i)
	}
	return out
}

func (d *Daemon) seedInstances(list []fleet.Instance) {
	if len(list) > 0 {
		d.controller.SeedInstances(list)
	}
}

// Reasons why the daemon is not ready.
var (
	errStopping         = errors.New("stopping")
	errNotCurrentMember = errors.New("not a current member of the view")
	errNoRecords        = errors.New("no records received from the store or a peer yet")
)

// Ready returns why the load balancer should not send requests to this daemon, or
// nil if it should.
func (d *Daemon) Ready() error {
	switch {
	case d.stopping.Load():
		return errStopping
	case !d.node.ServingStatus().MayUseSlots(time.Now()):
		return errNotCurrentMember
	case d.mirror.State().Revision == 0:
		return errNoRecords
	}
	return nil
}

var _ port.PeerServer = (*cluster.Node)(nil)
