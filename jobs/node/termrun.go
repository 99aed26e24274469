package node

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/postmount/postmount/jobs/admission"
	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/ledger"
	"github.com/postmount/postmount/jobs/owner"
	"github.com/postmount/postmount/jobs/peer"
	"github.com/postmount/postmount/verdict"
)

// event applies an external event to the core, on the core's goroutine.
type event func(c *owner.Core, now time.Time)

// eventQueueLen is the capacity of the event queue. Senders block while it is full.
const eventQueueLen = 1024

// termRun runs the scheduler, the core, while this daemon is the owner. One goroutine uses the
// core; all others send it events.
type termRun struct {
	n      *Node
	term   *ledger.Term
	lease  ledger.LeaseID // lease that the owner's lock is attached to
	core   *owner.Core    // used only by the goroutine that runs loop
	events chan event     // applied to the core by that goroutine
	ctx    context.Context
	cancel context.CancelFunc

	deposeOnce sync.Once
	leaving    chan struct{} // closed when the handover begins
	released   chan struct{} // closed when the lock is released
	leaveOnce  sync.Once

	relist chan struct{} // holds one token while a read of the instance list is requested

	expectingWorkers    atomic.Bool   // workers are about to register
	idle                atomic.Bool   // no job is open
	cpuStarved          atomic.Bool   // short of CPU for more than cpuStarvedAfter
	suspensionSeen      time.Duration // Clock.Suspended() when the core was last told of a suspension
	suspensionCheckedAt time.Time     // last call of Clock.Suspended()
	admissionHint       atomic.Pointer[admission.Hint]
	hintUpdatedAt       time.Time
	committing          bool         // a transaction is in flight
	lastCommit          time.Time    // when the last transaction started
	lastStats           time.Time    // when the metrics were last updated
	lastExpire          time.Time    // when expired jobs were last removed
	isolating           int          // transactions that contain one item each, as several were rejected together
	removals            []job.ID     // ended jobs that are removed from the core and still in the store
	startedAt           time.Time    // when the term began
	leavingSince        time.Time    // when the handover began
	releaseTriedAt      time.Time    // last attempt to release the lock
	reservingTerm       uint64       // last term that was to be reserved
	reservingTermAt     time.Time    // when it was
	pendingPuts         []ledger.Put // puts for the next transaction, in addition to the records
	orders              instanceOrders
	startCalls          callLimiter // start orders to workers
	holdCalls           callLimiter // holds
	otherCalls          callLimiter // all other orders to workers
	stopsInFlight       stopSet
	ownership           termOwnership
	settledTakenAt      [owner.SettledShards]time.Time // when a shard of the settled incarnations was last taken from the core
}

