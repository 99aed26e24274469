// Package requestfaults tests whole entry daemons, without a network and in virtual time, with
// every fault at every step of a request.
package requestfaults

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/postmount/postmount/requests/cluster"
	"github.com/postmount/postmount/requests/directory"
	"github.com/postmount/postmount/requests/entry"
	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/requests/idempotency"
	"github.com/postmount/postmount/requests/member"
	"github.com/postmount/postmount/requests/mirror"
	"github.com/postmount/postmount/requests/port"
	"github.com/postmount/postmount/requests/route"
	"github.com/postmount/postmount/requests/slots"
	"github.com/postmount/postmount/standin/store"
	"github.com/postmount/postmount/verdict"
)

// step is a stage in the processing of a request.
type step string

const (
	stepAccept  step = "accept"
	stepAdmit   step = "admit"
	stepClaim   step = "claim"
	stepClaimed step = "claimed"
	stepConnect step = "connect"
	stepWrite   step = "write"
	stepWait    step = "wait"
	stepRead    step = "read"
	stepAnswer  step = "answer"
	stepRecord  step = "record"
)

var steps = []step{stepAccept, stepAdmit, stepClaim, stepClaimed, stepConnect, stepWrite, stepWait, stepRead, stepAnswer, stepRecord}

// daemon is one entry daemon with its fake environment.
type daemon struct {
	in         *installation
	index      int
	self       fleet.Entry
	store      *store.Direct
	mirror     *mirror.Mirror
	syncer     *mirror.Syncer
	node       *cluster.Node
	dispatcher *entry.Dispatcher
	handler    *entry.Handler
	cancel     context.CancelFunc

	// openRequests counts the requests that http.Server.Shutdown in Daemon.stop would wait for.
	// A request counts from the accepted connection on, earlier than in the handler's own count.
	openRequests atomic.Int64

	mu     sync.Mutex
	dead   bool
	frozen chan struct{} // not nil while frozen; closed by thaw
}

// installation is a set of daemons that share a store engine, workers and a network.
type installation struct {
	engine  *store.Engine
	daemons []*daemon
	backend *backend
	wg      sync.WaitGroup

	seedPeers []string // addresses of peers in the settings of new daemons
	storeDown bool     // the store is unavailable to new daemons

	mu         sync.Mutex
	partitions map[[2]int]bool // pairs of daemon indexes, from and to, that can't communicate
	// onStep, if not nil, is called when a request reaches a step at a daemon.
	onStep func(s step, d *daemon)
}

// workers is the number of workers of the service; each has eight slots.
const workers = 3

func newInstallation(n int) *installation {
	in := &installation{engine: store.NewEngine(), partitions: map[[2]int]bool{}}
	in.backend = &backend{in: in, sendsByKey: map[string][]string{}, inFlight: map[fleet.InstanceID]int{}}
	for range n {
		in.start()
	}
	return in
}

