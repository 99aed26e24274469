package owner

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/job"
)

// rig drives a Core with a simulated clock, simulated workers and instances.
type rig struct {
	t    *testing.T
	core *Core
	now  time.Time
	out  Effects
	regs []Registration
	inst []Instance
}

const (
	rigLease   = 4 * time.Second
	rigClockMs = 100_000 // clock of every worker when the rig starts
)

func newRig(t *testing.T, term uint64, loaded ...StoredJob) *rig {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	catalog := &job.Catalog{
		Queues:   []job.Queue{{Name: "q", Service: "s", MaxAttempts: 2, ObjectiveFactor: 2, ObjectiveOffset: time.Second}},
		Services: []job.Service{{Name: "s"}, {Name: "spare", Spare: true}},
	}
	opts := Options{Term: term, TaskLease: rigLease, HoldWait: 500 * time.Millisecond, DutyHandover: 3 * time.Second, StatusRetention: time.Minute}
	return &rig{t: t, core: New(opts, catalog, loaded, now), now: now}
}

// worker adds a registered worker and its instance.
func (r *rig) worker(id string) WorkerID {
	r.regs = append(r.regs, Registration{Worker: WorkerID(id), Service: "s", Addr: id, Capacity: job.Resources{CPUMilli: 8000, MemMB: 8000}})
	r.inst = append(r.inst, Instance{ID: InstanceID("i-" + id), Pool: "s", State: InstanceUp, Worker: WorkerID(id)})
	r.publishLists()
	return WorkerID(id)
}

func (r *rig) publishLists() {
	r.core.SetRegistrations(r.regs, r.now)
	r.core.OnInstances(r.inst, r.now)
	r.tick(0)
}

// tick advances the time in steps of 25 ms and collects effects.
func (r *rig) tick(d time.Duration) {
	for end := r.now.Add(d); ; r.now = r.now.Add(25 * time.Millisecond) {
		r.core.Tick(r.now)
		r.collectEffects()
		if !r.now.Before(end) {
			return
		}
	}
}

func (r *rig) collectEffects() {
	r.reserveTokens()
	e := r.core.TakeEffects()
	r.out.Starts = append(r.out.Starts, e.Starts...)
	r.out.Stops = append(r.out.Stops, e.Stops...)
	r.out.Holds = append(r.out.Holds, e.Holds...)
	r.out.InstanceOrders = append(r.out.InstanceOrders, e.InstanceOrders...)
	r.out.WaveStatuses = append(r.out.WaveStatuses, e.WaveStatuses...)
	r.out.AdviceQueries = append(r.out.AdviceQueries, e.AdviceQueries...)
	r.out.Throttles = append(r.out.Throttles, e.Throttles...)
}

// reserveTokens reserves the terms whose fencing tokens restarted workers wait for.
func (r *rig) reserveTokens() {
	for _, w := range r.core.workers {
		for !r.core.assignToken(w) {
			term, needed := r.core.TermToReserve()
			require.True(r.t, needed)
			r.core.OnTermReserved(term)
		}
	}
}

func (r *rig) clockMs() int64 {
	return rigClockMs + r.now.Sub(r.core.startedAt).Milliseconds()
}

// answerHold answers the worker's pending hold.
func (r *rig) answerHold(id WorkerID, active []ActiveRun, ends ...RunEnd) {
	r.core.OnHoldAnswer(Target{Worker: id}, HoldAnswer{Answer: Answer{Outcome: Accepted, ClockMs: r.clockMs()}, Active: active, Ends: ends}, r.now)
	r.core.React(r.now)
	r.collectEffects()
}

// failHold lets the worker's pending hold go unanswered.
func (r *rig) failHold(id WorkerID) {
	r.core.OnHoldAnswer(Target{Worker: id}, HoldAnswer{Answer: Answer{Outcome: Unanswered, Err: errors.New("lost")}}, r.now)
	r.core.React(r.now)
	r.collectEffects()
}

func (r *rig) submit(n, count int) *job.Job {
	j := simpleJob(n, count)
	r.core.Submit(j, r.now)
	r.core.React(r.now)
	r.collectEffects()
	return j
}

