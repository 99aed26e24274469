package jobload

import (
	"time"

	"github.com/postmount/postmount/jobs/owner"
)

// Daemon describes the resources of the owner's daemon. Its last two fields switch mechanisms off,
// as baselines to compare with.
type Daemon struct {
	Cores    float64 // share of a core
	LinkMbps float64 // in each direction
	// PollFullLists makes the owner poll all registrations and instances, instead of reading only
	// the changes of the registrations.
	PollFullLists bool
	// UnlimitedStarts removes the limit on the owner's outstanding starts.
	UnlimitedStarts bool
}

// Costs and limits of the owner's work. CPU times are those of a whole core; see BenchmarkCalls of package
// platform and BenchmarkFleetSize. Bytes include headers and payloads.
const (
	// Half of callCPUTime is used to send the order, half to read the answer. On a large fleet, 164,000
	// calls take 15 s of CPU time.
	callCPUTime              = 90 * time.Microsecond
	eventCPUTime             = 10 * time.Microsecond
	tickCPUTime              = 100 * time.Microsecond
	orderBytes               = 900 // a start with a payload of 500 bytes
	answerBytes              = 200
	holdRowBytes             = 60                    // a task in the answer to a hold
	registrationBytes        = 370                   // a registration in the store's answer
	instanceBytes            = 155                   // an instance in the list
	maxStartAge              = time.Second           // a start that was queued for longer is not sent
	slotTime                 = 50 * time.Millisecond // a start holds its slot for this long at most
	slotsPerCore             = 120
	minSlots                 = 4
	outstandingStartsPerSlot = 4
	// listLinkShare is the share of the link that reading the instance list may take.
	listLinkShare = 0.1
)

// resource is a CPU or one direction of a link. It serves one use at a time.
type resource struct{ freeAt time.Time }

// use appends a use of duration d and returns the time at which it ends.
func (r *resource) use(now time.Time, d time.Duration) time.Time {
	if r.freeAt.Before(now) {
		r.freeAt = now
	}
	r.freeAt = r.freeAt.Add(d)
	return r.freeAt
}

// daemonSim simulates the CPU time and link time of the owner's work. Calls are queued as in package
// node.
type daemonSim struct {
	s          *sim
	daemon     Daemon
	cpu        resource
	up, down   resource
	queue      []queuedStart
	slotsInUse int
}

type queuedStart struct {
	order   owner.Start
	decided time.Time
}

// slots returns the number of starts that may be in progress at the same time.
func (h *daemonSim) slots() int { return max(minSlots, int(slotsPerCore*h.daemon.Cores)) }

// maxOutstandingStarts returns the limit on the owner's outstanding starts, 0 for none.
func (h *daemonSim) maxOutstandingStarts() int {
	if h.daemon.UnlimitedStarts {
		return 0
	}
	return outstandingStartsPerSlot * h.slots()
}

// callAt calls do at t, which must not be in the past.
func (h *daemonSim) callAt(t time.Time, do func()) { h.s.engine.after(t.Sub(h.s.engine.now), do) }

// compute calls do when the CPU has done work that takes cost on a whole core.
func (h *daemonSim) compute(cost time.Duration, do func()) {
	h.callAt(h.cpu.use(h.s.engine.now, time.Duration(float64(cost)/h.daemon.Cores)), do)
}

// transfer calls do when bytes have passed one direction of the link.
func (h *daemonSim) transfer(direction *resource, bytes int, do func()) {
	took := time.Duration(float64(bytes) * 8 / (h.daemon.LinkMbps * 1e6) * float64(time.Second))
	h.callAt(direction.use(h.s.engine.now, took), do)
}

// deliver passes an event to the owner's core once the CPU has processed it.
func (h *daemonSim) deliver(kind EventKind, term uint64, f func(*owner.Core)) {
	h.compute(eventCPUTime, func() {
		h.s.deliver(kind, term, f)
		h.s.applyEffects()
	})
}

// send transfers an order of some bytes to its worker and the answer back. serve is called when the
// order arrives; it returns the size of the answer and the time until it is sent. onAnswer is called
// when the answer is read, with the time since the order was sent.
func (h *daemonSim) send(bytes int, serve func() (answer int, wait time.Duration), onAnswer func(took time.Duration)) {
	sent := h.s.engine.now
	h.compute(callCPUTime/2, func() {
		h.transfer(&h.up, bytes, func() {
			h.s.engine.after(callTime, func() {
				answer, wait := serve()
				h.s.engine.after(wait, func() {
					h.transfer(&h.down, answer, func() {
						h.compute(callCPUTime/2, func() { onAnswer(h.s.engine.now.Sub(sent)) })
					})
				})
			})
		})
	})
}

