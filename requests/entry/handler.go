// Package entry serves callers' HTTP requests: it routes a request, waits for a
// slot, claims its idempotency key, sends it to a worker and writes the answer
// only once it is complete.
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
	"github.com/postmount/postmount/requests/idempotency"
	"github.com/postmount/postmount/requests/member"
	"github.com/postmount/postmount/requests/port"
	"github.com/postmount/postmount/verdict"
)

// Request headers that callers may send.
const (
	// HeaderDeadline is the time that the caller allows for the request, in
	// milliseconds from its arrival.
	HeaderDeadline = "Postmount-Deadline-Ms"
	// HeaderKey makes a non-idempotent request safe to resend.
	HeaderKey = "Idempotency-Key"
)

// Error codes of the handler.
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

// Claims requests claims of idempotency keys from the daemons that own them.
type Claims interface {
	// Reachable reports whether the owner of a key has been in contact recently.
	Reachable(key idempotency.Key) bool
	// RequestClaim asks the owner of a key whether the request may run. If the
	// result is idempotency.Granted, EndAttempt must be called. Errors have verdict NotRun.
	RequestClaim(ctx context.Context, key idempotency.Key, fp idempotency.Fingerprint) (idempotency.AttemptID, idempotency.Reply, error)
	// EndAttempt reports how a granted attempt ended. answer may be nil.
	EndAttempt(attempt idempotency.AttemptID, status idempotency.Status, answer *idempotency.Answer)
}

// Limits limits the requests that one daemon serves.
type Limits struct {
	MaxBody int64 // bytes
	// DefaultTimeout applies to requests without a deadline header, unless the
	// route sets its own. MaxTimeout limits both.
	DefaultTimeout, MaxTimeout time.Duration
	// MaxInFlight is the maximum number of concurrent requests.
	MaxInFlight int64
	// MaxBuffered is the maximum total size of buffered request bodies, in bytes.
	MaxBuffered int64
	// MaxRetained is the maximum body size, in bytes, of an answer that is retained
	// for resent requests.
	MaxRetained int
}

// Handler implements http.Handler for callers.
type Handler struct {
	Dispatcher    *Dispatcher
	Claims        Claims
	Backend       port.Backend
	ServingStatus func() member.ServingStatus
	Limits        Limits
	Observer      Observer

	inFlight     atomic.Int64
	reservedBody atomic.Int64 // bytes reserved for request bodies
	closing      atomic.Bool
	stopping     atomic.Bool
}

// Observer is notified of every answer, every attempt and every worker ejected or
// restored. It is called while the request is served, so it must not block.
type Observer interface {
	Answered(service fleet.ServiceName, class fleet.ClassName, v verdict.Verdict, code verdict.Code, status int, took time.Duration)
	AttemptEnded(service fleet.ServiceName, worker fleet.InstanceID, attempt int, err error)
	HealthChanged(service fleet.ServiceName, worker fleet.InstanceID, ejected bool)
}

// Stop refuses new requests. Requests in flight continue.
func (h *Handler) Stop() { h.stopping.Store(true) }

// CloseConnections adds "Connection: close" to all further answers, so that
// callers don't reuse a connection that is about to be closed.
func (h *Handler) CloseConnections() { h.closing.Store(true) }

// InFlight returns the number of requests being served.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// call is an accepted request of a caller.
type call struct {
	req        *http.Request
	route      fleet.Route
	body       []byte
	idempotent bool
	key        idempotency.Key // "" without a key or if the request is idempotent
	deadline   time.Time
	started    time.Time
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	inFlight := h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	started := time.Now()
	if h.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	reserved := h.reserveBody(r)
	defer h.reservedBody.Add(-reserved)
	c, status, err := h.accept(w, r, started, inFlight)
	if err != nil {
		h.writeFailure(w, fleet.Route{}, started, status, err)
		return
	}
	answer, err := h.serve(c)
	if err != nil {
		h.writeFailure(w, c.route, started, errorStatus(err), err)
		return
	}
	h.Observer.Answered(c.route.Service, c.route.Class, verdict.Done, "", answer.Status, time.Since(started))
	writeAnswer(w, answer)
}

// reserveBody counts a request's body against MaxBuffered and returns the size
// counted: MaxBody if its length is unknown.
func (h *Handler) reserveBody(r *http.Request) int64 {
	size := r.ContentLength
	if size < 0 || size > h.Limits.MaxBody {
		size = h.Limits.MaxBody
	}
	h.reservedBody.Add(size)
	return size
}

// writeFailure reports the failed request to the observer and writes its response.
func (h *Handler) writeFailure(w http.ResponseWriter, route fleet.Route, started time.Time, status int, err error) {
	h.Observer.Answered(route.Service, route.Class, verdict.Of(err), verdict.CodeOf(err), status, time.Since(started))
	writeProblem(w, status, err)
}

// errorStatus maps an error of an accepted request to an HTTP status.
func errorStatus(err error) int {
	switch verdict.CodeOf(err) {
	case CodeKeyReused:
		return http.StatusUnprocessableEntity
	case CodeKeyExpired, CodeAnswerNotRetained, CodeEarlierAttemptRunning, CodeEarlierAttemptUnknown:
		return http.StatusConflict
	case CodeKeyFromFuture:
		return http.StatusBadRequest
	}
	return verdictStatus(err)
}

