package node

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"go.uber.org/zap"

	"github.com/postmount/postmount/jobs/admission"
	"github.com/postmount/postmount/jobs/gateway"
	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/ledger"
	"github.com/postmount/postmount/jobs/owner"
	"github.com/postmount/postmount/jobs/peer"
	"github.com/postmount/postmount/verdict"
)

// Formats holds the platform's store keys and the encodings of entries, submissions and
// callers' keys.
type Formats struct {
	ConfigKey        string
	OperatorPrefix   string // common prefix of ConfigKey, WavePrefix and EvacuationPrefix
	WavePrefix       string
	EvacuationPrefix string // followed by the name of a zone that gets no new tasks
	WorkerPrefix     string
	CallerKey        gateway.KeyReader
	DecodeJob        gateway.JobDecoder
	DecodeCatalog    func(raw []byte) (*job.Catalog, error)
	DecodeWorker     func(key string, raw []byte) (owner.Registration, error)
	DecodeWave       func(raw []byte) (owner.WaveRequest, error)
	EncodeWaveStatus func(wave int, done bool) (key string, value []byte)
}

// Peers calls other daemons at the addresses of their peer listeners.
type Peers interface {
	peer.Relayer
	State(ctx context.Context, addr string, id job.ID) (peer.StateReply, error)
	Pending(ctx context.Context, addr, queue string) (peer.PendingReply, error)
	Cancelled(ctx context.Context, addr string, id job.ID) error
	Submitted(ctx context.Context, addr string, j *job.Job) (peer.SubmitReply, error)
	Admit(ctx context.Context, addr string, j *job.Job) (peer.AdmitReply, error)
	// AwaitDisconnect blocks until a connection to the daemon at addr breaks.
	AwaitDisconnect(ctx context.Context, addr string) error
	// CheckPresence reports whether a process listens at addr.
	CheckPresence(ctx context.Context, addr string) peer.Presence
	// CheckPresenceVia asks the daemon at by whether a process listens at addr.
	CheckPresenceVia(ctx context.Context, by, addr string) (peer.Presence, error)
}

// Clock reads the clocks of an instance.
type Clock interface {
	// Now returns the wall clock time with a monotonic reading. The monotonic clock stops
	// while the instance is suspended.
	Now() time.Time
	// Suspended returns the total time of suspension since a fixed point in time.
	Suspended() time.Duration
}

// Platform holds the external services that a daemon uses.
type Platform struct {
	Clock    Clock
	CPUProbe func() time.Duration // returns how long a fixed amount of CPU work takes
	Store    ledger.Store
	Workers  owner.WorkerClient
	Manager  owner.InstanceManager
	Advisor  owner.Advisor // nil if no queue needs advice
	Peers    Peers
	Formats  Formats
}

// Node is one daemon.
type Node struct {
	settings       Settings
	platform       Platform
	log            *zap.Logger
	metrics        *Metrics
	refusedEntries *refusedEntries
	store          *ledger.Failover
	peers          Peers
	acceptor       *ledger.Acceptor
	earlyCancels   *ledger.EarlyCancels
	gateway        *gateway.Gateway

	catalog atomic.Pointer[job.Catalog]
	lock    atomic.Pointer[ledger.Lock] // the owner's lock; nil: no owner is known
	term    atomic.Pointer[termRun]     // nil: this daemon is not the owner
	members atomic.Pointer[[]ledger.Member]
	rng     *lockedRand
	// admissionHint is the hint of the owner's last reply; nil: none.
	admissionHint     atomic.Pointer[admission.Hint]
	lastRelay         atomic.Pointer[string] // address of the relay in use
	failedRelays      sync.Map               // peer address -> time.Time until which it is not used as a relay
	lease             atomic.Int64           // ledger.LeaseID; 0: none
	leaseRenewedAt    atomic.Int64           // start of the last successful renewal, as uptimeNanos
	electionWake      chan struct{}          // wakes runElections
	configMu          sync.Mutex             // held while a configuration is applied
	configRead        configRead
	configConfirmedAt atomic.Int64  // when the configuration was last known to be the newest, as uptimeNanos
	lockGoneAt        atomic.Int64  // when the lock was last seen to be free, as uptimeNanos
	lastTerm          atomic.Uint64 // number of the last term in which this process ran the scheduler; 0: none
	clock             Clock
	slowdown          slowdownDetector
	startedAt         time.Time
	stopping          atomic.Bool

	suspendedAtStart time.Duration // clock.Suspended() at the start

	evacuations evacuations

	wavesMu sync.Mutex
	waves   map[int]owner.WaveRequest
}

