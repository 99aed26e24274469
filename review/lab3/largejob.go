package main

import (
	"errors"
	"fmt"
	"time"
)

// The job of the case, and the rack that is lost under it.
const (
	largeJob      = "5c0e7a21d94b36fb"
	largeTasks    = 10_000
	largeDuration = 25 * time.Second
	rackDowntime  = 6 * time.Second
	largeWait     = 30 * time.Second
)

// rackUnderLargeJob plays a job of many small tasks, under which a rack of workers falls silent once.
func rackUnderLargeJob(s *setting) ([]string, error) {
	zones := []string{"hcm-a", "hcm-b", "hcm-c"}
	var machines []string
	for i := range 4 {
		machines = append(machines, fmt.Sprintf("m-%05x", 0xd0a00+i))
		s.fleet.add(machines[i], firstService, zones[i%3], "r1-0")
	}
	s.fleet.steps[largeJob+".0"] = step{cpu: 10, memMB: 8, duration: largeDuration}
	s.configure(1, route("r-search", otherPath, firstService))
	if err := s.startDaemons(); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	if !s.caller.submit(otherPath+largeJob, object{"spec": "search", "steps": []object{
		{"count": largeTasks, "cpu": 10, "memMb": 8, "estimateMs": largeDuration.Milliseconds()},
	}}) {
		return nil, errors.New("the job was not accepted")
	}
	if err := s.awaitTasks(largeJob+".0", largeTasks); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	if s.trouble {
		for _, m := range machines {
			s.fleet.crash(m, rackDowntime)
		}
	}
	time.Sleep(largeWait)
	return s.failedJobs(otherPath, []string{largeJob})
}
