package connlimit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// reasons counts the connections that a listener closed.
type reasons struct {
	mu    sync.Mutex
	count map[Reason]int
}

func (r *reasons) add(why Reason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count == nil {
		r.count = map[Reason]int{}
	}
	r.count[why]++
}

func (r *reasons) of(why Reason) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count[why]
}

func listen(t *testing.T, max int, headerLimit func() int) (*Listener, *reasons) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closed := &reasons{}
	l := New(raw, max, headerLimit, closed.add)
	t.Cleanup(func() { l.Close() })
	return l, closed
}

// connect returns both ends of a new connection.
func connect(t *testing.T, l *Listener) (client net.Conn, server *Conn) {
	client, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { client.Close() })
	accepted, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { accepted.Close() })
	return client, accepted.(*Conn)
}

func isClosed(t *testing.T, client net.Conn) bool {
	_, err := client.Read(make([]byte, 1))
	require.Error(t, err)
	return true
}

// TestTheIdlestConnectionGivesWay guards against a crowd of idle connections that uses up a daemon's descriptors.
func TestTheIdlestConnectionGivesWay(t *testing.T) {
	l, closed := listen(t, 3, nil)
	first, firstServer := connect(t, l)
	second, _ := connect(t, l)
	_, busy := connect(t, l)
	require.True(t, busy.Begin())
	busy.used.Store(0)
	_, err := first.Write([]byte("x"))
	require.NoError(t, err)
	_, err = firstServer.Read(make([]byte, 1))
	require.NoError(t, err)

	connect(t, l)
	assert.True(t, isClosed(t, second))
	assert.Len(t, l.conns, 3)
	connect(t, l)
	assert.True(t, isClosed(t, first))
	assert.False(t, firstServer.Begin(), "a closed connection handles no request")
	assert.Equal(t, 2, closed.of(Idle))
	assert.Equal(t, stateBusy, busy.state.Load())
}

// TestEstablishedConnectionsGiveWayLast: those of known clients are closed after all others.
func TestEstablishedConnectionsGiveWayLast(t *testing.T) {
	l, _ := listen(t, 2, nil)
	_, known := connect(t, l)
	known.Establish()
	other, _ := connect(t, l)
	connect(t, l)
	assert.True(t, isClosed(t, other))
	assert.Equal(t, stateIdle, known.state.Load())
}

// TestBusyConnectionsStay: a connection that arrives while all others are busy is closed.
func TestBusyConnectionsStay(t *testing.T) {
	l, closed := listen(t, 1, nil)
	_, busy := connect(t, l)
	require.True(t, busy.Begin())
	refused, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer refused.Close()
	accepted := make(chan net.Conn)
	go func() {
		c, err := l.Accept()
		assert.NoError(t, err)
		accepted <- c
	}()
	assert.True(t, isClosed(t, refused))
	assert.Equal(t, 1, closed.of(AllBusy))
	busy.End()
	next, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer next.Close()
	(<-accepted).Close()
}

// TestHeaderLimit: the limit may change, applies to each request of a connection, and not to bodies.
func TestHeaderLimit(t *testing.T) {
	limit := 100_000
	l, closed := listen(t, 10, func() int { return limit })
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		assert.NoError(t, err)
		fmt.Fprint(w, n)
	})}
	Configure(s)
	go func() { _ = s.Serve(l) }()
	defer s.Close()
	conn, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	answers := bufio.NewReader(conn)
	for range 3 {
		_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nLong: %s\r\nContent-Length: 300000\r\n\r\n%s", strings.Repeat("x", 99_000), strings.Repeat("y", 300_000))
		require.NoError(t, err)
		resp, err := http.ReadResponse(answers, nil)
		require.NoError(t, err)
		answer, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		assert.Equal(t, "300000", string(answer))
	}
	assert.Zero(t, closed.of(HeaderTooLarge))
	_, _ = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nLong: %s\r\n\r\n", strings.Repeat("x", 110_000)) // the connection may be closed before the end
	if resp, err := http.ReadResponse(answers, nil); err == nil {
		assert.Equal(t, http.StatusBadRequest, resp.StatusCode)
		resp.Body.Close()
	}
	assert.Equal(t, 1, closed.of(HeaderTooLarge))
}