// New returns a daemon. Run or RunBackground starts it.
func New(settings Settings, p Platform, log *zap.Logger, m *Metrics) *Node {
	n := &Node{
		settings: settings, platform: p, log: log, metrics: m,
		peers: p.Peers, clock: p.Clock, startedAt: p.Clock.Now(), suspendedAtStart: p.Clock.Suspended(), rng: newLockedRand(settings.Node),
		waves: map[int]owner.WaveRequest{}, electionWake: make(chan struct{}, 1),
	}
	n.refusedEntries = newRefusedEntries(log, m)
	n.platform.Store = ledger.Observed(p.Store, m.storeCall)
	n.store = ledger.NewFailover(n.platform.Store, n, p.Clock.Now, n.onStoreFailure)
	n.acceptor = ledger.NewAcceptor(n.store, settings.MaxValueBytes)
	n.earlyCancels = ledger.NewEarlyCancels(n.store, p.Clock.Now)
	n.gateway = gateway.New(n, p.Formats.CallerKey, p.Formats.DecodeJob, m, log)
	n.gateway.SetBodyBudget(settings.bodyBudget())
	return n
}

func (n *Node) onStoreFailure(err error) {
	n.metrics.storeFailure(err)
	n.log.Warn("store-call-failed", zap.Error(err))
}

// Run opens the listeners and serves until ctx ends, then shuts down gracefully.
func (n *Node) Run(ctx context.Context) error {
	listeners, err := n.listen()
	if err != nil {
		return err
	}
	requestCtx, cancelRequests := context.WithCancel(context.Background())
	defer cancelRequests()
	callers := n.callersServer(requestCtx)
	workCtx, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	done := make(chan struct{})
	go func() { defer close(done); n.RunBackground(workCtx) }()
	go n.serve(callers, listeners.callers)
	go n.serve(probeServer(n.readyHandler()), listeners.ready)
	go n.serve(probeServer(n.metrics.Handler()), listeners.metrics)
	go n.servePeers(listeners.peers)
	n.log.Info("start", zap.String("node", n.settings.Node), zap.String("zone", n.settings.Zone), zap.String("callers", n.settings.CallersAddr))
	<-ctx.Done()
	n.stop(callers, cancelRequests)
	stopWork()
	<-done
	n.log.Info("stop")
	return nil
}

// RunBackground runs everything but the listeners until ctx ends. It then stops immediately, as a
// killed process does; a planned stop calls HandOver first.
func (n *Node) RunBackground(ctx context.Context) {
	n.acceptor.Run(ctx)
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){n.keepLease, n.watchOperators, n.pollMembers, n.runElections, n.monitorSpeed} {
		wg.Go(func() { loop(ctx) })
	}
	wg.Wait()
}

// CallerHandler returns the HTTP handler for callers' requests.
func (n *Node) CallerHandler() http.Handler { return n.gateway }

// PeerHandler returns the handler for calls of other daemons.
func (n *Node) PeerHandler() peer.Handler { return peerHandler{n} }

// IsOwner reports whether this daemon is the owner, which schedules all jobs.
func (n *Node) IsOwner() bool { return n.term.Load() != nil }

