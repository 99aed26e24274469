package node

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/ledger"
	"github.com/postmount/postmount/jobs/owner"
	"github.com/postmount/postmount/jobs/peer"
)

// event is something that happened, applied to the core on its goroutine.
type event func(c *owner.Core, now time.Time)

// eventQueueLen is how many events may wait for the core's goroutine. Those who
// bring them wait beyond.
const eventQueueLen = 1024

// termRun is this daemon's time as the owner. One goroutine owns the core; all
// else talks to it by events.
type termRun struct {
	n      *Node
	term   *ledger.Term
	lease  ledger.LeaseID // of its lock
	core   *owner.Core
	events chan event
	ctx    context.Context
	cancel context.CancelFunc

	deposeOnce sync.Once
	leaving    chan struct{} // closed when a planned stop begins
	released   chan struct{} // closed when the lock is released
	leaveOnce  sync.Once

	relist chan struct{} // holds one token while a reading of the instance list is wanted

	expectingWorkers    atomic.Bool   // workers are about to register
	idle                atomic.Bool   // no job is open
	cpuStarved          atomic.Bool   // it cannot keep up
	suspensionSeen      time.Duration // of the instance, when the core was last told
	suspensionCheckedAt time.Time     // when that was last looked at
	behind              atomic.Bool   // work waits for its orders to be sent
	committing          bool
	lastCommit          time.Time
	lastStats           time.Time
	lastExpire          time.Time
	startedAt           time.Time
	leavingSince        time.Time    // when a planned stop began
	releaseTriedAt      time.Time    // when the lock was last to be released
	pendingPuts         []ledger.Put // puts beside the records
	orders              instanceOrders
	startCalls          callLimiter // calls to workers that start tasks
	holdCalls           callLimiter
	otherCalls          callLimiter // all other calls to workers
	stopsInFlight       stopSet
}

// runTerm is the owner until another daemon is, or ctx ends.
func (n *Node) runTerm(ctx context.Context, term *ledger.Term, lease ledger.LeaseID) {
	began := n.clock.Now()
	snap, err := ledger.Load(ctx, n.store)
	if err != nil {
		n.log.Error("jobs-not-loaded", zap.Error(err))
		if err := term.Release(ctx, nil, nil, term.PreviousOrders); err != nil {
			n.log.Warn("lock-not-released", zap.Error(err))
		}
		return
	}
	t := &termRun{n: n, term: term, lease: lease, startedAt: began, suspensionSeen: n.clock.Suspended(), events: make(chan event, eventQueueLen), leaving: make(chan struct{}), released: make(chan struct{}), relist: make(chan struct{}, 1), stopsInFlight: stopSet{}}
	t.startCalls = newCallLimiter(startSlotsPerCore, n.settings.Cores, callSlotTimeout)
	t.holdCalls = newCallLimiter(holdSlotsPerCore, n.settings.Cores, holdSlotTimeout)
	t.otherCalls = newCallLimiter(otherSlotsPerCore, n.settings.Cores, callSlotTimeout)
	t.orders = newInstanceOrders(n.settings.Node, n.settings.DutyHandover, term.PreviousOrders, began)
	t.ctx, t.cancel = context.WithCancel(ctx)
	defer t.cancel()
	t.core = owner.New(owner.Options{
		Term:      term.Number,
		TaskLease: min(taskLease, n.settings.MaxTaskLease), MaxWorkerLease: n.settings.MaxTaskLease, HoldWait: holdWait, IdleHoldWait: idleHoldWait,
		MaxHoldsPerSec: lossyHoldsPerCoreSecond * n.settings.Cores,
		MaxMovesPerSec: n.settings.MovesPerSec,
		DutyHandover:   n.settings.DutyHandover, PriorOrders: n.ordersByOthers(term.PreviousOrders), ElectedAt: began, PriorOrdersUnknown: term.PreviousOrdersUnknown, SucceedsSelf: term.SucceedsSelf,
		StatusRetention:  n.settings.KeepStatus,
		MaxPendingStarts: startsPerSlot * cap(t.startCalls.slots),
		Weights:          n.settings.Policy.Pools.Weights(), PoolPolicy: n.settings.Policy.Pools.Size, SchedulingPolicy: n.settings.Policy.Jobs.Order, CallPolicy: n.settings.Policy.Workers.Calls,
	}, n.catalog.Load(), snap.Jobs, n.clock.Now())
	for _, e := range snap.Refused {
		n.refusedEntries.add(e.Key, e.Revision, e.Err)
	}
	n.log.Info("jobs-loaded", zap.Int("jobs", len(snap.Jobs)), zap.Int64("revision", snap.Revision), zap.Duration("took", n.clock.Now().Sub(began)))
	n.term.Store(t)
	defer n.term.Store(nil)
	if ledger.LeaseID(n.lease.Load()) != lease {
		t.depose("its lease has ended")
		return
	}
	t.startWaves(snap)
	t.core.Evacuate(n.evacuations.list())
	t.core.Configure(n.catalog.Load())
	go t.watchJobs(snap.Revision)
	go t.watchRegistrations()
	go t.pollInstances()
	t.loop()
	n.log.Info("no-longer-owner", zap.Uint64("term", term.Number))
}