// accept validates a request and reads its body. On failure it returns an HTTP
// status and an error of verdict NotRun.
func (h *Handler) accept(w http.ResponseWriter, r *http.Request, started time.Time, inFlight int64) (*call, int, error) {
	if h.stopping.Load() {
		return nil, http.StatusServiceUnavailable, newRefusal(CodeStopping, "this entry daemon is stopping", 0)
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

// readDeadline sets the deadline from the caller's header, the route or the default,
// limited by MaxTimeout.
func (h *Handler) readDeadline(c *call) error {
	timeout := h.Limits.DefaultTimeout
	if c.route.Timeout > 0 {
		timeout = c.route.Timeout
	}
	if text := c.req.Header.Get(HeaderDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 {
			return verdict.New(verdict.NotRun, CodeBadRequest, "%s %q: want a number of milliseconds above 0", HeaderDeadline, text)
		}
		timeout = time.Duration(min(ms, h.Limits.MaxTimeout.Milliseconds())) * time.Millisecond
	}
	c.deadline = c.started.Add(min(timeout, h.Limits.MaxTimeout))
	return nil
}

// readKey parses the idempotency key of a non-idempotent request. The key of an
// idempotent request is only forwarded.
func readKey(c *call) error {
	text := c.req.Header.Get(HeaderKey)
	if text == "" || c.idempotent {
		return nil
	}
	key, ok := idempotency.ParseKey(text)
	if !ok {
		return verdict.New(verdict.NotRun, CodeBadKey, "%s: want a UUIDv7 in lower case", HeaderKey)
	}
	c.key = key
	return nil
}

// serve runs an accepted request, with retries, until its deadline.
//
// If the caller disconnects, an idempotent request is cancelled and its slot
// freed. A non-idempotent request that was sent continues: cancelling it would
// leave its outcome unknown, and a resend with the same key needs the answer.
func (h *Handler) serve(c *call) (*port.BackendAnswer, error) {
	ctx, cancel := context.WithDeadline(c.req.Context(), c.deadline)
	defer cancel()
	for attempt := 1; ; attempt++ {
		answer, err := h.attempt(ctx, c, attempt)
		if err == nil && !h.isRetryableAnswer(c, answer) {
			return answer, nil
		}
		delay, ok := h.shouldRetry(ctx, c, attempt, err)
		if !ok || !sleep.For(ctx, delay) {
			return answer, err
		}
	}
}

// isRetryableAnswer reports whether the worker answered with a server error to
// an idempotent request, so that another worker may be tried.
func (h *Handler) isRetryableAnswer(c *call, answer *port.BackendAnswer) bool {
	return c.idempotent && answer.Status >= http.StatusInternalServerError
}

// attempt acquires a slot, claims the key if there is one and sends the request
// once.
func (h *Handler) attempt(ctx context.Context, c *call, attempt int) (*port.BackendAnswer, error) {
	if !h.ServingStatus().MayUseSlots(time.Now()) {
		return nil, newRefusal(CodeCutOff, "this entry daemon is cut off from its peers", time.Second)
	}
	if c.key != "" && !h.Claims.Reachable(c.key) {
		return nil, newRefusal(CodeKeyOwnerUnavailable, "the entry daemon that owns this idempotency key cannot be reached", time.Second)
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

// send sends the request to the granted worker and releases the slot.
func (h *Handler) send(ctx context.Context, c *call, grant *Grant, attempt int) (*port.BackendAnswer, error) {
	if !h.ServingStatus().MayUseSlots(time.Now()) {
		h.Dispatcher.ReleaseUnsent(grant)
		return nil, newRefusal(CodeCutOff, "this entry daemon is cut off from its peers", time.Second)
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

// finishAttempt releases the slot and records the result for the worker's health,
// unless the caller disconnected or the worker refused the request, which say
// nothing about its health.
func (h *Handler) finishAttempt(ctx context.Context, c *call, grant *Grant, attempt int, answer *port.BackendAnswer, err error) {
	h.Observer.AttemptEnded(c.route.Service, grant.Worker.ID, attempt, err)
	if errors.Is(ctx.Err(), context.Canceled) || verdict.CodeOf(err) == port.CodeBackendRefused {
		h.Dispatcher.ReleaseUnsent(grant)
		return
	}
	success := err == nil && answer.Status < http.StatusInternalServerError
	ejected, restored := h.Dispatcher.Release(grant, success)
	if ejected || restored {
		h.Observer.HealthChanged(c.route.Service, grant.Worker.ID, ejected)
	}
}

// forwardedHeader returns a copy of the headers without the hop-by-hop ones and the
// deadline header.
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

// hopByHopHeaders are not forwarded (RFC 9110, section 7.6.1), nor is the deadline.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", HeaderDeadline,
}

// writeAnswer writes a worker's answer with its verdict to the caller.
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

// mayHaveBody reports whether an answer with this status may have a
// Content-Length.
func mayHaveBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// fingerprint hashes a request's content and its caller's credentials. Each part
// before the body is prefixed by its length, so that different requests can't yield
// the same bytes.
func fingerprint(c *call) idempotency.Fingerprint {
	h := sha256.New()
	for _, part := range []string{c.req.Method, c.req.Host, c.req.URL.RequestURI(), c.req.Header.Get("Authorization"), c.req.Header.Get("Content-Type")} {
		_, _ = io.WriteString(h, strconv.Itoa(len(part)))
		_, _ = io.WriteString(h, ":")
		_, _ = io.WriteString(h, part)
	}
	_, _ = h.Write(c.body)
	return idempotency.Fingerprint(h.Sum(nil))
}
