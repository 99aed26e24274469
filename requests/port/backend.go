package port

import (
	"context"
	"net/http"

	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/verdict"
)

// Error codes of failed requests to a worker.
const (
	CodeBackendUnreachable      verdict.Code = "backend-unreachable"
	CodeBackendConnectionBroken verdict.Code = "backend-connection-broken"
	CodeBackendAnswerTruncated  verdict.Code = "backend-answer-truncated"
	CodeBackendAnswerForeign    verdict.Code = "backend-answer-foreign"
	CodeBackendAnswerTooLarge   verdict.Code = "backend-answer-too-large"
	CodeBackendTimeout          verdict.Code = "backend-timeout"
	CodeBackendRefused          verdict.Code = "backend-refused" // the worker reported that the request did not run
)

// BackendRequest is one attempt to send a caller's request to one worker.
type BackendRequest struct {
	Worker    fleet.InstanceID
	Addr      string // IP:port
	RequestID string // unique per attempt
	Method    string
	URI       string // path and query, as received
	Host      string
	Header    http.Header // Send may modify it
	Body      []byte
}

// BackendAnswer is a worker's complete response.
type BackendAnswer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Backend sends requests to workers.
type Backend interface {
	// Send sends one request and returns the worker's complete answer, which may have
	// an error status. Errors carry a verdict and one of the codes above.
	Send(ctx context.Context, r BackendRequest) (*BackendAnswer, error)
	// RetainConnections closes idle connections to workers that are not in live,
	// which maps each worker in use to its address.
	RetainConnections(live map[fleet.InstanceID]string)
}