// ordersByOthers returns the orders that other daemons sent.
func (n *Node) ordersByOthers(list []owner.RecentOrder) []owner.RecentOrder {
	return slices.DeleteFunc(slices.Clone(list), func(o owner.RecentOrder) bool { return o.Holder == n.settings.Node })
}

func (t *termRun) startWaves(snap ledger.Snapshot) {
	t.n.wavesMu.Lock()
	defer t.n.wavesMu.Unlock()
	for _, w := range t.n.waves {
		p := snap.Waves[w.Wave]
		t.core.OnWave(w, p.Begun, p.Done, t.n.clock.Now())
	}
}

// updateEvacuations hands the evacuated zones of the moment at which it is applied to the core.
func (t *termRun) updateEvacuations() {
	t.enqueue(func(c *owner.Core, _ time.Time) { c.Evacuate(t.n.evacuations.list()) })
}

// enqueue hands an event to the core's goroutine.
func (t *termRun) enqueue(e event) {
	select {
	case t.events <- e:
	case <-t.ctx.Done():
	}
}

// depose ends the term: another daemon is, or may become, the owner.
func (t *termRun) depose(reason string) {
	t.deposeOnce.Do(func() {
		t.n.log.Warn("deposed", zap.Uint64("term", t.term.Number), zap.String("why", reason))
		t.cancel()
	})
}

// handOver releases the lock. It returns when that is done or has taken too long; it
// reports whether the lock is released. While the store is away nobody can take over:
// the term goes on then, and releases the lock when the store is back, if this daemon
// is still there.
func (t *termRun) handOver() bool {
	t.leaveOnce.Do(func() { close(t.leaving) })
	select {
	case <-t.released:
		return true
	case <-t.ctx.Done():
	case <-time.After(handOverTimeout):
		if !t.n.store.Unavailable() {
			t.depose("the lock could not be released in time")
		}
	}
	return false
}

// loop runs the core until the term ends.
func (t *termRun) loop() {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	leaving := t.leaving
	lastTick := t.n.clock.Now()
	for {
		select {
		case <-t.ctx.Done():
			return
		case e := <-t.events:
			t.checkSuspension()
			e(t.core, t.n.clock.Now())
			t.applyQueued()
			t.core.React(t.n.clock.Now())
		case <-tick.C:
			now := t.n.clock.Now()
			t.checkSuspension()
			t.core.ReportTimerDelay(now.Sub(lastTick)-tickInterval, now)
			lastTick = now
			t.core.SetStoreLease(t.n.mayOrderInstances(), now)
			t.core.Tick(now)
			t.updateStats(now)
			t.n.yieldIfDisconnected(t)
		case <-leaving:
			leaving = nil
		}
		if t.core.Fenced() {
			t.depose("a worker has seen a newer term")
			return
		}
		t.logDecisions()
		if leaving == nil {
			if t.tryRelease() {
				return
			}
			if !t.n.store.Unavailable() {
				// Nothing new is ordered while the lock is being released. It is kept, as
				// the core counts on its being sent if the store goes away meanwhile. Leases
				// are renewed, as they have to outlast the next owner's takeover.
				t.dispatch(owner.Effects{Holds: t.core.TakeHolds()})
				continue
			}
		}
		t.dispatch(t.core.TakeEffects())
		t.commit(t.n.clock.Now())
	}
}

