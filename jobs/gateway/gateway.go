// Package gateway implements the HTTP API for callers, who submit jobs, read their state, cancel
// them and count the pending jobs of a queue.
package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/postmount/postmount/internal/connlimit"
	"github.com/postmount/postmount/jobs/admission"
	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/ledger"
	"github.com/postmount/postmount/verdict"
)

// JobService is the part of the daemon that the gateway uses.
type JobService interface {
	// Catalog returns the configuration in force, nil before the first one.
	Catalog() *job.Catalog
	// FreshCatalog returns a configuration that is known to have been the newest a moment ago, or an error with
	// the verdict NotRun.
	FreshCatalog(ctx context.Context) (*job.Catalog, error)
	// ConfigConfirmed reports whether keys may be checked against that configuration: it was
	// known to be the newest recently enough, or the settings do not require that.
	ConfigConfirmed() bool
	// Accept stores a job.
	Accept(ctx context.Context, j *job.Job) error
	// Cancel cancels a job for a tenant and reports whether the job is known.
	Cancel(ctx context.Context, id job.ID, tenant string) (bool, error)
	// State returns the state and the tenant of a job; known is false if there is no such job.
	State(ctx context.Context, id job.ID) (state job.State, tenant string, known bool, err error)
	// Pending returns the number of pending jobs of a queue.
	Pending(ctx context.Context, queue string) (int, error)
}

// JobDecoder decodes the body of a submission.
type JobDecoder func(raw []byte) (*job.Job, error)

// KeyReader returns the key in a request's headers, "" if there is none.
type KeyReader func(h http.Header) string

// Observer receives every response, for metrics.
type Observer interface {
	ObserveResponse(method string, status int, took time.Duration)
}

// Timeouts and limits of requests.
const (
	// defaultDeadline applies to requests without a deadlineHeader.
	defaultDeadline = 3 * time.Second
	// responseMargin is the part of a caller's deadline that is reserved for sending the response.
	responseMargin = 250 * time.Millisecond
	// maxDeadline bounds the deadline of a caller, whose request holds memory and a connection for as long.
	maxDeadline = time.Minute
	// minHandlerTimeout is the minimum time for handling a request with a short deadline.
	minHandlerTimeout = 50 * time.Millisecond
	// defaultRetryAfter is the usual time until another daemon has taken over, or the store has
	// recovered from a short outage.
	defaultRetryAfter = 1 * time.Second
	// defaultBodyLimit is the maximum body size in bytes if the configuration sets none.
	defaultBodyLimit = 256 << 10
	// defaultBodyBudget is the budget of all bodies in bytes if SetBodyBudget sets none.
	defaultBodyBudget = 32 << 20
)

// deadlineHeader is the request header with the time that the caller waits for the response, in
// milliseconds.
const deadlineHeader = "Deadline-Ms"

// Gateway is the http.Handler of callers' requests.
type Gateway struct {
	jobs               JobService
	readKey            KeyReader
	decode             JobDecoder
	observe            Observer
	log                *zap.Logger
	bodies             bodyMemory
	keepAlivesDisabled atomic.Bool
}

// New returns a gateway whose requests take the memory of their bodies from defaultBodyBudget, see SetBodyBudget.
func New(jobs JobService, key KeyReader, decode JobDecoder, observe Observer, log *zap.Logger) *Gateway {
	return &Gateway{jobs: jobs, readKey: key, decode: decode, observe: observe, log: log, bodies: newBodyMemory(defaultBodyBudget)}
}

// SetBodyBudget bounds the memory in bytes of the bodies that are received and of the jobs decoded from them, over
// all requests. It must be called before the first request.
func (g *Gateway) SetBodyBudget(bytes int64) { g.bodies = newBodyMemory(bytes) }

// DisableKeepAlives makes every further response close its connection, before a planned stop.
func (g *Gateway) DisableKeepAlives() { g.keepAlivesDisabled.Store(true) }

// reply is a response to a caller.
type reply struct {
	status     int
	body       any
	problem    string        // why a request was refused
	retryAfter time.Duration // 0: no Retry-After header
}

// OverloadedError means that a job was refused because it would be late by LateBy, or because too many jobs are open. If
// it is submitted again after RetryAfter, it could be on time.
type OverloadedError struct {
	Reason             admission.Reason
	LateBy, RetryAfter time.Duration
}

// Error implements error.
func (e *OverloadedError) Error() string {
	if e.Reason == admission.OwnerFull {
		return fmt.Sprintf("%s: too many jobs of the queue are open", e.Reason)
	}
	return fmt.Sprintf("%s: the job would be late by %s", e.Reason, e.LateBy.Round(time.Millisecond))
}

