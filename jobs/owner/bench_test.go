package owner

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/postmount/postmount/jobs/capacity"
	"github.com/postmount/postmount/jobs/job"
)

// load drives a core through a day of a grown fleet in virtual time: workers
// answer at once, tasks end when their time is over, and a hold returns at an
// end. What it costs is the core's processor time alone.
type load struct {
	core   *Core
	now    time.Time
	begin  time.Time
	events eventHeap
	rand   *rand.Rand
	fleet  map[WorkerID]*loadWorker
	regs   []Registration
	inst   []Instance
	next   int
	done   int
}

type loadWorker struct {
	reg    Registration
	active map[job.TaskID]ActiveRun
	ends   []End
	number uint64
	held   bool // a hold waits for an end
	holds  int
}

type loadEvent struct {
	at time.Time
	do func()
}

type eventHeap []loadEvent

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(a, b int) bool { return h[a].at.Before(h[b].at) }
func (h eventHeap) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }
func (h *eventHeap) Push(e any)        { *h = append(*h, e.(loadEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// Sizes of the load: those of the grown fleets at the peak of their traffic.
const (
	loadServices      = 4
	loadWorkers       = 88 // of each service
	loadJobsPerSecond = 85
	loadTaskTime      = 700 * time.Millisecond
)

func newLoad() *load {
	l := &load{now: time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC), rand: rand.New(rand.NewPCG(1, 2)), fleet: map[WorkerID]*loadWorker{}}
	l.begin = l.now
	catalog := &job.Catalog{Services: []job.Service{{Name: "spare", Spare: true}}}
	for s := range loadServices {
		name := fmt.Sprintf("s%d", s)
		catalog.Queues = append(catalog.Queues, job.Queue{Name: name, Service: name, MaxAttempts: 3, Stretch: 1.6, Objective: time.Second})
		catalog.Services = append(catalog.Services, job.Service{Name: name})
		for w := range loadWorkers {
			id := WorkerID(fmt.Sprintf("w%d-%d", s, w))
			reg := Registration{Worker: id, Service: name, Addr: string(id), Rack: fmt.Sprintf("r%d", w/20), Room: job.Resources{CPUMilli: 32000, MemMB: 64000}}
			l.fleet[id] = &loadWorker{reg: reg, active: map[job.TaskID]ActiveRun{}}
			l.regs = append(l.regs, reg)
			l.inst = append(l.inst, Instance{ID: InstanceID("i-" + string(id)), Pool: name, State: InstanceUp, Worker: id})
		}
	}
	l.core = New(Options{Term: 1, TaskLease: 4500 * time.Millisecond, HoldWait: 900 * time.Millisecond, KeepStatus: 2 * time.Minute, Weights: capacity.DefaultWeights, Pools: capacity.Demand, Order: OrderByWorth}, catalog, nil, l.now)
	l.at(0, l.list)
	l.at(0, l.tick)
	l.at(time.Second, l.arrive)
	return l
}

func (l *load) at(after time.Duration, do func()) {
	heap.Push(&l.events, loadEvent{l.now.Add(after), do})
}

// run plays until the given time since the beginning.
func (l *load) run(until time.Duration) {
	for l.events.Len() > 0 {
		e := heap.Pop(&l.events).(loadEvent)
		if e.at.Sub(l.begin) > until {
			return
		}
		l.now = e.at
		e.do()
		l.core.React(l.now)
		l.dispatch(l.core.Take())
		l.core.TakeDecisions()
	}
}

func (l *load) list() {
	l.core.Register(l.regs, l.now)
	l.core.OnInstances(l.inst, l.now)
	l.at(400*time.Millisecond, l.list)
}

func (l *load) tick() {
	l.core.Tick(l.now)
	if records := l.core.Uncommitted(29); len(records) > 0 {
		l.core.Committed(records, l.now)
	}
	l.at(25*time.Millisecond, l.tick)
}

func (l *load) arrive() {
	l.next++
	service := fmt.Sprintf("s%d", l.next%loadServices)
	width := 4 + l.rand.IntN(9)
	step := job.Step{Count: width, Need: job.Resources{CPUMilli: 4000 + l.rand.IntN(16000), MemMB: 1000 + l.rand.IntN(6000)}, Estimate: loadTaskTime, Speculative: l.rand.IntN(10) < 3}
	j := &job.Job{ID: job.ID(fmt.Sprintf("%016x", l.next)), Queue: service, Service: service, Steps: []job.Step{step, step}, AcceptedAt: l.now}
	j.Steps[1].After = []int{0}
	l.core.Submit(j, l.now)
	l.at(time.Second/loadJobsPerSecond, l.arrive)
}

func (l *load) dispatch(e Effects) {
	for _, s := range e.Starts {
		l.at(2*time.Millisecond, func() { l.start(s) })
	}
	for _, s := range e.Stops {
		l.at(2*time.Millisecond, func() { l.core.OnStopped(s, Answer{Outcome: Taken, Clock: l.clock()}, l.now) })
	}
	for _, h := range e.Holds {
		w := l.fleet[h.Worker]
		w.held = true
		w.holds++
		mine := w.holds
		if len(w.ends) > 0 || h.Wait == 0 {
			l.at(2*time.Millisecond, func() { l.answer(h.Worker, mine) })
			continue
		}
		l.at(h.Wait, func() { l.answer(h.Worker, mine) })
	}
	for _, o := range e.Instances {
		l.core.OnInstanceOrder(o, DutyRefused, l.now)
	}
}

func (l *load) clock() int64 { return 1000 + l.now.Sub(l.begin).Milliseconds() }

func (l *load) start(s Start) {
	w := l.fleet[s.Worker]
	w.active[s.Task] = ActiveRun{Task: s.Task, Run: s.Run}
	l.core.OnStarted(s, Answer{Outcome: Taken, Clock: l.clock()}, l.now)
	took := time.Duration(float64(loadTaskTime) * (0.5 + l.rand.Float64()))
	l.at(took, func() {
		w.number++
		w.ends = append(w.ends, End{Number: w.number, Task: s.Task, Run: s.Run, Kind: EndDone})
		delete(w.active, s.Task)
		l.done++
		if w.held {
			l.answer(s.Worker, w.holds)
		}
	})
}

func (l *load) answer(id WorkerID, hold int) {
	w := l.fleet[id]
	if !w.held || hold != w.holds {
		return
	}
	w.held = false
	h := Held{Answer: Answer{Outcome: Taken, Clock: l.clock()}, Ends: w.ends}
	w.ends = nil
	for _, a := range w.active {
		a.Percent = min(99, a.Percent+10)
		w.active[a.Task] = a
		h.Active = append(h.Active, a)
	}
	l.core.OnHeld(id, h, l.now)
}

// BenchmarkGrownFleet reports the core's processor time for one second of a
// grown fleet at the peak of its traffic.
func BenchmarkGrownFleet(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		l := newLoad()
		l.run(5 * time.Second)
		before, began := l.done, time.Now()
		l.run(15 * time.Second)
		b.ReportMetric(float64(time.Since(began).Milliseconds())/10, "ms/fleet-second")
		b.ReportMetric(float64(l.done-before)/10, "tasks/fleet-second")
	}
}