// minSuspension is the shortest suspension that is told: what differs less lies in the
// accuracy of the clocks, and no lease is as short.
const minSuspension = 50 * time.Millisecond

// suspensionCheckInterval is the least time between two looks, each of which costs a system call: an
// event in between is at most so much older than it seems, and what is ordered by a lease
// looks for itself.
const suspensionCheckInterval = 5 * time.Millisecond

// checkSuspension tells the core if the instance was suspended since it was last looked at:
// what it knows is older than the steady clock says. It comes before all that is decided by it.
func (t *termRun) checkSuspension() {
	now := t.n.clock.Now()
	if now.Sub(t.suspensionCheckedAt) < suspensionCheckInterval {
		return
	}
	t.suspensionCheckedAt = now
	d := t.n.clock.Suspended() - t.suspensionSeen
	if d < minSuspension {
		return
	}
	t.suspensionSeen += d
	t.n.log.Warn("suspended", zap.Duration("for", d))
	t.core.SetStoreLease(t.n.mayOrderInstances(), now)
	t.core.ReportSuspension(d, now)
}

// statsInterval is how often the owner's figures are handed to the metrics.
const statsInterval = time.Second

func (t *termRun) updateStats(now time.Time) {
	if now.Sub(t.lastStats) < statsInterval {
		return
	}
	t.lastStats = now
	stats := t.core.Stats(now)
	t.idle.Store(stats.OpenJobs == 0 && stats.UnrecordedJobs == 0)
	t.behind.Store(t.core.IsBacklogged(now))
	t.cpuStarved.Store(t.core.StarvedFor(now) > cpuStarvedAfter)
	t.n.metrics.ownerStats(stats)
}

// applyQueued applies the events that wait, so that their effects are computed once. Each has
// a time of its own: more come meanwhile, and a lease whose end is reckoned from a time
// before its worker's answer counts as over too soon.
func (t *termRun) applyQueued() {
	for range eventQueueLen {
		select {
		case e := <-t.events:
			e(t.core, t.n.clock.Now())
		default:
			return
		}
	}
}

func (t *termRun) isLeaving() bool {
	select {
	case <-t.leaving:
		return true
	default:
		return false
	}
}

// tryRelease stops sending orders and releases the lock; it reports whether the term is
// over. Some records go with the lock. The others need not be written: workers list
// ends that were not recorded to the next owner, too.
func (t *termRun) tryRelease() bool {
	now := t.n.clock.Now()
	if t.leavingSince.IsZero() {
		t.leavingSince = now
	}
	away := t.n.store.Unavailable()
	if t.committing && now.Sub(t.leavingSince) < releaseCommitWait || now.Sub(t.releaseTriedAt) < retryPause {
		return false
	}
	t.releaseTriedAt = now
	timeout := storeTimeout
	if away {
		timeout = releaseProbeTimeout
	}
	puts, deletes := t.finalWrites()
	ctx, cancel := context.WithTimeout(t.ctx, timeout)
	defer cancel()
	if err := t.term.Release(ctx, puts, deletes, t.orders.recent(now)); err != nil {
		t.n.log.Warn("lock-not-released", zap.Error(err))
		return false
	}
	t.n.onLockReleased(t.term.Number)
	close(t.released)
	return true
}

// finalWrites returns what goes with the lock.
func (t *termRun) finalWrites() (puts []ledger.Put, deletes []string) {
	puts = latestPutPerKey(t.pendingPuts)
	puts = puts[:min(len(puts), ledger.MaxWriteEntries)]
	for _, r := range t.core.PendingRecords(ledger.MaxWriteEntries - len(puts)) {
		p, d := ledger.RecordWrites(r)
		puts = append(puts, p...)
		deletes = append(deletes, d...)
	}
	return puts, deletes
}

