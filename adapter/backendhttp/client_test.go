package backendhttp

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/requests/port"
	"github.com/postmount/postmount/verdict"
)

func newClient() *Client {
	return New(Options{MaxConnections: 8, ConnectTimeout: time.Second, IdleTimeout: time.Minute, MaxAnswerBytes: 1 << 10})
}

// request returns a request with an idempotency key.
func request(addr string, body string) port.BackendRequest {
	return port.BackendRequest{
		Worker: "w", Addr: addr, RequestID: "id-1", Method: http.MethodPost, URI: "/orders?x=1", Host: "desk.example",
		Header: http.Header{"Idempotency-Key": {"k"}}, Body: []byte(body),
	}
}

// backendServer starts a server that counts requests and passes them to handle.
func backendServer(t *testing.T, handle http.HandlerFunc) (addr string, count *atomic.Int64) {
	count = new(atomic.Int64)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		count.Add(1)
		handle(w, r)
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), count
}

func TestCompleteResponse(t *testing.T) {
	addr, _ := backendServer(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
		w.WriteHeader(http.StatusCreated)
		_, _ = w.Write([]byte(r.Host + r.RequestURI + string(body)))
	})
	a, err := newClient().Send(context.Background(), request(addr, "buy"))
	require.NoError(t, err)
	assert.Equal(t, http.StatusCreated, a.Status)
	assert.Equal(t, "desk.example/orders?x=1buy", string(a.Body))
}

func TestVerdicts(t *testing.T) {
	for _, tc := range []struct {
		name   string
		handle http.HandlerFunc
		want   verdict.Verdict
		code   verdict.Code
	}{
		{"truncated response", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "10")
			_, _ = w.Write([]byte("half"))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}, verdict.MayHaveRun, port.CodeBackendAnswerTruncated},
		{"connection closed", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, verdict.MayHaveRun, port.CodeBackendConnectionBroken},
		{"response to another request", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(HeaderRequestID, "id-2") }, verdict.MayHaveRun, port.CodeBackendAnswerForeign},
		{"too large", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 2<<10)) }, verdict.MayHaveRun, port.CodeBackendAnswerTooLarge},
		{"marked as not run", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderNotRun, "true")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, verdict.NotRun, port.CodeBackendRefused},
	} {
		t.Run(tc.name, func(t *testing.T) {
			addr, count := backendServer(t, tc.handle)
			_, err := newClient().Send(context.Background(), request(addr, "x"))
			require.Error(t, err)
			assert.Equal(t, tc.want, verdict.Of(err))
			assert.Equal(t, tc.code, verdict.CodeOf(err))
			assert.EqualValues(t, 1, count.Load(), "sent once")
		})
	}
}

func TestDialFailureIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().String()
	l.Close()
	_, err = newClient().Send(context.Background(), request(addr, "x"))
	assert.Equal(t, verdict.NotRun, verdict.Of(err))
}

// TestNoReplayOnBrokenReusedConnection guards against replays by net/http: when a
// reused connection breaks, it repeats a request with an Idempotency-Key whose body
// can be read again. It must not here, also for an empty body.
func TestNoReplayOnBrokenReusedConnection(t *testing.T) {
	for _, body := range []string{"", "buy"} {
		t.Run("body "+body, func(t *testing.T) {
			var breakConnection atomic.Bool
			addr, count := backendServer(t, func(w http.ResponseWriter, _ *http.Request) {
				if breakConnection.Load() {
					panic(http.ErrAbortHandler)
				}
				_, _ = w.Write([]byte("ok"))
			})
			c := newClient()
			_, err := c.Send(context.Background(), request(addr, body))
			require.NoError(t, err)
			breakConnection.Store(true)
			_, err = c.Send(context.Background(), request(addr, body))
			require.Error(t, err)
			assert.Equal(t, verdict.MayHaveRun, verdict.Of(err))
			assert.EqualValues(t, 2, count.Load(), "one request per Send")
		})
	}
}

// TestExecutedRequestIsNeverNotRun lets the server close every connection after its
// response. A request that the server received must never be reported as not run.
func TestExecutedRequestIsNeverNotRun(t *testing.T) {
	addr, count := backendServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
	})
	c := newClient()
	ran := int64(0)
	for range 200 {
		_, err := c.Send(context.Background(), request(addr, "x"))
		if verdict.Of(err) != verdict.NotRun {
			ran++
		}
	}
	assert.GreaterOrEqual(t, ran, count.Load())
}

func TestCancelledBeforeSendIsNotRun(t *testing.T) {
	addr, count := backendServer(t, func(http.ResponseWriter, *http.Request) {})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := newClient().Send(ctx, request(addr, "x"))
	assert.Equal(t, verdict.NotRun, verdict.Of(err))
	assert.Zero(t, count.Load())
}

func TestSealedConnectionRejectsWrites(t *testing.T) {
	client, server := net.Pipe()
	server.Close() // an unsealed write would fail with another error
	c := &trackedConn{Conn: client}
	require.True(t, c.sealIfUnwritten(c.writeCount()))
	_, err := c.Write([]byte("late"))
	assert.ErrorIs(t, err, net.ErrClosed)
}
