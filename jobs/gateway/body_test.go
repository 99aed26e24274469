package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/postmount/postmount/jobs/job"
	"github.com/postmount/postmount/verdict"
)

// bodyServer serves a gateway that takes any body as a job, up to bodyServerLimit bytes.
type bodyServer struct {
	jobs   *fakeJobs
	server *httptest.Server
}

const bodyServerLimit = 100 << 10

func newBodyServer(t *testing.T, budget int64) *bodyServer {
	c := catalog()
	c.Limits.BodyBytes = bodyServerLimit
	c.Queues = append(c.Queues, job.Queue{Name: "keyed", Host: "h.example", Prefix: "/k/", Service: "s"})
	s := &bodyServer{jobs: &fakeJobs{catalog: c, known: true}}
	g := New(s.jobs, readTestKey, func([]byte) (*job.Job, error) { return &job.Job{}, nil }, noObserver{}, zap.NewNop())
	g.SetBodyBudget(budget)
	s.server = httptest.NewServer(g)
	t.Cleanup(s.server.Close)
	return s
}

// client is a caller's connection.
type client struct {
	net.Conn
	t       *testing.T
	answers *bufio.Reader
}

func (s *bodyServer) connect(t *testing.T) *client {
	conn, err := net.Dial("tcp", s.server.Listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	return &client{conn, t, bufio.NewReader(conn)}
}

func (c *client) send(text string) {
	_, err := io.WriteString(c, text)
	require.NoError(c.t, err)
}

// answer returns the next response, whose body has been read.
func (c *client) answer() (*http.Response, string) {
	resp, err := http.ReadResponse(c.answers, nil)
	require.NoError(c.t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	require.NoError(c.t, err)
	return resp, string(text)
}

func head(method, path string, length int, lines string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\nContent-Length: %d\r\n%s\r\n", method, path, length, lines)
}

// TestRefusalsNeedNoBody guards against clients that keep the daemon reading bodies which it has no use for: what the
// header shows is answered before any of the body has arrived.
func TestRefusalsNeedNoBody(t *testing.T) {
	s := newBodyServer(t, 1<<20)
	for _, c := range []struct {
		name, head string
		status     int
	}{
		{"no such queue", head("POST", "/z/"+id, 50_000, ""), 404},
		{"no key", head("POST", "/k/"+id, 50_000, ""), 401},
		{"an invalid id", head("POST", "/a/x", 50_000, ""), 400},
		{"no such method", head("PATCH", "/a/"+id, 50_000, ""), 405},
		{"too large", head("POST", "/a/"+id, bodyServerLimit+1, ""), 413},
		{"a method without a body", head("GET", "/a/"+id, 50_000, ""), 200},
	} {
		conn := s.connect(t)
		conn.send(c.head)
		resp, _ := conn.answer()
		assert.Equal(t, c.status, resp.StatusCode, c.name)
		assert.True(t, resp.Close, "%s: the connection cannot be used again", c.name)
	}
	assert.Empty(t, s.jobs.accepted)
}

// TestKeepAliveAfterAShortUnusedBody: a caller that is refused keeps its connection if its body is short.
func TestKeepAliveAfterAShortUnusedBody(t *testing.T) {
	s := newBodyServer(t, 1<<20)
	conn := s.connect(t)
	for range 2 {
		conn.send(head("POST", "/k/"+id, 100, "") + strings.Repeat("x", 100))
		resp, _ := conn.answer()
		assert.Equal(t, http.StatusUnauthorized, resp.StatusCode)
	}
	conn.send(head("POST", "/a/"+id, 100, "") + strings.Repeat("x", 100))
	resp, _ := conn.answer()
	assert.Equal(t, http.StatusOK, resp.StatusCode)
}

// TestACutBodyIsNotAccepted: a request whose connection ends before its body does never runs.
func TestACutBodyIsNotAccepted(t *testing.T) {
	s := newBodyServer(t, 1<<20)
	for _, begin := range []string{
		head("POST", "/a/"+id, 100, "") + strings.Repeat("x", 99),
		"POST /a/" + id + " HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nxxxx\r\n",
		"POST /a/" + id + " HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nxxx",
	} {
		conn := s.connect(t)
		conn.send(begin)
		require.NoError(t, conn.Conn.(*net.TCPConn).CloseWrite())
		resp, _ := conn.answer()
		assert.Equal(t, http.StatusBadRequest, resp.StatusCode)
		assert.Equal(t, verdict.NotRun.String(), resp.Header.Get(verdict.Header))
	}
	assert.Empty(t, s.jobs.accepted)
}

// TestABodyEndsWithTheDeadline guards against clients that keep a request open for ever: the time for handling a
// request did not interrupt the read of its body.
func TestABodyEndsWithTheDeadline(t *testing.T) {
	s := newBodyServer(t, 1<<20)
	conn := s.connect(t)
	conn.send(head("POST", "/a/"+id, 100, "Deadline-Ms: 400\r\n") + strings.Repeat("x", 99))
	resp, text := conn.answer()
	assert.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	assert.Contains(t, text, "did not arrive in time")
	assert.Equal(t, verdict.NotRun.String(), resp.Header.Get(verdict.Header))
	assert.NotEmpty(t, resp.Header.Get("Retry-After"))
	assert.Empty(t, s.jobs.accepted)
}

// TestASlowBodyOfTheLimitIsAccepted: a body of exactly the limit, in pieces, is inside what callers may send.
func TestASlowBodyOfTheLimitIsAccepted(t *testing.T) {
	s := newBodyServer(t, 1<<20)
	conn := s.connect(t)
	conn.send(head("POST", "/a/"+id, bodyServerLimit, "Deadline-Ms: 60000\r\n"))
	for range bodyServerLimit / 64 {
		conn.send(strings.Repeat("x", 64))
	}
	resp, _ := conn.answer()
	assert.Equal(t, http.StatusOK, resp.StatusCode)
	assert.Len(t, s.jobs.accepted, 1)
}

// TestStalledBodiesGiveWay guards against a crowd whose bodies take all the memory for bodies: they are refused, and
// others are served.
func TestStalledBodiesGiveWay(t *testing.T) {
	s := newBodyServer(t, 1<<20)
	var crowd []*client
	for range 20 {
		conn := s.connect(t)
		conn.send(head("POST", "/a/"+id, bodyServerLimit, "Deadline-Ms: 60000\r\n") + strings.Repeat("x", bodyServerLimit-1))
		crowd = append(crowd, conn)
	}
	own := s.connect(t)
	own.send(head("POST", "/a/"+id, bodyServerLimit/2, "Deadline-Ms: 60000\r\n") + strings.Repeat("x", bodyServerLimit/2))
	resp, text := own.answer()
	assert.Equal(t, http.StatusOK, resp.StatusCode, text)
	var wg sync.WaitGroup
	for _, conn := range crowd {
		wg.Go(func() {
			assert.NoError(t, conn.SetReadDeadline(time.Now().Add(time.Second)))
			if resp, err := http.ReadResponse(conn.answers, nil); err == nil {
				assert.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
				assert.Equal(t, verdict.NotRun.String(), resp.Header.Get(verdict.Header))
				resp.Body.Close()
			}
		})
	}
	wg.Wait()
	assert.Len(t, s.jobs.accepted, 1)
}

// TestABurstOfWholeBodiesIsServed guards against bodies that hold memory while they wait for more to be decoded: all of a
// burst were refused together after two seconds.
func TestABurstOfWholeBodiesIsServed(t *testing.T) {
	s := newBodyServer(t, 2<<20)
	var burst []*client
	for range 15 {
		conn := s.connect(t)
		conn.send(head("POST", "/a/"+id, bodyServerLimit, "Deadline-Ms: 60000\r\n") + strings.Repeat("x", bodyServerLimit-1))
		burst = append(burst, conn)
	}
	time.Sleep(minBodyIdle / 5) // all are received at once
	for _, conn := range burst {
		conn.send("x")
	}
	for _, conn := range burst {
		resp, text := conn.answer()
		assert.Equal(t, http.StatusOK, resp.StatusCode, text)
	}
}