// start starts another daemon.
func (in *installation) start() *daemon {
	n := len(in.daemons)
	name := fmt.Sprintf("e%d", n+1)
	d := &daemon{in: in, index: n, store: store.NewDirect(in.engine), mirror: mirror.New()}
	d.self = fleet.Entry{ID: fleet.EntryID(name), Incarnation: fleet.Incarnation(name), PeerAddr: name}
	d.store.SetFaults(store.Faults{Down: in.storeDown})
	rnd := rand.New(rand.NewPCG(1, uint64(n)))
	d.syncer = &mirror.Syncer{Mirror: d.mirror, Store: d.store, Rand: rnd}
	d.dispatcher = entry.NewDispatcher(d.self.Incarnation, "z", 10*time.Second, entry.DefaultPolicies, rand.New(rand.NewPCG(2, uint64(n))))
	d.node = cluster.New(cluster.Options{
		Self: d.self, Seeds: in.seedPeers, Heartbeat: 300 * time.Millisecond, LeaseTTL: 2 * time.Second, Grace: 2 * time.Second,
		Member: member.DefaultOptions, Idempotency: idempotency.DefaultOptions,
	}, cluster.Deps{
		Store: d.store, Peers: &peerClient{in, d}, Mirror: d.mirror, Shares: d.dispatcher, Log: zap.NewNop(), JitterSeed: uint64(n),
		Connected: d.syncer.Connected.Load, Burn: func() port.BurnCounts { return port.BurnCounts{} },
		Instances: func() []fleet.Instance { return nil }, SeedInstances: func([]fleet.Instance) {},
	})
	d.handler = &entry.Handler{
		Dispatcher: d.dispatcher, Claims: &stepClaims{d.node.Claims, d}, Backend: &stepBackend{d}, ServingStatus: d.node.ServingStatus, Observer: &stepObserver{d},
		Limits: entry.Limits{MaxBody: 1 << 20, DefaultTimeout: 2 * time.Second, MaxTimeout: 10 * time.Second, MaxInFlight: 100, MaxBuffered: 1 << 30, MaxRetained: 1 << 16},
	}
	d.dispatcher.SetDirectory(fixedDirectory())
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	in.mu.Lock()
	in.daemons = append(in.daemons, d)
	in.mu.Unlock()
	for _, run := range []func(){
		func() { d.syncer.Run(ctx) },
		func() { d.node.Run(ctx) },
		func() { d.dispatcher.RunLoans(ctx, d.self.Incarnation, &peerClient{in, d}) },
	} {
		in.wg.Add(1)
		go func() {
			defer in.wg.Done()
			run()
		}()
	}
	return d
}

// fixedDirectory returns a directory with one service, to which all requests are routed.
func fixedDirectory() *directory.Directory {
	d := directory.Empty()
	d.Routes = route.NewTable([]fleet.Route{{Prefix: "/", Service: "orders", Class: "retail"}})
	svc := &directory.Service{Name: "orders", Classes: []fleet.Class{{Name: "retail", Weight: 1}}}
	for i := range workers {
		id := fleet.InstanceID(fmt.Sprint("w", i+1))
		svc.Workers = append(svc.Workers, directory.Worker{ID: id, Addr: string(id), Slots: 8})
		d.Slots[id] = 8
	}
	d.Services["orders"] = svc
	return d
}

// awaitView waits up to 20 s until every live daemon serves the same view.
func (in *installation) awaitView() {
	for range 400 {
		time.Sleep(50 * time.Millisecond)
		synctest.Wait()
		if in.viewAgreed() {
			return
		}
	}
}

// viewAgreed reports whether all live daemons serve the same view and it has no other members.
func (in *installation) viewAgreed() bool {
	var epoch fleet.Epoch
	live := 0
	for _, d := range in.daemons {
		if d.isDead() {
			continue
		}
		live++
		s := d.node.ServingStatus()
		if !s.Serving(time.Now()) || (epoch != 0 && s.Epoch != epoch) {
			return false
		}
		epoch = s.Epoch
	}
	return len(in.daemons[0].node.View().Members) == live || in.daemons[0].isDead()
}

func (in *installation) close() {
	for _, d := range in.daemons {
		d.thaw()
		d.cancel()
	}
	in.wg.Wait()
}

func (d *daemon) isDead() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dead
}

// kill ends the daemon immediately; the others learn of it 2 s later.
func (d *daemon) kill() {
	d.mu.Lock()
	d.dead = true
	d.mu.Unlock()
	d.cancel()
	d.in.after(2*time.Second, func() {
		for _, other := range d.in.daemons {
			if !other.isDead() {
				other.node.MarkEnded([]fleet.Incarnation{d.self.Incarnation})
			}
		}
	})
}

// stop makes a planned stop of the daemon, in the order of Daemon.stop: it waits for accepted
// requests, refuses new ones and leaves the view.
func (d *daemon) stop(ctx context.Context) {
	for d.openRequests.Load() > 0 && waitTick(ctx) {
	}
	d.handler.Stop()
	_ = d.node.Leave(ctx)
}

