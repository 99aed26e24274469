package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// The crashes of the case: of nine workers one after the other goes down, and comes back.
const (
	crashWorkers  = 9
	crashCount    = crashWorkers // each once
	crashGap      = time.Second
	crashDowntime = 900 * time.Millisecond
	firstJobs     = 6
	jobsPerCrash  = 2 // jobs that are handed in between two crashes
	taskDuration  = 3 * time.Second
	crashPath     = "/search/"
)

// crashesByTurns plays short jobs on workers that crash by turns. No task ends as failed, and none has to do with a
// crash, so that no job may be shown as failed.
func crashesByTurns(s *setting) ([]string, error) {
	zones := []string{"hcm-a", "hcm-b", "hcm-c"}
	for i := range crashWorkers {
		s.fleet.add(fmt.Sprintf("m-%05x", 0xd0a00+i), firstService, zones[i%3], fmt.Sprintf("r1-%d", i/4))
	}
	s.configure(1, route("r-search", crashPath, firstService))
	if err := s.startDaemons(); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	var jobs []string
	submit := func(n int) {
		for range n {
			id := fmt.Sprintf("%016x", 0x7a21d94b00+len(jobs))
			s.fleet.mu.Lock()
			s.fleet.steps[id+".0"] = step{cpu: 2600, memMB: 4000, duration: taskDuration}
			s.fleet.mu.Unlock()
			if s.caller.submit(crashPath+id, object{"spec": "search", "steps": []object{
				{"count": 1, "cpu": 2600, "memMb": 4000, "estimateMs": taskDuration.Milliseconds()},
			}}) {
				jobs = append(jobs, id)
			}
		}
	}
	submit(firstJobs)
	time.Sleep(time.Second)
	next := time.Now()
	for k := range crashCount {
		if s.trouble {
			s.fleet.crash(fmt.Sprintf("m-%05x", 0xd0a00+k%crashWorkers), crashDowntime)
		}
		submit(jobsPerCrash)
		next = next.Add(crashGap)
		time.Sleep(time.Until(next))
	}
	time.Sleep(14 * time.Second)
	return s.failedJobs(crashPath, jobs)
}

// failedJobs returns the jobs that are shown as failed although no task of any job has ended so, and says of those
// that are not completed.
func (s *setting) failedJobs(path string, jobs []string) ([]string, error) {
	var broken []string
	states := map[string]int{}
	for _, id := range jobs {
		var answer struct{ State string }
		for range callRetries {
			status, raw := s.caller.call(http.MethodGet, path+id, nil)
			if status == http.StatusOK && json.Unmarshal(raw, &answer) == nil {
				break
			}
			time.Sleep(retryPause)
		}
		states[answer.State]++
		if answer.State == "failed" {
			broken = append(broken, "job "+id+" is shown as failed")
		}
	}
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	s.record.log("%d jobs accepted, by state: %v; %d runs ended as failed", len(jobs), states, s.fleet.fails)
	if s.fleet.fails > 0 {
		return nil, fmt.Errorf("%d runs ended as failed", s.fleet.fails)
	}
	return broken, nil
}