// runTerm loads all jobs and schedules them until the term or ctx ends.
func (n *Node) runTerm(ctx context.Context, term *ledger.Term, lease ledger.LeaseID) {
	began := n.clock.Now()
	snap, err := ledger.Load(ctx, n.store)
	if err != nil {
		n.log.Error("job-load-failed", zap.Error(err))
		if err := term.Release(ctx, nil, nil, term.PriorOrders); err != nil {
			n.log.Warn("lock-release-failed", zap.Error(err))
		}
		return
	}
	t := &termRun{n: n, term: term, lease: lease, startedAt: began, suspensionSeen: n.clock.Suspended(), events: make(chan event, eventQueueLen), leaving: make(chan struct{}), released: make(chan struct{}), relist: make(chan struct{}, 1), stopsInFlight: stopSet{}}
	t.admissionHint.Store(&admission.Hint{})
	t.startCalls = newCallLimiter(startSlotsPerCore, n.settings.Cores, callSlotTimeout)
	t.holdCalls = newCallLimiter(holdSlotsPerCore, n.settings.Cores, holdSlotTimeout)
	t.otherCalls = newCallLimiter(otherSlotsPerCore, n.settings.Cores, callSlotTimeout)
	t.orders = newInstanceOrders(n.settings.Node, n.settings.DutyHandover, term.PriorOrders, began)
	t.ctx, t.cancel = context.WithCancel(ctx)
	defer t.cancel()
	t.core = owner.New(owner.Options{
		Term:      term.Number,
		TaskLease: min(taskLease, n.settings.MaxTaskLease), MaxWorkerLease: n.settings.MaxTaskLease, HoldWait: holdWait, IdleHoldWait: idleHoldWait,
		MaxHoldsPerSec: lossyHoldsPerCoreSecond * n.settings.Cores,
		MaxMovesPerSec: n.settings.MovesPerSec,
		ToleratedZones: n.settings.ToleratedZones,
		DutyHandover:   n.settings.DutyHandover, PriorOrders: n.ordersByOthers(term.PriorOrders), ElectedAt: began, PriorOrdersUnknown: term.PriorOrdersUnknown, SucceedsSelf: term.SucceedsSelf, PriorLeaseLeft: priorLeaseLeft(term),
		MaxRecordBytes:       n.settings.MaxValueBytes,
		MaxOpenJobBytes:      int64(n.settings.MemoryMB) << 20 / openJobsShare,
		CatchUpTasksPerSec:   catchUpTasksPerCoreSecond * n.settings.Cores,
		WithheldJobs:         snap.Withheld,
		Settled:              snap.Settled,
		StatusRetention:      n.settings.StatusRetention,
		MaxOutstandingStarts: startsPerSlot * cap(t.startCalls.slots),
		Weights:              n.settings.Policy.Pools.Weights(), PoolPolicy: n.settings.Policy.Pools.Size, SchedulingPolicy: n.settings.Policy.Jobs.Order, AdmissionPolicy: n.settings.Policy.Jobs.Admission, CallPolicy: n.settings.Policy.Workers.Calls,
	}, n.catalog.Load(), snap.Jobs, n.clock.Now())
	n.lastTerm.Store(term.Number)
	t.updateOwnership(n.clock.Now())
	for _, e := range snap.Refused {
		n.refusedEntries.add(e.Key, e.Revision, e.Err)
	}
	n.log.Info("jobs-loaded", zap.Int("jobs", len(snap.Jobs)), zap.Int64("revision", snap.Revision), zap.Duration("took", n.clock.Now().Sub(began)))
	n.term.Store(t)
	defer n.term.Store(nil)
	if ledger.LeaseID(n.lease.Load()) != lease {
		t.depose("the lease of its lock expired while the jobs were loaded")
		return
	}
	t.startWaves(snap)
	t.core.SetEvacuatedZones(n.evacuations.list())
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

// startWaves passes the known maintenance waves and their stored progress to the core.
func (t *termRun) startWaves(snap ledger.Snapshot) {
	t.n.wavesMu.Lock()
	defer t.n.wavesMu.Unlock()
	for _, w := range t.n.waves {
		p := snap.Waves[w.Wave]
		t.core.OnWave(w, p.Begun, p.Done, t.n.clock.Now())
	}
}

// updateEvacuations passes the evacuated zones to the core. They are read when the event is
// applied, so that several events apply the same latest state.
func (t *termRun) updateEvacuations() {
	t.enqueue(func(c *owner.Core, _ time.Time) { c.SetEvacuatedZones(t.n.evacuations.list()) })
}

// enqueue sends an event to the core's goroutine. It drops the event if the term has ended.
func (t *termRun) enqueue(e event) {
	select {
	case t.events <- e:
	case <-t.ctx.Done():
	}
}

// depose ends the term because another daemon is or may become the owner.
func (t *termRun) depose(reason string) {
	t.deposeOnce.Do(func() {
		t.n.log.Warn("deposed", zap.Uint64("term", t.term.Number), zap.String("why", reason))
		t.cancel()
	})
}

// handOver releases the lock and reports whether that succeeded within handOverTimeout.
// While the store is unavailable no other daemon can take over: the term then continues,
// and releases the lock once the store is back if this daemon still runs.
func (t *termRun) handOver() bool {
	t.leaveOnce.Do(func() { close(t.leaving) })
	select {
	case <-t.released:
		return true
	case <-t.ctx.Done():
	case <-time.After(handOverTimeout):
		if !t.n.store.Unavailable() {
			t.depose("the lock was not released in time")
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
			t.updateOwnership(now)
			t.core.Tick(now)
			t.updateStats(now)
			t.updateAdmissionHint(now)
			t.n.yieldIfPartitioned(t)
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
				// No new orders are sent while the lock is being released. They stay in the
				// core, which expects them to be sent if the store becomes unavailable
				// meanwhile. Task leases are still renewed, as they must outlast the next
				// owner's takeover.
				t.dispatch(owner.Effects{Holds: t.core.TakeHolds()})
				continue
			}
		}
		t.dispatch(t.core.TakeEffects())
		t.commit(t.n.clock.Now())
	}
}