// after runs fn after a delay, without blocking; close waits for it.
func (in *installation) after(delay time.Duration, fn func()) {
	in.wg.Add(1)
	go func() {
		defer in.wg.Done()
		time.Sleep(delay)
		fn()
	}()
}

// freeze blocks the daemon's messages in both directions, and its requests at the next step,
// as if its process were stopped.
func (d *daemon) freeze(length time.Duration) {
	d.mu.Lock()
	if d.frozen == nil {
		d.frozen = make(chan struct{})
	}
	d.mu.Unlock()
	d.in.after(length, d.thaw)
}

func (d *daemon) thaw() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.frozen != nil {
		close(d.frozen)
		d.frozen = nil
	}
}

// awaitThaw waits while the daemon is frozen and reports whether it is alive.
func (d *daemon) awaitThaw() bool {
	d.mu.Lock()
	frozen := d.frozen
	d.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
	return !d.isDead()
}

// reachStep calls onStep for a request that reaches a step, waits while the daemon is frozen,
// and reports whether it is alive afterwards.
func (d *daemon) reachStep(s step) bool {
	d.in.mu.Lock()
	hook := d.in.onStep
	d.in.mu.Unlock()
	if hook != nil {
		hook(s, d)
	}
	return d.awaitThaw()
}

// setIsolated cuts a daemon off from all others, or reconnects it.
func (in *installation) setIsolated(d *daemon, cut bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	for _, other := range in.daemons {
		in.partitions[[2]int{d.index, other.index}] = cut
		in.partitions[[2]int{other.index, d.index}] = cut
	}
}

func (in *installation) daemonAt(addr string) *daemon {
	in.mu.Lock()
	defer in.mu.Unlock()
	for _, d := range in.daemons {
		if d.self.PeerAddr == addr {
			return d
		}
	}
	return nil
}

func (in *installation) partitioned(a, b *daemon) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.partitions[[2]int{a.index, b.index}]
}

// peerClient is one daemon's client for the others.
type peerClient struct {
	in   *installation
	from *daemon
}

const (
	networkDelay = time.Millisecond // of a message between daemons
	callTimeout  = time.Second      // of a call between daemons
)

var errUnreachable = verdict.New(verdict.NotRun, "peer-unreachable", "unreachable")

// callPeer delivers a message to addr and the reply back. Either may be lost; the sender then
// waits for its timeout.
func callPeer[R any](p *peerClient, ctx context.Context, addr string, serve func(port.PeerServer) R) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var zero R
	to := p.in.daemonAt(addr)
	if to == nil || !p.from.awaitThaw() {
		return zero, errUnreachable
	}
	done := make(chan R, 1)
	p.in.wg.Add(1)
	go func() {
		defer p.in.wg.Done()
		time.Sleep(networkDelay)
		if p.in.partitioned(p.from, to) || !to.awaitThaw() {
			return
		}
		r := serve(to.node)
		time.Sleep(networkDelay)
		if to.awaitThaw() && !p.in.partitioned(p.from, to) {
			done <- r
		}
	}()
	select {
	case r := <-done:
		if !p.from.awaitThaw() {
			return zero, errUnreachable
		}
		return r, nil
	case <-ctx.Done():
		return zero, verdict.Wrap(ctx.Err(), verdict.MayHaveRun, "peer-unreachable", "%s", addr)
	}
}

func (p *peerClient) Heartbeat(ctx context.Context, addr string, b port.Heartbeat) (port.HeartbeatReply, error) {
	return callPeer(p, ctx, addr, func(s port.PeerServer) port.HeartbeatReply { return s.OnHeartbeat(b) })
}

func (p *peerClient) Changes(ctx context.Context, addr string, since fleet.Revision) (port.Changes, error) {
	return callPeer(p, ctx, addr, func(s port.PeerServer) port.Changes { return s.OnChanges(since) })
}

