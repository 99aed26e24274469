package rig

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"io"
	mathrand "math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// callTime is a consumer's time budget.
const callTime = 3 * time.Second

// consumer makes calls to the daemons.
type consumer struct {
	d            *deployment
	host, prefix string // of its queue
	client       *http.Client
}

func newConsumer(d *deployment, host, prefix string) *consumer {
	return &consumer{d, host, prefix, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}}
}

func newID() string {
	raw := make([]byte, 8)
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}

// call makes one call to a daemon; status 0: no answer.
func (c *consumer) call(p *daemon, method, id string, body []byte) (status int, answer []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.ip+":"+strconv.Itoa(frontPort)+c.prefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = c.host
	req.Header.Set("Deadline-Ms", strconv.Itoa(int(callTime/time.Millisecond)))
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// any makes a call to daemons at random until one answers for certain, five times at most.
func (c *consumer) any(method, id string, body []byte) (status int, answer []byte) {
	for range 5 {
		p := c.d.daemons[mathrand.IntN(len(c.d.daemons))]
		status, answer = c.call(p, method, id, body)
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout && status != http.StatusServiceUnavailable {
			return status, answer
		}
		time.Sleep(200 * time.Millisecond)
	}
	return status, answer
}

// body returns the submission of a plan.
func (p *plan) body() []byte {
	steps := []map[string]any{}
	for _, s := range p.Steps {
		m := map[string]any{"count": s.Count, "cpu": s.CPU, "memMb": s.MemMB, "estimateMs": s.Work.Milliseconds()}
		if len(s.After) > 0 {
			m["after"] = s.After
		}
		if s.Gang {
			m["gang"] = true
		}
		if s.Speculative {
			m["speculative"] = true
		}
		if s.RequiredLabel != "" {
			m["requiredLabel"] = s.RequiredLabel
		}
		if s.MaxPerServer > 0 {
			m["maxPerServer"] = s.MaxPerServer
		}
		steps = append(steps, m)
	}
	b := map[string]any{"spec": p.Spec, "steps": steps}
	if p.Repeat > 0 {
		b["repeatCount"], b["intervalMs"] = p.Repeat, p.Every.Milliseconds()
		if ms := p.Start.UnixMilli(); ms != 0 {
			b["startAtMs"] = ms
		}
	}
	raw, err := json.Marshal(b)
	if err != nil {
		panic(err)
	}
	return raw
}

// submit hands a plan in and returns the status of the answer.
func (c *consumer) submit(p *plan) int {
	c.d.plans.add(p)
	status, answer := c.any(http.MethodPost, p.ID, p.body())
	c.d.judge.note("POST %s -> %d %.120s", p.ID, status, answer)
	return status
}

// state asks for a job's state; "" without an answer.
func (c *consumer) state(id string) (status int, state string) {
	status, answer := c.any(http.MethodGet, id, nil)
	var b struct{ State string }
	_ = json.Unmarshal(answer, &b)
	return status, b.State
}

// cancel cancels a job.
func (c *consumer) cancel(id string) int {
	status, _ := c.any(http.MethodDelete, id, nil)
	c.d.judge.note("DELETE %s -> %d", id, status)
	if status == http.StatusOK || status == http.StatusGone {
		c.d.judge.mu.Lock()
		c.d.judge.cancelled[id] = time.Now()
		c.d.judge.mu.Unlock()
	}
	return status
}
