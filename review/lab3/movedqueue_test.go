package lab3

import (
	"errors"
	"fmt"
	"time"
)

// Names of the case's services and of its job.
const (
	firstService  = "directory"
	secondService = "giving"
	lastingPath   = "/reindex/"
	otherPath     = "/search/"
	lastingJob    = "5c0e7a21d94b36f8"
	lastingTasks  = 10
	firstWorkers  = 12
	secondWorkers = 9
)

// Planned stops of the daemon that last wrote to the store under a condition, and the time between them.
const (
	stops        = 10
	betweenStops = 3 * time.Second
)

// route returns a route of the configuration.
func route(name, path, service string) object {
	return object{
		"name": name, "host": callerHost, "prefix": path, "kind": "non_idempotent", "timeoutMs": 3000, "targetDurationMs": 2500,
		"priority": 0, "service": service, "maxAttempts": 4, "stretch": 2.2,
	}
}

// configure writes a version of the configuration, as the operator does.
func (s *setting) configure(version int, routes ...object) {
	s.record.log("the operator writes version %d with %d routes", version, len(routes))
	s.store.put("op/config", object{
		"version": version, "routes": routes,
		"services": []object{{"name": firstService, "enforcesCapacity": true}, {"name": secondService, "enforcesCapacity": true}},
		"limits":   object{"maxBodyBytes": 262144},
	})
}

// awaitTasks waits until as many tasks of a step are at work as are to last.
func (s *setting) awaitTasks(jobStep string, want int) error {
	for range 200 {
		total := 0
		for _, n := range s.fleet.countRunning(jobStep) {
			total += n
		}
		if total == want {
			s.record.log("at work: %v", s.fleet.countRunning(jobStep))
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("tasks at work: %v, want %d", s.fleet.countRunning(jobStep), want)
}

// movedQueue plays a job that lasts, whose queue goes to another service while it runs, and daemons that are stopped
// and started in turn.
func movedQueue(s *setting) ([]string, error) {
	zones := []string{"hcm-a", "hcm-b", "hcm-c"}
	for i := range secondWorkers {
		s.fleet.add(fmt.Sprintf("m-%05x", 0xa1400+i), secondService, zones[i%3], fmt.Sprintf("r2-%d", i/4))
	}
	for i := range firstWorkers {
		s.fleet.add(fmt.Sprintf("m-%05x", 0xd0a00+i), firstService, zones[i%3], fmt.Sprintf("r1-%d", i/4))
	}
	job := lastingJob + ".0"
	s.fleet.steps[job] = step{cpu: 2600, memMB: 13_000}
	other := route("r-search", otherPath, firstService)
	s.configure(1, other, route("r-reindex", lastingPath, firstService))
	if err := s.startDaemons(); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	if !s.caller.submit(lastingPath+lastingJob, object{"spec": "reindex", "steps": []object{
		{"count": lastingTasks, "cpu": 2600, "memMb": 13_000, "estimateMs": 900, "longRunning": true, "maxPerServer": 1, "mayMiss": 1},
	}}) {
		return nil, errors.New("the job was not accepted")
	}
	if err := s.awaitTasks(job, lastingTasks); err != nil {
		return nil, err
	}
	s.configure(4, other)
	time.Sleep(3 * time.Second)
	s.configure(7, other, route("r-reindex", lastingPath, secondService))
	time.Sleep(3 * time.Second)
	if !s.fleet.failOne(job) { // a task that lasts may fail at any time
		return nil, errors.New("no task is at work")
	}
	time.Sleep(500 * time.Millisecond)
	if err := s.awaitTasks(job, lastingTasks); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	for range stops {
		if s.trouble {
			if err := s.daemons[s.lastConditional()].restart(); err != nil {
				return nil, err
			}
		}
		time.Sleep(betweenStops)
		s.caller.call("GET", lastingPath+lastingJob, nil)
		if broken := s.fleet.ranTwice(); len(broken) > 0 {
			return broken, nil
		}
	}
	return s.fleet.ranTwice(), nil
}
