package owner

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/job"
)

// These tests guard against a new owner that lets leases expire because it has a long queue. If it
// considers all 1,400 inherited jobs again at each answer of its 350 workers, that takes 2 ms
// an answer and 84% of its CPU. Answers are then read after their holds have timed out, holds are
// repeated, and leases of the previous owner expire in the meantime.
//
// The tests model the owner's CPU: each event takes time, events wait for each other, and a hold
// times out if its answer is not read before the hold's deadline.

// CPU costs, measured on 0.8 of a core: a call to a worker on a new connection, and considering
// one job for placement.
const (
	callCost     = 300 * time.Microsecond
	considerCost = 1800 * time.Nanosecond
)

// Timing of the daemon around the core, as in package node.
const (
	daemonTick         = 25 * time.Millisecond
	daemonHoldTimeout  = 300 * time.Millisecond // timeout of a hold beyond its Wait
	daemonListInterval = 400 * time.Millisecond // between reads of the registrations
	busyTaskLease      = 4500 * time.Millisecond
	roundTrip          = 4 * time.Millisecond
)

// busyFleet simulates an owner that is short of CPU, and its workers.
type busyFleet struct {
	core      *Core
	startedAt time.Time
	freeAt    time.Time // when the CPU is free again
	workers   map[WorkerID]*busyWorker
	pending   []busyEvent
	lapsed    int // runs that ended because their lease had expired
}

type busyWorker struct {
	leaseEnd time.Time
	runs     []ActiveRun
	ends     []RunEnd
}

// busyEvent is an event that waits for the CPU.
type busyEvent struct {
	at       time.Time // when it occurs
	deadline time.Time // timeout of a hold; zero: none
	handle   func(now time.Time, late bool)
}

const (
	busyWorkers = 350
	busyJobs    = 1400
	busySteps   = 15 // long-running
)

func newBusyFleet() *busyFleet {
	f := &busyFleet{startedAt: time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC), workers: map[WorkerID]*busyWorker{}}
	f.freeAt = f.startedAt
	catalog := &job.Catalog{
		Queues:   []job.Queue{{Name: "q", Service: "s", MaxAttempts: 3, ObjectiveFactor: 1.6, ObjectiveOffset: 600 * time.Millisecond}},
		Services: []job.Service{{Name: "s"}},
	}
	opt := Options{Term: 4, TaskLease: busyTaskLease, HoldWait: 900 * time.Millisecond, DutyHandover: 3 * time.Second, StatusRetention: time.Minute}
	f.core = New(opt, catalog, f.jobs(), f.startedAt)
	f.placeRuns()
	return f
}

// jobs returns the jobs in the store: many waiting ones, and some long-running ones.
func (f *busyFleet) jobs() []StoredJob {
	var out []StoredJob
	for n := range busyJobs {
		j := simpleJob(n+1, 8)
		j.AcceptedAt = f.startedAt.Add(-time.Duration(busyJobs-n) * 4 * time.Millisecond)
		out = append(out, StoredJob{Job: j})
	}
	for n := range busySteps {
		j := simpleJob(busyJobs+n+1, 24)
		j.Steps[0].LongRunning = true
		j.Steps[0].MayMiss = 5
		out = append(out, StoredJob{Job: j})
	}
	return out
}

// placeRuns gives the workers the runs that the previous owner started. Their leases were
// renewed within the last second, evenly spread.
func (f *busyFleet) placeRuns() {
	for n := range busyWorkers {
		age := time.Duration(n) * time.Second / busyWorkers
		f.workers[busyID(n)] = &busyWorker{leaseEnd: f.startedAt.Add(busyTaskLease - age)}
	}
	for n := range busySteps * 24 {
		id := job.TaskID{Job: simpleJob(busyJobs+n/24+1, 1).ID, Index: n % 24}
		w := f.workers[busyID(n%busyWorkers)]
		w.runs = append(w.runs, ActiveRun{Task: id, Run: 3*runsPerTerm + uint64(n), Percent: 100})
	}
	for n := range busyWorkers * 4 { // ends that the previous owner has not stored
		w := f.workers[busyID(n%busyWorkers)]
		task := job.TaskID{Job: simpleJob(n/8+1, 1).ID, Index: n % 8}
		w.ends = append(w.ends, RunEnd{Seq: uint64(len(w.ends) + 1), Task: task, Run: 3*runsPerTerm + 1000 + uint64(n), Kind: EndDone})
	}
}

func busyID(n int) WorkerID { return WorkerID(fmt.Sprintf("w%03d", n)) }

func (f *busyFleet) publishLists(now time.Time) {
	var regs []Registration
	var inst []Instance
	for n := range busyWorkers {
		regs = append(regs, Registration{Worker: busyID(n), Service: "s", Addr: string(busyID(n)), Capacity: job.Resources{CPUMilli: 32000, MemMB: 128000}})
		inst = append(inst, Instance{ID: InstanceID("i-" + busyID(n)), Pool: "s", State: InstanceUp, Worker: busyID(n)})
	}
	f.core.SetRegistrations(regs, now)
	f.core.OnInstances(inst, now)
}

// every queues an event for each period up to end.
func (f *busyFleet) every(d, end time.Duration, do func(now time.Time)) {
	for at := time.Duration(0); at < end; at += d {
		f.pending = append(f.pending, busyEvent{at: f.startedAt.Add(at), handle: func(now time.Time, _ bool) { do(now) }})
	}
}

