package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/postmount/postmount/internal/bytebudget"
	"github.com/postmount/postmount/internal/connlimit"
)

const (
	// minBodyIdle is how long a body must not have progressed before its memory is taken for others.
	minBodyIdle = 500 * time.Millisecond
	// smallBody is the announced length in bytes up to which a body may use the memory that is reserved for small ones.
	smallBody = 8 << 10
	// firstBodyBytes is the first size of the buffer of a body, which grows with the bytes received.
	firstBodyBytes = 4 << 10
	// bytesPerBodyByte and bytesPerObject estimate the memory of a decoded submission, by the bytes of its body
	// and the JSON objects in it.
	bytesPerBodyByte = 8
	bytesPerObject   = 1 << 10
	// maxCountedObjects is above the number of objects of any valid job, which has one for each step.
	maxCountedObjects = 10_001
	// discardTimeout bounds the wait for the rest of a body that is not used.
	discardTimeout = time.Second
	// keepAliveDiscardBytes is the longest unused body after which the connection stays open.
	keepAliveDiscardBytes = 8 << 10
)

// body is the body of a request.
type body struct {
	http  *http.ResponseController
	r     *http.Request
	share *bytebudget.Share
	whole bool // it has been read to its end

	decoding *bytebudget.Queue
	decoded  func() // gives back the memory of decoding
}

// bodyMemory is the memory for the bodies of all requests.
type bodyMemory struct {
	receiving *bytebudget.Budget
	decoding  *bytebudget.Queue
}

// newBodyMemory divides a number of bytes: a quarter is reserved for small bodies, and of the rest a half is for decoding.
func newBodyMemory(bytes int64) bodyMemory {
	reserve, decoding := bytes/4, bytes*3/8
	return bodyMemory{bytebudget.NewWithReserve(bytes-decoding, reserve, minBodyIdle), bytebudget.NewQueue(decoding)}
}

// newBody returns the body of a request, whose memory is taken from m until close.
func newBody(m bodyMemory, w http.ResponseWriter, r *http.Request) *body {
	b := &body{http: http.NewResponseController(w), r: r, decoding: m.decoding, decoded: func() {}}
	b.share = m.receiving.Open(b.interrupt)
	return b
}

// interrupt ends a blocked read.
func (b *body) interrupt() { _ = b.http.SetReadDeadline(time.Unix(1, 0)) } // the connection may be closed already

func (b *body) close() {
	b.decoded()
	b.share.Close()
}

// read returns the whole body, or a refusal if it is longer than limit, does not arrive until ctx ends, or needs
// memory that others use. Until then its connection may be closed for another one.
func (b *body) read(ctx context.Context, limit int) ([]byte, *reply) {
	if b.r.ContentLength > int64(limit) {
		return nil, tooLarge(limit)
	}
	if b.r.ContentLength < 0 || b.r.ContentLength > smallBody {
		b.share.SetLarge()
	}
	conn := connlimit.FromContext(b.r.Context())
	conn.End()
	stop := context.AfterFunc(ctx, b.interrupt)
	raw, err := b.readAll(ctx, limit)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if !conn.Begin() {
		panic(http.ErrAbortHandler) // nobody is left to answer
	}
	if err == nil {
		err = b.share.Complete()
	}
	if err != nil {
		return nil, b.refusal(ctx, err, limit)
	}
	return raw, nil
}

var errBodyTooLarge = errors.New("the request body is too large")

// readAll reads until the end of the body. Memory is reserved before the buffer grows.
func (b *body) readAll(ctx context.Context, limit int) ([]byte, error) {
	var raw []byte
	for {
		if len(raw) == cap(raw) {
			size := min(max(firstBodyBytes, 2*cap(raw)), b.maxSize(limit))
			if !b.share.TryGrow(int64(size - cap(raw))) {
				size = b.maxSize(limit) // waits once only
				if err := b.share.Grow(ctx, int64(size-cap(raw))); err != nil {
					return nil, err
				}
			}
			raw = append(make([]byte, 0, size), raw...)
		}
		n, err := b.r.Body.Read(raw[len(raw):cap(raw)])
		raw = raw[:len(raw)+n]
		switch {
		case len(raw) > limit:
			return nil, errBodyTooLarge
		case err == io.EOF:
			b.whole = true
			return raw, nil
		case err != nil:
			return nil, err
		}
		b.share.Progress(n)
	}
}

// maxSize returns the size of the buffer, in bytes, that holds the whole body.
func (b *body) maxSize(limit int) int {
	if b.r.ContentLength >= 0 {
		return int(b.r.ContentLength) + 1
	}
	return limit + 1
}

// reserveDecoding reserves memory for the job that will be decoded from raw: with that of the body if it is small.
func (b *body) reserveDecoding(ctx context.Context, raw []byte) *reply {
	objects := min(bytes.Count(raw, []byte("{")), maxCountedObjects)
	n := int64(bytesPerBodyByte*len(raw) + bytesPerObject*objects)
	var err error
	if b.share.RemainsSmall(n) {
		err = b.share.Grow(ctx, n)
	} else if release, acquireErr := b.decoding.Acquire(ctx, n); acquireErr == nil {
		b.decoded = release
	} else {
		err = acquireErr
	}
	if err != nil {
		return b.refusal(ctx, err, 0)
	}
	return nil
}

// refusal returns the response to a body that could not be read.
func (b *body) refusal(ctx context.Context, err error, limit int) *reply {
	switch {
	case errors.Is(err, errBodyTooLarge):
		return tooLarge(limit)
	case b.share.Evicted():
		err = bytebudget.ErrEvicted
	case errors.Is(err, bytebudget.ErrExhausted):
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, ctx.Err()):
		err = errors.New("the request body did not arrive in time")
	default:
		return &reply{status: http.StatusBadRequest, problem: "the request body could not be read completely"}
	}
	return &reply{status: http.StatusServiceUnavailable, problem: err.Error(), retryAfter: defaultRetryAfter}
}

func tooLarge(limit int) *reply {
	return &reply{status: http.StatusRequestEntityTooLarge, problem: fmt.Sprintf("the request body is too large: the limit is %d bytes", limit)}
}

// discard prepares the response to a request whose body may not have been read: the server waits for the rest of it
// for discardTimeout at most, and only for a short one before it answers.
func (b *body) discard(w http.ResponseWriter) {
	if b.whole || b.r.ContentLength == 0 {
		return
	}
	if b.r.ContentLength < 0 || b.r.ContentLength > keepAliveDiscardBytes {
		w.Header().Set("Connection", "close")
	}
	_ = b.http.SetReadDeadline(time.Now().Add(discardTimeout)) // fails only if the connection is closed
}
