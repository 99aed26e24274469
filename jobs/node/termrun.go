package node

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/postmount/postmount/jobs/capacity"
	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/ledger"
	"github.com/postmount/postmount/jobs/owner"
	"github.com/postmount/postmount/jobs/peer"
	"github.com/postmount/postmount/verdict"
)

// event is something that happened, applied to the core on its goroutine.
type event func(c *owner.Core, now time.Time)

// eventQueue is how many events may wait for the core's goroutine. Those who
// bring them wait beyond.
const eventQueue = 1024

// termRun is this daemon's time as the owner. One goroutine owns the core; all
// else talks to it by events.
type termRun struct {
	n      *Node
	term   *ledger.Term
	core   *owner.Core
	events chan event
	ctx    context.Context
	cancel context.CancelFunc

	deposed  sync.Once
	leaving  chan struct{} // closed when a planned stop begins
	left     chan struct{} // closed when the lock is released
	leaveOne sync.Once

	listing chan struct{} // holds one token while the instance list is read

	expecting  atomic.Bool // workers are about to register
	committing bool
	lastCommit time.Time
	lastExpire time.Time
	extra      []ledger.Put // puts beside the records
}

// runTerm is the owner until another daemon is, or ctx ends.
func (n *Node) runTerm(ctx context.Context, term *ledger.Term) {
	began := time.Now()
	snap, err := ledger.Load(ctx, n.store)
	if err != nil {
		n.log.Error("jobs-not-loaded", zap.Error(err))
		if err := term.Release(ctx); err != nil {
			n.log.Warn("lock-not-released", zap.Error(err))
		}
		return
	}
	t := &termRun{n: n, term: term, events: make(chan event, eventQueue), leaving: make(chan struct{}), left: make(chan struct{}), listing: make(chan struct{}, 1)}
	t.ctx, t.cancel = context.WithCancel(ctx)
	defer t.cancel()
	t.core = owner.New(owner.Options{
		Node: n.set.Node, Term: term.Number,
		TaskLease: min(taskLease, n.set.MaxTaskLease), HoldWait: holdWait,
		DutyHandover: n.set.DutyHandover, KeepStatus: n.set.KeepStatus, HarmLimit: n.set.HarmLimit,
		Weights: capacity.DefaultWeights,
	}, n.catalog.Load(), snap.Jobs, time.Now())
	n.log.Info("jobs-loaded", zap.Int("jobs", len(snap.Jobs)), zap.Int64("revision", snap.Revision), zap.Duration("took", time.Since(began)))
	n.term.Store(t)
	defer n.term.Store(nil)
	t.startWaves(snap)
	t.core.Configure(n.catalog.Load())
	go t.followJobs(snap.Revision)
	go t.pollRegistrations()
	go t.pollInstances()
	t.loop()
	n.log.Info("no-longer-owner", zap.Uint64("term", term.Number))
}

func (t *termRun) startWaves(snap ledger.Snapshot) {
	t.n.wavesMu.Lock()
	defer t.n.wavesMu.Unlock()
	for _, w := range t.n.waves {
		p := snap.Waves[w.Wave]
		t.core.OnWave(w, p.Begun, p.Done, time.Now())
	}
}

// do hands an event to the core's goroutine.
func (t *termRun) do(e event) {
	select {
	case t.events <- e:
	case <-t.ctx.Done():
	}
}

// depose ends the term: another daemon is, or may become, the owner.
func (t *termRun) depose(reason string) {
	t.deposed.Do(func() {
		t.n.log.Warn("deposed", zap.Uint64("term", t.term.Number), zap.String("why", reason))
		t.cancel()
	})
}

// handOver writes what has to be kept and releases the lock. It returns when
// that is done or has taken too long.
func (t *termRun) handOver() {
	t.leaveOne.Do(func() { close(t.leaving) })
	select {
	case <-t.left:
	case <-t.ctx.Done():
	case <-time.After(flushTimeout):
		t.depose("the last writes took too long")
	}
}

