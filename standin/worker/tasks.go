package worker

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/postmount/postmount/adapter/workerhttp"
	"github.com/postmount/postmount/requests/fleet"
)

// taskID identifies a job; a worker runs at most one attempt of it at a time.
type taskID struct{ pool, job string }

type task struct {
	msg   workerhttp.TaskMessage
	ends  time.Time // when it is done
	lease time.Time // when it is stopped unless its lease is renewed
	state fleet.TaskState
}

// usagePercent is the CPU and memory that a task uses, in percent of what it declares. In practice
// declared sizes differ a lot from the use.
const usagePercent = 60

// serveTasks serves a call of the task API: it applies the orders and answers with the
// worker's tasks.
func (w *Worker) serveTasks(rw http.ResponseWriter, r *http.Request) {
	var m workerhttp.SyncMessage
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	now := time.Now()
	w.endDueTasks(now)
	lease := now.Add(time.Duration(m.LeaseMS) * time.Millisecond)
	for _, t := range m.Stop {
		w.stopTask(t)
	}
	for _, t := range m.Keep {
		if current := w.tasks[taskID{t.Pool, t.Job}]; current != nil && current.msg.Attempt == t.Attempt {
			current.lease = lease
		}
	}
	for _, t := range m.Start {
		w.startTask(now, lease, t)
	}
	answer := w.report()
	w.mu.Unlock()
	_ = json.NewEncoder(rw).Encode(answer)
}

// startTask starts an attempt, unless the worker drains or knows a newer attempt. If it knows the
// same or a newer one, it renews the lease of the one it knows.
func (w *Worker) startTask(now, lease time.Time, t workerhttp.TaskMessage) {
	id := taskID{t.Pool, t.Job}
	current := w.tasks[id]
	if current != nil && current.msg.Attempt >= t.Attempt {
		current.lease = lease
		return
	}
	if !w.draining.IsZero() {
		return
	}
	if current != nil && current.state == fleet.TaskRunning {
		w.counts.ConcurrentAttempts++
	}
	w.tasks[id] = &task{msg: t, ends: now.Add(time.Duration(t.RunForMS) * time.Millisecond), lease: lease, state: fleet.TaskRunning}
}

// stopTask removes a running task if its attempt is the one to stop.
func (w *Worker) stopTask(t workerhttp.TaskMessage) {
	id := taskID{t.Pool, t.Job}
	if current := w.tasks[id]; current != nil && current.msg.Attempt == t.Attempt && current.state == fleet.TaskRunning {
		delete(w.tasks, id)
	}
}

// endDueTasks ends the tasks whose run time or lease has ended. While Faults.Fail is set it fails
// every running task.
func (w *Worker) endDueTasks(now time.Time) {
	for id, t := range w.tasks {
		switch {
		case t.state != fleet.TaskRunning:
		case w.faults.Fail:
			t.state = fleet.TaskFailed
		case now.After(t.ends) && t.ends.Before(t.lease):
			t.state = fleet.TaskDone
			w.counts.TasksDone++
		case now.After(t.lease):
			w.counts.TasksExpired++
			delete(w.tasks, id)
		}
	}
}

// report returns the worker's tasks and their resource usage.
func (w *Worker) report() workerhttp.SyncResponse {
	var a workerhttp.SyncResponse
	for _, t := range w.tasks {
		a.Tasks = append(a.Tasks, workerhttp.TaskMessage{
			Pool: t.msg.Pool, Job: t.msg.Job, Attempt: t.msg.Attempt, State: string(t.state),
			CPUMilli: t.msg.CPUMilli * usagePercent / 100, MemoryMB: t.msg.MemoryMB * usagePercent / 100,
			Accelerators: t.msg.Accelerators, Slots: t.msg.Slots,
		})
	}
	return a
}

// busy returns the number of requests in flight and running tasks.
func (w *Worker) busy() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endDueTasks(time.Now())
	n := w.inFlight
	for _, t := range w.tasks {
		if t.state == fleet.TaskRunning {
			n++
		}
	}
	return n
}
