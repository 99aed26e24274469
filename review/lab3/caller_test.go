package lab3

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// caller is a consumer. Each request goes to the next daemon.
type caller struct {
	daemons []*daemon
	next    int
	record  *record
	client  http.Client
}

const (
	callerHost  = "hub.example"
	callBudget  = 3 * time.Second
	callRetries = 12
	retryPause  = 400 * time.Millisecond
)

func newCaller(daemons []*daemon, rec *record) *caller {
	return &caller{daemons: daemons, record: rec, client: http.Client{Timeout: callBudget}}
}

// call sends a request once; the status is 0 if there was no answer.
func (c *caller) call(method, path string, body any) (status int, answer []byte) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err) // cannot happen for the bodies of this program
	}
	d := c.daemons[c.next%len(c.daemons)]
	c.next++
	req, err := http.NewRequest(method, "http://"+d.front+path, bytes.NewReader(raw))
	if err != nil {
		panic(err) // as above
	}
	req.Host = callerHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", "3000")
	c.record.log("%s %s to %s", method, path, d.name)
	resp, err := c.client.Do(req)
	if err != nil {
		c.record.log("%s %s: no answer: %v", method, path, err)
		return 0, nil
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(resp.Body)
	if err != nil {
		c.record.log("%s %s: broken answer: %v", method, path, err)
		return 0, nil
	}
	c.record.log("%s %s: %d %s", method, path, resp.StatusCode, bytes.TrimSpace(answer))
	return resp.StatusCode, answer
}

// submit hands a job in until it is accepted, as consumers do.
func (c *caller) submit(path string, job any) bool {
	for range callRetries {
		if status, _ := c.call(http.MethodPost, path, job); status/100 == 2 {
			return true
		}
		time.Sleep(retryPause)
	}
	return false
}
