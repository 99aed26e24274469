package owner

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// These tests guard against orders and acknowledgements that are meant for one incarnation of a worker
// and act on the next one under the same ID: tasks then run twice. They drive real Cores in virtual time.

var (
	restartSeeds = flag.Int("restarts.seeds", 200, "seeds of TestRestartsAtRandom and TestLateStartsAtRandom")
	restartFirst = flag.Uint64("restarts.first", 1, "first seed of the two")
)

// requireOnce fails the test if a task has run twice.
func (s *restartSim) requireOnce(t *testing.T) {
	t.Helper()
	if f := s.judge.findings(); len(f) > 0 {
		t.Fatalf("task %s: %s; %d findings\n%s", f[0].task, f[0].what, len(f), s.logOf(f[0].task.String()))
	}
}

// joinOthersAt lets only the first worker have tasks before d, and returns it.
func (s *restartSim) joinOthersAt(d time.Duration) *simWorker {
	for _, w := range s.workers[1:] {
		w.joined = false
		s.at(d, func() { w.joined = true })
	}
	return s.workers[0]
}

// TestLeaseMeantForThePastIncarnation guards against a copy of a task beside its run: an order for a
// worker's past incarnation grants the next one a longer lease than the owner, or the next owner, knows of.
func TestLeaseMeantForThePastIncarnation(t *testing.T) {
	for order, late := range map[string]time.Duration{"hold sent again": 0, "late hold": 700 * time.Millisecond} {
		for owner, c := range map[string]struct{ killAt, cutAt time.Duration }{
			"same owner":                         {0, 9 * time.Second},
			"next owner":                         {7 * time.Second, 7600 * time.Millisecond},
			"next owner that the worker answers": {6500 * time.Millisecond, 9 * time.Second},
		} {
			t.Run(order+", "+owner, func(t *testing.T) {
				s := newRestartSim(1)
				s.maxRegLag = 0
				w := s.joinOthersAt(7 * time.Second)
				if late == 0 {
					s.at(5*time.Second, func() { s.restart(w) })
				} else {
					s.lateness = func() time.Duration { return late }
					s.at(4*time.Second, func() { s.submit(1, time.Second) })
					s.restartWhileHoldIsUnderWay(w, 1)
				}
				s.at(6100*time.Millisecond, func() { s.submit(2, 12*time.Second) })
				if c.killAt != 0 {
					s.at(c.killAt, s.killOwner)
				}
				s.at(c.cutAt, func() { s.cut(w, 9*time.Second) })
				s.runUntil(19*time.Second, 60*time.Second)
				require.Greater(t, w.startedMs, s.startedAt.UnixMilli(), "it has restarted")
				s.requireOnce(t)
				assert.Empty(t, s.incomplete())
			})
		}
	}
}

// restartWhileHoldIsUnderWay restarts the worker when it has answered a hold that acknowledges the end, and the next hold
// is under way.
func (s *restartSim) restartWhileHoldIsUnderWay(w *simWorker, end uint64) {
	s.onHold = func(h Hold) {
		if h.AckThrough == end {
			s.after(2*time.Millisecond, func() { s.restart(w) })
			s.onHold = nil
		}
	}
}

// TestStartMeantForThePastIncarnation guards against a copy of a task beside its run: the start has begun the run on
// a worker that restarted just before it was cut off, so that the owner does not know of the restart.
func TestStartMeantForThePastIncarnation(t *testing.T) {
	for name, c := range map[string]struct {
		longRun  bool // a hold is under way for less than a second, and shows the silence
		submitAt time.Duration
	}{
		"unanswered": {true, 5400 * time.Millisecond},
		"accepted":   {false, 5650 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			s := newRestartSim(1)
			w := s.joinOthersAt(7 * time.Second)
			s.lateness = func() time.Duration { return 300 * time.Millisecond }
			if c.longRun {
				s.at(4*time.Second, func() { s.submit(1, 12*time.Second) })
			}
			s.at(5*time.Second, func() { s.restart(w) })
			s.at(c.submitAt, func() { s.submit(1, 12*time.Second) })
			s.at(5800*time.Millisecond, func() {
				s.cut(w, 9*time.Second)
				s.cutFromStore(w)
			})
			s.runUntil(17*time.Second, 60*time.Second)
			require.NotEmpty(t, s.judge.starts)
			s.requireOnce(t)
			assert.Empty(t, s.incomplete())
		})
	}
}

// TestLateStartBesideALostRun guards against a task that is never started again: its run was lost when the worker
// restarted, and the new incarnation lists another run of the task, which a late start of an earlier owner has begun.
func TestLateStartBesideALostRun(t *testing.T) {
	s := newRestartSim(1)
	s.maxRegLag = 0
	w := s.joinOthersAt(30 * time.Second)
	s.lateness = func() time.Duration { return 4650 * time.Millisecond }
	s.at(4950*time.Millisecond, func() { s.cut(w, 2*time.Second) })
	s.at(5*time.Second, func() { s.submit(1, 12*time.Second) })
	s.at(5200*time.Millisecond, s.killOwner)
	s.at(9*time.Second, func() { s.restart(w) })
	s.runUntil(10*time.Second, 90*time.Second)
	require.Greater(t, w.startedMs, s.startedAt.UnixMilli(), "it has restarted")
	s.requireOnce(t)
	if left := s.incomplete(); len(left) > 0 {
		t.Fatalf("not completed: %v\n%s", left, s.logOf(string(s.order[0])+".0.0.0"))
	}
}