func (p *peerClient) Claim(ctx context.Context, addr string, r idempotency.Request) (idempotency.Reply, error) {
	return callPeer(p, ctx, addr, func(s port.PeerServer) idempotency.Reply { return s.OnClaim(r) })
}

func (p *peerClient) ReportAttempt(ctx context.Context, addr string, n idempotency.Claim) (bool, error) {
	time.Sleep(networkDelay) // so that the response has been sent before a fault is injected
	p.from.reachStep(stepRecord)
	return callPeer(p, ctx, addr, func(s port.PeerServer) bool { return s.OnAttemptReport(n) })
}

func (p *peerClient) Transfer(ctx context.Context, addr string, t idempotency.Transfer) (bool, error) {
	return callPeer(p, ctx, addr, func(s port.PeerServer) bool { return s.OnTransfer(t) })
}

func (p *peerClient) Borrow(ctx context.Context, addr string, r port.BorrowRequest) (port.BorrowReply, error) {
	return callPeer(p, ctx, addr, func(s port.PeerServer) port.BorrowReply { return s.OnBorrow(r) })
}

func (p *peerClient) Return(ctx context.Context, addr string, ids []slots.LoanID) error {
	_, err := callPeer(p, ctx, addr, func(s port.PeerServer) bool { s.OnReturn(ids); return true })
	return err
}

func (p *peerClient) Burn(ctx context.Context, addr string) (port.BurnCounts, error) {
	return callPeer(p, ctx, addr, func(s port.PeerServer) port.BurnCounts { return s.OnBurn() })
}

// stepClaims reports the steps around a claim.
type stepClaims struct {
	entry.Claims
	d *daemon
}

func (h *stepClaims) Reachable(key idempotency.Key) bool {
	h.d.reachStep(stepAdmit)
	return h.Claims.Reachable(key)
}

func (h *stepClaims) RequestClaim(ctx context.Context, key idempotency.Key, fp idempotency.Fingerprint) (idempotency.AttemptID, idempotency.Reply, error) {
	h.d.reachStep(stepClaim)
	attempt, reply, err := h.Claims.RequestClaim(ctx, key, fp)
	h.d.reachStep(stepClaimed)
	return attempt, reply, err
}

// stepObserver reports the step at which a response is about to be written.
type stepObserver struct{ d *daemon }

func (h *stepObserver) Answered(fleet.ServiceName, fleet.ClassName, verdict.Verdict, verdict.Code, int, time.Duration) {
	h.d.reachStep(stepAnswer)
}
func (h *stepObserver) AttemptEnded(fleet.ServiceName, fleet.InstanceID, int, error) {}
func (h *stepObserver) HealthChanged(fleet.ServiceName, fleet.InstanceID, bool)      {}

// backend simulates the workers of all daemons.
type backend struct {
	in *installation

	mu       sync.Mutex
	down     bool // refuses connections
	hang     bool // never answers
	truncate bool // breaks the connection during answers
	// sendsByKey lists, by key, the sends of a request that ran.
	sendsByKey map[string][]string
	// inFlight counts the requests on each worker; maxInFlight is the highest count seen.
	inFlight    map[fleet.InstanceID]int
	maxInFlight int
}

// trackRequest counts a request on a worker until the returned function is called.
func (b *backend) trackRequest(w fleet.InstanceID) func() {
	b.update(func(b *backend) {
		b.inFlight[w]++
		b.maxInFlight = max(b.maxInFlight, b.inFlight[w])
	})
	return func() { b.update(func(b *backend) { b.inFlight[w]-- }) }
}

func (b *backend) update(fn func(*backend)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fn(b)
}

// stepBackend is one daemon's client for the workers; it reports the steps of a request.
type stepBackend struct{ daemon *daemon }

func (h *stepBackend) RetainConnections(map[fleet.InstanceID]string) {}

// serviceTime is how long a worker takes for a request.
const serviceTime = 100 * time.Millisecond

