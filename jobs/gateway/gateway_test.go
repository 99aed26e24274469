package gateway

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/verdict"
)

// fakeJobs answers as it is told.
type fakeJobs struct {
	catalog  *job.Catalog
	err      error
	known    bool
	accepted []*job.Job
}

func (f *fakeJobs) Catalog() *job.Catalog { return f.catalog }

func (f *fakeJobs) Accept(_ context.Context, j *job.Job) error {
	f.accepted = append(f.accepted, j)
	return f.err
}

func (f *fakeJobs) Cancel(context.Context, job.ID) (bool, error) { return f.known, f.err }

func (f *fakeJobs) State(context.Context, job.ID) (job.State, bool, error) {
	return job.Running, f.known, f.err
}

func (f *fakeJobs) Pending(context.Context, string) (int, error) { return 12, f.err }

type noObserver struct{}

func (noObserver) Answered(string, int, time.Duration) {}

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
			{Name: "q", Host: "h.example", Prefix: "/a/", Service: "s"},
			{Name: "longer", Host: "h.example", Prefix: "/a/b/", Service: "t"},
		},
		Limits: job.Limits{BodyBytes: 10},
	}
}

const id = "5c0e7a21d94b36f8"

var (
	notRun  = verdict.New(verdict.NotRun, "down", "the store is away")
	mayHave = verdict.New(verdict.MayHaveRun, "lost", "the answer was lost")
)

func TestAnswers(t *testing.T) {
	known := &fakeJobs{catalog: catalog(), known: true}
	for _, c := range []struct {
		name, method, host, path, body string
		jobs                           *fakeJobs
		status                         int
		answer                         string
	}{
		{"accepted", "POST", "h.example", "/a/" + id, "good", known, 200, `{}`},
		{"with a port", "POST", "h.example:80", "/a/" + id, "good", known, 200, `{}`},
		{"a broken body", "POST", "h.example", "/a/" + id, "bad", known, 400, `not a job`},
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
		{"certainly not stored", "POST", "h.example", "/a/" + id, "good", &fakeJobs{catalog: catalog(), err: notRun}, 503, `not-run`},
		{"perhaps stored", "POST", "h.example", "/a/" + id, "good", &fakeJobs{catalog: catalog(), err: mayHave}, 504, `may-have-run`},
		{"perhaps cancelled", "DELETE", "h.example", "/a/" + id, "", &fakeJobs{catalog: catalog(), err: mayHave}, 504, `may-have-run`},
	} {
		g := New(c.jobs, decode, noObserver{}, zap.NewNop())
		r := httptest.NewRequest(c.method, c.path, strings.NewReader(c.body))
		r.Host = c.host
		w := httptest.NewRecorder()
		g.ServeHTTP(w, r)
		assert.Equal(t, c.status, w.Code, c.name)
		assert.Contains(t, w.Body.String(), c.answer, c.name)
		retry := w.Header().Get("Retry-After")
		assert.Equal(t, c.status >= 503, retry != "", c.name)
	}
}

func TestAcceptedJobNamesItsQueue(t *testing.T) {
	f := &fakeJobs{catalog: catalog()}
	g := New(f, decode, noObserver{}, zap.NewNop())
	r := httptest.NewRequest(http.MethodPost, "/a/b/"+id, strings.NewReader("good"))
	r.Host = "h.example"
	g.ServeHTTP(httptest.NewRecorder(), r)
	assert.Len(t, f.accepted, 1)
	assert.Equal(t, "longer", f.accepted[0].Queue, "the longest prefix")
	assert.Equal(t, "t", f.accepted[0].Service)
	assert.EqualValues(t, id, f.accepted[0].ID)
}

func TestStoppingGatewayEndsConnections(t *testing.T) {
	g := New(&fakeJobs{catalog: catalog(), known: true}, decode, noObserver{}, zap.NewNop())
	g.Stop()
	r := httptest.NewRequest(http.MethodGet, "/a/"+id, nil)
	r.Host = "h.example"
	w := httptest.NewRecorder()
	g.ServeHTTP(w, r)
	assert.Equal(t, http.StatusOK, w.Code)
	assert.Equal(t, "close", w.Header().Get("Connection"))
}

// TestWhenToComeBack: a caller whose job would be late is told when it would not be, in
// whole seconds as HTTP has it.
func TestWhenToComeBack(t *testing.T) {
	for _, c := range []struct {
		err  error
		want string
	}{
		{notRun, "1"},
		{mayHave, "1"},
		{verdict.Wrap(&Overloaded{After: 2300 * time.Millisecond}, verdict.NotRun, "overloaded", "job"), "3"},
		{verdict.Wrap(&Overloaded{After: time.Millisecond}, verdict.NotRun, "overloaded", "job"), "1"},
	} {
		g := New(&fakeJobs{catalog: catalog(), err: c.err}, decode, noObserver{}, zap.NewNop())
		r := httptest.NewRequest(http.MethodPost, "http://h.example/a/"+id, strings.NewReader("good"))
		w := httptest.NewRecorder()
		g.ServeHTTP(w, r)
		assert.Equal(t, c.want, w.Header().Get("Retry-After"), "%v", c.err)
		assert.Equal(t, verdict.Of(c.err).String(), w.Header().Get(verdict.Header))
	}
}
