package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/jobs/job"
)

// fuzzedWorkers is the number of workers of FuzzWorkerEvents, in as many zones.
const fuzzedWorkers = 3

// fuzzedWorker is what the test knows about a worker.
type fuzzedWorker struct {
	reg     Registration
	clockMs int64
	active  []ActiveRun
	ended   []RunEnd
	lastSeq uint64
}

// FuzzWorkerEvents feeds an owner with pairs of bytes, an event and its argument: workers that start
// again under their id, with start times that go back or are missing; clocks of workers that go back;
// late and lost answers; zones that are evacuated and taken back. The owner must not panic, start
// a task in an evacuated zone, address an incarnation that no worker reported, or use a run number
// twice for different starts.
func FuzzWorkerEvents(f *testing.F) {
	f.Add([]byte{0, 0, 0, 1, 9, 3, 5, 0, 6, 0, 9, 1, 1, 0, 5, 0, 9, 200})     // a worker starts again
	f.Add([]byte{0, 0, 9, 2, 2, 0, 9, 1, 5, 0, 3, 0, 5, 0, 9, 100})           // start times go back, then are missing
	f.Add([]byte{0, 0, 0, 1, 9, 2, 4, 0, 5, 0, 4, 255, 5, 0, 9, 50, 6, 0})    // a worker's clock goes back
	f.Add([]byte{0, 0, 0, 1, 0, 2, 7, 1, 9, 5, 7, 7, 9, 5, 7, 0, 9, 5})       // evacuations, all zones, taken back
	f.Add([]byte{0, 0, 9, 1, 8, 0, 9, 100, 8, 0, 1, 0, 5, 0, 9, 255, 9, 255}) // lost answers
	f.Fuzz(func(t *testing.T, events []byte) {
		const maxEvents = 200
		now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
		catalog := &job.Catalog{Queues: []job.Queue{{Name: "q", Service: "s", MaxAttempts: 3}}, Services: []job.Service{{Name: "s"}}}
		c := New(Options{Term: 2, TaskLease: rigLease, HoldWait: 500 * time.Millisecond, StatusRetention: time.Minute}, catalog, nil, now)
		workers := make([]*fuzzedWorker, fuzzedWorkers)
		for i := range workers {
			id := WorkerID(fmt.Sprint("w", i))
			workers[i] = &fuzzedWorker{clockMs: 1000, reg: Registration{Worker: id, Service: "s", Addr: string(id), Zone: fmt.Sprint("z", i), Capacity: job.Resources{CPUMilli: 4000, MemMB: 4000}}}
		}
		c.Submit(simpleJob(1, 5), now)
		evacuated := map[string]bool{}
		reported := map[Target]bool{} // worker and start time
		starts := map[string]Target{}
		var open []Start
		for n := 0; n+1 < len(events) && n < 2*maxEvents; n += 2 {
			arg := events[n+1]
			w := workers[int(arg)%fuzzedWorkers]
			size := int64(arg) / fuzzedWorkers
			switch events[n] % 10 {
			case 0: // registers
				reported[Target{Worker: w.reg.Worker, StartedMs: w.reg.StartedMs}] = true
				c.UpdateRegistrations([]Registration{w.reg}, nil, true, now)
			case 1: // starts again
				w.reg.StartedMs += 1 + size
				w.active, w.ended, w.lastSeq = nil, nil, 0
			case 2: // starts again, its clock went back
				w.reg.StartedMs = max(0, w.reg.StartedMs-1-size)
				w.active, w.ended, w.lastSeq = nil, nil, 0
			case 3: // starts again and reports no start time
				w.reg.StartedMs = 0
				w.active = nil
			case 4: // its clock jumps
				w.clockMs += 200 * (size - 42) // a byte's third, back or forth
			case 5: // answers a hold
				reported[Target{Worker: w.reg.Worker, StartedMs: w.reg.StartedMs}] = true
				c.OnHoldAnswer(Target{Worker: w.reg.Worker, StartedMs: w.reg.StartedMs}, HoldAnswer{
					Answer: Answer{Outcome: Accepted, ClockMs: w.clockMs}, StartedMs: w.reg.StartedMs, Active: w.active, Ends: w.ended,
				}, now)
			case 6: // a run ends
				if len(w.active) > 0 {
					w.lastSeq++
					w.ended = append(w.ended, RunEnd{Seq: w.lastSeq, Task: w.active[0].Task, Run: w.active[0].Run, Kind: EndKind(size % 3)})
					w.active = w.active[1:]
				}
			case 7: // zones are evacuated
				clear(evacuated)
				var zones []string
				for i, w := range workers {
					if arg&(1<<i) != 0 {
						evacuated[w.reg.Zone] = true
						zones = append(zones, w.reg.Zone)
					}
				}
				c.SetEvacuatedZones(zones)
			case 8: // an answer is lost
				if len(open) > 0 {
					c.OnStartAnswer(open[0], Answer{Outcome: Unanswered}, now)
					open = open[1:]
				}
			case 9: // time passes
				now = now.Add(time.Duration(arg) * 20 * time.Millisecond)
				for _, w := range workers {
					w.clockMs += int64(arg) * 20
				}
			}
			c.Tick(now)
			for _, s := range c.TakeEffects().Starts {
				zone := workers[int(s.Worker[1]-'0')].reg.Zone
				require.False(t, evacuated[zone], "start in evacuated zone %s", zone)
				require.True(t, reported[Target{Worker: s.Worker, StartedMs: s.StartedMs}], "start of incarnation %d of %s", s.StartedMs, s.Worker)
				id := fmt.Sprint(s.Task, s.Run)
				used, found := starts[id]
				same := used.Worker == s.Worker && (used.StartedMs == s.StartedMs || used.StartedMs == 0 || s.StartedMs == 0) // 0: not reported
				require.True(t, !found || same, "run %d of %s on %v and %v", s.Run, s.Task, used, s.Target)
				starts[id] = s.Target
				open = append(open, s)
			}
			for len(open) > 0 && events[n]%10 == 5 { // the starts so far are answered
				s := open[0]
				open = open[1:]
				on := workers[int(s.Worker[1]-'0')]
				if s.StartedMs != on.reg.StartedMs {
					c.OnStartAnswer(s, Answer{Outcome: OtherIncarnation}, now)
					continue
				}
				on.active = append(on.active, ActiveRun{Task: s.Task, Run: s.Run})
				c.OnStartAnswer(s, Answer{Outcome: Accepted, ClockMs: on.clockMs}, now)
			}
		}
	})
}
