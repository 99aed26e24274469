package entry

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/postmount/postmount/requests/directory"
	"github.com/postmount/postmount/requests/fleet"
	"github.com/postmount/postmount/requests/idempotency"
	"github.com/postmount/postmount/requests/member"
	"github.com/postmount/postmount/requests/port"
	"github.com/postmount/postmount/requests/route"
	"github.com/postmount/postmount/verdict"
)

// fakeClaims gives the same reply to every claim.
type fakeClaims struct{ reply idempotency.Reply }

func (f *fakeClaims) Reachable(idempotency.Key) bool { return true }
func (f *fakeClaims) RequestClaim(context.Context, idempotency.Key, idempotency.Fingerprint) (idempotency.AttemptID, idempotency.Reply, error) {
	return "attempt", f.reply, nil
}
func (f *fakeClaims) EndAttempt(idempotency.AttemptID, idempotency.Status, *idempotency.Answer) {}

type fakeBackend struct {
	sent []port.BackendRequest
	errs []error // results of the first sends; nil or beyond the end is a success
}

func (f *fakeBackend) RetainConnections(map[fleet.InstanceID]string) {}
func (f *fakeBackend) Send(_ context.Context, r port.BackendRequest) (*port.BackendAnswer, error) {
	f.sent = append(f.sent, r)
	if n := len(f.sent); n <= len(f.errs) && f.errs[n-1] != nil {
		return nil, f.errs[n-1]
	}
	return &port.BackendAnswer{Status: http.StatusOK, Header: http.Header{"X-Desk": {"1"}}, Body: []byte("ok")}, nil
}

type noObserver struct{}

func (noObserver) Answered(fleet.ServiceName, fleet.ClassName, verdict.Verdict, verdict.Code, int, time.Duration) {
}
func (noObserver) AttemptEnded(fleet.ServiceName, fleet.InstanceID, int, error) {}
func (noObserver) HealthChanged(fleet.ServiceName, fleet.InstanceID, bool)      {}

func newHandler(claims *fakeClaims, backend *fakeBackend) *Handler {
	view := &fleet.View{Epoch: 1, Members: []fleet.Entry{{Incarnation: "a"}}}
	d := NewDispatcher("a", "z", time.Second, DefaultPolicies, rand.New(rand.NewPCG(1, 1)))
	d.SetView(view)
	dir := directory.Empty()
	dir.Routes = route.NewTable([]fleet.Route{{Host: "desk", Prefix: "/orders", Service: "s", Class: "c"}, {Host: "desk", Prefix: "/empty", Service: "none", Class: "c"}})
	dir.Services["s"] = &directory.Service{Name: "s", Workers: []directory.Worker{{ID: "w", Addr: "w", Slots: 2}}}
	dir.Services["none"] = &directory.Service{Name: "none"}
	dir.Slots["w"] = 2
	d.SetDirectory(dir)
	return &Handler{
		Dispatcher: d, Claims: claims, Backend: backend, Observer: noObserver{},
		ServingStatus: func() member.ServingStatus {
			return member.ServingStatus{Epoch: 1, SlotsUntil: time.Now().Add(time.Hour)}
		},
		Limits: Limits{MaxBody: 16, DefaultTimeout: time.Second, MaxTimeout: time.Minute, MaxInFlight: 10, MaxBuffered: 1000, MaxRetained: 10},
	}
}

func do(h *Handler, method, target, body string, header ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, target, strings.NewReader(body))
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

func key() string { return uuid.Must(uuid.NewV7()).String() }

func TestInvalidRequestsAreRefusedWithoutRunning(t *testing.T) {
	for _, tc := range []struct {
		name, target, body string
		header             []string
		status             int
		code               verdict.Code
	}{
		{"unknown host", "http://other/orders", "", nil, http.StatusNotFound, CodeNoRoute},
		{"unknown path", "http://desk/ordersx", "", nil, http.StatusNotFound, CodeNoRoute},
		{"too large", "http://desk/orders", strings.Repeat("x", 17), nil, http.StatusRequestEntityTooLarge, CodeTooLarge},
		{"bad deadline", "http://desk/orders", "", []string{HeaderDeadline, "soon"}, http.StatusBadRequest, CodeBadRequest},
		{"negative deadline", "http://desk/orders", "", []string{HeaderDeadline, "-1"}, http.StatusBadRequest, CodeBadRequest},
		{"key is not a UUIDv7", "http://desk/orders", "", []string{HeaderKey, "order-1"}, http.StatusBadRequest, CodeBadKey},
		{"no workers", "http://desk/empty", "", nil, http.StatusServiceUnavailable, CodeNoWorkers},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := &fakeBackend{}
			w := do(newHandler(&fakeClaims{}, b), http.MethodPost, tc.target, tc.body, tc.header...)
			assert.Equal(t, tc.status, w.Code)
			assert.Equal(t, "not-run", w.Header().Get(verdict.Header))
			var p Problem
			require.NoError(t, json.Unmarshal(w.Body.Bytes(), &p))
			assert.Equal(t, "urn:postmount:"+string(tc.code), p.Type)
			assert.Empty(t, b.sent)
		})
	}
}