// minSuspension is the shortest suspension that is reported to the core. Smaller differences
// are within the accuracy of the clocks, and every lease is longer.
const minSuspension = 50 * time.Millisecond

// suspensionCheckInterval is the minimum time between two checks, each of which costs a
// system call. An event between two checks may be older than it seems, by at most this interval;
// the code that sends an order for an instance checks the lease again.
const suspensionCheckInterval = 5 * time.Millisecond

// checkSuspension tells the core if the instance was suspended since the last check: the
// core's state is then older than the monotonic clock shows. It runs before any decision
// that depends on that.
func (t *termRun) checkSuspension() {
	now := t.n.clock.Now()
	lastChecked := t.suspensionCheckedAt
	if now.Sub(lastChecked) < suspensionCheckInterval {
		return
	}
	t.suspensionCheckedAt = now
	d := t.n.clock.Suspended() - t.suspensionSeen
	if d < minSuspension {
		return
	}
	t.suspensionSeen += d
	t.n.log.Warn("suspended", zap.Duration("for", d))
	t.updateOwnership(now)
	t.core.ReportSuspension(d, lastChecked, now)
}

// statsInterval is how often the owner's metrics are updated.
const statsInterval = time.Second

func (t *termRun) updateStats(now time.Time) {
	if now.Sub(t.lastStats) < statsInterval {
		return
	}
	t.lastStats = now
	stats := t.core.Stats(now)
	t.idle.Store(stats.OpenJobs == 0 && stats.DirtyJobs == 0)
	t.cpuStarved.Store(t.core.StarvedFor(now) > cpuStarvedAfter)
	t.n.metrics.ownerStats(stats)
}

// applyQueued applies all queued events, so that their effects are computed once. The clock is
// read for each: more events arrive meanwhile, and if a worker's answer were applied with a time
// before its arrival, the worker's lease would count as expired too early.
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

// isLeaving reports whether the handover has begun.
func (t *termRun) isLeaving() bool {
	select {
	case <-t.leaving:
		return true
	default:
		return false
	}
}

// tryRelease tries to release the lock and reports whether the term has ended. The transaction also
// writes as many pending records as fit. The others need not be written: workers report ends that
// were not recorded to the next owner as well.
func (t *termRun) tryRelease() bool {
	now := t.n.clock.Now()
	if t.leavingSince.IsZero() {
		t.leavingSince = now
	}
	unavailable := t.n.store.Unavailable()
	if t.committing && now.Sub(t.leavingSince) < releaseCommitWait || now.Sub(t.releaseTriedAt) < retryPause {
		return false
	}
	if t.releaseTriedAt.IsZero() && now.Sub(t.leavingSince) < releaseRenewalsWait && t.core.RenewalsPending(now) {
		return false
	}
	t.releaseTriedAt = now
	timeout := storeTimeout
	if unavailable {
		timeout = releaseProbeTimeout
	}
	puts, deletes := t.finalWrites()
	ctx, cancel := context.WithTimeout(t.ctx, timeout)
	defer cancel()
	sentBefore := t.ownership.releaseSent(t.n.uptimeNanos())
	if err := t.term.Release(ctx, puts, deletes, t.orders.recent(now)); err != nil {
		if verdict.Of(err) == verdict.NotRun && !sentBefore {
			t.ownership.releaseNotRun()
		}
		t.updateOwnership(t.n.clock.Now()) // before the core renews any lease
		t.n.log.Warn("lock-release-failed", zap.Error(err))
		return false
	}
	t.n.onLockReleased(t.term.Number)
	close(t.released)
	return true
}