// loop runs the core until the term ends.
func (t *termRun) loop() {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	leaving := t.leaving
	for {
		select {
		case <-t.ctx.Done():
			return
		case e := <-t.events:
			now := time.Now()
			e(t.core, now)
			t.drain(now)
			t.core.React(now)
		case <-tick.C:
			now := time.Now()
			t.core.SetStoreLease(t.n.leaseHeld(), now)
			t.core.Tick(now)
		case <-leaving:
			leaving = nil
		}
		if t.core.Fenced() {
			t.depose("a worker has seen a newer term")
			return
		}
		t.logDecisions()
		if leaving == nil {
			if t.leave() {
				return
			}
			continue
		}
		t.dispatch(t.core.Take())
		t.commit(time.Now())
	}
}

// drain applies the events that wait, so that their effects are computed once.
func (t *termRun) drain(now time.Time) {
	for range eventQueue {
		select {
		case e := <-t.events:
			e(t.core, now)
		default:
			return
		}
	}
}

// leave stops sending orders and writes what is left; it reports whether the
// lock is released.
func (t *termRun) leave() bool {
	t.core.Take() // nothing new is ordered
	if t.committing {
		return false
	}
	if t.core.Dirty() > 0 || len(t.extra) > 0 {
		t.commit(time.Now().Add(commitEvery))
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if err := t.term.Release(ctx); err != nil {
		t.n.log.Warn("lock-not-released", zap.Error(err))
	}
	close(t.left)
	return true
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
	return out
}

// dispatch carries out effects. Each call has a goroutine of its own, and its
// outcome comes back as an event.
func (t *termRun) dispatch(e owner.Effects) {
	for _, o := range e.Starts {
		go t.order(owner.OrderTimeout, func(ctx context.Context) event {
			a := t.n.platform.Workers.Start(ctx, o)
			t.n.metrics.order("start", a.Outcome)
			return func(c *owner.Core, now time.Time) { c.OnStarted(o, a, now) }
		})
	}
	for _, o := range e.Stops {
		go t.order(owner.OrderTimeout, func(ctx context.Context) event {
			a := t.n.platform.Workers.Stop(ctx, o)
			t.n.metrics.order("stop", a.Outcome)
			return func(c *owner.Core, now time.Time) { c.OnStopped(o, a, now) }
		})
	}
	for _, o := range e.Throttles {
		go t.order(owner.OrderTimeout, func(ctx context.Context) event {
			a := t.n.platform.Workers.Throttle(ctx, o)
			t.n.metrics.order("throttle", a.Outcome)
			return func(c *owner.Core, now time.Time) { c.OnThrottled(o, a, now) }
		})
	}
	for _, o := range e.Holds {
		go t.order(o.Wait+holdReserve, func(ctx context.Context) event {
			h := t.n.platform.Workers.Hold(ctx, o)
			t.n.metrics.order("hold", h.Outcome)
			return func(c *owner.Core, now time.Time) { c.OnHeld(o.Worker, h, now) }
		})
	}
	for _, q := range e.Questions {
		go t.order(owner.AdviceTimeout, func(ctx context.Context) event {
			a := t.advise(ctx, q)
			return func(c *owner.Core, now time.Time) { c.OnAdvice(q, a, now) }
		})
	}
	for _, o := range e.Instances {
		go t.order(2*instanceOrderTimeout, func(ctx context.Context) event { return t.orderInstance(ctx, o) })
	}
	for _, s := range e.Waves {
		t.putWave(s)
	}
}

func (t *termRun) advise(ctx context.Context, q owner.Question) owner.Advice {
	if t.n.platform.Advisor == nil {
		return owner.Advice{Err: errors.New("a queue needs advice, and the settings name no advisor")}
	}
	return t.n.platform.Advisor.Advise(ctx, q)
}

func (t *termRun) order(timeout time.Duration, call func(context.Context) event) {
	ctx, cancel := context.WithTimeout(t.ctx, timeout)
	defer cancel()
	t.do(call(ctx))
}

// orderInstance moves or maintains an instance. The lease is looked at right
// before the call: another daemon may do the duty once it has ended.
func (t *termRun) orderInstance(ctx context.Context, o owner.MoveOrder) event {
	outcome := owner.DutyRefused
	if t.n.leaseHeld() {
		duty := owner.Duty{Holder: t.n.set.Node, Token: t.term.Number}
		if o.Wave != 0 {
			outcome = t.n.platform.Manager.Maintain(ctx, duty, o.Instance, o.Wave)
		} else {
			outcome = t.n.platform.Manager.Move(ctx, duty, o.Instance, o.Pool)
		}
	}
	switch outcome {
	case owner.DutyUnanswered:
		pause(t.ctx, retryPause)
	case owner.DutyDone:
		t.listInstances() // it shows whose life is over
	}
	return func(c *owner.Core, now time.Time) { c.OnInstanceOrder(o, outcome, now) }
}

// putWave adds the status of a wave to the next transaction.
func (t *termRun) putWave(s owner.WaveStatus) {
	key, value := t.n.platform.Dialect.WaveStatus(s.Wave, s.Done)
	progress := ledger.WaveProgress{Begun: t.core.Begun(s.Wave), Done: s.Done}
	t.extra = append(t.extra, ledger.Put{Key: key, Value: value}, ledger.WavePut(s.Wave, progress))
}

// commit starts the next transaction if one is due.
func (t *termRun) commit(now time.Time) {
	if t.committing || now.Sub(t.lastCommit) < commitEvery {
		return
	}
	puts := lastOfEachKey(t.extra)
	var deletes []string
	if len(puts) > ledger.MaxRecords {
		puts = puts[:ledger.MaxRecords]
	}
	records := t.core.Uncommitted(ledger.MaxRecords - len(puts))
	if len(records)+len(puts) == 0 {
		if now.Sub(t.lastExpire) < expireEvery {
			return
		}
		t.lastExpire = now
		for _, id := range t.core.Expired(ledger.MaxRecords/3, now) {
			deletes = append(deletes, ledger.JobKeys(id)...)
		}
		if len(deletes) == 0 {
			return
		}
	}
	taken := len(t.extra)
	for _, r := range records {
		puts = append(puts, ledger.RecordPut(r))
	}
	t.committing = true
	t.lastCommit = now
	go t.write(puts, deletes, records, taken)
}

// lastOfEachKey keeps the newest put of each key.
func lastOfEachKey(puts []ledger.Put) []ledger.Put {
	var out []ledger.Put
	seen := map[string]bool{}
	for i := len(puts) - 1; i >= 0; i-- {
		if !seen[puts[i].Key] {
			seen[puts[i].Key] = true
			out = append(out, puts[i])
		}
	}
	return out
}

func (t *termRun) write(puts []ledger.Put, deletes []string, records []owner.Record, taken int) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	began := time.Now()
	err := t.term.Write(ctx, puts, deletes)
	t.n.metrics.commit(err, time.Since(began))
	if verdict.CodeOf(err) == ledger.CodeDeposed {
		t.depose(err.Error())
		return
	}
	if err != nil {
		t.n.log.Warn("progress-not-written", zap.Error(err))
		pause(t.ctx, retryPause)
	}
	t.do(func(c *owner.Core, now time.Time) {
		t.committing = false
		if err == nil {
			t.extra = t.extra[taken:]
			c.Committed(records, now)
		}
	})
}

