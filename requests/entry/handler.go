// Package entry serves callers: it routes a request, waits for a slot, claims
// its idempotency key, sends it to a worker and answers once and completely.
package entry

import (
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/postmount/postmount/internal/sleep"
	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/requests/member"
	"github.com/postmount/postmount/requests/once"
	"github.com/postmount/postmount/requests/port"
	"github.com/postmount/postmount/verdict"
)

// Request headers that callers may send.
const (
	// HeaderDeadline is the time a caller allows, in milliseconds.
	HeaderDeadline = "Postmount-Deadline-Ms"
	// HeaderKey makes a request that is not idempotent safe to resend.
	HeaderKey = "Idempotency-Key"
)

// Codes of answers by the handler.
const (
	CodeNoRoute               verdict.Code = "no-route"
	CodeBadRequest            verdict.Code = "bad-request"
	CodeTooLarge              verdict.Code = "request-too-large"
	CodeBadKey                verdict.Code = "bad-idempotency-key"
	CodeKeyReused             verdict.Code = "idempotency-key-reused"
	CodeKeyExpired            verdict.Code = "idempotency-key-expired"
	CodeKeyFromFuture         verdict.Code = "idempotency-key-from-future"
	CodeAnswerNotRetained     verdict.Code = "answer-not-retained"
	CodeEarlierAttemptUnknown verdict.Code = "earlier-attempt-unknown"
	CodeEarlierAttemptRunning verdict.Code = "earlier-attempt-running"
	CodeCutOff                verdict.Code = "cut-off-from-peers"
	CodeKeyOwnerUnavailable   verdict.Code = "key-owner-unavailable"
	CodeStopping              verdict.Code = "stopping"
)

// Claims is what the handler needs of the claims on idempotency keys.
type Claims interface {
	// Reachable reports whether the owner of a key has been heard of lately.
	Reachable(key once.Key) bool
	Ask(ctx context.Context, key once.Key, fp once.Fingerprint) (once.Attempt, once.Reply, error)
	End(attempt once.Attempt, status once.Status, answer *once.Answer)
}

// Limits bound one request.
type Limits struct {
	MaxBody int64 // bytes
	// DefaultTimeout and MaxTimeout bound a request's time; a route may set
	// its own default.
	DefaultTimeout, MaxTimeout time.Duration
	// MaxInFlight bounds the requests that this daemon holds at once.
	MaxInFlight int64
	// MaxBuffered bounds the bytes of request bodies held at once.
	MaxBuffered int64
	// MaxRetained bounds one answer that is kept for a resend.
	MaxRetained int
}

// Handler implements http.Handler for callers.
type Handler struct {
	Dispatcher *Dispatcher
	Claims     Claims
	Backend    port.Backend
	Standing   func() member.Standing
	Limits     Limits
	Observer   Observer

	inFlight     atomic.Int64
	reservedBody atomic.Int64 // bytes reserved for request bodies
	closing      atomic.Bool
	stopping     atomic.Bool
}

// Observer is told of every answer and every try. Its methods must be fast.
type Observer interface {
	Answered(service fleet.ServiceName, class fleet.ClassName, v verdict.Verdict, code verdict.Code, status int, took time.Duration)
	AttemptEnded(service fleet.ServiceName, worker fleet.InstanceID, attempt int, err error)
	HealthChanged(service fleet.ServiceName, worker fleet.InstanceID, ejected bool)
}

// Stop makes every new request be refused; those in flight go on.
func (h *Handler) Stop() { h.stopping.Store(true) }

// CloseConnections makes every answer from now on the last of its connection,
// so that callers do not meet a connection that is about to be closed.
func (h *Handler) CloseConnections() { h.closing.Store(true) }

// InFlight returns how many requests are being served.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// call is one caller's request on its way.
type call struct {
	req        *http.Request
	route      fleet.Route
	body       []byte
	idempotent bool
	key        once.Key // "" if none counts
	deadline   time.Time
	started    time.Time
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n := h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	started := time.Now()
	if h.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	reserved := h.reserveBody(r)
	defer h.reservedBody.Add(-reserved)
	c, status, err := h.accept(w, r, started, n)
	if err != nil {
		h.writeFailure(w, fleet.Route{}, started, status, err)
		return
	}
	answer, err := h.serve(c)
	if err != nil {
		h.writeFailure(w, c.route, started, h.status(err), err)
		return
	}
	h.Observer.Answered(c.route.Service, c.route.Class, verdict.Done, "", answer.Status, time.Since(started))
	writeAnswer(w, answer)
}

