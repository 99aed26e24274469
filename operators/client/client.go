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

// Client calls its servers in order until one responds.
type Client struct {
	servers []string // IP:port of operators' APIs
	http    *http.Client
}

// dialTimeout bounds connecting to one server.
const dialTimeout = 2 * time.Second

// New returns a client of the given servers (IP:port). timeout bounds one call.
func New(servers []string, timeout time.Duration) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{
		servers: servers,
		http:    &http.Client{Timeout: timeout, Transport: &http.Transport{DialContext: dialer.DialContext}},
	}
}

// Exec executes the statements in text. Every server that is tried gets the same
// command ID, so that a command which one of them may have executed is not
// executed again by the next.
func (c *Client) Exec(ctx context.Context, text string) (api.ExecResponse, error) {
	return c.ExecWithID(ctx, uuid.NewString(), text)
}

// ExecWithID is Exec with a command ID chosen by the caller.
func (c *Client) ExecWithID(ctx context.Context, id, text string) (api.ExecResponse, error) {
	body, err := json.Marshal(api.ExecRequest{ID: id, Text: text})
	if err != nil {
		return api.ExecResponse{}, err
	}
	var out api.ExecResponse
	mayHaveRun, err := c.tryServers(ctx, http.MethodPost, "/v1/exec", body, &out)
	if mayHaveRun {
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

// Status returns the status of the first server that responds.
func (c *Client) Status(ctx context.Context) (api.Status, error) {
	var out api.Status
	_, err := c.tryServers(ctx, http.MethodGet, "/v1/status", nil, &out)
	return out, err
}

// Wave returns the report of a wave from the first server that responds.
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

// tryServers calls one server after another until one responds. mayHaveRun reports
// that a server whose call failed may have executed the request or still may. The
// verdict of the error covers all attempts.
func (c *Client) tryServers(ctx context.Context, method, path string, body []byte, out any) (mayHaveRun bool, err error) {
	var lastErr error
	for _, server := range c.servers {
		err := c.call(ctx, server, method, path, body, out)
		if err == nil {
			return mayHaveRun, nil
		}
		lastErr = err
		if verdict.CodeOf(err) == CodeRefused {
			break
		}
		mayHaveRun = mayHaveRun || verdict.Of(err) != verdict.NotRun
	}
	switch {
	case lastErr == nil:
		return false, verdict.New(verdict.NotRun, CodeUnreachable, "no server address given")
	case mayHaveRun:
		return true, verdict.Wrap(lastErr, verdict.MayHaveRun, verdict.CodeOf(lastErr), "a server may have executed the request")
	default:
		return false, lastErr
	}
}

// maxResponseBytes bounds the body of a response.
const maxResponseBytes = 16 << 20

// call makes one call to one server and decodes the response into out.
func (c *Client) call(ctx context.Context, server, method, path string, body []byte, out any) error {
	// net/http sets no GetBody for a reader of an unknown type, so the transport does
	// not replay the request.
	req, err := http.NewRequestWithContext(ctx, method, "http://"+server+path, struct{ io.Reader }{bytes.NewReader(body)})
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, CodeUnreachable, "call to server %s failed", server)
	}
	req.ContentLength = int64(len(body))
	if len(body) == 0 {
		req.Body = nil
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return verdict.Wrap(err, transportVerdict(err), CodeUnreachable, "call to server %s failed", server)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, CodeUnreachable, "call to server %s failed", server)
	}
	if resp.StatusCode != http.StatusOK {
		return decodeError(server, resp.StatusCode, data)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, CodeUnreachable, "call to server %s failed", server)
	}
	return nil
}

// transportVerdict returns NotRun for a failed dial. After any other error the
// server may have received the request.
func transportVerdict(err error) verdict.Verdict {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return verdict.NotRun
	}
	return verdict.MayHaveRun
}

// decodeError converts a response with an error status to an error. The verdict is the
// response's own, or MayHaveRun if its body is not an error message of the API.
func decodeError(server string, status int, data []byte) error {
	var e api.ErrorResponse
	if err := json.Unmarshal(data, &e); err != nil || e.Code == "" {
		return verdict.New(verdict.MayHaveRun, CodeUnreachable, "server %s returned status %d", server, status)
	}
	return verdict.New(e.Verdict, CodeRefused, "%s", e.Message)
}