// run simulates the owner for d.
func (f *busyFleet) run(d time.Duration) {
	f.every(daemonListInterval, d, f.publishLists)
	f.every(daemonTick, d, f.core.Tick)
	for end := f.startedAt.Add(d); ; {
		e, now := f.next()
		if now.After(end) {
			break
		}
		before := f.core.counts.JobsConsidered
		e.handle(now, !e.deadline.IsZero() && now.After(e.deadline))
		f.core.React(now)
		cost := time.Duration(f.core.counts.JobsConsidered-before) * considerCost
		f.freeAt = now.Add(cost)
		f.send(f.core.TakeEffects())
		f.core.TakeDecisions()
	}
	for _, w := range f.workers {
		f.expireLease(w, f.startedAt.Add(d))
	}
}

// next removes the earliest event, and returns it with the time at which the CPU handles it.
func (f *busyFleet) next() (busyEvent, time.Time) {
	first := 0
	for i, e := range f.pending {
		if e.at.Before(f.pending[first].at) {
			first = i
		}
	}
	e := f.pending[first]
	f.pending = slices.Delete(f.pending, first, first+1)
	if e.at.After(f.freeAt) {
		return e, e.at
	}
	return e, f.freeAt
}

// send makes the calls, each at its CPU cost.
func (f *busyFleet) send(e Effects) {
	sent := f.freeAt
	for _, h := range e.Holds {
		f.freeAt = f.freeAt.Add(callCost)
		f.hold(h, f.freeAt, sent.Add(h.Wait+daemonHoldTimeout))
	}
	for _, o := range e.Starts {
		f.freeAt = f.freeAt.Add(callCost)
		f.pending = append(f.pending, busyEvent{at: f.freeAt.Add(roundTrip), handle: func(now time.Time, _ bool) {
			f.core.OnStartAnswer(o, Answer{Outcome: Accepted, ClockMs: f.clockMs(now)}, now)
		}})
	}
}

func (f *busyFleet) clockMs(now time.Time) int64 {
	return rigClockMs + now.Sub(f.startedAt).Milliseconds()
}

// hold renews the worker's lease unless it has expired, and answers after the hold's Wait.
func (f *busyFleet) hold(h Hold, at, deadline time.Time) {
	w := f.workers[h.Worker]
	if len(w.ends) > 0 {
		h.Wait = 0
	}
	answered := at.Add(h.Wait)
	f.pending = append(f.pending, busyEvent{at: answered.Add(roundTrip), deadline: deadline, handle: func(now time.Time, late bool) {
		if late {
			f.core.OnHoldAnswer(h.Target, HoldAnswer{Answer: Answer{Outcome: Unanswered}}, now)
			return
		}
		f.core.OnHoldAnswer(h.Target, HoldAnswer{Answer: Answer{Outcome: Accepted, ClockMs: f.clockMs(answered)}, Active: w.runs, Ends: w.ends}, now)
	}})
	f.expireLease(w, at)
	until := f.startedAt.Add(time.Duration(h.LeaseUntilMs-rigClockMs) * time.Millisecond)
	if h.LeaseUntilMs != 0 && until.After(w.leaseEnd) {
		w.leaseEnd = until
	}
}

// expireLease ends the runs of a worker whose lease has expired by now.
func (f *busyFleet) expireLease(w *busyWorker, now time.Time) {
	if now.After(w.leaseEnd) {
		f.lapsed += len(w.runs)
		w.runs = nil
	}
}

// TestATakeoverKeepsLeases: no lease of a healthy worker expires while a new owner that is
// short of CPU takes over a fleet with a long queue.
func TestATakeoverKeepsLeases(t *testing.T) {
	f := newBusyFleet()
	f.run(6 * time.Second)
	assert.Zero(t, f.lapsed, "long-running tasks ended because their leases were not renewed")
	confirmed := 0
	for _, w := range f.core.workers {
		if w.answeredThisOwner {
			confirmed++
		}
	}
	require.Equal(t, busyWorkers, confirmed)
}

// TestTakeoverDoesNotScanTheQueuePerAnswer: while inherited jobs have to wait for workers,
// they are not considered again at each answer.
func TestTakeoverDoesNotScanTheQueuePerAnswer(t *testing.T) {
	f := newBusyFleet()
	f.publishLists(f.startedAt)
	f.core.Tick(f.startedAt)
	now := f.startedAt
	for n := range busyWorkers - 1 { // one does not answer
		now = now.Add(time.Millisecond)
		f.core.OnHoldAnswer(Target{Worker: busyID(n)}, HoldAnswer{Answer: Answer{Outcome: Accepted, ClockMs: f.clockMs(now)}}, now)
		f.core.React(now)
	}
	scans := f.core.counts.JobsConsidered / busyJobs
	assert.LessOrEqual(t, scans, int64(now.Sub(f.startedAt)/daemonTick), "scans of the whole queue, at most one per tick")
}

// BenchmarkTakeover measures the CPU time that Core uses in the first second of such a takeover.
func BenchmarkTakeover(b *testing.B) {
	for b.Loop() {
		f := newBusyFleet()
		f.run(time.Second)
	}
}

// TestEndedWorkersAreHeldLessOften guards against wasted holds after a takeover. Workers that were
// moved or maintained stay registered for some seconds, although the instance list no longer
// shows them. When each was retried every 150 ms, half of the holds of a new owner failed.
func TestEndedWorkersAreHeldLessOften(t *testing.T) {
	r := newRig(t, 2)
	r.worker("a")
	r.regs = append(r.regs, Registration{Worker: "ended", Service: "s", Addr: "ended"})
	r.publishLists()
	holds := map[WorkerID]int{}
	for range 3 * time.Second / (25 * time.Millisecond) {
		for _, h := range r.out.Holds {
			holds[h.Worker]++
			r.failHold(h.Worker)
		}
		r.out.Holds = nil
		r.tick(25 * time.Millisecond)
	}
	assert.LessOrEqual(t, holds["ended"], 5)
	assert.GreaterOrEqual(t, holds["a"], 12, "a listed worker is retried at once")
}