// reserveBody sets aside room for a request's body and returns its size.
func (h *Handler) reserveBody(r *http.Request) int64 {
	size := r.ContentLength
	if size < 0 || size > h.Limits.MaxBody {
		size = h.Limits.MaxBody
	}
	h.reservedBody.Add(size)
	return size
}

func (h *Handler) writeFailure(w http.ResponseWriter, route fleet.Route, started time.Time, status int, err error) {
	h.Observer.Answered(route.Service, route.Class, verdict.Of(err), verdict.CodeOf(err), status, time.Since(started))
	writeProblem(w, status, err)
}

// status maps a failure of an accepted request to a status.
func (h *Handler) status(err error) int {
	switch verdict.CodeOf(err) {
	case CodeKeyReused:
		return http.StatusUnprocessableEntity
	case CodeKeyExpired, CodeAnswerNotRetained, CodeEarlierAttemptRunning, CodeEarlierAttemptUnknown:
		return http.StatusConflict
	case CodeKeyFromFuture:
		return http.StatusBadRequest
	}
	return statusOf(err)
}

// accept checks a request and reads it whole. Nothing has run when it fails.
func (h *Handler) accept(w http.ResponseWriter, r *http.Request, started time.Time, inFlight int64) (*call, int, error) {
	if h.stopping.Load() {
		return nil, http.StatusServiceUnavailable, newRefusal(CodeStopping, "this entry instance is stopping", 0)
	}
	if inFlight > h.Limits.MaxInFlight || h.reservedBody.Load() > h.Limits.MaxBuffered {
		return nil, http.StatusServiceUnavailable, newRefusal(CodeOverloaded, "too many requests in flight", time.Second)
	}
	route, ok := h.Dispatcher.Directory().Routes.Match(r.Host, r.URL.Path)
	if !ok {
		return nil, http.StatusNotFound, verdict.New(verdict.NotRun, CodeNoRoute, "no route for %q on host %q", r.URL.Path, r.Host)
	}
	c := &call{req: r, route: route, started: started, idempotent: route.Idempotent || safeMethod(r.Method)}
	if err := h.readDeadline(c); err != nil {
		return nil, http.StatusBadRequest, err
	}
	if err := readKey(c); err != nil {
		return nil, http.StatusBadRequest, err
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.Limits.MaxBody))
	if err != nil {
		status := http.StatusBadRequest
		code := CodeBadRequest
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			status, code = http.StatusRequestEntityTooLarge, CodeTooLarge
		}
		return nil, status, verdict.Wrap(err, verdict.NotRun, code, "read the request")
	}
	c.body = body
	return c, 0, nil
}

func safeMethod(m string) bool {
	return m == http.MethodGet || m == http.MethodHead || m == http.MethodOptions
}

func (h *Handler) readDeadline(c *call) error {
	allowed := h.Limits.DefaultTimeout
	if c.route.Timeout > 0 {
		allowed = c.route.Timeout
	}
	if text := c.req.Header.Get(HeaderDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 {
			return verdict.New(verdict.NotRun, CodeBadRequest, "%s %q: want a number of milliseconds above 0", HeaderDeadline, text)
		}
		allowed = time.Duration(min(ms, h.Limits.MaxTimeout.Milliseconds())) * time.Millisecond
	}
	c.deadline = c.started.Add(min(allowed, h.Limits.MaxTimeout))
	return nil
}

// readKey takes in the idempotency key of a request that needs one. The key of
// an idempotent request is passed on and otherwise ignored.
func readKey(c *call) error {
	text := c.req.Header.Get(HeaderKey)
	if text == "" || c.idempotent {
		return nil
	}
	key, ok := once.ParseKey(text)
	if !ok {
		return verdict.New(verdict.NotRun, CodeBadKey, "%s: want a UUIDv7 in lower case", HeaderKey)
	}
	c.key = key
	return nil
}

// serve runs an accepted request. The time it may take ends at its deadline.
//
// A caller that goes away ends an idempotent request and frees its slot. One
// that is not idempotent is let finish once it was sent: cutting it off would
// leave its outcome unknown, and a resend with the same key wants the answer.
func (h *Handler) serve(c *call) (*port.BackendAnswer, error) {
	ctx, cancel := context.WithDeadline(c.req.Context(), c.deadline)
	defer cancel()
	for attempt := 1; ; attempt++ {
		answer, err := h.attempt(ctx, c, attempt)
		if err == nil && !h.failedAnswerRetryable(c, answer) {
			return answer, nil
		}
		again, ok := h.shouldRetry(ctx, c, attempt, err)
		if !ok || !sleep.For(ctx, again) {
			return answer, err
		}
	}
}

