// Package platformhttp is a client of the platform's instance list and instance
// actions, JSON over HTTP. docs/PROTOCOLS.md describes the calls.
package platformhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/requests/port"
	"github.com/postmount/postmount/verdict"
)

// Codes of failed calls.
const (
	CodePlatformUnavailable verdict.Code = "platform-unavailable"
	CodeGenerationMismatch  verdict.Code = "generation-mismatch"
)

// Client implements port.InstanceList and port.Actions.
type Client struct {
	addr    string
	timeout time.Duration
	http    *http.Client
	// BytesIn and BytesOut count the bytes of response and request bodies.
	BytesIn, BytesOut atomic.Int64
}

var (
	_ port.InstanceList = (*Client)(nil)
	_ port.Actions      = (*Client)(nil)
)

// New returns a client of the platform at addr (IP:port).
func New(addr string, timeout time.Duration) *Client {
	dialer := &net.Dialer{Timeout: timeout}
	return &Client{
		addr:    addr,
		timeout: timeout,
		http:    &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// InstanceMessage is one instance on the wire.
type InstanceMessage struct {
	ID           string `json:"id"`
	Zone         string `json:"zone"`
	Rack         string `json:"rack"`
	Addr         string `json:"addr"`
	State        string `json:"state"`
	Generation   int64  `json:"generation"`
	LastCommand  string `json:"last_command,omitempty"`
	Slots        int    `json:"slots"`
	Connections  int    `json:"connections"`
	CPUMilli     int    `json:"cpu_milli"`
	MemoryMB     int    `json:"memory_mb"`
	Accelerators int    `json:"accelerators"`
}

// ListMessage is the response to GET /v1/instances?since=VERSION: the instances that
// changed after VERSION, or all if Full is set.
type ListMessage struct {
	Version     int64             `json:"version"` // to send as VERSION next time
	Full        bool              `json:"full"`
	Instances   []InstanceMessage `json:"instances,omitempty"`
	GoneEntries []string          `json:"gone_entries,omitempty"` // incarnations of entry daemons that have ended
}

// CommandMessage is the body of POST /v1/instances/{id}/commands. The platform refuses
// it with status 409 unless Generation is the instance's current one.
type CommandMessage struct {
	ID         string `json:"id"`
	Action     string `json:"action"`
	Generation int64  `json:"generation"`
}

// maxResponseBytes bounds a response: 13,000 instances take about 4 MB.
const maxResponseBytes = 32 << 20

// call makes one call and decodes the response into out unless that is nil. Status
// 409 means that the command's generation did not match the instance's.
func (c *Client) call(ctx context.Context, method, path string, body, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.addr+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		c.http.CloseIdleConnections() // if this connection has gone silent, they may have too
		return verdict.Wrap(err, verdict.MayHaveRun, CodePlatformUnavailable, "call to the platform failed")
	}
	defer resp.Body.Close()
	respBody, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	c.BytesOut.Add(int64(len(data)))
	c.BytesIn.Add(int64(len(respBody)))
	switch {
	case err != nil:
		return verdict.Wrap(err, verdict.MayHaveRun, CodePlatformUnavailable, "call to the platform failed")
	case resp.StatusCode == http.StatusConflict:
		return verdict.New(verdict.NotRun, CodeGenerationMismatch, "platform refused the command: %s", bytes.TrimSpace(respBody))
	case resp.StatusCode != http.StatusOK:
		return verdict.New(verdict.MayHaveRun, CodePlatformUnavailable, "platform returned status %d", resp.StatusCode)
	case out == nil:
		return nil
	}
	if err := json.Unmarshal(respBody, out); err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, CodePlatformUnavailable, "call to the platform failed")
	}
	return nil
}

// Changes implements port.InstanceList.
func (c *Client) Changes(ctx context.Context, since int64) (port.InstanceChanges, error) {
	var m ListMessage
	if err := c.call(ctx, http.MethodGet, "/v1/instances?since="+strconv.FormatInt(since, 10), nil, &m); err != nil {
		return port.InstanceChanges{}, err
	}
	out := port.InstanceChanges{Version: m.Version, Full: m.Full}
	for _, x := range m.Instances {
		out.Instances = append(out.Instances, x.instance())
	}
	for _, x := range m.GoneEntries {
		out.GoneEntries = append(out.GoneEntries, fleet.Incarnation(x))
	}
	return out, nil
}

func (m InstanceMessage) instance() fleet.Instance {
	return fleet.Instance{
		ID:          fleet.InstanceID(m.ID),
		Zone:        fleet.AvailabilityZone(m.Zone),
		Rack:        fleet.Rack(m.Rack),
		Addr:        m.Addr,
		State:       fleet.InstanceState(m.State),
		Generation:  m.Generation,
		LastCommand: fleet.CommandID(m.LastCommand),
		Capacity: fleet.Resources{
			Slots:        m.Slots,
			Connections:  m.Connections,
			CPUMilli:     m.CPUMilli,
			MemoryMB:     m.MemoryMB,
			Accelerators: m.Accelerators,
		},
	}
}

// Send implements port.Actions.
func (c *Client) Send(ctx context.Context, instance fleet.InstanceID, cmd fleet.Command) error {
	m := CommandMessage{ID: string(cmd.ID), Action: string(cmd.Action), Generation: cmd.Generation}
	return c.call(ctx, http.MethodPost, "/v1/instances/"+string(instance)+"/commands", m, nil)
}
