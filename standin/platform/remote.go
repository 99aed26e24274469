package platform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/postmount/postmount/adapter/platformhttp"
	"github.com/postmount/postmount/standin/worker"
)

// RemoteWorkers controls workers in another process over HTTP.
type RemoteWorkers struct {
	addr string // IP:port of the workers' control interface
	http *http.Client
}

// NewRemoteWorkers returns a client for the workers' control interface at addr.
func NewRemoteWorkers(addr string) *RemoteWorkers {
	return &RemoteWorkers{addr: addr, http: &http.Client{Timeout: 2 * time.Second}}
}

var _ Workers = (*RemoteWorkers)(nil)

// SetDraining implements Workers.
func (r *RemoteWorkers) SetDraining(id string, draining bool) error {
	return r.put(id, worker.StateMessage{Draining: &draining})
}

// SetUp implements Workers.
func (r *RemoteWorkers) SetUp(id string, up bool) error {
	return r.put(id, worker.StateMessage{Up: &up})
}

func (r *RemoteWorkers) put(id string, m worker.StateMessage) error {
	body, err := json.Marshal(m)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+r.addr+"/standin/workers/"+id+"/state", bytes.NewReader(body))
	if err != nil {
		return err
	}
	return r.do(req, nil)
}

// Busy implements Workers.
func (r *RemoteWorkers) Busy(id string) (int, error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+r.addr+"/standin/workers/"+id+"/busy", nil)
	if err != nil {
		return 0, err
	}
	var n int
	err = r.do(req, &n)
	return n, err
}

func (r *RemoteWorkers) do(req *http.Request, out any) error {
	resp, err := r.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("control interface of the workers at %s: %s %s answered with status %d", r.addr, req.Method, req.URL.Path, resp.StatusCode)
	}
	if out == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(out)
}

// InstanceMessages returns the instances of workers, one for each.
func InstanceMessages(specs []worker.Spec) []platformhttp.InstanceMessage {
	out := make([]platformhttp.InstanceMessage, 0, len(specs))
	for _, s := range specs {
		out = append(out, platformhttp.InstanceMessage{
			ID: s.ID, Zone: s.Zone, Rack: s.Rack, Addr: s.Addr, Slots: s.Slots, Connections: s.Connections,
			CPUMilli: s.CPUMilli, MemoryMB: s.MemoryMB, Accelerators: s.Accelerators,
		})
	}
	return out
}

// RegisterWorkers adds the instances of workers to the platform at addr.
func RegisterWorkers(addr string, specs []worker.Spec) error {
	body, err := json.Marshal(platformhttp.ListMessage{Instances: InstanceMessages(specs)})
	if err != nil {
		return err
	}
	resp, err := http.Post("http://"+addr+"/standin/instances", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("platform at %s: adding the workers' instances was answered with status %d", addr, resp.StatusCode)
	}
	return nil
}