func simpleJob(n, count int) *job.Job {
	return &job.Job{ID: job.ID(fmt.Sprintf("%016d", n)), Queue: "q", Service: "s", Steps: []job.Step{
		{Count: count, Need: job.Resources{CPUMilli: 1000, MemMB: 100}, Estimate: time.Second},
	}}
}

// confirmStarts accepts all collected starts and returns them.
func (r *rig) confirmStarts() []Start {
	out := r.out.Starts
	r.out.Starts = nil
	for _, s := range out {
		r.core.OnStartAnswer(s, Answer{Outcome: Accepted, ClockMs: r.clockMs()}, r.now)
	}
	r.collectEffects()
	return out
}

func TestASilentWorkersTasksStartElsewhere(t *testing.T) {
	r := newRig(t, 1)
	a := r.worker("a")
	r.answerHold(a, nil)
	r.submit(1, 1)
	require.Len(t, r.confirmStarts(), 1)
	b := r.worker("b")
	r.answerHold(b, nil)
	for range 60 { // 6 s without an answer of a
		r.failHold(a)
		r.tick(100 * time.Millisecond)
		r.answerHold(b, nil)
	}
	again := r.confirmStarts()
	require.Len(t, again, 1, "the task starts elsewhere once the lease of the silent worker has expired")
	assert.Equal(t, b, again[0].Worker)
}

func TestCancellationBeforeTheJobIsKnown(t *testing.T) {
	r := newRig(t, 1)
	r.answerHold(r.worker("a"), nil)
	j := simpleJob(1, 1)
	r.core.Cancel(j.ID, r.now)
	r.core.Submit(j, r.now)
	r.core.React(r.now)
	r.collectEffects()
	assert.Empty(t, r.out.Starts)
	state, known := r.core.State(j.ID)
	assert.True(t, known)
	assert.Equal(t, job.Cancelled, state)
}

func TestAnswerOfAWorkerThatIsGone(t *testing.T) {
	j := simpleJob(1, 1)
	r := newRig(t, 2, StoredJob{Job: j})
	a := r.worker("a")
	b := r.worker("b")
	r.answerHold(b, nil)
	r.inst[0].State = InstanceInMaintenance // while the first hold of a is pending
	r.publishLists()
	r.answerHold(a, []ActiveRun{{Task: job.TaskID{Job: j.ID}, Run: 1_000_001}})
	r.tick(100 * time.Millisecond)
	starts := r.confirmStarts()
	require.Len(t, starts, 1, "a run listed by a worker that has ended must not block the task")
	assert.Equal(t, b, starts[0].Worker)
}

func TestInheritedTasksWaitForEveryWorker(t *testing.T) {
	j := simpleJob(1, 1)
	r := newRig(t, 2, StoredJob{Job: j})
	r.worker("a")
	b := r.worker("b")
	r.answerHold(b, nil)
	r.tick(time.Second)
	assert.Empty(t, r.out.Starts, "the task may run on a")
	r.submit(2, 1)
	assert.Len(t, r.confirmStarts(), 1, "a job accepted later cannot run there")
	r.tick(rigLease)
	assert.Len(t, r.confirmStarts(), 1, "every lease of the earlier owner has expired")
}

// TestJobsRightAfterAChangeOfOwner: jobs submitted just after a change of owner may have
// reached the earlier owner, which may have started them.
func TestJobsRightAfterAChangeOfOwner(t *testing.T) {
	r := newRig(t, 2)
	a, b := r.worker("a"), r.worker("b")
	r.answerHold(b, nil)
	j := r.submit(1, 1)
	assert.Empty(t, r.out.Starts, "the earlier owner may have started it on a")
	r.answerHold(a, []ActiveRun{{Task: job.TaskID{Job: j.ID}, Run: 1_000_001}})
	r.tick(100 * time.Millisecond)
	assert.Empty(t, r.out.Starts, "the job runs on a")
}

