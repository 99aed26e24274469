package owner

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/job"
)

// lostStart is a run whose starts all get lost.
type lostStart struct {
	sim    *restartSim
	order  Start
	sentAt []time.Duration // after the beginning of the simulation
}

// loseFirstStart lets all starts of the job's first run get lost.
func (s *restartSim) loseFirstStart(id job.ID) *lostStart {
	l := &lostStart{sim: s}
	s.losesStart = func(o Start) bool {
		if o.Task.Job != id || len(l.sentAt) > 0 && (o.Run != l.order.Run || o.Worker != l.order.Worker) {
			return false
		}
		l.order = o
		l.sentAt = append(l.sentAt, s.now.Sub(s.startedAt))
		return true
	}
	return l
}

// restartWorker restarts the worker of the lost starts. Its next incarnation carries them out before any other order.
func (l *lostStart) restartWorker() {
	w := l.sim.workerByID(l.order.Worker)
	l.sim.restart(w)
	l.sim.after(simRestartTime, func() {
		l.sim.log("worker "+string(w.id)+" carries out the lost start", nil)
		w.inc.start(l.order)
	})
}

func (s *restartSim) workerByID(id WorkerID) *simWorker {
	for _, w := range s.workers {
		if w.id == id {
			return w
		}
	}
	return nil
}

// startTimes returns when runs of the job began, after the beginning of the simulation.
func (s *restartSim) startTimes(id job.ID) (out []time.Duration) {
	for task, runs := range s.judge.starts {
		for _, r := range runs {
			if task.Job == id {
				out = append(out, r.startedAt.Sub(s.startedAt))
			}
		}
	}
	return out
}

// TestOutstandingStartOfAReleasedRun guards against a task that runs twice: its start got no answer and was given up,
// the task was started again, and the first start reaches the next incarnation of its worker.
func TestOutstandingStartOfAReleasedRun(t *testing.T) {
	for name, c := range map[string]struct {
		lasts     time.Duration
		restartAt time.Duration // with the late start
		before    time.Duration // restart without it; 0: there is none
		elsewhere bool          // the task is started again on another worker
	}{
		"when the task was done":                   {lasts: 200 * time.Millisecond, restartAt: 9 * time.Second},
		"when the task was done elsewhere":         {lasts: 200 * time.Millisecond, restartAt: 9 * time.Second, elsewhere: true},
		"while the task is at work elsewhere":      {lasts: 20 * time.Second, restartAt: 9 * time.Second, elsewhere: true},
		"as late as possible":                      {lasts: 200 * time.Millisecond, restartAt: 16300 * time.Millisecond},
		"after its worker has restarted before":    {lasts: 200 * time.Millisecond, restartAt: 9 * time.Second, before: 7 * time.Second},
		"which was given up by an earlier restart": {lasts: 200 * time.Millisecond, restartAt: 9 * time.Second, before: 5100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			s := newRestartSim(1)
			s.maxRegLag = 0
			id := simpleJob(1, 1).ID
			l := s.loseFirstStart(id)
			s.at(5*time.Second, func() { s.submit(1, c.lasts) })
			if c.elsewhere {
				s.at(6*time.Second, func() { s.workerByID(l.order.Worker).draining = true })
			}
			if c.before > 0 {
				s.at(c.before, func() { s.restart(s.workerByID(l.order.Worker)) })
			}
			s.at(c.restartAt, l.restartWorker)
			s.runUntil(c.restartAt+5*time.Second, 90*time.Second)
			require.NotEmpty(t, l.sentAt)
			s.requireOnce(t)
			assert.Empty(t, s.incomplete())
			last := l.sentAt[len(l.sentAt)-1]
			starts := s.startTimes(id)
			require.NotEmpty(t, starts)
			assert.Less(t, starts[len(starts)-1], last+maxOrderDelay+2*time.Second, "the wait ends by itself")
		})
	}
}

// TestOutstandingStartThatBeginsUnheard guards against two runs of a task at the same time: the first start has begun a run
// on the next incarnation of a worker that is cut off from the owner when the start cannot be executed any more.
func TestOutstandingStartThatBeginsUnheard(t *testing.T) {
	for name, c := range map[string]struct {
		cut       time.Duration
		startedBy time.Duration
	}{
		"and its worker is heard again": {4 * time.Second, 21500 * time.Millisecond},
		"and its lease ends unheard":    {40 * time.Second, 30 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			s := newRestartSim(1)
			s.maxRegLag = 0
			id := simpleJob(1, 1).ID
			l := s.loseFirstStart(id)
			s.at(5*time.Second, func() { s.submit(1, 6*time.Second) })
			s.at(16200*time.Millisecond, func() { s.cut(s.workerByID(l.order.Worker), c.cut) })
			s.at(16300*time.Millisecond, l.restartWorker)
			s.runUntil(20*time.Second, 90*time.Second)
			s.requireOnce(t)
			assert.Empty(t, s.incomplete())
			starts := s.startTimes(id)
			assert.LessOrEqual(t, slices.Max(starts), c.startedBy)
		})
	}
}

