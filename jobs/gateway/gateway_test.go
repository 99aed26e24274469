package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/jobs/ledger"
	"github.com/postmount/postmount/verdict"
)

// fakeJobs is a JobService with configurable results.
type fakeJobs struct {
	catalog     *job.Catalog
	err         error
	known       bool
	jobTenant   string       // tenant of all jobs
	configStale bool         // the configuration may not be the newest
	fresh       *job.Catalog // the newest configuration; nil: catalog
	freshErr    error        // of its read
	accepted    []*job.Job
}

func (f *fakeJobs) ConfigConfirmed() bool { return !f.configStale }

func (f *fakeJobs) Catalog() *job.Catalog { return f.catalog }

func (f *fakeJobs) FreshCatalog(context.Context) (*job.Catalog, error) {
	if f.fresh == nil {
		return f.catalog, f.freshErr
	}
	return f.fresh, f.freshErr
}

func (f *fakeJobs) Accept(_ context.Context, j *job.Job) error {
	f.accepted = append(f.accepted, j)
	return f.err
}

func (f *fakeJobs) Cancel(_ context.Context, id job.ID, tenant string) (bool, error) {
	if !job.MayAccess(tenant, f.jobTenant) {
		return true, ledger.ErrOtherTenant(id)
	}
	return f.known, f.err
}

func (f *fakeJobs) State(context.Context, job.ID) (job.State, string, bool, error) {
	return job.Running, f.jobTenant, f.known, f.err
}

func (f *fakeJobs) Pending(context.Context, string) (int, error) { return 12, f.err }

// readTestKey reads the key from the header that the tests set.
func readTestKey(h http.Header) string { return h.Get("Key") }

type noObserver struct{}

func (noObserver) ObserveResponse(string, int, time.Duration) {}

func decode(raw []byte) (*job.Job, error) {
	if string(raw) != "good" {
		return nil, errors.New("not a job")
	}
	return &job.Job{}, nil
}

func catalog() *job.Catalog {
	return &job.Catalog{
		Version: 3,
		Queues: []job.Queue{
			{Name: "q", Host: "h.example", Prefix: "/a/", Service: "s", Public: true},
			{Name: "longer", Host: "h.example", Prefix: "/a/b/", Service: "t", Public: true},
		},
		Limits: job.Limits{BodyBytes: 10},
	}
}

const id = "5c0e7a21d94b36f8"

var (
	notRun     = verdict.New(verdict.NotRun, "down", "the store is unavailable")
	mayHaveRun = verdict.New(verdict.MayHaveRun, "lost", "the answer was lost")
)

func TestStatusCodes(t *testing.T) {
	known := &fakeJobs{catalog: catalog(), known: true}
	for _, c := range []struct {
		name, method, host, path, body string
		jobs                           *fakeJobs
		status                         int
		response                       string
	}{
		{"accepted", "POST", "h.example", "/a/" + id, "good", known, 200, `{}`},
		{"with a port", "POST", "h.example:80", "/a/" + id, "good", known, 200, `{}`},
		{"an invalid body", "POST", "h.example", "/a/" + id, "bad", known, 400, `not a job`},
		{"too large", "POST", "h.example", "/a/" + id, strings.Repeat("x", 11), known, 413, `too large`},
		{"no such host", "POST", "other", "/a/" + id, "good", known, 404, `no such queue`},
		{"no such prefix", "POST", "h.example", "/z/" + id, "good", known, 404, `no such queue`},
		{"no id", "POST", "h.example", "/a/xyz", "good", known, 400, `hexadecimal`},
		{"no such method", "PATCH", "h.example", "/a/" + id, "", known, 405, `POST`},
		{"state", "GET", "h.example", "/a/" + id, "", known, 200, `{"state":"running"}`},
		{"unknown job", "GET", "h.example", "/a/" + id, "", &fakeJobs{catalog: catalog()}, 410, `no such job`},
		{"cancelled", "DELETE", "h.example", "/a/" + id, "", known, 200, `{}`},
		{"cancel of an unknown job", "DELETE", "h.example", "/a/" + id, "", &fakeJobs{catalog: catalog()}, 410, `no such job`},
		{"length of a queue", "GET", "h.example", "/a/", "", known, 200, `{"pending":12}`},
		{"before the first configuration", "POST", "h.example", "/a/" + id, "good", &fakeJobs{}, 503, `not-run`},
		{"not stored", "POST", "h.example", "/a/" + id, "good", &fakeJobs{catalog: catalog(), err: notRun}, 503, `not-run`},
		{"may be stored", "POST", "h.example", "/a/" + id, "good", &fakeJobs{catalog: catalog(), err: mayHaveRun}, 504, `may-have-run`},
		{"may be cancelled", "DELETE", "h.example", "/a/" + id, "", &fakeJobs{catalog: catalog(), err: mayHaveRun}, 504, `may-have-run`},
	} {
		g := New(c.jobs, readTestKey, decode, noObserver{}, zap.NewNop())
		r := httptest.NewRequest(c.method, c.path, strings.NewReader(c.body))
		r.Host = c.host
		w := httptest.NewRecorder()
		g.ServeHTTP(w, r)
		assert.Equal(t, c.status, w.Code, c.name)
		assert.Contains(t, w.Body.String(), c.response, c.name)
		retry := w.Header().Get("Retry-After")
		assert.Equal(t, c.status >= 503, retry != "", c.name)
	}
}