// TestLeftOverRegistrationsDoNotDelayATakeover: the store still lists a worker whose instance
// was moved. Inherited tasks must not wait for its answer.
func TestLeftOverRegistrationsDoNotDelayATakeover(t *testing.T) {
	r := newRig(t, 2, StoredJob{Job: simpleJob(1, 1)})
	b := r.worker("b")
	r.regs = append(r.regs, Registration{Worker: "ended", Service: "s", Addr: "ended"})
	r.publishLists()
	r.answerHold(b, nil)
	r.tick(100 * time.Millisecond)
	assert.Len(t, r.confirmStarts(), 1)
}

func TestUnansweredStart(t *testing.T) {
	r := newRig(t, 1)
	a := r.worker("a")
	r.answerHold(a, nil)
	r.submit(1, 1)
	first := r.out.Starts[0]
	r.out.Starts = nil
	r.core.OnStartAnswer(first, Answer{Outcome: Unanswered}, r.now)
	r.collectEffects()
	require.Len(t, r.out.Starts, 1, "the start is sent again")
	second := r.out.Starts[0]
	assert.Equal(t, first.Run, second.Run, "with the same run number")
	r.out.Starts = nil
	r.core.OnStartAnswer(second, Answer{Outcome: NoCapacity, ClockMs: r.clockMs()}, r.now)
	r.collectEffects()
	require.Len(t, r.out.Stops, 1, "the first start may still arrive")
	r.tick(300 * time.Millisecond)
	assert.Empty(t, r.out.Starts, "the task waits for the stop")
	r.core.OnStopAnswer(r.out.Stops[0], Answer{Outcome: Accepted, ClockMs: r.clockMs()}, r.now)
	r.tick(25 * time.Millisecond)
	r.answerHold(a, nil) // the hold that was pending
	r.tick(25 * time.Millisecond)
	r.answerHold(a, nil) // sent after the stop was answered
	r.tick(200 * time.Millisecond)
	require.Len(t, r.out.Starts, 1)
	assert.Greater(t, r.out.Starts[0].Run, first.Run)
}

func TestEndsAreAcknowledgedOnceStored(t *testing.T) {
	r := newRig(t, 1)
	a := r.worker("a")
	r.answerHold(a, nil)
	j := r.submit(1, 1)
	s := r.confirmStarts()[0]
	r.out.Holds = nil
	r.answerHold(a, nil, RunEnd{Seq: 1, Task: s.Task, Run: s.Run, Kind: EndDone})
	r.tick(400 * time.Millisecond)
	require.NotEmpty(t, r.out.Holds)
	assert.Zero(t, r.out.Holds[len(r.out.Holds)-1].AckThrough)
	state, _ := r.core.State(j.ID)
	assert.Equal(t, job.Running, state, "not completed before it is stored")
	r.core.OnCommitted(r.core.PendingRecords(10), r.now)
	state, _ = r.core.State(j.ID)
	assert.Equal(t, job.Completed, state)
	r.answerHold(a, nil)
	r.tick(25 * time.Millisecond)
	assert.EqualValues(t, 1, r.out.Holds[len(r.out.Holds)-1].AckThrough)
}

func TestAttemptsAreCountedOverTerms(t *testing.T) {
	testAttemptsOverTerms(t, simpleJob(1, 1))
}

func TestAttemptsOfAGangAreCountedOverTerms(t *testing.T) {
	j := simpleJob(1, 2)
	j.Steps[0].Gang = true
	testAttemptsOverTerms(t, j)
}

// testAttemptsOverTerms has a task fail for the second time under a new owner.
func testAttemptsOverTerms(t *testing.T, j *job.Job) {
	p := &job.Progress{State: job.Running, Steps: []job.StepProgress{{Failed: map[int]job.Failures{0: {1_000_007}}}}}
	r := newRig(t, 2, StoredJob{Job: j, Progress: p})
	a := r.worker("a")
	r.answerHold(a, nil)
	s := r.confirmStarts()[0]
	r.answerHold(a, nil, RunEnd{Seq: 1, Task: s.Task, Run: s.Run, Kind: EndFailed})
	r.tick(time.Second)
	assert.Empty(t, r.out.Starts)
	r.core.OnCommitted(r.core.PendingRecords(10), r.now)
	state, _ := r.core.State(j.ID)
	assert.Equal(t, job.Failed, state)
}