// start queues a start.
func (h *daemonSim) start(o owner.Start) {
	h.queue = append(h.queue, queuedStart{o, h.s.engine.now})
	h.sendQueued()
}

// sendQueued sends queued starts while slots are free.
func (h *daemonSim) sendQueued() {
	for h.slotsInUse < h.slots() && len(h.queue) > 0 {
		next := h.queue[0]
		h.queue = h.queue[1:]
		h.sendStart(next)
	}
}

// sendStart sends a start, unless it has been queued for longer than maxStartAge. Its slot is free
// again when the answer is read, at the latest after slotTime.
func (h *daemonSim) sendStart(next queuedStart) {
	term := h.s.term
	if h.s.engine.now.Sub(next.decided) > maxStartAge {
		h.deliver(StartAnswered, term, func(c *owner.Core) {
			c.OnStartAnswer(next.order, owner.Answer{Outcome: owner.NotSent}, h.s.engine.now)
		})
		return
	}
	h.slotsInUse++
	released := false
	release := func() {
		if !released {
			released = true
			h.slotsInUse--
			h.sendQueued()
		}
	}
	h.s.engine.after(slotTime, release)
	h.order(orderBytes, next.order.Timeout, func() owner.Answer { return h.s.start(next.order) }, release, func(a owner.Answer) {
		h.deliver(StartAnswered, term, func(c *owner.Core) { c.OnStartAnswer(next.order, a, h.s.engine.now) })
	})
}

func (h *daemonSim) stop(o owner.Stop) {
	term := h.s.term
	h.order(answerBytes, o.Timeout, func() owner.Answer { return h.s.stop(o) }, func() {}, func(a owner.Answer) {
		h.deliver(StopAnswered, term, func(c *owner.Core) { c.OnStopAnswer(o, a, h.s.engine.now) })
	})
}

// order transfers an order of some bytes to its worker, which carries it out, and the answer back.
// onAnswer is called once: with the answer, or with Unanswered after the timeout. onRead is called when an answer is
// read, however late.
func (h *daemonSim) order(bytes int, timeout time.Duration, carryOut func() owner.Answer, onRead func(), onAnswer func(owner.Answer)) {
	answered := false
	answer := func(a owner.Answer) {
		if !answered {
			answered = true
			onAnswer(a)
		}
	}
	h.s.engine.after(timeout, func() { answer(owner.Answer{Outcome: owner.Unanswered}) })
	var a owner.Answer
	h.send(bytes, func() (int, time.Duration) {
		a = h.s.answerOrLose(carryOut)
		return answerBytes, 0
	}, func(took time.Duration) {
		if a.Outcome != owner.Unanswered {
			a.Latency = took
			onRead()
			answer(a)
		}
	})
}

// hold transfers a hold and its answer. The worker answers when a run or the wait has ended;
// an answer that is read after the timeout is dropped.
func (h *daemonSim) hold(o owner.Hold) {
	term := h.s.term
	answered := false
	answer := func(held owner.HoldAnswer) {
		if !answered {
			answered = true
			h.deliver(HoldAnswered, term, func(c *owner.Core) { c.OnHoldAnswer(o.Target, held, h.s.engine.now) })
		}
	}
	h.s.engine.after(o.Wait+o.Timeout, func() { answer(owner.HoldAnswer{Answer: owner.Answer{Outcome: owner.Unanswered}}) })
	if h.s.drawCallLoss() {
		return
	}
	h.compute(callCPUTime/2, func() {
		h.transfer(&h.up, answerBytes, func() {
			h.s.engine.after(callTime, func() {
				h.s.receiveHold(o, func(held owner.HoldAnswer) {
					h.transfer(&h.down, answerBytes+holdRowBytes*(len(held.Active)+len(held.Ends)), func() {
						h.compute(callCPUTime/2, func() {
							answer(held)
						})
					})
				})
			})
		})
	})
}

// listInterval returns the pause between two reads of the instance list.
func (h *daemonSim) listInterval(instances int) time.Duration {
	if h.daemon.PollFullLists {
		return expectingWorkersInterval
	}
	megabits := float64(instances*instanceBytes) * 8 / 1e6
	return max(instancesInterval, time.Duration(megabits/(h.daemon.LinkMbps*listLinkShare)*float64(time.Second)))
}