func TestSubmittedJobHasQueueAndService(t *testing.T) {
	f := &fakeJobs{catalog: catalog()}
	g := New(f, readTestKey, decode, noObserver{}, zap.NewNop())
	r := httptest.NewRequest(http.MethodPost, "/a/b/"+id, strings.NewReader("good"))
	r.Host = "h.example"
	g.ServeHTTP(httptest.NewRecorder(), r)
	assert.Len(t, f.accepted, 1)
	assert.Equal(t, "longer", f.accepted[0].Queue, "the longest matching prefix")
	assert.Equal(t, "t", f.accepted[0].Service)
	assert.EqualValues(t, id, f.accepted[0].ID)
}

func TestDisableKeepAlivesClosesConnections(t *testing.T) {
	g := New(&fakeJobs{catalog: catalog(), known: true}, readTestKey, decode, noObserver{}, zap.NewNop())
	g.DisableKeepAlives()
	r := httptest.NewRequest(http.MethodGet, "/a/"+id, nil)
	r.Host = "h.example"
	w := httptest.NewRecorder()
	g.ServeHTTP(w, r)
	assert.Equal(t, http.StatusOK, w.Code)
	assert.Equal(t, "close", w.Header().Get("Connection"))
}

// TestRetryAfter: Retry-After tells the caller of a refused job when it would be on time, rounded up
// to whole seconds.
func TestRetryAfter(t *testing.T) {
	for _, c := range []struct {
		err  error
		want string
	}{
		{notRun, "1"},
		{mayHaveRun, "1"},
		{verdict.Wrap(&OverloadedError{RetryAfter: 2300 * time.Millisecond}, verdict.NotRun, "overloaded", "job"), "3"},
		{verdict.Wrap(&OverloadedError{RetryAfter: time.Millisecond}, verdict.NotRun, "overloaded", "job"), "1"},
		{verdict.Wrap(&ImpossibleError{}, verdict.NotRun, "impossible", "job"), ""},
	} {
		g := New(&fakeJobs{catalog: catalog(), err: c.err}, readTestKey, decode, noObserver{}, zap.NewNop())
		r := httptest.NewRequest(http.MethodPost, "http://h.example/a/"+id, strings.NewReader("good"))
		w := httptest.NewRecorder()
		g.ServeHTTP(w, r)
		assert.Equal(t, c.want, w.Header().Get("Retry-After"), "%v", c.err)
		assert.Equal(t, verdict.Of(c.err).String(), w.Header().Get(verdict.Header))
	}
}

// unreadableBody is a body that fails the test if it is read.
type unreadableBody struct{ t *testing.T }

func (u unreadableBody) Read([]byte) (int, error) {
	u.t.Error("the body of a request without a valid key was read")
	return 0, io.EOF
}