// TestAcknowledgementMeantForThePastIncarnation guards against a task that is started again after it was done: a
// hold for a worker's past incarnation makes the next one forget the end of a run that the owner has not read.
func TestAcknowledgementMeantForThePastIncarnation(t *testing.T) {
	const ends = 13 // of the past incarnation
	for name, c := range map[string]struct {
		late, lasts, cutAt, cutFor time.Duration
		acknowledged               bool // all ends were acknowledged before the restart
	}{
		"it waits when the run ends":                           {2150 * time.Millisecond, 1300 * time.Millisecond, 7700 * time.Millisecond, 9 * time.Second, false},
		"it arrives when the run has ended":                    {2600 * time.Millisecond, time.Second, 6900 * time.Millisecond, 700 * time.Millisecond, false},
		"it arrives before the owner's first order and waits":  {700 * time.Millisecond, 1300 * time.Millisecond, 9 * time.Second, time.Second, false},
		"so does one that repeats an answered acknowledgement": {700 * time.Millisecond, 1300 * time.Millisecond, 9 * time.Second, time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newRestartSim(1)
			s.maxRegLag = 0
			w := s.joinOthersAt(7 * time.Second)
			s.lateness = func() time.Duration { return c.late }
			s.at(2*time.Second, func() { s.submit(ends-1, 200*time.Millisecond) })
			s.at(4*time.Second, func() { s.submit(1, time.Second) })
			if c.acknowledged {
				s.restartWhileHoldIsUnderWay(w, ends)
			} else {
				s.at(5030*time.Millisecond, func() { s.restart(w) })
			}
			s.at(6100*time.Millisecond, func() {
				s.submit(1, 200*time.Millisecond)
				s.submit(1, c.lasts)
			})
			s.at(c.cutAt, func() { s.cut(w, c.cutFor) })
			s.runUntil(17*time.Second, 60*time.Second)
			require.Greater(t, w.startedMs, s.startedAt.UnixMilli(), "it has restarted")
			s.requireOnce(t)
			assert.Empty(t, s.incomplete())
		})
	}
}

// plan plans jobs and faults for d: workers restart, alone or together, and are cut off at about that time; owners
// are killed, the store is away, and single calls and answers are lost.
func (s *restartSim) plan(d time.Duration) {
	between := func(low, high time.Duration) time.Duration { return low + time.Duration(s.rnd.Int64N(int64(high-low))) }
	chance := func(share float64) bool { return s.rnd.Float64() < share }
	s.failing, s.shuffleWaits = 0.1, true
	if chance(0.5) {
		s.capacity = 4
	}
	s.lateness = func() time.Duration {
		if chance(0.4) {
			return 0
		}
		share := s.rnd.Float64()
		return 5*time.Millisecond + time.Duration(share*share*float64(simMaxLateness))
	}
	for range 12 + s.rnd.IntN(8) {
		tasks, lasts := 1+s.rnd.IntN(3), between(200*time.Millisecond, 2*time.Second)
		if chance(0.4) {
			lasts = between(2*time.Second, 12*time.Second)
		}
		s.at(between(0, d-2*time.Second), func() { s.submit(tasks, lasts) })
	}
	s.at(d, func() { s.failing = 0 })
	for at := between(0, 4*time.Second); at < d-time.Second; at += between(2*time.Second, 14*time.Second) {
		all := chance(0.3)
		for _, w := range s.workers {
			if !all && !chance(0.5) {
				continue
			}
			s.at(at, func() { s.restart(w) })
			if chance(0.7) {
				s.at(min(d, max(0, at+between(-time.Second, 4*time.Second))), func() {
					s.cut(w, min(between(time.Second, 12*time.Second), s.startedAt.Add(d).Sub(s.now)))
					if chance(0.5) {
						s.cutFromStore(w)
					}
				})
			}
		}
		if chance(0.4) {
			s.at(min(d, at+between(0, 4*time.Second)), s.killOwner)
		}
		if chance(0.2) {
			s.at(min(d, max(0, at+between(-time.Second, 3*time.Second))), func() { s.lossUntil = s.now.Add(between(time.Second, 4*time.Second)) })
		}
		if chance(0.2) {
			s.at(min(d, max(0, at+between(-time.Second, 2*time.Second))), func() { s.storeAwayUntil = s.now.Add(between(time.Second, 4*time.Second)) })
		}
	}
}

// runAtRandom plays the seeds of the flags. It requires that no task runs twice, and that all jobs are completed
// once the faults are over.
func runAtRandom(t *testing.T, maxLateStart time.Duration) {
	const faulty, calm = 40 * time.Second, 30*time.Second + simMaxLateness
	twice, misdirected := 0, 0
	for n := range *restartSeeds {
		seed := *restartFirst + uint64(n)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			s := newRestartSim(seed)
			s.maxLateStart = maxLateStart
			s.plan(faulty)
			s.runUntil(faulty, faulty+calm)
			if f := s.judge.findings(); len(f) > 0 {
				twice++
				if f[0].misdirected {
					misdirected++
				}
				t.Errorf("task %s: %s; %d findings\n%s", f[0].task, f[0].what, len(f), s.logOf(f[0].task.String()))
			}
			if left := s.incomplete(); len(left) > 0 {
				t.Errorf("not completed %s after the last fault: %v", calm, left)
			}
		})
	}
	t.Logf("%d seeds: tasks ran twice in %d, in %d of these first by a start for another incarnation", *restartSeeds, twice, misdirected)
}

// TestRestartsAtRandom guards against the same at random, where a start is carried out late only as long as the
// owner still expects it.
func TestRestartsAtRandom(t *testing.T) { runAtRandom(t, simMaxExpectedStart) }

// TestLateStartsAtRandom guards against a start for a past incarnation that reaches a later one after the owner has
// given it up.
func TestLateStartsAtRandom(t *testing.T) { runAtRandom(t, simMaxLateness) }
