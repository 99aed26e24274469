package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/postmount/postmount/internal/sleep"
	"github.com/postmount/postmount/requests/idempotency"
	"github.com/postmount/postmount/requests/port"
	"github.com/postmount/postmount/requests/retry"
	"github.com/postmount/postmount/verdict"
)

// inProgressPollInterval is the interval at which the key's owner is asked about
// an earlier attempt that is still running.
const inProgressPollInterval = 30 * time.Millisecond

// sendKeyed claims the request's idempotency key and then sends the request. If an
// earlier attempt holds the key, it waits for that attempt and returns its answer.
func (h *Handler) sendKeyed(ctx context.Context, c *call, grant *Grant, attempt int) (*port.BackendAnswer, error) {
	fp := fingerprint(c)
	id, reply, err := h.Claims.RequestClaim(ctx, c.key, fp)
	if err != nil || reply.Result != idempotency.Granted {
		h.Dispatcher.ReleaseUnsent(grant)
	}
	if err != nil {
		return nil, &refusal{cause: claimError(err), retryAfter: time.Second}
	}
	for reply.Result == idempotency.InProgress {
		if !sleep.For(ctx, inProgressPollInterval) {
			return nil, verdict.New(verdict.MayHaveRun, CodeEarlierAttemptRunning, "an earlier attempt with this key is still running")
		}
		// The earlier attempt may have been abandoned and this one granted now.
		if id, reply, err = h.Claims.RequestClaim(ctx, c.key, fp); err != nil {
			return nil, verdict.New(verdict.MayHaveRun, CodeEarlierAttemptRunning, "an earlier attempt with this key was running, and asking the key's owner again failed")
		}
		if reply.Result == idempotency.Granted {
			if grant, err = h.Dispatcher.Acquire(ctx, c.route.Service, c.route.Class, c.deadline); err != nil {
				h.Claims.EndAttempt(id, idempotency.Abandoned, nil)
				return nil, err
			}
		}
	}
	if reply.Result != idempotency.Granted {
		return earlierAttemptAnswer(reply)
	}
	return h.sendClaimed(ctx, c, grant, id, attempt)
}

// claimError adds context to an error of Claims and keeps its verdict and code.
func claimError(err error) *verdict.Error {
	return verdict.Wrap(err, verdict.Of(err), verdict.CodeOf(err), "claim the idempotency key")
}

// sendClaimed sends a request whose key is claimed and records the result.
func (h *Handler) sendClaimed(ctx context.Context, c *call, grant *Grant, id idempotency.AttemptID, attempt int) (*port.BackendAnswer, error) {
	answer, err := h.send(ctx, c, grant, attempt)
	switch {
	case err == nil:
		h.Claims.EndAttempt(id, idempotency.Finished, h.retainedAnswer(answer))
	case verdict.Of(err) == verdict.NotRun:
		h.Claims.EndAttempt(id, idempotency.Abandoned, nil)
	default:
		h.Claims.EndAttempt(id, idempotency.Unknown, nil)
	}
	return answer, err
}

// retainedAnswer returns the answer to keep for resent requests, nil if it is
// larger than Limits.MaxRetained.
func (h *Handler) retainedAnswer(a *port.BackendAnswer) *idempotency.Answer {
	if len(a.Body) > h.Limits.MaxRetained {
		return nil
	}
	return &idempotency.Answer{Status: a.Status, Header: a.Header, Body: a.Body}
}

// HeaderReplayed marks an answer of an earlier attempt with the same key.
const HeaderReplayed = "Postmount-Replayed"

// earlierAttemptAnswer converts the owner's reply about an earlier attempt into
// the answer or error of this one.
func earlierAttemptAnswer(r idempotency.Reply) (*port.BackendAnswer, error) {
	switch r.Result {
	case idempotency.Answered:
		header := http.Header(r.Answer.Header).Clone()
		if header == nil {
			header = http.Header{}
		}
		header.Set(HeaderReplayed, "true")
		return &port.BackendAnswer{Status: r.Answer.Status, Header: header, Body: r.Answer.Body}, nil
	case idempotency.NotRetained:
		return nil, verdict.New(verdict.MayHaveRun, CodeAnswerNotRetained, "the request ran, but its answer is no longer retained")
	case idempotency.Mismatch:
		return nil, verdict.New(verdict.NotRun, CodeKeyReused, "the idempotency key was already used for a different request")
	case idempotency.Expired:
		return nil, verdict.New(verdict.MayHaveRun, CodeKeyExpired, "the idempotency key is older than the retention period")
	case idempotency.FromFuture:
		return nil, verdict.New(verdict.NotRun, CodeKeyFromFuture, "the timestamp of the idempotency key is in the future")
	default:
		return nil, verdict.New(verdict.MayHaveRun, CodeEarlierAttemptUnknown, "an earlier attempt with this idempotency key may have run")
	}
}

// shouldRetry reports whether a failed attempt is retried, and after which delay.
// A keyed request that may have run is never retried: its key stays claimed.
func (h *Handler) shouldRetry(ctx context.Context, c *call, attempt int, err error) (time.Duration, bool) {
	if ctx.Err() != nil || (err != nil && h.isFinal(err)) {
		return 0, false
	}
	return h.Dispatcher.Retry(c.route.Service, retry.Attempt{
		Number:     attempt,
		Verdict:    verdict.Of(err), // Done for an answer with a 5xx status
		Idempotent: c.idempotent,
		Overloaded: verdict.CodeOf(err) == port.CodeBackendRefused,
		Remaining:  time.Until(c.deadline),
	})
}

// isFinal reports whether an error is returned without a retry. Only an unreachable
// worker, a broken connection, a timeout and an answer that is truncated or belongs
// to another request may be retried.
func (h *Handler) isFinal(err error) bool {
	switch verdict.CodeOf(err) {
	case port.CodeBackendUnreachable, port.CodeBackendConnectionBroken, port.CodeBackendAnswerTruncated, port.CodeBackendAnswerForeign, port.CodeBackendTimeout:
		return false
	default:
		return true
	}
}