// TestAFailureThatIsListedAgainCountsOnce: the earlier owner stored the failure, but did not
// acknowledge it, so that the worker lists it again.
func TestAFailureThatIsListedAgainCountsOnce(t *testing.T) {
	j := simpleJob(1, 1)
	p := &job.Progress{State: job.Running, Steps: []job.StepProgress{{Failed: map[int]job.Failures{0: {1_000_007}}}}}
	r := newRig(t, 2, StoredJob{Job: j, Progress: p})
	a := r.worker("a")
	r.answerHold(a, nil, RunEnd{Seq: 1, Task: job.TaskID{Job: j.ID}, Run: 1_000_007, Kind: EndFailed})
	r.tick(100 * time.Millisecond)
	assert.Len(t, r.confirmStarts(), 1, "one of two attempts has failed")
}

// TestFailuresOfSeveralWorkersComeInAnyOrder: the failure of an older run is reported after
// that of a newer one.
func TestFailuresOfSeveralWorkersComeInAnyOrder(t *testing.T) {
	j := simpleJob(1, 1)
	r := newRig(t, 2, StoredJob{Job: j})
	a, b := r.worker("a"), r.worker("b")
	r.answerHold(a, nil, RunEnd{Seq: 1, Task: job.TaskID{Job: j.ID}, Run: 1_000_009, Kind: EndFailed})
	r.answerHold(b, nil, RunEnd{Seq: 1, Task: job.TaskID{Job: j.ID}, Run: 1_000_008, Kind: EndFailed})
	r.tick(time.Second)
	assert.Empty(t, r.out.Starts, "both of two attempts have failed")
}

// maintenances returns the maintenance orders so far.
func (r *rig) maintenances() []InstanceOrder {
	var out []InstanceOrder
	for _, o := range r.out.InstanceOrders {
		if o.Wave != 0 {
			out = append(out, o)
		}
	}
	return out
}

func TestWaveSkipsStartingInstances(t *testing.T) {
	r := newRig(t, 1)
	a := r.worker("a")
	r.answerHold(a, nil)
	// The list shows a new worker that has not registered yet.
	r.inst = append(r.inst, Instance{ID: "i-new", Pool: "s", State: InstanceUp, Worker: "new"})
	r.core.OnInstances(r.inst, r.now)
	r.core.OnWave(WaveRequest{Wave: 1, Instances: []InstanceID{"i-new", "i-a"}, Within: time.Minute, MaxDown: 1}, nil, false, r.now)
	r.tick(100 * time.Millisecond)
	require.Len(t, r.maintenances(), 1)
	assert.EqualValues(t, "i-a", r.maintenances()[0].Instance)
	r.core.OnInstances(r.inst, r.now) // listed before the order was carried out
	r.tick(100 * time.Millisecond)
	assert.Len(t, r.maintenances(), 1, "only one instance may be down")
}

func TestCompletedWaveStaysSo(t *testing.T) {
	r := newRig(t, 1)
	a := r.worker("a")
	r.answerHold(a, nil)
	r.core.OnWave(WaveRequest{Wave: 1, Instances: []InstanceID{"i-a"}, Within: time.Minute, MaxDown: 1}, nil, false, r.now)
	r.tick(100 * time.Millisecond)
	require.Len(t, r.maintenances(), 1)
	r.inst[0].State = InstanceInMaintenance
	r.publishLists()
	r.core.OnInstanceOrderAnswer(r.maintenances()[0], DutyDone, r.now)
	r.tick(100 * time.Millisecond)
	assert.True(t, r.out.WaveStatuses[len(r.out.WaveStatuses)-1].Done)
}

