package jobload

import (
	"time"

	"github.com/postmount/postmount/jobs/owner"
)

// Daemon is what the owner runs on. Without one its calls and decisions take no time.
type Daemon struct {
	Cores    float64 // share of a core
	LinkMbps float64 // each way
	// PollFullLists lets the owner read all registrations and instances again and again, as a
	// baseline: it reads the changes of the registrations otherwise.
	PollFullLists bool
	// UnlimitedStarts lets it order all starts that are possible at once, as a baseline.
	UnlimitedStarts bool
}

// What the owner's work costs. Processor time is that of a whole core, measured with
// BenchmarkCalls of package platform, BenchmarkFleetSize, and on the large fleet (164,000
// calls in 15 s of a core); bytes are those of the calls with their headers and payloads.
const (
	callCost     = 90 * time.Microsecond // half of it before and half after the answer
	eventCost    = 10 * time.Microsecond
	tickCost     = 100 * time.Microsecond
	orderBytes   = 900 // a start with a payload of half a kilobyte
	answerBytes  = 200
	rowBytes     = 60  // a task in a worker's list
	entryBytes   = 370 // a registration, as the store sends it
	listedBytes  = 155 // an instance of the list
	holdReserve  = 300 * time.Millisecond
	orderAge     = time.Second
	slotTime     = 50 * time.Millisecond
	slotsPerCore = 120
	leastSlots   = 4
	startsInLine = 4
	// listShare is how much of the link readings of the instance list may take.
	listShare = 0.1
)

// resource is used by one after the other.
type resource struct{ free time.Time }

// use returns when a use of that length, asked for now, is over.
func (r *resource) use(now time.Time, d time.Duration) time.Time {
	if r.free.Before(now) {
		r.free = now
	}
	r.free = r.free.Add(d)
	return r.free
}

// shell charges the owner's work to its daemon, as package node has it done.
type shell struct {
	s         *sim
	daemon    Daemon
	processor resource
	up, down  resource
	line      []waitingStart
	busy      int
}

type waitingStart struct {
	order   owner.Start
	decided time.Time
}

func (h *shell) slots() int { return max(leastSlots, int(slotsPerCore*h.daemon.Cores)) }

func (h *shell) startsAtOnce() int {
	if h.daemon.UnlimitedStarts {
		return 0
	}
	return startsInLine * h.slots()
}

// at calls do at a moment, which has to be now or later.
func (h *shell) at(t time.Time, do func()) { h.s.engine.after(t.Sub(h.s.engine.now), do) }

// compute calls do once the processor has had time for something.
func (h *shell) compute(cost time.Duration, do func()) {
	h.at(h.processor.use(h.s.engine.now, time.Duration(float64(cost)/h.daemon.Cores)), do)
}

// carry calls do once bytes have gone over one direction of the link.
func (h *shell) carry(way *resource, bytes int, do func()) {
	took := time.Duration(float64(bytes) * 8 / (h.daemon.LinkMbps * 1e6) * float64(time.Second))
	h.at(way.use(h.s.engine.now, took), do)
}

// tell hands an event to the owner's core when the processor gets to it.
func (h *shell) tell(kind EventKind, term uint64, f func(*owner.Core)) {
	h.compute(eventCost, func() {
		h.s.tell(kind, term, f)
		h.s.settle()
	})
}

// send carries an order to its worker and the answer back. got is told when the answer is
// read, and how long that took since the order was sent.
func (h *shell) send(bytes int, serve func() (answer int, wait time.Duration), got func(took time.Duration)) {
	sent := h.s.engine.now
	h.compute(callCost/2, func() {
		h.carry(&h.up, bytes, func() {
			h.s.engine.after(orderTime, func() {
				answer, wait := serve()
				h.s.engine.after(wait, func() {
					h.carry(&h.down, answer, func() {
						h.compute(callCost/2, func() { got(h.s.engine.now.Sub(sent)) })
					})
				})
			})
		})
	})
}

// start puts a start into the line.
func (h *shell) start(o owner.Start) {
	h.line = append(h.line, waitingStart{o, h.s.engine.now})
	h.pump()
}

// pump begins starts while there are slots.
func (h *shell) pump() {
	for h.busy < h.slots() && len(h.line) > 0 {
		next := h.line[0]
		h.line = h.line[1:]
		h.begin(next)
	}
}

func (h *shell) begin(next waitingStart) {
	term := h.s.term
	if h.s.engine.now.Sub(next.decided) > orderAge {
		h.tell(StartAnswered, term, func(c *owner.Core) {
			c.OnStarted(next.order, owner.Answer{Outcome: owner.NotSent}, h.s.engine.now)
		})
		return
	}
	h.busy++
	left := false
	leave := func() {
		if !left {
			left = true
			h.busy--
			h.pump()
		}
	}
	h.s.engine.after(slotTime, leave)
	var a owner.Answer
	h.send(orderBytes, func() (int, time.Duration) {
		a = h.s.start(next.order)
		return answerBytes, 0
	}, func(took time.Duration) {
		leave()
		a.Latency = took
		if took > owner.OrderTimeout {
			a = owner.Answer{Outcome: owner.Unanswered}
		}
		h.tell(StartAnswered, term, func(c *owner.Core) { c.OnStarted(next.order, a, h.s.engine.now) })
	})
}

func (h *shell) stop(o owner.Stop) {
	term := h.s.term
	var a owner.Answer
	h.send(answerBytes, func() (int, time.Duration) {
		a = h.s.stop(o)
		return answerBytes, 0
	}, func(took time.Duration) {
		if took > owner.OrderTimeout {
			a = owner.Answer{Outcome: owner.Unanswered}
		}
		h.tell(StopAnswered, term, func(c *owner.Core) { c.OnStopped(o, a, h.s.engine.now) })
	})
}

// hold carries a hold out and back. The worker's answer comes at an end, or when its wait
// is over; one that is read too late was given up.
func (h *shell) hold(o owner.Hold) {
	term := h.s.term
	sent := h.s.engine.now
	answered := false
	answer := func(held owner.HoldAnswer) {
		if !answered {
			answered = true
			h.tell(HoldAnswered, term, func(c *owner.Core) { c.OnHoldAnswer(o.Target, held, h.s.engine.now) })
		}
	}
	h.s.engine.after(o.Wait+holdReserve, func() { answer(owner.HoldAnswer{Answer: owner.Answer{Outcome: owner.Unanswered}}) })
	h.compute(callCost/2, func() {
		h.carry(&h.up, answerBytes, func() {
			h.s.engine.after(orderTime, func() {
				h.s.receiveHold(o, func(held owner.HoldAnswer) {
					h.carry(&h.down, answerBytes+rowBytes*(len(held.Active)+len(held.Ends)), func() {
						h.compute(callCost/2, func() {
							if h.s.engine.now.Sub(sent) <= o.Wait+holdReserve {
								answer(held)
							}
						})
					})
				})
			})
		})
	})
}

// instancesEvery returns the pause between two readings of the instance list.
func (h *shell) instancesEvery(instances int) time.Duration {
	if h.daemon.PollFullLists {
		return expectingEvery
	}
	megabits := float64(instances*listedBytes) * 8 / 1e6
	return max(instancesEvery, time.Duration(megabits/(h.daemon.LinkMbps*listShare)*float64(time.Second)))
}