func TestAnswersForClaimReplies(t *testing.T) {
	for _, tc := range []struct {
		result idempotency.Result
		status int
		want   verdict.Verdict
	}{
		{idempotency.Granted, http.StatusOK, verdict.Done},
		{idempotency.Answered, http.StatusCreated, verdict.Done},
		{idempotency.NotRetained, http.StatusConflict, verdict.MayHaveRun},
		{idempotency.MayHaveRun, http.StatusConflict, verdict.MayHaveRun},
		{idempotency.Expired, http.StatusConflict, verdict.MayHaveRun},
		{idempotency.Mismatch, http.StatusUnprocessableEntity, verdict.NotRun},
		{idempotency.FromFuture, http.StatusBadRequest, verdict.NotRun},
	} {
		claims := &fakeClaims{reply: idempotency.Reply{Result: tc.result, Answer: &idempotency.Answer{Status: http.StatusCreated}}}
		w := do(newHandler(claims, &fakeBackend{}), http.MethodPost, "http://desk/orders", "buy", HeaderKey, key())
		assert.Equal(t, tc.status, w.Code, "%v", tc.result)
		assert.Equal(t, tc.want.String(), w.Header().Get(verdict.Header), "%v", tc.result)
	}
}

func TestRetriesOnlyRepeatableRequests(t *testing.T) {
	broken := verdict.New(verdict.MayHaveRun, port.CodeBackendConnectionBroken, "broken")
	refused := verdict.New(verdict.NotRun, port.CodeBackendUnreachable, "refused")
	for _, tc := range []struct {
		name, method string
		err          error
		sends        int
		status       int
	}{
		{"GET that may have run", http.MethodGet, broken, 2, http.StatusOK},
		{"POST that may have run", http.MethodPost, broken, 1, http.StatusBadGateway},
		{"POST that did not run", http.MethodPost, refused, 2, http.StatusOK},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := &fakeBackend{errs: []error{tc.err}}
			w := do(newHandler(&fakeClaims{reply: idempotency.Reply{Result: idempotency.Granted}}, b), tc.method, "http://desk/orders", "")
			assert.Len(t, b.sent, tc.sends)
			assert.Equal(t, tc.status, w.Code)
		})
	}
}

func TestForwardsWithoutHopByHopHeaders(t *testing.T) {
	b := &fakeBackend{}
	do(newHandler(&fakeClaims{}, b), http.MethodGet, "http://desk/orders?x=1", "", "Connection", "X-Hop", "X-Hop", "1", "X-Kept", "1", HeaderDeadline, "500")
	require.Len(t, b.sent, 1)
	assert.Equal(t, "/orders?x=1", b.sent[0].URI)
	assert.Equal(t, http.Header{"X-Kept": {"1"}}, b.sent[0].Header)
}

func TestCutOffDaemonRefusesRequests(t *testing.T) {
	b := &fakeBackend{}
	h := newHandler(&fakeClaims{}, b)
	h.ServingStatus = func() member.ServingStatus {
		return member.ServingStatus{Epoch: 1, SlotsUntil: time.Now().Add(-time.Second)}
	}
	w := do(h, http.MethodGet, "http://desk/orders", "")
	assert.Equal(t, "not-run", w.Header().Get(verdict.Header))
	assert.NotEmpty(t, w.Header().Get("Retry-After"))
	assert.Empty(t, b.sent)
}

func TestStoppingDaemonRefusesRequests(t *testing.T) {
	h := newHandler(&fakeClaims{}, &fakeBackend{})
	h.CloseConnections()
	h.Stop()
	w := do(h, http.MethodGet, "http://desk/orders", "")
	assert.Equal(t, "not-run", w.Header().Get(verdict.Header))
	assert.Equal(t, "close", w.Header().Get("Connection"))
}

func FuzzRequest(f *testing.F) {
	f.Add("/orders", "buy", "500", "0190b0a0-0000-7000-8000-000000000000")
	f.Fuzz(func(t *testing.T, path, body, deadline, key string) {
		r := httptest.NewRequest(http.MethodPost, "http://desk/orders", strings.NewReader(body))
		r.URL.Path = path
		r.Header.Set(HeaderDeadline, deadline)
		r.Header.Set(HeaderKey, key)
		w := httptest.NewRecorder()
		newHandler(&fakeClaims{reply: idempotency.Reply{Result: idempotency.Granted}}, &fakeBackend{}).ServeHTTP(w, r)
		if w.Header().Get(verdict.Header) == "" {
			t.Errorf("status %d: answer without a %s header", w.Code, verdict.Header)
		}
	})
}