func TestMaintenanceDoneByAnEarlierOwner(t *testing.T) {
	r := newRig(t, 2)
	a := r.worker("a")
	r.answerHold(a, nil)
	r.core.OnWave(WaveRequest{Wave: 1, Instances: []InstanceID{"i-a"}, Within: time.Minute, MaxDown: 1}, nil, false, r.now)
	for r.now.Sub(r.core.startedAt) < 3*time.Second+MaxDutyLeaseAge { // no orders for this long after a change of owner
		require.Empty(t, r.maintenances(), "the previous owner may still send an order")
		r.tick(100 * time.Millisecond)
		r.publishLists()
		r.answerHold(a, nil)
	}
	for range 6 {
		r.tick(100 * time.Millisecond)
		r.publishLists()
		r.answerHold(a, nil)
	}
	require.Len(t, r.maintenances(), 1)
	r.core.OnInstanceOrderAnswer(r.maintenances()[0], DutyDone, r.now)
	r.answerHold(a, nil) // the hold that was pending
	r.tick(50 * time.Millisecond)
	r.answerHold(a, nil) // sent after the platform's answer, so the worker was not restarted
	r.tick(50 * time.Millisecond)
	r.submit(1, 1)
	assert.Len(t, r.confirmStarts(), 1, "the worker takes tasks again")
}

func TestTicketsOfTheAdvisor(t *testing.T) {
	r := newRig(t, 1)
	r.core.catalog.Queues[0].Advisor = &job.AdvisorTiming{TicketValidity: 3 * time.Second}
	a, b := r.worker("a"), r.worker("b")
	r.answerHold(a, nil)
	r.answerHold(b, nil)
	j := r.submit(1, 2)
	require.Len(t, r.out.AdviceQueries, 1)
	q := r.out.AdviceQueries[0]
	assert.Equal(t, string(j.ID)+".0.0", q.Step.String())
	assert.ElementsMatch(t, []WorkerID{a, b}, q.Workers)
	assert.Empty(t, r.out.Starts, "nothing starts without a ticket")
	r.core.OnAdvice(q, Advice{Permits: []Permit{{Worker: b, Ticket: "t-b"}}}, r.now)
	r.core.React(r.now)
	r.collectEffects()
	starts := r.confirmStarts()
	require.Len(t, starts, 2)
	for _, s := range starts {
		assert.Equal(t, b, s.Worker)
		assert.Equal(t, "t-b", s.Ticket)
	}
	r.tick(4 * time.Second)
	r.answerHold(b, nil, RunEnd{Seq: 1, Task: starts[0].Task, Run: starts[0].Run, Kind: EndFailed})
	r.tick(100 * time.Millisecond)
	require.Len(t, r.out.AdviceQueries, 2, "the ticket has expired")
	assert.Equal(t, []WorkerID{b}, r.out.AdviceQueries[1].Workers, "a was denied a permit, which is final")
}

func TestCopyOfASpeculativeTask(t *testing.T) {
	r := newRig(t, 1)
	a, b := r.worker("a"), r.worker("b")
	r.answerHold(a, nil)
	r.answerHold(b, nil)
	j := simpleJob(1, 1)
	j.Steps[0].Speculative = true
	r.core.Submit(j, r.now)
	r.core.React(r.now)
	r.collectEffects()
	first := r.confirmStarts()[0]
	other := a
	if first.Worker == a {
		other = b
	}
	r.failHold(first.Worker)
	r.tick(100 * time.Millisecond)
	r.answerHold(other, nil)
	copies := r.confirmStarts()
	require.Len(t, copies, 1, "a copy starts as soon as the worker is silent")
	assert.Equal(t, other, copies[0].Worker)
	r.answerHold(other, nil, RunEnd{Seq: 1, Task: copies[0].Task, Run: copies[0].Run, Kind: EndDone})
	require.NotEmpty(t, r.out.Stops, "the other run is stopped")
	assert.Equal(t, first.Run, r.out.Stops[0].Run)
}

func TestThrottleOfFillers(t *testing.T) {
	for _, c := range []struct {
		worst   float64
		current int
		want    int
	}{
		{1.2, 100, 50}, {1.2, 50, 25}, {1.2, 10, 0}, {0.8, 40, 40}, {0.5, 40, 60}, {0.5, 90, 100}, {0.5, 100, 100}, {1.2, unknownThrottle, 50},
	} {
		assert.Equal(t, c.want, nextThrottle(c.worst, c.current), "tail %.1f times the target at %d%%", c.worst, c.current)
	}
}