// followJobs hands submissions and cancellations to the core.
func (t *termRun) followJobs(revision int64) {
	apply := func(e ledger.Event) {
		if e.Deleted {
			return
		}
		ch, ok, err := ledger.DecodeChange(e.Item)
		if err != nil || !ok {
			t.n.log.Error("job-unreadable", zap.String("key", e.Key), zap.Error(err))
			return
		}
		t.awaitLease()
		t.do(func(c *owner.Core, now time.Time) {
			if ch.Submitted != nil {
				c.Submit(ch.Submitted, now)
				return
			}
			c.Cancel(ch.Cancelled, now)
		})
	}
	t.n.followFrom(t.ctx, ledger.PrefixJobs, revision, apply)
	t.n.follow(t.ctx, ledger.PrefixJobs, func() {}, apply)
}

// awaitLease waits until this daemon's lease is held for certain, or the term is
// over: new jobs are taken only while no other daemon can be the owner.
func (t *termRun) awaitLease() {
	for !t.n.leaseHeld() && pause(t.ctx, retryPause) {
	}
}

func (t *termRun) pollRegistrations() {
	for t.ctx.Err() == nil {
		items, _, err := t.n.readAll(t.ctx, t.n.platform.Dialect.WorkerPrefix)
		if err == nil {
			list := t.decodeRegistrations(items)
			t.do(func(c *owner.Core, now time.Time) {
				c.Register(list, now)
				t.expecting.Store(c.Expecting())
			})
		}
		every := registrationsEvery
		if t.expecting.Load() {
			every = expectingEvery
		}
		if !pause(t.ctx, every) {
			return
		}
	}
}

