package peer

import (
	"context"
	"net"
	"runtime"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// states answers every question for a state.
type states struct{ Handler }

func (states) State(StateRequest) StateReply { return StateReply{Owner: true} }

// TestAnEndedConnectionIsReplaced: the next call after a connection ended goes
// to a new one instead of failing.
func TestAnEndedConnectionIsReplaced(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	accepted := make(chan net.Conn, 2)
	go func() { _ = Serve(&tapped{l, accepted}, states{}) }()
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

// tapped hands accepted connections to a test, too.
type tapped struct {
	net.Listener
	accepted chan net.Conn
}

func (l *tapped) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.accepted <- conn
	}
	return conn, err
}