func (t *termRun) logDecisions() {
	for _, d := range t.core.TakeDecisions() {
		t.n.log.Info(d.Event, decisionFields(d)...)
	}
}

func decisionFields(d owner.Decision) []zap.Field {
	var out []zap.Field
	if d.Job != "" {
		out = append(out, zap.String("job", string(d.Job)))
	}
	if d.Task != "" {
		out = append(out, zap.String("task", d.Task))
	}
	if d.Worker != "" {
		out = append(out, zap.String("worker", string(d.Worker)))
	}
	if d.Run != 0 {
		out = append(out, zap.Uint64("run", d.Run))
	}
	if d.Reason != "" {
		out = append(out, zap.String("why", d.Reason))
	}
	if d.Account != nil {
		out = append(out, accountFields(d.Account)...)
	}
	return out
}

// accountFields returns what a late job's time was spent on, in milliseconds.
func accountFields(a *owner.TimeBreakdown) []zap.Field {
	out := []zap.Field{zap.Int64("total", a.Total.Milliseconds()), zap.Int64("allowed", a.Allowed.Milliseconds())}
	for c, d := range a.Spent {
		if d >= time.Millisecond {
			out = append(out, zap.Int64(owner.Cause(c).String(), d.Milliseconds()))
		}
	}
	return out
}

// queryCore runs a question on the core's goroutine, unless its turn comes after the asker has
// given up.
func queryCore[T any](t *termRun, question func(c *owner.Core) T) (answer T, ok bool) {
	ctx, cancel := context.WithTimeout(t.ctx, peerTimeout)
	defer cancel()
	out := make(chan T, 1)
	asked := func(c *owner.Core, _ time.Time) {
		if ctx.Err() == nil {
			out <- question(c)
		}
	}
	select {
	case t.events <- asked:
	case <-ctx.Done():
		return answer, false
	}
	select {
	case answer = <-out:
		return answer, true
	case <-ctx.Done():
		return answer, false
	}
}

func (t *termRun) state(id job.ID) peer.StateReply {
	r, _ := queryCore(t, func(c *owner.Core) peer.StateReply {
		s, known := c.State(id)
		return peer.StateReply{Owner: true, Known: known, State: s, Tenant: c.TenantOf(id)}
	})
	return r
}

// leaseHeld reports whether the lease of the lock is held for certain: no other daemon
// can be the owner. The daemon may have been granted another one since.
func (t *termRun) leaseHeld() bool {
	return t.n.leaseHeld() && ledger.LeaseID(t.n.lease.Load()) == t.lease
}

// pending counts only while no other daemon can be the owner: one that has taken
// over knows of jobs that this daemon was not told of. The lease may run out while the
// question waits for the core, above all in a process that was frozen.
func (t *termRun) pending(queue string) peer.PendingReply {
	if !t.leaseHeld() {
		return peer.PendingReply{}
	}
	r, _ := queryCore(t, func(c *owner.Core) peer.PendingReply {
		return peer.PendingReply{Owner: true, Count: c.PendingJobs(queue)}
	})
	if !t.leaseHeld() {
		return peer.PendingReply{}
	}
	return r
}

// admit tells by how much a job would be late if it was accepted now.
func (t *termRun) admit(j *job.Job) peer.AdmitReply {
	r, _ := queryCore(t, func(c *owner.Core) peer.AdmitReply {
		return peer.AdmitReply{Owner: true, LateBy: c.ExpectedLateness(j, t.n.clock.Now())}
	})
	return r
}

func (t *termRun) onCancelled(id job.ID) {
	t.enqueue(func(c *owner.Core, now time.Time) { c.Cancel(id, now) })
}

func (t *termRun) onSubmitted(j *job.Job) {
	t.enqueue(func(c *owner.Core, now time.Time) { c.Submit(j, now) })
}
