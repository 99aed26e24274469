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

// dispatch carries out the core's effects. Each call runs in its own goroutine, and its outcome is
// sent to the core as an event. Starts, holds and other calls have separate limits, so that task
// leases are renewed even while many tasks are started or stopped.
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
				c.OnStopAnswer(o, a, now)
			}
		})
	}
	for _, o := range e.Throttles {
		go t.callInSlot(t.otherCalls, owner.OrderTimeout, func(ctx context.Context) event {
			a := t.n.platform.Workers.Throttle(ctx, o)
			t.n.metrics.order("throttle", a.Outcome)
			return func(c *owner.Core, now time.Time) { c.OnThrottleAnswer(o, a, now) }
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

// advise asks the advisor which workers may run a step.
func (t *termRun) advise(ctx context.Context, q owner.AdviceQuery) owner.Advice {
	if t.n.platform.Advisor == nil {
		return owner.Advice{Err: errors.New("no advisor is configured, but a queue needs advice")}
	}
	return t.n.platform.Advisor.Advise(ctx, q)
}

// start sends an order to start a task, unless the decision is older than maxStartAge once it
// has a slot, as after a long wait or a suspension. decided is the time of the decision, as
// uptimeNanos.
func (t *termRun) start(o owner.Start, decided int64) {
	t.callInSlot(t.startCalls, o.Timeout, func(ctx context.Context) event {
		a := owner.Answer{Outcome: owner.NotSent}
		if time.Duration(t.n.uptimeNanos()-decided) <= maxStartAge {
			sent := t.n.clock.Now()
			a = t.n.platform.Workers.Start(ctx, o)
			a.Latency = t.n.clock.Now().Sub(sent)
		}
		t.n.metrics.order("start", a.Outcome)
		return func(c *owner.Core, now time.Time) { c.OnStartAnswer(o, a, now) }
	})
}

// callInSlot waits for a slot, then calls a worker. The timeout starts when it has the slot.
func (t *termRun) callInSlot(limiter callLimiter, timeout time.Duration, call func(context.Context) event) {
	release, ok := limiter.acquire(t.ctx)
	if !ok {
		return // the term has ended
	}
	t.callNow(timeout, func(ctx context.Context) event {
		defer release()
		return call(ctx)
	})
}

// callNow makes a call without waiting for a slot and sends its outcome to the core.
func (t *termRun) callNow(timeout time.Duration, call func(context.Context) event) {
	ctx, cancel := context.WithTimeout(t.ctx, timeout)
	defer cancel()
	t.enqueue(call(ctx))
}

// orderInstance moves an instance or starts its maintenance. It checks the lease right before
// the call, as another daemon may order instances some time after the lease has expired.
func (t *termRun) orderInstance(ctx context.Context, o owner.InstanceOrder) event {
	outcome := owner.DutyRefused
	sent := t.mayOrderInstances()
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
		c.OnInstanceOrderAnswer(o, outcome, now)
	}
}

// queueWaveStatus adds a wave's status and progress to the next transaction.
func (t *termRun) queueWaveStatus(s owner.WaveStatus) {
	key, value := t.n.platform.Formats.EncodeWaveStatus(s.Wave, s.Done)
	progress := ledger.WaveProgress{Begun: t.core.MaintenanceStarted(s.Wave), Done: s.Done}
	t.pendingPuts = append(t.pendingPuts, ledger.Put{Key: key, Value: value}, ledger.WavePut(s.Wave, progress))
}

// stopSet holds the stops in flight. The core repeats an unanswered stop after a while. One that
// still waits for its slot must not be queued twice, which would only make the queue longer. Only
// the core's goroutine uses it.
type stopSet map[stopKey]bool

type stopKey struct {
	worker owner.WorkerID
	task   job.TaskID
	run    uint64
}

func stopKeyOf(o owner.Stop) stopKey { return stopKey{o.Worker, o.Task, o.Run} }

// begin adds a stop and reports whether to send it, which is false if it is in flight already.
func (s stopSet) begin(o owner.Stop) bool {
	if s[stopKeyOf(o)] {
		return false
	}
	s[stopKeyOf(o)] = true
	return true
}

func (s stopSet) end(o owner.Stop) { delete(s, stopKeyOf(o)) }