// TestAuthentication: a queue that is not public requires a key of the current configuration for
// every method; a tenant's job is not accessible to another tenant or through a public queue; and no
// response or log line contains a key.
func TestAuthentication(t *testing.T) {
	c := catalog()
	c.Queues = append(c.Queues, job.Queue{Name: "restricted", Host: "h.example", Prefix: "/k/", Service: "s"})
	require.NoError(t, c.SetTenants([]job.Tenant{{Name: "one"}, {Name: "two"}, {Name: "none"}}, [][]string{{"secret-1", "secret-1b"}, {"secret-2"}, nil}))
	for _, call := range []struct {
		name, method, path, key string
		jobs                    fakeJobs
		status                  int
	}{
		{"no key", "POST", "/k/" + id, "", fakeJobs{}, 401},
		{"an unknown key", "POST", "/k/" + id, "secret-9", fakeJobs{}, 401},
		{"an unknown key, state", "GET", "/k/" + id, "secret-9", fakeJobs{known: true}, 401},
		{"an unknown key, cancel", "DELETE", "/k/" + id, "secret-9", fakeJobs{known: true}, 401},
		{"an unknown key, count", "GET", "/k/", "secret-9", fakeJobs{}, 401},
		{"an unknown key, no such queue", "GET", "/z/" + id, "secret-9", fakeJobs{}, 404},
		{"a good key, count", "GET", "/k/", "secret-1", fakeJobs{}, 200},
		{"its other key", "GET", "/k/" + id, "secret-1b", fakeJobs{known: true, jobTenant: "one"}, 200},
		{"another tenant, state", "GET", "/k/" + id, "secret-2", fakeJobs{known: true, jobTenant: "one"}, 403},
		{"another tenant, cancel", "DELETE", "/k/" + id, "secret-2", fakeJobs{known: true, jobTenant: "one"}, 403},
		{"a public queue, job of a tenant", "GET", "/a/" + id, "", fakeJobs{known: true, jobTenant: "one"}, 403},
		{"a public queue, cancel", "DELETE", "/a/" + id, "", fakeJobs{known: true, jobTenant: "one"}, 403},
		{"a job of a public queue", "GET", "/k/" + id, "secret-2", fakeJobs{known: true}, 200},
		{"a good key that may be revoked", "POST", "/k/" + id, "secret-1", fakeJobs{configStale: true}, 503},
		{"a public queue meanwhile", "GET", "/a/" + id, "", fakeJobs{configStale: true, known: true}, 200},
	} {
		call.jobs.catalog = c
		lines, logged := observer.New(zap.DebugLevel)
		g := New(&call.jobs, readTestKey, decode, noObserver{}, zap.New(lines))
		r := httptest.NewRequest(call.method, call.path, unreadableBody{t})
		r.Host = "h.example"
		r.Header.Set("Key", call.key)
		w := httptest.NewRecorder()
		g.ServeHTTP(w, r)
		assert.Equal(t, call.status, w.Code, call.name)
		assert.Equal(t, call.status == 401, w.Header().Get("WWW-Authenticate") != "", call.name)
		assert.Equal(t, call.status == 401 || call.status == 403 || call.status == 503, logged.Len() == 1, call.name)
		assert.NotContains(t, fmt.Sprint(w.Body, w.Header(), logged.All()), "secret", call.name)
	}
}

func TestSubmittedJobHasTenant(t *testing.T) {
	c := catalog()
	c.Queues[0].Public = false
	require.NoError(t, c.SetTenants([]job.Tenant{{Name: "one"}}, [][]string{{"secret-1"}}))
	f := &fakeJobs{catalog: c}
	r := httptest.NewRequest(http.MethodPost, "/a/"+id, strings.NewReader("good"))
	r.Host = "h.example"
	r.Header.Set("Key", "secret-1")
	New(f, readTestKey, decode, noObserver{}, zap.NewNop()).ServeHTTP(httptest.NewRecorder(), r)
	require.Len(t, f.accepted, 1)
	assert.Equal(t, "one", f.accepted[0].Tenant)
}

// TestNotFoundNeedsTheNewestConfiguration guards against 404 for a queue that is there: the daemon had not heard of it yet.
func TestNotFoundNeedsTheNewestConfiguration(t *testing.T) {
	newest := catalog()
	newest.Queues = append(newest.Queues, job.Queue{Name: "new", Host: "h.example", Prefix: "/new/", Service: "s", Public: true})
	unread := verdict.New(verdict.NotRun, "configuration-unconfirmed", "it cannot be read")
	for name, c := range map[string]struct {
		jobs   fakeJobs
		path   string
		status int
	}{
		"added since":              {fakeJobs{catalog: catalog(), fresh: newest}, "/new/", 200},
		"not there":                {fakeJobs{catalog: catalog(), fresh: newest}, "/other/", 404},
		"not known whether there":  {fakeJobs{catalog: catalog(), freshErr: unread}, "/new/", 503},
		"known, newest not needed": {fakeJobs{catalog: catalog(), freshErr: unread}, "/a/", 200},
	} {
		t.Run(name, func(t *testing.T) {
			g := New(&c.jobs, readTestKey, decode, noObserver{}, zap.NewNop())
			r := httptest.NewRequest("GET", "http://h.example"+c.path, nil)
			w := httptest.NewRecorder()
			g.ServeHTTP(w, r)
			assert.Equal(t, c.status, w.Code, w.Body)
			if c.status == 503 {
				assert.NotEmpty(t, w.Header().Get("Retry-After"))
			}
		})
	}
}

// TestDeadlinesAreBounded guards against requests that hold memory and a connection for as long as their callers say.
func TestDeadlinesAreBounded(t *testing.T) {
	for header, want := range map[string]time.Duration{
		"3000": 3*time.Second - responseMargin, "60000": time.Minute - responseMargin,
		"3600000": time.Minute - responseMargin, "9223372036854775807": time.Minute - responseMargin,
		"": defaultDeadline - responseMargin, "-1": defaultDeadline - responseMargin,
	} {
		r := httptest.NewRequest(http.MethodGet, "/", nil)
		r.Header.Set(deadlineHeader, header)
		assert.Equal(t, want, handlerTimeout(r), header)
	}
}