// failedAnswerRetryable reports whether another worker may answer better: the request may
// be repeated and the worker failed.
func (h *Handler) failedAnswerRetryable(c *call, answer *port.BackendAnswer) bool {
	return c.idempotent && answer.Status >= http.StatusInternalServerError
}

// attempt gets a slot, claims the key and sends the request once.
func (h *Handler) attempt(ctx context.Context, c *call, attempt int) (*port.BackendAnswer, error) {
	if !h.Standing().Current(time.Now()) {
		return nil, newRefusal(CodeCutOff, "this entry instance is cut off from its peers", time.Second)
	}
	if c.key != "" && !h.Claims.Reachable(c.key) {
		return nil, newRefusal(CodeKeyOwnerUnavailable, "the entry instance that knows about this key cannot be reached", time.Second)
	}
	grant, err := h.Dispatcher.Acquire(ctx, c.route.Service, c.route.Class, c.deadline)
	if err != nil {
		return nil, err
	}
	if c.key == "" {
		return h.send(ctx, c, grant, attempt)
	}
	return h.sendKeyed(ctx, c, grant, attempt)
}

// send sends the request to the granted worker and gives the slot back.
func (h *Handler) send(ctx context.Context, c *call, grant *Grant, attempt int) (*port.BackendAnswer, error) {
	if !h.Standing().Current(time.Now()) {
		h.Dispatcher.ReleaseUnsent(grant)
		return nil, newRefusal(CodeCutOff, "this entry instance is cut off from its peers", time.Second)
	}
	if !c.idempotent {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(context.WithoutCancel(ctx), c.deadline)
		defer cancel()
	}
	answer, err := h.Backend.Send(ctx, port.BackendRequest{
		Worker:    grant.Worker.ID,
		Addr:      grant.Worker.Addr,
		RequestID: uuid.NewString(),
		Method:    c.req.Method,
		URI:       c.req.URL.RequestURI(),
		Host:      c.req.Host,
		Header:    forwardedHeader(c.req.Header),
		Body:      c.body,
	})
	h.finishAttempt(ctx, c, grant, attempt, answer, err)
	return answer, err
}

// finishAttempt gives the slot back and judges the worker. A caller's own going away
// says nothing about the worker.
func (h *Handler) finishAttempt(ctx context.Context, c *call, grant *Grant, attempt int, answer *port.BackendAnswer, err error) {
	h.Observer.AttemptEnded(c.route.Service, grant.Worker.ID, attempt, err)
	if errors.Is(ctx.Err(), context.Canceled) || verdict.CodeOf(err) == port.CodeBackendRefused {
		h.Dispatcher.ReleaseUnsent(grant)
		return
	}
	good := err == nil && answer.Status < http.StatusInternalServerError
	ejected, restored := h.Dispatcher.Release(grant, good)
	if ejected || restored {
		h.Observer.HealthChanged(c.route.Service, grant.Worker.ID, ejected)
	}
}

// forwardedHeader copies a caller's headers without those of the connection and of
// postmount.
func forwardedHeader(in http.Header) http.Header {
	out := in.Clone()
	for _, field := range strings.Split(in.Get("Connection"), ",") {
		out.Del(strings.TrimSpace(field))
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// hopByHopHeaders are not passed on (RFC 9110, section 7.6.1), nor is the deadline.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", HeaderDeadline,
}

func writeAnswer(w http.ResponseWriter, a *port.BackendAnswer) {
	header := w.Header()
	for name, values := range forwardedHeader(a.Header) {
		header[name] = values
	}
	header.Set(verdict.Header, verdict.Done.String())
	if header.Get("Content-Length") == "" && mayHaveBody(a.Status) {
		header.Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// mayHaveBody reports whether an answer with this status may have a length.
func mayHaveBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// fingerprint identifies a request's content and its caller's credentials.
func fingerprint(c *call) once.Fingerprint {
	h := sha256.New()
	for _, part := range []string{c.req.Method, c.req.Host, c.req.URL.RequestURI(), c.req.Header.Get("Authorization"), c.req.Header.Get("Content-Type")} {
		_, _ = io.WriteString(h, strconv.Itoa(len(part)))
		_, _ = io.WriteString(h, ":")
		_, _ = io.WriteString(h, part)
	}
	_, _ = h.Write(c.body)
	return once.Fingerprint(h.Sum(nil))
}