// finalWrites returns the writes that are committed together with the release of the lock.
func (t *termRun) finalWrites() (puts []ledger.Put, deletes []string) {
	now := t.n.clock.Now()
	t.takeAllSettled(now)
	puts = nextPuts(t.pendingPuts, ledger.MaxReleaseEntries)
	_, recordPuts, deletes := t.encodeRecords(t.core.PendingRecords(ledger.MaxReleaseEntries-len(puts)), now)
	return append(puts, recordPuts...), deletes
}

// logDecisions logs the core's decisions since the last call.
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
	if d.TimeBreakdown != nil {
		out = append(out, breakdownFields(d.TimeBreakdown)...)
	}
	return out
}

// breakdownFields returns log fields with what a late job's time was spent on, in milliseconds.
func breakdownFields(b *owner.TimeBreakdown) []zap.Field {
	out := []zap.Field{zap.Int64("total", b.Total.Milliseconds()), zap.Int64("allowed", b.Allowed.Milliseconds())}
	for c, d := range b.Spent {
		if d >= time.Millisecond {
			out = append(out, zap.Int64(owner.Cause(c).String(), d.Milliseconds()))
		}
	}
	return out
}

// queryCore runs a query on the core's goroutine. It gives up after peerTimeout; the query
// is then skipped when its turn comes.
func queryCore[T any](t *termRun, query func(c *owner.Core) T) (answer T, ok bool) {
	ctx, cancel := context.WithTimeout(t.ctx, peerTimeout)
	defer cancel()
	out := make(chan T, 1)
	run := func(c *owner.Core, _ time.Time) {
		if ctx.Err() == nil {
			out <- query(c)
		}
	}
	select {
	case t.events <- run:
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

// state returns the state of a job according to the core.
func (t *termRun) state(id job.ID) peer.StateReply {
	r, _ := queryCore(t, func(c *owner.Core) peer.StateReply {
		s, known := c.State(id)
		return peer.StateReply{Owner: true, Known: known, State: s, Tenant: c.TenantOf(id)}
	})
	return r
}

// leaseHeld reports whether the lock and its lease are certainly held, so that no other daemon
// can be the owner. The daemon's current lease may be a newer one.
func (t *termRun) leaseHeld() bool {
	return !t.ownership.mayBeReleased() && t.n.leaseHeld() && ledger.LeaseID(t.n.lease.Load()) == t.lease
}

// pending returns the number of pending jobs of a queue, but only while no other daemon can be the
// owner: a new owner knows of jobs that this daemon was not told of. The lease is checked again
// afterwards, as it may expire while the query is queued, above all in a suspended process.
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

// admit decides whether to accept a job. Without a certain lease it decides nothing, as another daemon may be
// the owner.
func (t *termRun) admit(j *job.Job) peer.AdmitReply {
	if !t.leaseHeld() {
		return peer.AdmitReply{}
	}
	r, _ := queryCore(t, func(c *owner.Core) peer.AdmitReply {
		return peer.AdmitReply{Owner: true, Decision: c.Admit(j, t.n.clock.Now())}
	})
	r.Hint = *t.admissionHint.Load()
	return r
}

// hintInterval is how often the hint for other daemons is updated.
const hintInterval = 200 * time.Millisecond

func (t *termRun) updateAdmissionHint(now time.Time) {
	if now.Sub(t.hintUpdatedAt) < hintInterval {
		return
	}
	t.hintUpdatedAt = now
	h := t.core.AdmissionHint(now)
	t.admissionHint.Store(&h)
}

// onCancelled passes a cancellation that is in the store to the core.
func (t *termRun) onCancelled(id job.ID) {
	t.enqueue(func(c *owner.Core, now time.Time) { c.Cancel(id, now) })
}

// onSubmitted passes a job that is in the store to the core.
func (t *termRun) onSubmitted(j *job.Job) {
	t.enqueue(func(c *owner.Core, now time.Time) { c.Submit(j, now) })
}