// ImpossibleError means that a job was refused because it can never run.
type ImpossibleError struct{ Reason admission.Reason }

// Error implements error.
func (e *ImpossibleError) Error() string { return fmt.Sprintf("%s: the job can never run", e.Reason) }

type stateBody struct {
	State job.State `json:"state"`
}

type pendingBody struct {
	Pending int `json:"pending"`
}

type problemBody struct {
	Error   string `json:"error"`
	Verdict string `json:"verdict"`
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(r.Context(), handlerTimeout(r))
	defer cancel()
	conn := connlimit.FromContext(r.Context())
	if !conn.Begin() {
		panic(http.ErrAbortHandler) // nobody is left to answer
	}
	b := newBody(g.bodies, w, r)
	defer b.close()
	rep, id := g.route(ctx, b, r)
	b.close()
	b.discard(w)
	conn.End()
	g.write(w, rep)
	took := time.Since(began)
	g.observe.ObserveResponse(r.Method, rep.status, took)
	if rep.status >= http.StatusTooManyRequests || rep.status == http.StatusUnauthorized || rep.status == http.StatusForbidden {
		g.log.Info("request-refused", zap.String("method", r.Method), zap.String("job", id),
			zap.Int("status", rep.status), zap.String("why", rep.problem), zap.Duration("took", took))
	}
}

// handlerTimeout returns the time for handling a request, from its deadlineHeader.
func handlerTimeout(r *http.Request) time.Duration {
	d := defaultDeadline
	if n, err := strconv.Atoi(r.Header.Get(deadlineHeader)); err == nil && n > 0 {
		d = time.Duration(min(n, int(maxDeadline.Milliseconds()))) * time.Millisecond
	}
	return max(minHandlerTimeout, d-responseMargin)
}

// route handles a request and returns the response and the ID of the job, "" if it names none.
func (g *Gateway) route(ctx context.Context, b *body, r *http.Request) (reply, string) {
	catalog := g.jobs.Catalog()
	if catalog == nil {
		return reply{status: http.StatusServiceUnavailable, problem: "no configuration loaded yet", retryAfter: defaultRetryAfter}, ""
	}
	queue, rest := catalog.Match(r.Host, r.URL.Path)
	if queue == nil { // a newer configuration may have it
		fresh, err := g.jobs.FreshCatalog(ctx)
		if err != nil {
			return errorReply(err), rest
		}
		catalog = fresh
		queue, rest = catalog.Match(r.Host, r.URL.Path)
	}
	if queue == nil {
		return reply{status: http.StatusNotFound, problem: "no such queue"}, rest
	}
	tenant, refused := g.authenticate(r, catalog, queue)
	if refused != nil {
		return *refused, ""
	}
	if rest == "" && r.Method == http.MethodGet {
		return g.pending(ctx, queue), ""
	}
	if !job.ValidID(rest) {
		return reply{status: http.StatusBadRequest, problem: "invalid job id: must have 16 hexadecimal digits"}, rest
	}
	id := job.ID(rest)
	switch r.Method {
	case http.MethodPost, http.MethodPut:
		return g.submit(ctx, b, catalog, queue, tenant, id), rest
	case http.MethodGet:
		return g.state(ctx, id, tenant), rest
	case http.MethodDelete:
		return g.cancel(ctx, id, tenant), rest
	}
	return reply{status: http.StatusMethodNotAllowed, problem: "method not allowed: use POST, PUT, GET or DELETE"}, rest
}

// authenticate returns the tenant whose key the request carries, "" for a public queue, or else the
// response that refuses the request. It is called after the queue was found: which paths exist is
// not secret, and an unknown path has nothing to protect.
func (g *Gateway) authenticate(r *http.Request, catalog *job.Catalog, queue *job.Queue) (tenant string, refused *reply) {
	if queue.Public {
		return "", nil
	}
	key := g.readKey(r.Header)
	tenant, ok := catalog.Keys.Tenant(key)
	switch {
	case ok && g.jobs.ConfigConfirmed():
		return tenant, nil
	case ok:
		return "", &reply{status: http.StatusServiceUnavailable, problem: "the key cannot be verified at present: the configuration may be outdated", retryAfter: defaultRetryAfter}
	case key == "":
		return "", &reply{status: http.StatusUnauthorized, problem: fmt.Sprintf("the request has no key, which configuration %d requires", catalog.Version)}
	}
	return "", &reply{status: http.StatusUnauthorized, problem: fmt.Sprintf("the key is not in configuration %d", catalog.Version)}
}

