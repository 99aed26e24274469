package lab3

import (
	"errors"
	"fmt"
	"time"
)

// The late order of the case, and the restart of its worker.
const (
	lateWorkers  = 9
	lateJob      = "5c0e7a21d94b36fc"
	lateDuration = time.Second
	maxLateOrder = 12 * time.Second
	restartDown  = 600 * time.Millisecond
)

// lateStart plays a start that gets no answer and is carried out late, by the next life of its worker.
func lateStart(s *setting) ([]string, error) {
	zones := []string{"hcm-a", "hcm-b", "hcm-c"}
	for i := range lateWorkers {
		s.fleet.add(fmt.Sprintf("m-%05x", 0xd0a00+i), firstService, zones[i%3], fmt.Sprintf("r1-%d", i/4))
	}
	s.fleet.steps[lateJob+".0"] = step{cpu: 2300, memMB: 4700, duration: lateDuration}
	s.configure(1, route("r-search", otherPath, firstService))
	if err := s.startDaemons(); err != nil {
		return nil, err
	}
	time.Sleep(15 * time.Second) // nothing is left to be settled from the beginning
	var reached *worker
	var lost order
	var lostAt time.Time
	s.fleet.mu.Lock()
	s.fleet.losesStart = func(w *worker, o order) bool {
		if !s.trouble || reached != nil && (w != reached || o.Run != lost.Run) {
			return false
		}
		if reached == nil {
			reached, lost, lostAt = w, o, time.Now()
		}
		s.record.log("start of %s run %d gets no answer from worker %s", o.Task, o.Run, w.id)
		return true
	}
	s.fleet.mu.Unlock()
	if !s.caller.submit(otherPath+lateJob, object{"spec": "search", "steps": []object{{"count": 1, "cpu": 2300, "memMb": 4700, "estimateMs": lateDuration.Milliseconds()}}}) {
		return nil, errors.New("the job was not accepted")
	}
	if err := s.awaitNoted(lateJob + ".0.0.0"); err != nil {
		return nil, err
	}
	if s.trouble {
		s.fleet.restart(reached, restartDown, func() {
			late := time.Since(lostAt)
			if late > maxLateOrder {
				s.record.log("the start would be carried out %s late, which is too late", late)
				return
			}
			status, body := s.fleet.carryOutStart(reached, lost)
			s.record.log("the lost start of %s run %d is carried out %s late on worker %s: %d %v", lost.Task, lost.Run, late.Round(time.Millisecond), reached.id, status, body)
		})
	}
	time.Sleep(5 * time.Second)
	s.caller.call("GET", otherPath+lateJob, nil)
	return s.fleet.ranTwice(), nil
}

// awaitNoted waits until an end done of the task was taken note of.
func (s *setting) awaitNoted(task string) error {
	for range 400 {
		s.fleet.mu.Lock()
		noted := s.fleet.noted[task]
		s.fleet.mu.Unlock()
		if noted {
			return nil
		}
		time.Sleep(25 * time.Millisecond)
	}
	return fmt.Errorf("no end of %s was taken note of", task)
}