// TestFillersAreThrottledBesideASlowServingTask: fillers are slowed down, and run at full speed
// again when the tail latency is well below its target.
func TestFillersAreThrottledBesideASlowServingTask(t *testing.T) {
	r := newRig(t, 1)
	a := r.worker("a")
	r.answerHold(a, nil)
	j := simpleJob(1, 1)
	j.Steps[0].LongRunning, j.Steps[0].LatencyTarget = true, 100*time.Millisecond
	j.Steps = append(j.Steps, job.Step{Count: 1, Need: job.Resources{CPUMilli: 1000, MemMB: 100}, LongRunning: true, Filler: true})
	r.core.Submit(j, r.now)
	r.core.React(r.now)
	r.collectEffects()
	starts := r.confirmStarts()
	require.Len(t, starts, 2)
	hold := func(tail int) {
		var active []ActiveRun
		for _, s := range starts {
			active = append(active, ActiveRun{Task: s.Task, Run: s.Run, Percent: 100, Usage: tail})
		}
		r.tick(500 * time.Millisecond)
		r.answerHold(a, active)
		r.tick(25 * time.Millisecond)
	}
	hold(200)
	hold(200)
	require.NotEmpty(t, r.out.Throttles)
	assert.Equal(t, 1, r.out.Throttles[0].Task.Step, "the filler, not the serving task")
	assert.Equal(t, 50, r.out.Throttles[0].Percent)
	r.out.Throttles = nil
	for range 6 {
		hold(20)
	}
	require.NotEmpty(t, r.out.Throttles)
	assert.Equal(t, 100, r.out.Throttles[len(r.out.Throttles)-1].Percent)
}

func TestOccurrencesBeginWhenDue(t *testing.T) {
	r := newRig(t, 1)
	a := r.worker("a")
	r.answerHold(a, nil)
	j := simpleJob(1, 1)
	j.Repeat, j.StartAt, j.Interval = 2, r.now.Add(time.Second), 2*time.Second
	r.core.Submit(j, r.now)
	r.tick(900 * time.Millisecond)
	assert.Empty(t, r.out.Starts)
	r.answerHold(a, nil)
	r.tick(200 * time.Millisecond)
	first := r.confirmStarts()
	require.Len(t, first, 1)
	assert.Zero(t, first[0].Task.Occurrence)
	r.answerHold(a, nil, RunEnd{Seq: 1, Task: first[0].Task, Run: first[0].Run, Kind: EndDone})
	r.tick(500 * time.Millisecond)
	assert.Empty(t, r.out.Starts)
	for range 4 {
		r.tick(400 * time.Millisecond)
		r.answerHold(a, nil)
	}
	second := r.confirmStarts()
	require.Len(t, second, 1)
	assert.Equal(t, 1, second[0].Task.Occurrence)
}

// TestLateFailuresOfADoneTask: copies of a speculative task fail after another copy
// completed it.
func TestLateFailuresOfADoneTask(t *testing.T) {
	r := newRig(t, 1)
	a := r.worker("a")
	r.answerHold(a, nil)
	j := simpleJob(1, 2)
	r.core.Submit(j, r.now)
	r.core.React(r.now)
	r.collectEffects()
	s := r.confirmStarts()
	done := s[0]
	r.answerHold(a, nil,
		RunEnd{Seq: 1, Task: done.Task, Run: done.Run, Kind: EndDone},
		RunEnd{Seq: 2, Task: done.Task, Run: done.Run + 100, Kind: EndFailed},
		RunEnd{Seq: 3, Task: done.Task, Run: done.Run + 101, Kind: EndFailed})
	r.core.OnCommitted(r.core.PendingRecords(10), r.now)
	state, _ := r.core.State(j.ID)
	assert.Equal(t, job.Running, state, "failures of copies do not fail a completed task")
}
