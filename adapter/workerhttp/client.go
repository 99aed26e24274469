// Package workerhttp is a client of the workers' task API, JSON over HTTP.
// docs/PROTOCOLS.md describes the call.
package workerhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/requests/port"
	"github.com/postmount/postmount/verdict"
)

// CodeWorkerUnavailable is the code of a failed call to a worker's task API.
const CodeWorkerUnavailable verdict.Code = "worker-unavailable"

// TasksPath is the path of a worker's task API.
const TasksPath = "/_worker/tasks"

// Client implements port.Tasks.
type Client struct {
	timeout time.Duration // of one call
	http    *http.Client
}

var _ port.Tasks = (*Client)(nil)

// New returns a client that uses one connection per worker. timeout bounds a call.
func New(timeout time.Duration) *Client {
	dialer := &net.Dialer{Timeout: timeout}
	return &Client{
		timeout: timeout,
		http:    &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxConnsPerHost: 1, IdleConnTimeout: 30 * time.Second}},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// TaskMessage is one attempt of a job on the wire. Only a start has resources and a
// run time, and only a response has a state and the resources in use.
type TaskMessage struct {
	Pool         string `json:"pool"`
	Job          string `json:"job"`
	Attempt      int    `json:"attempt"`
	State        string `json:"state,omitempty"`
	CPUMilli     int    `json:"cpu_milli,omitempty"`
	MemoryMB     int    `json:"memory_mb,omitempty"`
	Accelerators int    `json:"accelerators,omitempty"`
	Slots        int    `json:"slots,omitempty"`
	RunForMS     int64  `json:"run_for_ms,omitempty"`
}

// SyncMessage lists the tasks that a worker is to start, keep and stop.
type SyncMessage struct {
	LeaseMS    int64         `json:"lease_ms"` // how long a task may run without renewal
	Start      []TaskMessage `json:"start,omitempty"`
	Keep       []TaskMessage `json:"keep,omitempty"`
	Stop       []TaskMessage `json:"stop,omitempty"`
	Checkpoint bool          `json:"checkpoint,omitempty"` // stopped tasks save their state first
}

// SyncResponse lists all tasks of the worker.
type SyncResponse struct {
	Tasks []TaskMessage `json:"tasks"`
}

// maxResponseBytes bounds the body of a response.
const maxResponseBytes = 4 << 20

// Sync implements port.Tasks.
func (c *Client) Sync(ctx context.Context, addr string, r port.TaskSyncRequest) ([]fleet.Task, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	body, err := json.Marshal(syncMessage(r))
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+TasksPath, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, verdict.Wrap(err, verdict.MayHaveRun, CodeWorkerUnavailable, "task call to worker %s failed", addr)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil || resp.StatusCode != http.StatusOK {
		return nil, verdict.New(verdict.MayHaveRun, CodeWorkerUnavailable, "task call to worker %s failed: status %d or incomplete response", addr, resp.StatusCode)
	}
	var m SyncResponse
	if err := json.Unmarshal(data, &m); err != nil {
		return nil, verdict.Wrap(err, verdict.MayHaveRun, CodeWorkerUnavailable, "task call to worker %s failed", addr)
	}
	return tasksFromResponse(m), nil
}

func syncMessage(r port.TaskSyncRequest) SyncMessage {
	m := SyncMessage{LeaseMS: r.Lease.Milliseconds(), Checkpoint: r.Checkpoint, Keep: refMessages(r.Keep), Stop: refMessages(r.Stop)}
	for _, s := range r.Start {
		m.Start = append(m.Start, TaskMessage{
			Pool: string(s.Pool), Job: string(s.Job), Attempt: s.Attempt, RunForMS: s.RunFor.Milliseconds(),
			Slots: s.Need.Slots, CPUMilli: s.Need.CPUMilli, MemoryMB: s.Need.MemoryMB, Accelerators: s.Need.Accelerators,
		})
	}
	return m
}

func refMessages(in []port.TaskRef) []TaskMessage {
	out := make([]TaskMessage, 0, len(in))
	for _, r := range in {
		out = append(out, TaskMessage{Pool: string(r.Pool), Job: string(r.Job), Attempt: r.Attempt})
	}
	return out
}

func tasksFromResponse(m SyncResponse) []fleet.Task {
	out := make([]fleet.Task, 0, len(m.Tasks))
	for _, t := range m.Tasks {
		out = append(out, fleet.Task{
			Pool: fleet.PoolName(t.Pool), Job: fleet.JobName(t.Job), Attempt: t.Attempt, State: fleet.TaskState(t.State),
			Used: fleet.Resources{Slots: t.Slots, CPUMilli: t.CPUMilli, MemoryMB: t.MemoryMB, Accelerators: t.Accelerators},
		})
	}
	return out
}
