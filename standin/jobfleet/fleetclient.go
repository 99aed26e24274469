package jobfleet

import (
	"context"
	"time"

	"github.com/postmount/postmount/jobs/owner"
)

// FleetClient is a daemon's client of the workers and of the instance manager.
type FleetClient struct {
	fleet       *Fleet
	daemon      string
	gate        *Gate
	failureFunc FailureFunc
}

// Client returns a daemon's client of the workers and of the instance manager.
func (f *Fleet) Client(daemon string, gate *Gate, failure FailureFunc) *FleetClient {
	return &FleetClient{fleet: f, daemon: daemon, gate: gate, failureFunc: failure}
}

// callWorker carries out do on a worker, with the latency of the call and the failures injected
// into the daemon's calls and the worker.
func (c *FleetClient) callWorker(ctx context.Context, to owner.Target, op string, do func(w *worker) owner.Answer) owner.Answer {
	unanswered := owner.Answer{Outcome: owner.Unanswered, Err: errNoAnswer}
	if c.gate.pass(ctx, toWorkers) != nil {
		return unanswered
	}
	time.Sleep(workerLatency)
	reached := c.fleet.workerOf(to.Worker)
	apply := func() owner.Answer {
		c.fleet.mu.Lock()
		defer c.fleet.mu.Unlock()
		w := reached // a delayed order applies to the worker that it reached, not to a later one with the same ID
		switch {
		case w != nil && w.refuses:
			return owner.Answer{Outcome: owner.Unanswered, Err: errRefused, ConnFailed: true, ConnRefused: true}
		case w == nil || w.dead || w.cutOff:
			return unanswered
		}
		return do(w)
	}
	a := unanswered
	failure := c.failureFunc(c.daemon, op)
	if c.gate.requestDropped(c.fleet.memberOf(to.Worker)) {
		failure = RequestLost
	}
	switch failure {
	case Refused:
		return owner.Answer{Outcome: owner.Unhealthy}
	case RequestLost:
	case AnswerLost:
		apply()
	case Delayed:
		time.AfterFunc(orderDelay, func() { apply() })
	default:
		a = apply()
	}
	if a.Outcome == owner.Unanswered {
		if !a.ConnFailed {
			<-ctx.Done()
		}
		return a
	}
	if c.gate.pass(ctx, toWorkers) != nil {
		return unanswered
	}
	if c.gate.answerDropped(c.fleet.memberOf(to.Worker)) {
		<-ctx.Done()
		return unanswered
	}
	return a
}

// memberOf returns the name of the worker's instance, by which cuts select it.
func (f *Fleet) memberOf(id owner.WorkerID) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.workers[id]; w != nil {
		return string(w.instance.ID)
	}
	return ""
}

func (f *Fleet) workerOf(id owner.WorkerID) *worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workers[id]
}

// Start implements owner.WorkerClient.
func (c *FleetClient) Start(ctx context.Context, o owner.Start) owner.Answer {
	return c.callWorker(ctx, o.Target, "start", func(w *worker) owner.Answer { return c.fleet.start(w, o) })
}

// Stop implements owner.WorkerClient.
func (c *FleetClient) Stop(ctx context.Context, o owner.Stop) owner.Answer {
	return c.callWorker(ctx, o.Target, "stop", func(w *worker) owner.Answer { return c.fleet.stop(w, o) })
}

// Throttle implements owner.WorkerClient.
func (c *FleetClient) Throttle(ctx context.Context, o owner.Throttle) owner.Answer {
	return c.callWorker(ctx, o.Target, "throttle", func(w *worker) owner.Answer {
		return owner.Answer{Outcome: owner.Accepted, ClockMs: w.clockMs()}
	})
}

// Hold implements owner.WorkerClient.
func (c *FleetClient) Hold(ctx context.Context, o owner.Hold) owner.HoldAnswer {
	a := c.callWorker(ctx, o.Target, "hold", func(w *worker) owner.Answer { return c.fleet.beginHold(w, o) })
	if a.Outcome != owner.Accepted {
		return owner.HoldAnswer{Answer: a}
	}
	end := time.NewTimer(o.Wait)
	defer end.Stop()
	for {
		h, ended := c.holdAnswer(o.Worker)
		if len(h.Ends) > 0 || h.Outcome != owner.Accepted {
			return c.deliverHold(ctx, o.Worker, h)
		}
		select {
		case <-ended:
		case <-end.C:
			h, _ = c.holdAnswer(o.Worker)
			return c.deliverHold(ctx, o.Worker, h)
		case <-ctx.Done():
			return owner.HoldAnswer{Answer: owner.Answer{Outcome: owner.Unanswered, Err: errNoAnswer}}
		}
	}
}

