// Package client calls the operators' HTTP API of entry daemons.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/google/uuid"

	"github.com/postmount/postmount/operators/api"
	"github.com/postmount/postmount/verdict"
)

// Codes of failed calls.
const (
	CodeUnreachable verdict.Code = "server-unreachable"
	CodeRefused     verdict.Code = "server-refused"
)

// Client calls its servers in order until one answers.
type Client struct {
	servers []string // IP:port of operators' APIs
	http    *http.Client
}

// New returns a client of the given servers (IP:port). timeout bounds one call.
func New(servers []string, timeout time.Duration) *Client {
	dialer := &net.Dialer{Timeout: 2 * time.Second}
	return &Client{
		servers: servers,
		http:    &http.Client{Timeout: timeout, Transport: &http.Transport{DialContext: dialer.DialContext}},
	}
}

// Exec executes the statements in text. Every server that is tried gets the same
// command id, so that a command which one of them may have executed is not
// executed again by the next.
func (c *Client) Exec(ctx context.Context, text string) (api.ExecResponse, error) {
	return c.ExecWithID(ctx, uuid.NewString(), text)
}

// ExecWithID is Exec with a command id chosen by the caller.
func (c *Client) ExecWithID(ctx context.Context, id, text string) (api.ExecResponse, error) {
	body, err := json.Marshal(api.ExecRequest{ID: id, Text: text})
	if err != nil {
		return api.ExecResponse{}, err
	}
	var out api.ExecResponse
	uncertain, err := c.tryServers(ctx, http.MethodPost, "/v1/exec", body, &out)
	if uncertain {
		notRunToMayHaveRun(out.Results)
	}
	return out, err
}

// notRunToMayHaveRun replaces the verdict NotRun, because an earlier server may
// still execute the command.
func notRunToMayHaveRun(results []api.Result) {
	for i := range results {
		if results[i].Verdict == verdict.NotRun {
			results[i].Verdict = verdict.MayHaveRun
		}
	}
}

// Status returns the status of the first server that answers.
func (c *Client) Status(ctx context.Context) (api.Status, error) {
	var out api.Status
	_, err := c.tryServers(ctx, http.MethodGet, "/v1/status", nil, &out)
	return out, err
}

// Wave returns the report of a wave from the first server that answers.
func (c *Client) Wave(ctx context.Context, name string) (api.WaveReport, error) {
	var out api.WaveReport
	_, err := c.tryServers(ctx, http.MethodGet, "/v1/waves/"+url.PathEscape(name)+"/report", nil, &out)
	return out, err
}

// Burn returns the burn report of the fleet.
func (c *Client) Burn(ctx context.Context) (api.BurnReport, error) {
	var out api.BurnReport
	_, err := c.tryServers(ctx, http.MethodGet, "/v1/burn", nil, &out)
	return out, err
}

// tryServers calls one server after another until one answers. uncertain reports
// that an earlier server may have executed the request or still may. The verdict
// of the error covers all attempts.
func (c *Client) tryServers(ctx context.Context, method, path string, body []byte, out any) (uncertain bool, err error) {
	var last error
	for _, server := range c.servers {
		err := c.call(ctx, server, method, path, body, out)
		if err == nil {
			return uncertain, nil
		}
		last = err
		if verdict.CodeOf(err) == CodeRefused {
			break
		}
		uncertain = uncertain || verdict.Of(err) != verdict.NotRun
	}
	switch {
	case last == nil:
		return false, verdict.New(verdict.NotRun, CodeUnreachable, "no server address given")
	case uncertain:
		return true, verdict.Wrap(last, verdict.MayHaveRun, verdict.CodeOf(last), "an earlier server may have executed it")
	default:
		return false, last
	}
}

// maxResponseBytes bounds the body of a response.
const maxResponseBytes = 16 << 20

func (c *Client) call(ctx context.Context, server, method, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+server+path, struct{ io.Reader }{bytes.NewReader(body)})
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, CodeUnreachable, "%s", server)
	}
	req.ContentLength = int64(len(body))
	if len(body) == 0 {
		req.Body = nil
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return verdict.Wrap(err, transportVerdict(err), CodeUnreachable, "%s", server)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, CodeUnreachable, "%s", server)
	}
	if resp.StatusCode != http.StatusOK {
		return decodeError(server, resp.StatusCode, data)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, CodeUnreachable, "%s", server)
	}
	return nil
}

// transportVerdict returns NotRun for a failed dial. After any other error the
// server may have received the request.
func transportVerdict(err error) verdict.Verdict {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return verdict.NotRun
	}
	return verdict.MayHaveRun
}

// decodeError converts a response with an error status to an error.
func decodeError(server string, status int, data []byte) error {
	var e api.ErrorResponse
	if err := json.Unmarshal(data, &e); err != nil || e.Code == "" {
		return verdict.New(verdict.MayHaveRun, CodeUnreachable, "%s answered %d", server, status)
	}
	return verdict.New(e.Verdict, CodeRefused, "%s", e.Message)
}
