package peer

import (
	"context"
	"net"
	"runtime"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// stateHandler replies to every State call as the owner.
type stateHandler struct{ Handler }

func (stateHandler) State(StateRequest) StateReply { return StateReply{Owner: true} }

// TestBrokenConnectionIsReplaced: the call after a connection broke opens a new one instead of
// failing.
func TestBrokenConnectionIsReplaced(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	accepted := make(chan net.Conn, 2)
	go func() { _ = Serve(&recordingListener{l, accepted}, stateHandler{}) }()
	t.Cleanup(func() { l.Close() })
	addr := l.Addr().String()
	c := NewClient()
	_, err = c.State(context.Background(), addr, "a")
	require.NoError(t, err)

	first, err := c.conns.Get(addr, nil)
	require.NoError(t, err)
	(<-accepted).Close()
	for !first.Broken() {
		runtime.Gosched()
	}
	reply, err := c.State(context.Background(), addr, "a")
	require.NoError(t, err)
	assert.True(t, reply.Owner)
}

// recordingListener also sends accepted connections to the test.
type recordingListener struct {
	net.Listener
	accepted chan net.Conn
}

func (l *recordingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.accepted <- conn
	}
	return conn, err
}
