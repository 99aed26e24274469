package port

import (
	"context"
	"net/http"

	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/verdict"
)

// Codes of a failed send to a worker.
const (
	CodeConnect   verdict.Code = "backend-unreachable"
	CodeBroken    verdict.Code = "backend-connection-broken"
	CodeTruncated verdict.Code = "backend-answer-truncated"
	CodeForeign   verdict.Code = "backend-answer-foreign"
	CodeTooLarge  verdict.Code = "backend-answer-too-large"
	CodeTimeout   verdict.Code = "backend-timeout"
	CodeRefused   verdict.Code = "backend-refused" // it said that it did not run
)

// BackendRequest is one try of a caller's request at one worker.
type BackendRequest struct {
	Worker    fleet.InstanceID
	Addr      string // IP:port
	RequestID string // unique for the try
	Method    string
	URI       string // path and query, as received
	Host      string
	Header    http.Header // owned by the callee
	Body      []byte
}

// BackendAnswer is a whole answer.
type BackendAnswer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Backend sends requests to workers. An error carries the verdict.
type Backend interface {
	Send(ctx context.Context, r BackendRequest) (*BackendAnswer, error)
	// Keep tells which workers are in use; others' connections may be dropped.
	Keep(live map[fleet.InstanceID]string)
}
