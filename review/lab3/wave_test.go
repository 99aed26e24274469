package lab3

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// The wave of the case names the four machines of one service, of 24 in all, with at most four at once.
const (
	waveWorkers  = 4
	otherWorkers = 20 // of a service whose job has a task on each
	waveAtOnce   = 4
	waveTasks    = 8 // of the job that lasts, two on each worker
	waveMayMiss  = 1
	waveWithin   = 27 * time.Second
	waveWatch    = 40 * time.Second
	maxIdle      = 9 * time.Second // 6 s after its last run, and 3 s
	waveLasting  = "5c0e7a21d94b36f9"
	waveOrdinary = "5c0e7a21d94b36fa"
	otherLasting = "5c0e7a21d94b36fb"
	thirdPath    = "/feed/"
)

// waveOfAService plays a wave of upkeep of all machines of a service, on which a job that lasts is at work.
func waveOfAService(s *setting) ([]string, error) {
	zones := []string{"hcm-a", "hcm-b", "hcm-c"}
	var machines []string
	for i := range waveWorkers {
		machines = append(machines, fmt.Sprintf("m-%05x", 0xd0a00+i))
		s.fleet.add(machines[i], firstService, zones[i%3], "r1-0")
	}
	for i := range otherWorkers {
		s.fleet.add(fmt.Sprintf("m-%05x", 0xa1400+i), secondService, zones[i%3], fmt.Sprintf("r2-%d", i/4))
	}
	s.fleet.steps[waveLasting+".0"] = step{cpu: 1000, memMB: 2000}
	s.fleet.steps[waveOrdinary+".0"] = step{cpu: 1000, memMB: 2000, duration: time.Second}
	s.fleet.steps[otherLasting+".0"] = step{cpu: 24_000, memMB: 90_000}
	s.configure(1, route("r-reindex", lastingPath, firstService), route("r-search", otherPath, firstService), route("r-feed", thirdPath, secondService))
	if err := s.startDaemons(); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	if !s.caller.submit(thirdPath+otherLasting, object{"spec": "feed", "steps": []object{
		{"count": otherWorkers, "cpu": 24_000, "memMb": 90_000, "estimateMs": 900, "longRunning": true, "mayMiss": waveMayMiss},
	}}) {
		return nil, errors.New("the job of the other service was not accepted")
	}
	if err := s.awaitTasks(otherLasting+".0", otherWorkers); err != nil {
		return nil, err
	}
	if !s.caller.submit(lastingPath+waveLasting, object{"spec": "reindex", "steps": []object{
		{"count": waveTasks, "cpu": 1000, "memMb": 2000, "estimateMs": 900, "longRunning": true, "mayMiss": waveMayMiss},
	}}) {
		return nil, errors.New("the job was not accepted")
	}
	if err := s.awaitTasks(waveLasting+".0", waveTasks); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	if s.trouble {
		s.record.log("the operator asks for a wave of %v, %d at once", machines, waveAtOnce)
		s.store.put("op/wave/1", object{"wave": 1, "machines": machines, "withinS": waveWithin.Seconds(), "maxCount": waveAtOnce})
	}
	time.Sleep(5 * time.Second)
	if !s.caller.submit(otherPath+waveOrdinary, object{"spec": "search", "steps": []object{{"count": 1, "cpu": 1000, "memMb": 2000, "estimateMs": 1000}}}) {
		return nil, errors.New("the second job was not accepted")
	}
	accepted := time.Now()
	var broken []string
	seen := map[string]bool{}
	for end := time.Now().Add(waveWatch); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		broken = append(broken, s.fleet.idleTasks(waveLasting, waveTasks, seen)...)
		if !seen[waveOrdinary] && time.Since(accepted) > maxIdle && !s.fleet.hasRun(waveOrdinary+".0.0.0") {
			seen[waveOrdinary] = true
			broken = append(broken, fmt.Sprintf("LOST: job %s was accepted %s ago and nothing of it has run, with room for it", waveOrdinary, maxIdle))
		}
	}
	s.caller.call(http.MethodGet, otherPath+waveOrdinary, nil)
	s.caller.call(http.MethodGet, lastingPath+waveLasting, nil)
	s.record.log("status of the wave: %s; machines: %s", s.store.get("status/wave/1"), s.fleet.describe())
	return broken, nil
}

// idleTasks returns the tasks of a job that lasts which have not run for maxIdle although all workers have been up
// meanwhile, do not drain and have room. Tasks in seen are left out.
func (f *fleet) idleTasks(job string, tasks int, seen map[string]bool) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for i := range tasks {
		task := fmt.Sprintf("%s.0.0.%d", job, i)
		if len(f.running[task]) > 0 || seen[task] || time.Since(f.lastRun[task]) <= maxIdle {
			continue
		}
		if rooms := f.roomSince(time.Now().Add(-maxIdle)); rooms >= 2 {
			seen[task] = true
			out = append(out, fmt.Sprintf("LOST: task %s has not run for %s, and %d workers that were up all the while have under half of their capacity in use", task, maxIdle, rooms))
		}
	}
	return out
}

// roomSince counts the workers of the service that have been up since a time and use under half of their capacity. The caller holds mu.
func (f *fleet) roomSince(since time.Time) int {
	n := 0
	for _, m := range f.machines {
		if m.pool != firstService || m.state != "up" || m.worker.dead || m.worker.born.After(since) {
			continue
		}
		cpu := 0
		for _, r := range m.worker.active {
			cpu += r.step.cpu
		}
		if 2*cpu < m.cpu {
			n++
		}
	}
	return n
}

// hasRun reports whether a task has run or runs.
func (f *fleet) hasRun(task string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.running[task]) > 0 || !f.lastRun[task].IsZero()
}

// describe returns the states of the machines and how many tasks are at work on each.
func (f *fleet) describe() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := ""
	for _, id := range f.sortedMachines() {
		m := f.machines[id]
		out += fmt.Sprintf("%s %s with %d tasks; ", id, m.state, len(m.worker.active))
	}
	return out
}
