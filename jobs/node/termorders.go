package node

import (
	"context"
	"errors"
	"time"

	"github.com/postmount/postmount/internal/sleep"
	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/ledger"
	"github.com/postmount/postmount/jobs/owner"
)

// dispatch carries out effects. Each call has a goroutine of its own, and its
// outcome comes back as an event. Starts wait for each other, and so do holds, and all
// other calls: leases are renewed also while many tasks are started or stopped.
func (t *termRun) dispatch(e owner.Effects) {
	for _, o := range e.Starts {
		go t.start(o, t.n.uptimeNanos())
	}
	for _, o := range e.Stops {
		if !t.stopsInFlight.begin(o) {
			continue
		}
		go t.callInSlot(t.otherCalls, o.Timeout, func(ctx context.Context) event {
			a := t.n.platform.Workers.Stop(ctx, o)
			t.n.metrics.order("stop", a.Outcome)
			return func(c *owner.Core, now time.Time) {
				t.stopsInFlight.end(o)
				c.OnStopped(o, a, now)
			}
		})
	}
	for _, o := range e.Throttles {
		go t.callInSlot(t.otherCalls, owner.OrderTimeout, func(ctx context.Context) event {
			a := t.n.platform.Workers.Throttle(ctx, o)
			t.n.metrics.order("throttle", a.Outcome)
			return func(c *owner.Core, now time.Time) { c.OnThrottled(o, a, now) }
		})
	}
	for _, o := range e.Holds {
		go t.callInSlot(t.holdCalls, o.Wait+o.Timeout, func(ctx context.Context) event {
			h := t.n.platform.Workers.Hold(ctx, o)
			t.n.metrics.order("hold", h.Outcome)
			return func(c *owner.Core, now time.Time) { c.OnHoldAnswer(o.Target, h, now) }
		})
	}
	for _, q := range e.AdviceQueries {
		go t.callNow(owner.AdviceTimeout, func(ctx context.Context) event {
			a := t.advise(ctx, q)
			return func(c *owner.Core, now time.Time) { c.OnAdvice(q, a, now) }
		})
	}
	t.orders.add(e.InstanceOrders)
	for _, s := range e.WaveStatuses {
		t.queueWaveStatus(s)
	}
}

func (t *termRun) advise(ctx context.Context, q owner.AdviceQuery) owner.Advice {
	if t.n.platform.Advisor == nil {
		return owner.Advice{Err: errors.New("a queue needs advice, and the settings name no advisor")}
	}
	return t.n.platform.Advisor.Advise(ctx, q)
}

// start sends an order to start a task, unless it has waited for its slot for too long, or
// the instance was suspended meanwhile. decided is when it was decided, in ns since start.
func (t *termRun) start(o owner.Start, decided int64) {
	t.callInSlot(t.startCalls, o.Timeout, func(ctx context.Context) event {
		a := owner.Answer{Outcome: owner.NotSent}
		if time.Duration(t.n.uptimeNanos()-decided) <= maxStartAge {
			sent := t.n.clock.Now()
			a = t.n.platform.Workers.Start(ctx, o)
			a.Latency = t.n.clock.Now().Sub(sent)
		}
		t.n.metrics.order("start", a.Outcome)
		return func(c *owner.Core, now time.Time) { c.OnStarted(o, a, now) }
	})
}

// callInSlot makes a call to a worker once it has a slot; its timeout begins then.
func (t *termRun) callInSlot(f callLimiter, timeout time.Duration, call func(context.Context) event) {
	leave, ok := f.acquire(t.ctx)
	if !ok {
		return // the term is over
	}
	t.callNow(timeout, func(ctx context.Context) event {
		defer leave()
		return call(ctx)
	})
}

// callNow makes a callNow at once, and hands its outcome to the core.
func (t *termRun) callNow(timeout time.Duration, call func(context.Context) event) {
	ctx, cancel := context.WithTimeout(t.ctx, timeout)
	defer cancel()
	t.enqueue(call(ctx))
}

// orderInstance moves or maintains an instance. The lease is looked at right
// before the call: another daemon may do the duty some time after it has ended.
func (t *termRun) orderInstance(ctx context.Context, o owner.InstanceOrder) event {
	outcome := owner.DutyRefused
	sent := t.n.mayOrderInstances()
	if sent {
		duty := owner.Duty{Holder: t.n.settings.Node, Token: t.term.Number}
		if o.Wave != 0 {
			outcome = t.n.platform.Manager.Maintain(ctx, duty, o.Instance, o.Wave)
		} else {
			outcome = t.n.platform.Manager.Move(ctx, duty, o.Instance, o.Pool)
		}
	}
	switch outcome {
	case owner.DutyUnanswered:
		sleep.For(t.ctx, retryPause)
	case owner.DutyDone:
		t.requestInstanceList()
	}
	return func(c *owner.Core, now time.Time) {
		if outcome != owner.DutyUnanswered {
			t.orders.resolve(o.Instance, sent, now)
		}
		c.OnInstanceOrder(o, outcome, now)
	}
}

// queueWaveStatus adds the status of a wave to the next transaction.
func (t *termRun) queueWaveStatus(s owner.WaveStatus) {
	key, value := t.n.platform.Formats.EncodeWaveStatus(s.Wave, s.Done)
	progress := ledger.WaveProgress{Begun: t.core.MaintenanceStarted(s.Wave), Done: s.Done}
	t.pendingPuts = append(t.pendingPuts, ledger.Put{Key: key, Value: value}, ledger.WavePut(s.Wave, progress))
}

// stopSet holds the stops that are under way. The core asks for an unanswered stop again
// after a while; one that still waits for its slot is not sent twice, which would only
// lengthen the line it waits in. It is used on the core's goroutine alone.
type stopSet map[stopKey]bool

type stopKey struct {
	worker owner.WorkerID
	task   job.TaskID
	run    uint64
}

func stopKeyOf(o owner.Stop) stopKey { return stopKey{o.Worker, o.Task, o.Run} }

// begin reports whether the stop is to be sent.
func (s stopSet) begin(o owner.Stop) bool {
	if s[stopKeyOf(o)] {
		return false
	}
	s[stopKeyOf(o)] = true
	return true
}

func (s stopSet) end(o owner.Stop) { delete(s, stopKeyOf(o)) }