// TestOutstandingStartOfATaskThatLasts guards against two runs of a task that lasts: its start got no answer and was
// given up, the task was started on another worker, and the first start reaches the next incarnation of its worker. It
// also guards against a task that stands still for as long as the start may be executed.
func TestOutstandingStartOfATaskThatLasts(t *testing.T) {
	const othersJoinAt = 6500 * time.Millisecond
	setUp := func() (s *restartSim, w *simWorker, id job.ID) {
		s = newRestartSim(1)
		s.maxRegLag = 0
		w = s.joinOthersAt(othersJoinAt)
		j := simpleJob(2, 1)
		j.Steps[0].LongRunning = true
		s.at(3*time.Second, func() { s.submit(2, 30*time.Second) }) // so that the other workers have more room
		s.at(5*time.Second, func() { s.submitJob(j, 40*time.Second) })
		return s, w, j.ID
	}
	t.Run("starts again on its worker", func(t *testing.T) {
		s, w, id := setUp()
		l := s.loseFirstStart(id)
		s.at(9*time.Second, l.restartWorker)
		s.runUntil(time.Hour, 30*time.Second)
		s.requireOnce(t)
		runs := s.judge.starts[job.TaskID{Job: id}]
		require.NotEmpty(t, runs)
		assert.Less(t, runs[0].startedAt.Sub(s.startedAt), 8500*time.Millisecond, "as soon as its worker has confirmed the stop")
		assert.Equal(t, w, runs[0].inc.worker)
		assert.NotEmpty(t, s.judge.active[job.TaskID{Job: id}])
	})
	t.Run("starts elsewhere if its worker loses that start, too", func(t *testing.T) {
		s, w, id := setUp()
		s.losesStart = func(o Start) bool { return o.Task.Job == id && o.Worker == w.id }
		s.runUntil(time.Hour, 30*time.Second)
		starts := s.startTimes(id)
		require.Len(t, starts, 1)
		assert.Less(t, starts[0], 12*time.Second)
	})
	t.Run("starts elsewhere if its worker takes no tasks", func(t *testing.T) {
		s, w, id := setUp()
		s.loseFirstStart(id)
		s.at(7*time.Second, func() { w.draining = true })
		s.runUntil(time.Hour, 30*time.Second)
		starts := s.startTimes(id)
		require.Len(t, starts, 1)
		assert.Less(t, starts[0], 8500*time.Millisecond+longRunningOutstandingWait)
	})
}

// TestOutstandingStartBesideLoad guards against a wait that holds up others: one task waits for its outstanding start
// beside hundreds of starts a second on the same workers.
func TestOutstandingStartBesideLoad(t *testing.T) {
	const every, tasks, lasts = 50 * time.Millisecond, 15, 40 * time.Millisecond
	s := newRestartSim(1)
	s.maxRegLag = 0
	id := job.ID("held back")
	l := s.loseFirstStart(id)
	submittedAt := map[job.ID]time.Duration{}
	small := func() *job.Job {
		j := simpleJob(len(s.order)+1, tasks)
		j.Steps[0].Need = job.Resources{CPUMilli: 10, MemMB: 1}
		return j
	}
	for at := 3 * time.Second; at < 20*time.Second; at += every {
		s.at(at, func() { submittedAt[s.submitJob(small(), lasts)] = at })
	}
	s.at(5*time.Second+time.Millisecond, func() {
		j := small()
		j.Steps[0].Count = 1
		j.ID = id
		s.submitJob(j, lasts)
	})
	s.runUntil(20*time.Second, 60*time.Second)
	s.requireOnce(t)
	assert.Empty(t, s.incomplete())
	starts := s.startTimes(id)
	require.Len(t, starts, 1)
	assert.Greater(t, starts[0], l.sentAt[0]+maxOrderDelay)
	assert.Less(t, starts[0], l.sentAt[len(l.sentAt)-1]+maxOrderDelay+2*time.Second)
	slowest := time.Duration(0)
	for other, at := range submittedAt {
		for _, start := range s.startTimes(other) {
			slowest = max(slowest, start-at)
		}
	}
	t.Logf("%d starts; the slowest start of the others came %s after its job", len(s.judge.starts), slowest)
	assert.Less(t, slowest, 200*time.Millisecond)
}