// deliverHold returns the answer to a hold, or drops it if the daemon is cut off or killed.
func (c *FleetClient) deliverHold(ctx context.Context, from owner.WorkerID, h owner.HoldAnswer) owner.HoldAnswer {
	if h.Outcome == owner.Unanswered {
		if !h.ConnFailed {
			<-ctx.Done()
		}
		return h
	}
	unanswered := owner.HoldAnswer{Answer: owner.Answer{Outcome: owner.Unanswered, Err: errNoAnswer}}
	if c.gate.pass(ctx, toWorkers) != nil {
		return unanswered
	}
	if c.gate.answerDropped(c.fleet.memberOf(from)) {
		<-ctx.Done()
		return unanswered
	}
	return h
}

func (c *FleetClient) holdAnswer(id owner.WorkerID) (owner.HoldAnswer, <-chan struct{}) {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	w := c.fleet.workers[id]
	switch {
	case w != nil && w.refuses:
		return owner.HoldAnswer{Answer: owner.Answer{Outcome: owner.Unanswered, Err: errReset, ConnFailed: true}}, nil
	case w == nil || w.dead || w.cutOff:
		return owner.HoldAnswer{Answer: owner.Answer{Outcome: owner.Unanswered, Err: errNoAnswer}}, nil
	}
	return c.fleet.currentHoldAnswer(w), w.endNotify
}

// Instances implements owner.InstanceManager.
func (c *FleetClient) Instances(ctx context.Context) ([]owner.Instance, error) {
	if c.gate.pass(ctx, toWorkers) != nil {
		return nil, errNoAnswer
	}
	if c.gate.requestDropped(ManagerMember) || c.gate.answerDropped(ManagerMember) {
		<-ctx.Done()
		return nil, errNoAnswer
	}
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	var out []owner.Instance
	for _, i := range c.fleet.instances {
		shown := i.Instance
		shown.Capacity = i.capacity
		out = append(out, shown)
	}
	return out, nil
}

// Move implements owner.InstanceManager.
func (c *FleetClient) Move(ctx context.Context, d owner.Duty, id owner.InstanceID, pool string) owner.DutyOutcome {
	return c.callManager(ctx, "move", func(late bool) owner.DutyOutcome {
		i := c.fleet.instances[id]
		if i == nil {
			return owner.DutyInvalid
		}
		if i.Pool == pool {
			return owner.DutyDone
		}
		if i.State != owner.InstanceUp {
			return owner.DutyRefused
		}
		c.fleet.checker.instanceOrdered(d, id, 0, 0, late)
		c.fleet.endWorker(i, owner.InstanceMoving)
		i.Pool = pool
		c.fleet.startWorkerAfter(i, moveTime)
		return owner.DutyDone
	})
}

// Maintain implements owner.InstanceManager.
func (c *FleetClient) Maintain(ctx context.Context, d owner.Duty, id owner.InstanceID, wave int) owner.DutyOutcome {
	return c.callManager(ctx, "maintain", func(late bool) owner.DutyOutcome {
		i := c.fleet.instances[id]
		if i == nil {
			return owner.DutyInvalid
		}
		if c.fleet.checker.maintained(wave, id) {
			return owner.DutyDone
		}
		if i.State != owner.InstanceUp {
			return owner.DutyRefused
		}
		c.fleet.waveOfDown[id] = wave
		c.fleet.checker.instanceOrdered(d, id, wave, c.fleet.downCount(wave), late)
		c.fleet.endWorker(i, owner.InstanceInMaintenance)
		c.fleet.startWorkerAfter(i, maintenanceTime)
		return owner.DutyDone
	})
}

// callManager carries out do on the instance manager, with the latency of the call and the failures
// injected into the daemon's calls. late is true if a freeze or the failure Delayed delayed
// the call.
func (c *FleetClient) callManager(ctx context.Context, op string, do func(late bool) owner.DutyOutcome) owner.DutyOutcome {
	sent := time.Now()
	if c.gate.pass(ctx, toWorkers) != nil {
		return owner.DutyUnanswered
	}
	late := time.Since(sent) > 0
	time.Sleep(workerLatency)
	apply := func() owner.DutyOutcome {
		c.fleet.mu.Lock()
		defer c.fleet.mu.Unlock()
		return do(late)
	}
	failure := c.failureFunc(c.daemon, op)
	switch {
	case c.gate.requestDropped(ManagerMember):
		failure = RequestLost
	case c.gate.answerDropped(ManagerMember) && failure == NoFailure:
		failure = AnswerLost
	}
	switch failure {
	case Refused, RequestLost:
		return owner.DutyUnanswered
	case AnswerLost:
		apply()
		return owner.DutyUnanswered
	case Delayed:
		late = true
		time.AfterFunc(orderDelay, func() { apply() })
		return owner.DutyUnanswered
	}
	return apply()
}