// readyHandler answers the load balancer's health check on any path. The daemon is ready
// from its first configuration until it stops.
func (n *Node) readyHandler() http.Handler {
	r := chi.NewRouter()
	r.HandleFunc("/*", func(w http.ResponseWriter, _ *http.Request) {
		if n.stopping.Load() || n.catalog.Load() == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return r
}

// uptimeNanos returns the time since this daemon started, in ns. It includes time of
// suspension, during which leases go on expiring.
func (n *Node) uptimeNanos() int64 {
	return int64(n.clock.Now().Sub(n.startedAt) + n.clock.Suspended() - n.suspendedAtStart)
}

// leaseHeld reports whether the lease in the store certainly lasts for at least
// leaseSafetyMargin.
func (n *Node) leaseHeld() bool {
	return n.lease.Load() != 0 && time.Duration(n.uptimeNanos()-n.leaseRenewedAt.Load()) < storeLease-leaseSafetyMargin
}

// mayOrderInstances reports whether orders for instances may be sent: the lease was renewed so
// recently that a new owner, even one elected after the lease was revoked, sends none yet.
func (n *Node) mayOrderInstances() bool {
	return n.lease.Load() != 0 && time.Duration(n.uptimeNanos()-n.leaseRenewedAt.Load()) < owner.MaxDutyLeaseAge
}

// memberEntry returns this daemon's entry in the store.
func (n *Node) memberEntry() ledger.Member {
	return ledger.Member{Node: n.settings.Node, Addr: n.settings.peerAddr(), Cores: n.currentCores()}
}

// hasPeerWithMoreCPU reports whether another live daemon has more than factor times the cores
// that this one gets at present. Scheduling, the owner's work, needs the most CPU.
func (n *Node) hasPeerWithMoreCPU(factor float64) bool {
	list := n.members.Load()
	if list == nil {
		return false
	}
	own := n.currentCores()
	return slices.ContainsFunc(*list, func(m ledger.Member) bool {
		return m.Node != n.settings.Node && m.Cores > factor*own
	})
}

// Catalog implements gateway.JobService.
func (n *Node) Catalog() *job.Catalog { return n.catalog.Load() }

// ConfigConfirmed implements gateway.JobService.
func (n *Node) ConfigConfirmed() bool {
	return n.settings.MaxConfigAge == 0 || n.configAge() <= n.settings.MaxConfigAge
}

// Accept implements gateway.JobService.
func (n *Node) Accept(ctx context.Context, j *job.Job) error {
	if err := n.checkAdmission(ctx, j); err != nil {
		return err
	}
	if err := n.acceptor.Accept(ctx, j); err != nil {
		return err
	}
	go n.notifyOwner(j.ID, func(ctx context.Context, addr string) error {
		out, err := n.peers.Submitted(ctx, addr, j)
		if err == nil && out.Owner {
			n.admissionHint.Store(&out.Hint)
		}
		return err
	})
	return nil
}

// Cancel implements gateway.JobService. The cancellation of an unknown job is stored, as its submission may still be
// on its way. If the job is stored meanwhile, it is cancelled.
func (n *Node) Cancel(ctx context.Context, id job.ID, tenant string) (bool, error) {
	known, err := ledger.Cancel(ctx, n.store, id, tenant)
	if err != nil {
		return known, err
	}
	if !known {
		recorded, err := n.earlyCancels.Record(ctx, id, tenant)
		if err != nil || recorded {
			return false, err
		}
		if known, err = ledger.Cancel(ctx, n.store, id, tenant); err != nil || !known {
			return known, err // removed meanwhile, as it had ended long before
		}
	}
	go n.notifyOwner(id, func(ctx context.Context, addr string) error { return n.peers.Cancelled(ctx, addr, id) })
	return true, nil
}

// notifyOwner tells the owner of a change in the store before the owner's watch delivers it. If
// the call fails, the owner learns of the change from its watch.
func (n *Node) notifyOwner(id job.ID, call func(ctx context.Context, addr string) error) {
	lock := n.lock.Load()
	if lock == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	if err := call(ctx, lock.Addr); err != nil {
		n.log.Info("owner-notification-failed", zap.String("job", string(id)), zap.Error(err))
	}
}

// State implements gateway.JobService. It asks the owner, and reads the store if the owner does
// not reply or does not know the job.
func (n *Node) State(ctx context.Context, id job.ID) (job.State, string, bool, error) {
	if r, err := n.askOwnerState(ctx, id); err == nil && r.Owner && r.Known {
		return r.State, r.Tenant, true, nil
	}
	return ledger.StateOf(ctx, n.store, id)
}

// askOwnerState asks the owner, which may be this daemon, for the state of a job. The reply is
// empty if there is no owner.
func (n *Node) askOwnerState(ctx context.Context, id job.ID) (peer.StateReply, error) {
	if n.term.Load() != nil {
		return n.localState(id), nil
	}
	lock := n.lock.Load()
	if lock == nil {
		return peer.StateReply{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return n.peers.State(ctx, lock.Addr, id)
}

// CodeNoOwner means that no owner is elected at present.
const CodeNoOwner verdict.Code = "no-owner"

// Pending implements gateway.JobService.
func (n *Node) Pending(ctx context.Context, queue string) (int, error) {
	if t := n.term.Load(); t != nil {
		if r := t.pending(queue); r.Owner {
			return r.Count, nil
		}
	}
	lock := n.lock.Load()
	if lock == nil {
		return 0, verdict.New(verdict.NotRun, CodeNoOwner, "no owner is elected at present")
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	r, err := n.peers.Pending(ctx, lock.Addr, queue)
	if err != nil {
		return 0, verdict.Wrap(err, verdict.NotRun, CodeNoOwner, "ask the owner for the pending jobs of queue %s", queue)
	}
	if !r.Owner {
		return 0, verdict.New(verdict.NotRun, CodeNoOwner, "the daemon at %s is not the owner at present", lock.Addr)
	}
	return r.Count, nil
}
