package owner

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// send sends the owner's orders. Their order does not depend on that of the core's maps.
func (s *restartSim) send(e Effects) {
	slices.SortStableFunc(e.Starts, func(a, b Start) int { return cmp.Compare(a.Run, b.Run) })
	slices.SortStableFunc(e.Stops, func(a, b Stop) int { return cmp.Compare(a.Run, b.Run) })
	for _, h := range e.Holds {
		call(s, h.Target, simMaxLateness, h.Wait+h.Timeout, HoldAnswer{Answer: Answer{Outcome: Unanswered}},
			func(i *simIncarnation, answer func(HoldAnswer)) { i.hold(h, answer) },
			func(c *Core, a HoldAnswer, _ time.Duration) { c.OnHoldAnswer(h.Target, a, s.now) })
	}
	for _, o := range e.Starts {
		if s.losesStart != nil && s.losesStart(o) {
			s.loseStart(o)
			continue
		}
		call(s, o.Target, s.maxLateStart, o.Timeout, Answer{Outcome: Unanswered},
			func(i *simIncarnation, answer func(Answer)) {
				answer(Answer{Outcome: i.start(o), ClockMs: i.clockMs()})
			},
			func(c *Core, a Answer, took time.Duration) {
				a.Latency = took
				c.OnStartAnswer(o, a, s.now)
			})
	}
	for _, o := range e.Stops {
		call(s, o.Target, simMaxLateness, o.Timeout, Answer{Outcome: Unanswered},
			func(i *simIncarnation, answer func(Answer)) { answer(Answer{Outcome: i.stop(o), ClockMs: i.clockMs()}) },
			func(c *Core, a Answer, _ time.Duration) { c.OnStopAnswer(o, a, s.now) })
	}
}

// loseStart lets a start go unanswered. It is never carried out by itself.
func (s *restartSim) loseStart(o Start) {
	sender := s.core
	s.after(o.Timeout, func() {
		if s.core == sender {
			s.withCore(func(c *Core) { c.OnStartAnswer(o, Answer{Outcome: Unanswered}, s.now) })
		}
	})
}

// call sends a call to a worker. It is carried out at most once, by the incarnation that is there when it
// arrives. If it does not arrive, it is lost, or carried out late, by maxLate at most. The answer is lost if the
// caller has given up.
func call[A any](s *restartSim, t Target, maxLate, timeout time.Duration, unanswered A, execute func(*simIncarnation, func(A)), done func(*Core, A, time.Duration)) {
	w := s.workers[slices.IndexFunc(s.workers, func(w *simWorker) bool { return w.id == t.Worker })]
	c, sentAt, open := s.core, s.now, true
	finish := func(a A, took time.Duration) {
		if open && s.core == c {
			s.withCore(func(c *Core) { done(c, a, took) })
		}
		open = false
	}
	s.after(timeout, func() { finish(unanswered, 0) })
	s.after(s.transit(), func() {
		if w.isReachable(s.now) && !s.isLost() {
			i := w.inc
			execute(i, func(a A) {
				if i == w.inc && w.isReachable(s.now) && !s.isLost() {
					s.after(s.transit(), func() { finish(a, s.now.Sub(sentAt)) })
				}
			})
			return
		}
		late := s.lateness()
		if late == 0 || late > maxLate {
			return
		}
		s.after(max(0, sentAt.Add(late).Sub(s.now)), func() {
			if w.isReachable(s.now) {
				s.log(fmt.Sprintf("worker %s carries out a call late by %s: %T", w.id, late, unanswered), nil)
				execute(w.inc, func(A) {})
			}
		})
	})
}

// transit returns the time that a call or an answer takes.
func (s *restartSim) transit() time.Duration {
	return time.Millisecond + time.Duration(s.rnd.Int64N(int64(time.Millisecond)))
}

// isLost reports whether the network loses a call or an answer.
func (s *restartSim) isLost() bool {
	return s.now.Before(s.lossUntil) && s.rnd.Float64() < simLossShare
}