// Send runs a request as a worker does, with a step at each point where a fault may occur.
func (h *stepBackend) Send(ctx context.Context, r port.BackendRequest) (*port.BackendAnswer, error) {
	b := h.daemon.in.backend
	if !h.daemon.reachStep(stepConnect) || ctx.Err() != nil || b.isDown() {
		return nil, verdict.New(verdict.NotRun, port.CodeBackendUnreachable, "refused")
	}
	if !h.daemon.reachStep(stepWrite) || b.isDown() {
		return nil, verdict.New(verdict.MayHaveRun, port.CodeBackendConnectionBroken, "broken")
	}
	key := r.Header.Get(entry.HeaderKey)
	b.update(func(b *backend) { b.sendsByKey[key] = append(b.sendsByKey[key], r.Header.Get(sendHeader)) })
	defer b.trackRequest(r.Worker)()
	h.daemon.reachStep(stepWait)
	select {
	case <-time.After(serviceTime):
	case <-ctx.Done():
		return nil, verdict.New(verdict.MayHaveRun, port.CodeBackendTimeout, "timeout")
	}
	h.daemon.reachStep(stepRead)
	b.mu.Lock()
	hang, broken := b.hang, b.truncate || b.down
	b.mu.Unlock()
	switch {
	case hang:
		<-ctx.Done()
		return nil, verdict.New(verdict.MayHaveRun, port.CodeBackendTimeout, "timeout")
	case broken:
		return nil, verdict.New(verdict.MayHaveRun, port.CodeBackendAnswerTruncated, "cut")
	}
	return &port.BackendAnswer{Status: http.StatusOK, Header: http.Header{}, Body: []byte("answer to " + key)}, nil
}

func (b *backend) isDown() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.down
}

func (b *backend) sendsOf(key string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.sendsByKey[key]...)
}

// sendHeader carries the name of one send of a request.
const sendHeader = "X-Send"

// reply is the response that a caller got to one send, if any.
type reply struct {
	name     string
	noAnswer bool // the daemon ended before it responded
	verdict  verdict.Verdict
	body     string
	latency  time.Duration
}

// letter returns the reply's letter in the table: L for no response, D, N or M for the verdict.
func (r reply) letter() string {
	if r.noAnswer {
		return "L"
	}
	return map[verdict.Verdict]string{verdict.Done: "D", verdict.NotRun: "N", verdict.MayHaveRun: "M"}[r.verdict]
}

// request sends a keyed request through daemon d and waits for the response.
func (d *daemon) request(ctx context.Context, send, key string) reply {
	started := time.Now()
	d.openRequests.Add(1)
	defer d.openRequests.Add(-1)
	if d.isDead() {
		return reply{name: send, noAnswer: true}
	}
	req := httptest.NewRequestWithContext(ctx, http.MethodPost, "http://orders.example/order", strings.NewReader("order "+key))
	req.Header.Set(entry.HeaderKey, key)
	req.Header.Set(sendHeader, send)
	rec := httptest.NewRecorder()
	if d.reachStep(stepAccept) {
		d.handler.ServeHTTP(rec, req)
	}
	if d.isDead() {
		return reply{name: send, noAnswer: true}
	}
	return reply{name: send, verdict: verdict.Parse(rec.Header().Get(verdict.Header)), body: rec.Body.String(), latency: time.Since(started)}
}

// newKey returns the n-th key with the current time whose owner in the current view is d.
// The same n gives the same key in every run.
func (in *installation) newKey(d *daemon, n int) string {
	const version, variant = 0x70, 0x80
	for i := 0; ; i++ {
		var id uuid.UUID
		binary.BigEndian.PutUint64(id[:], uint64(time.Now().UnixMilli())<<16)
		binary.BigEndian.PutUint64(id[8:], uint64(i))
		id[6], id[8] = version, variant
		k := idempotency.Key(id.String())
		if idempotency.Owner(d.node.View(), k.Partition()) != d.self.Incarnation {
			continue
		}
		if n == 0 {
			return string(k)
		}
		n--
	}
}