func (g *Gateway) submit(ctx context.Context, b *body, catalog *job.Catalog, queue *job.Queue, tenant string, id job.ID) reply {
	limit := catalog.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	raw, refused := b.read(ctx, limit)
	if refused != nil {
		return *refused
	}
	if refused := b.reserveDecoding(ctx, raw); refused != nil {
		return *refused
	}
	j, err := g.decode(raw)
	if err != nil {
		return reply{status: http.StatusBadRequest, problem: err.Error()}
	}
	j.ID = id
	j.Queue = queue.Name
	j.Service = queue.Service
	j.Settings = queue.RunSettings()
	j.Tenant = tenant
	j.AcceptedAt = time.Now()
	if err := catalog.CheckTenantLimit(j); err != nil {
		return reply{status: http.StatusTooManyRequests, problem: err.Error()}
	}
	if err := g.jobs.Accept(ctx, j); err != nil {
		return errorReply(err)
	}
	g.log.Info("job-accepted", zap.String("job", string(id)), zap.String("queue", queue.Name), zap.Int64("configuration", catalog.Version))
	return reply{status: http.StatusOK, body: struct{}{}}
}

func (g *Gateway) state(ctx context.Context, id job.ID, tenant string) reply {
	state, jobTenant, known, err := g.jobs.State(ctx, id)
	switch {
	case err != nil:
		return errorReply(err)
	case !known:
		return reply{status: http.StatusGone, problem: "no such job"}
	case !job.MayAccess(tenant, jobTenant):
		return errorReply(ledger.ErrOtherTenant(id))
	}
	return reply{status: http.StatusOK, body: stateBody{state}}
}

func (g *Gateway) cancel(ctx context.Context, id job.ID, tenant string) reply {
	known, err := g.jobs.Cancel(ctx, id, tenant)
	switch {
	case err != nil:
		return errorReply(err)
	case !known:
		return reply{status: http.StatusGone, problem: "no such job"}
	}
	g.log.Info("job-cancel-accepted", zap.String("job", string(id)))
	return reply{status: http.StatusOK, body: struct{}{}}
}

func (g *Gateway) pending(ctx context.Context, queue *job.Queue) reply {
	n, err := g.jobs.Pending(ctx, queue.Name)
	if err != nil {
		return errorReply(err)
	}
	return reply{status: http.StatusOK, body: pendingBody{n}}
}

// errorReply returns the response for an error by its verdict: 503 if the request has not run, 504
// if it may have.
func errorReply(err error) reply {
	if verdict.CodeOf(err) == ledger.CodeOtherTenant {
		return reply{status: http.StatusForbidden, problem: err.Error()}
	}
	if verdict.CodeOf(err) == ledger.CodeSubmissionTooLarge {
		return reply{status: http.StatusRequestEntityTooLarge, problem: err.Error()}
	}
	var impossible *ImpossibleError
	if errors.As(err, &impossible) || verdict.CodeOf(err) == ledger.CodeCancelledEarly {
		return reply{status: http.StatusTooManyRequests, problem: err.Error()} // without Retry-After, as returning is useless
	}
	if verdict.Of(err) == verdict.NotRun {
		return reply{status: http.StatusServiceUnavailable, problem: err.Error(), retryAfter: retryAfterFor(err)}
	}
	return reply{status: http.StatusGatewayTimeout, problem: err.Error(), retryAfter: defaultRetryAfter}
}

// retryAfterFor returns after which time a request that has not run should be repeated.
func retryAfterFor(err error) time.Duration {
	var overloaded *OverloadedError
	if errors.As(err, &overloaded) {
		return max(defaultRetryAfter, overloaded.RetryAfter)
	}
	return defaultRetryAfter
}

func (g *Gateway) write(w http.ResponseWriter, rep reply) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if g.keepAlivesDisabled.Load() {
		h.Set("Connection", "close")
	}
	if rep.retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(rep.retryAfter.Seconds()))))
	}
	if rep.status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	body := rep.body
	if rep.problem != "" {
		v := verdict.NotRun
		if rep.status == http.StatusGatewayTimeout {
			v = verdict.MayHaveRun
		}
		h.Set(verdict.Header, v.String())
		body = problemBody{rep.problem, v.String()}
	}
	raw, err := json.Marshal(body)
	if err != nil {
		g.log.Error("response-encode-failed", zap.Error(err))
	}
	h.Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(rep.status)
	if _, err := w.Write(raw); err != nil && !errors.Is(err, http.ErrHandlerTimeout) {
		g.log.Debug("response-write-failed", zap.Error(err))
	}
}
