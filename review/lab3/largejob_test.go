package lab3

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// The job of the case, and the rack that is lost under it.
const (
	largeJob      = "5c0e7a21d94b36fb"
	largeTasks    = 10_000
	largeDuration = 25 * time.Second
	rackDowntime  = 6 * time.Second
	largeWait     = 30 * time.Second
	rackSize      = 4
	rackWorkers   = 9 // of the service
)

// rackUnderLargeJob plays a job of many small tasks, under which a rack of workers falls silent once.
func rackUnderLargeJob(s *setting) ([]string, error) {
	zones := []string{"hcm-a", "hcm-b", "hcm-c"}
	var machines []string
	for i := range rackWorkers {
		id := fmt.Sprintf("m-%05x", 0xd0a00+i)
		s.fleet.add(id, firstService, zones[i%3], fmt.Sprintf("r1-%d", i/rackSize))
		if i < rackSize {
			machines = append(machines, id)
		}
	}
	s.fleet.steps[largeJob+".0"] = step{cpu: 10, memMB: 8, duration: largeDuration}
	s.configure(1, route("r-search", otherPath, firstService))
	if err := s.startDaemons(); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	if !s.caller.submit(otherPath+largeJob, object{"spec": "search", "steps": []object{
		{"count": largeTasks, "cpu": 10, "memMb": 8, "estimateMs": largeDuration.Milliseconds(), "requiredLabel": "r1-0"},
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