func (t *termRun) decodeRegistrations(items []ledger.Item) []owner.Registration {
	var list []owner.Registration
	for _, i := range items {
		r, err := t.n.platform.Dialect.DecodeWorker(i.Key, i.Value)
		if err != nil {
			t.n.log.Error("registration-unreadable", zap.Error(err))
			continue
		}
		list = append(list, r)
	}
	return list
}

func (t *termRun) pollInstances() {
	for t.ctx.Err() == nil {
		t.listInstances()
		if !pause(t.ctx, instancesEvery) {
			return
		}
	}
}

// listInstances reads the list once. One reading at a time keeps their order.
func (t *termRun) listInstances() {
	select {
	case t.listing <- struct{}{}:
		defer func() { <-t.listing }()
	case <-t.ctx.Done():
		return
	}
	ctx, cancel := context.WithTimeout(t.ctx, instanceOrderTimeout)
	defer cancel()
	list, err := t.n.platform.Manager.Instances(ctx)
	if err != nil {
		if t.ctx.Err() == nil {
			t.n.log.Warn("instance-list-failed", zap.Error(err))
		}
		return
	}
	t.do(func(c *owner.Core, now time.Time) { c.OnInstances(list, now) })
}

// ask runs a question on the core's goroutine.
func ask[T any](t *termRun, question func(c *owner.Core) T) (answer T, ok bool) {
	out := make(chan T, 1)
	t.do(func(c *owner.Core, _ time.Time) { out <- question(c) })
	select {
	case answer = <-out:
		return answer, true
	case <-t.ctx.Done():
		return answer, false
	case <-time.After(peerTimeout):
		return answer, false
	}
}

func (t *termRun) state(id job.ID) peer.StateReply {
	r, _ := ask(t, func(c *owner.Core) peer.StateReply {
		s, known := c.State(id)
		return peer.StateReply{Owner: true, Known: known, State: s}
	})
	return r
}

func (t *termRun) pending(queue string) peer.PendingReply {
	r, _ := ask(t, func(c *owner.Core) peer.PendingReply {
		return peer.PendingReply{Owner: true, Count: c.Pending(queue)}
	})
	return r
}

func (t *termRun) cancelled(id job.ID) {
	t.do(func(c *owner.Core, now time.Time) { c.Cancel(id, now) })
}

func (t *termRun) submitted(j *job.Job) {
	t.do(func(c *owner.Core, now time.Time) { c.Submit(j, now) })
}
