package entry

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/postmount/postmount/requests/port"
	"github.com/postmount/postmount/verdict"
)

// Problem is the body of an answer that postmount itself gives (RFC 9457).
type Problem struct {
	Type    string          `json:"type"` // "urn:postmount:" and the code
	Title   string          `json:"title"`
	Status  int             `json:"status"`
	Detail  string          `json:"detail,omitempty"`
	Verdict verdict.Verdict `json:"verdict"`
	// RetryAfter is when to come back, in milliseconds; 0 if it is no use.
	RetryAfter int64 `json:"retry_after_ms,omitempty"`
}

// Header names of answers.
const (
	headerRetryAfter = "Retry-After"
	headerRetryMS    = "Postmount-Retry-After-Ms"
	contentProblem   = "application/problem+json"
)

// writeProblem answers with a failure at once.
func writeProblem(w http.ResponseWriter, status int, err error) {
	code := verdict.CodeOf(err)
	if code == "" {
		code = "internal"
	}
	p := Problem{
		Type:    "urn:postmount:" + string(code),
		Title:   http.StatusText(status),
		Status:  status,
		Detail:  err.Error(),
		Verdict: verdict.Of(err),
	}
	var r *refusal
	if errors.As(err, &r) {
		p.RetryAfter = r.retryAfter.Milliseconds()
		w.Header().Set(headerRetryAfter, strconv.Itoa(int(math.Ceil(r.retryAfter.Seconds()))))
		w.Header().Set(headerRetryMS, strconv.FormatInt(p.RetryAfter, 10))
	}
	w.Header().Set("Content-Type", contentProblem)
	w.Header().Set(verdict.Header, p.Verdict.String())
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(p)
}

// statusOf maps a failure to the HTTP status of its answer: 503 for what did
// not run, 504 or 502 for what may have run.
func statusOf(err error) int {
	switch {
	case verdict.Of(err) == verdict.NotRun:
		return http.StatusServiceUnavailable
	case verdict.CodeOf(err) == port.CodeBackendTimeout:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

// newRefusal returns an error of verdict NotRun that tells when to come back.
func newRefusal(code verdict.Code, text string, after time.Duration) error {
	return &refusal{verdict.New(verdict.NotRun, code, "%s", text), after}
}

// refusal is an error of verdict NotRun with the time to come back.
type refusal struct {
	cause      *verdict.Error
	retryAfter time.Duration
}

// Error implements error.
func (e *refusal) Error() string { return e.cause.Error() }

// Unwrap returns the error with the verdict.
func (e *refusal) Unwrap() error { return e.cause }
